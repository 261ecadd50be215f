#pragma once

#include "generated/Resources.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiakeel {

/** Identifies one task of one job. */
struct TaskRef
{
  std::string job;
  std::uint32_t task = 0;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const TaskRef&) const = default;
};

/** Returns the task id that workers see: the job id, a dot and the index. */
std::string
TaskId(const TaskRef& aTask);

/** Parses a task id; returns nothing if it is malformed. */
std::optional<TaskRef>
ParseTaskId(std::string_view aText);

/** Returns the kind of a job's tasks, or the task class if the job names no
 * kind. Thread safe. */
const std::string&
KindOf(const JobSpec& aSpec);

} // namespace sequoiakeel
