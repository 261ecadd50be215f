#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** Formats the response body of GET /v1/status as human-readable tables. aCells
 * lists the configured cells; cells without an owner are shown too. Throws
 * UserError if the body is not a valid status. Thread safe. */
std::string
StatusText(std::string_view aBody, const std::vector<std::string>& aCells);

} // namespace sequoiakeel
