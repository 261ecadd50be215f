#include "BoundedJson.h"

namespace sequoiakeel {

namespace {

/** Maximum nesting depth. No document of the project or of the platform comes
 * near it. */
constexpr int kMaxDepth = 64;

} // namespace

std::optional<nlohmann::json>
ParseJson(std::string_view aText, DeepValues aDeep)
{
  bool tooDeep = false;
  const auto limitDepth =
    [&tooDeep](int aDepth, nlohmann::json::parse_event_t, nlohmann::json&) {
      tooDeep = tooDeep || aDepth > kMaxDepth;
      return aDepth <= kMaxDepth;
    };
  nlohmann::json value =
    nlohmann::json::parse(aText.begin(), aText.end(), limitDepth, false);
  const bool rejected = tooDeep && aDeep == DeepValues::Reject;
  if (rejected || value.is_discarded()) {
    return std::nullopt;
  }
  return value;
}

} // namespace sequoiakeel
