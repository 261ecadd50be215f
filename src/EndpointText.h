#pragma once

#include "generated/Settings.h"

#include <string>
#include <string_view>

namespace sequoiakeel {

/** Reads ADDRESS:PORT, or [ADDRESS]:PORT for IPv6. The port must be at least
 * aMinPort. Throws UserError with what is wrong. Thread safe. */
Endpoint
ParseEndpoint(std::string_view aText, std::uint32_t aMinPort = 1);

/** Writes an endpoint in the form that ParseEndpoint reads. Thread safe. */
std::string
FormatEndpoint(const Endpoint& aEndpoint);

} // namespace sequoiakeel
