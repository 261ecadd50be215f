#include "BoundedJson.h"

namespace sequoiakeel {

namespace {

/** Maximum nesting depth. No document of the project or of the platform comes
 * near it. */
constexpr int kMaxDepth = 64;

/** Returns whether values are nested deeper than kMaxDepth. A malformed text
 * may be judged wrongly after its first error only. */
bool
IsTooDeep(std::string_view aText)
{
  int depth = 0;
  bool inString = false;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const char character = aText[i];
    if (character == '"') {
      inString = !inString;
      continue;
    }
    if (inString) {
      // Skips the escaped character.
      i += character == '\\' ? 1 : 0;
      continue;
    }
    if (character == '[' || character == '{') {
      ++depth;
    }
    if (character == ']' || character == '}') {
      --depth;
    }
    if (depth > kMaxDepth) {
      return true;
    }
  }
  return false;
}

/** Parses a text and leaves out what is nested too deeply. The time grows with
 * the square of the number of values, since the library goes through the parent
 * at the end of each. */
nlohmann::json
ParseWithoutDeepValues(std::string_view aText)
{
  const auto limitDepth = [](int aDepth,
                             nlohmann::json::parse_event_t,
                             nlohmann::json&) { return aDepth <= kMaxDepth; };
  return nlohmann::json::parse(aText.begin(), aText.end(), limitDepth, false);
}

} // namespace

std::optional<nlohmann::json>
ParseJson(std::string_view aText, DeepValues aDeep)
{
  const bool tooDeep = IsTooDeep(aText);
  if (tooDeep && aDeep == DeepValues::Reject) {
    return std::nullopt;
  }
  nlohmann::json value =
    tooDeep ? ParseWithoutDeepValues(aText)
            : nlohmann::json::parse(aText.begin(), aText.end(), nullptr, false);
  if (value.is_discarded()) {
    return std::nullopt;
  }
  return value;
}

} // namespace sequoiakeel
