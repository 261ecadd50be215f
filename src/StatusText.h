#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** Renders the body of GET /v1/status as tables for people. aCells are the
 * configured cells; those without an owner are shown too. Throws UserError if
 * it is not a status. Thread safe. */
std::string
StatusText(std::string_view aBody, const std::vector<std::string>& aCells);

} // namespace sequoiakeel
