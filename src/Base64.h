#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sequoiakeel {

/** Encodes bytes in base64 (RFC 4648) with padding. Thread safe. */
std::string
Base64Encode(std::string_view aBytes);

/** Decodes base64 (RFC 4648) with padding. Returns std::nullopt if the text is
 * malformed. Thread safe. */
std::optional<std::string>
Base64Decode(std::string_view aText);

} // namespace sequoiakeel
