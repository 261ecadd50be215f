#include "TaskRef.h"

#include <charconv>

namespace sequoiakeel {

std::string
TaskId(const TaskRef& aTask)
{
  return aTask.job + "." + std::to_string(aTask.task);
}

std::optional<TaskRef>
ParseTaskId(std::string_view aText)
{
  const std::size_t dot = aText.rfind('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = aText.substr(dot + 1);
  TaskRef result;
  const auto [end, error] =
    std::from_chars(digits.data(), digits.data() + digits.size(), result.task);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  result.job = std::string(aText.substr(0, dot));
  return result;
}

const std::string&
KindOf(const JobSpec& aSpec)
{
  return aSpec.kind.empty() ? aSpec.taskClass : aSpec.kind;
}

} // namespace sequoiakeel
