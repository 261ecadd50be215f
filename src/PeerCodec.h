#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <optional>
#include <sstream>
#include <string>

namespace sequoiakeel {

/** Encodes a generated message in cereal's portable binary form. Thread safe.
 */
template<class Message>
std::string
EncodeMessage(const Message& aMessage)
{
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(aMessage);
  }
  return std::move(stream).str();
}

/**
 * Decodes a message from a trusted peer; returns nothing if it is malformed.
 * The maximum frame size of the connection bounds the input, but a forged
 * element count can still make cereal allocate a large vector, so untrusted
 * datagrams must be validated before decoding. Thread safe.
 */
template<class Message>
std::optional<Message>
DecodeMessage(const std::string& aBytes)
{
  std::istringstream stream(aBytes);
  Message message;
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(message);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return message;
}

} // namespace sequoiakeel
