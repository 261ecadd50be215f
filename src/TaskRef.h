#pragma once

#include "generated/Resources.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiakeel {

/** Names one task of one job. */
struct TaskRef
{
  std::string job;
  std::uint32_t task = 0;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const TaskRef&) const = default;
};

/** The task id that workers see: the job id, a dot and the index. */
std::string
TaskId(const TaskRef& aTask);

/** Reads a task id; empty if it has another form. */
std::optional<TaskRef>
ParseTaskId(std::string_view aText);

/** Kind of a job's tasks; the task class if the job names none. Thread safe. */
const std::string&
KindOf(const JobSpec& aSpec);

} // namespace sequoiakeel
