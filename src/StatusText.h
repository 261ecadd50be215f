#pragma once

#include <string>
#include <string_view>

namespace sequoiakeel {

/** Renders the body of GET /v1/status as tables for people. Throws UserError if
 * it is not a status. Thread safe. */
std::string
StatusText(std::string_view aBody);

} // namespace sequoiakeel
