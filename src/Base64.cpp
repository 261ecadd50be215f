#include "Base64.h"

#include <boost/beast/core/detail/base64.hpp>

namespace sequoiakeel {

namespace base64 = boost::beast::detail::base64;

std::string
Base64Encode(std::string_view aBytes)
{
  std::string text(base64::encoded_size(aBytes.size()), '\0');
  text.resize(base64::encode(text.data(), aBytes.data(), aBytes.size()));
  return text;
}

std::optional<std::string>
Base64Decode(std::string_view aText)
{
  std::string bytes(base64::decoded_size(aText.size()) + 3, '\0');
  const auto [written, read] =
    base64::decode(bytes.data(), aText.data(), aText.size());
  const std::size_t padding = aText.size() - read;
  if (aText.size() % 4 != 0 || padding > 2 ||
      aText.substr(read) != std::string_view("==", padding)) {
    return std::nullopt;
  }
  bytes.resize(written);
  return bytes;
}

} // namespace sequoiakeel
