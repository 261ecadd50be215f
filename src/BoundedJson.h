#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace sequoiakeel {

/** What becomes of values that are nested too deeply. */
enum class DeepValues : std::uint8_t
{
  /** The whole text counts as malformed. */
  Reject,
  /** They are left out, for lists whose other entries can be used. */
  LeaveOut,
};

/** Parses a JSON text that another program wrote. Returns nothing if it is
 * malformed. The nesting is limited, since copying or printing a JSON value
 * takes stack for each level, so that a deep one ends the process. Thread safe.
 */
std::optional<nlohmann::json>
ParseJson(std::string_view aText, DeepValues aDeep = DeepValues::Reject);

} // namespace sequoiakeel
