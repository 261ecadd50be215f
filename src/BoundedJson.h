#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace sequoiakeel {

/** Parses a JSON text that another program wrote. Returns nothing if it is
 * malformed or nested too deeply: copying or printing a JSON value takes stack
 * for each level, so a deep one ends the process. Thread safe. */
std::optional<nlohmann::json>
ParseJson(std::string_view aText);

} // namespace sequoiakeel
