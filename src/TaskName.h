#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiakeel {

/** Identifies one task of a workflow job. */
struct TaskName
{
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const TaskName&) const = default;
};

/** Formats a name as JOB.OCCURRENCE.STEP.INDEX. Thread safe. */
std::string
FormatTaskName(const TaskName& aName);

/** Formats the step of a task as JOB.OCCURRENCE.STEP. Thread safe. */
std::string
FormatStepKey(const TaskName& aName);

/** Parses a name formatted by FormatTaskName(); returns nothing if it is
 * malformed. Thread safe. */
std::optional<TaskName>
ParseTaskName(std::string_view aText);

} // namespace sequoiakeel
