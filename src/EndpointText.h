#pragma once

#include "generated/Settings.h"

#include <string>
#include <string_view>

namespace sequoiakeel {

/** Parses ADDRESS:PORT, or [ADDRESS]:PORT for IPv6. ADDRESS must be an IP
 * address and PORT at least aMinPort. Throws UserError with a description of
 * the error. Thread safe. */
Endpoint
ParseEndpoint(std::string_view aText, std::uint32_t aMinPort = 1);

/** Formats an endpoint in the form that ParseEndpoint() accepts. Thread safe.
 */
std::string
FormatEndpoint(const Endpoint& aEndpoint);

} // namespace sequoiakeel
