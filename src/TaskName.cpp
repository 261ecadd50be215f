#include "TaskName.h"

#include <charconv>

namespace sequoiakeel {

namespace {

/** Removes the last dot and the number after it from aText and parses the
 * number. */
bool
ParseLastNumber(std::string_view& aText, std::uint32_t& aValue)
{
  const std::size_t dot = aText.rfind('.');
  if (dot == std::string_view::npos) {
    return false;
  }
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + dot + 1, end, aValue);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return false;
  }
  aText.remove_suffix(aText.size() - dot);
  return true;
}

} // namespace

std::string
FormatTaskName(const TaskName& aName)
{
  return FormatStepKey(aName) + "." + std::to_string(aName.index);
}

std::string
FormatStepKey(const TaskName& aName)
{
  return aName.job + "." + std::to_string(aName.occurrence) + "." +
         std::to_string(aName.step);
}

std::optional<TaskName>
ParseTaskName(std::string_view aText)
{
  TaskName name;
  if (!ParseLastNumber(aText, name.index) ||
      !ParseLastNumber(aText, name.step) ||
      !ParseLastNumber(aText, name.occurrence) || aText.empty()) {
    return std::nullopt;
  }
  name.job = aText;
  return name;
}

} // namespace sequoiakeel
