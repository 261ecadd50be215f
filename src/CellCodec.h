#pragma once

#include "Error.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <string>

namespace sequoiakeel {

/** Encodes a generated type in cereal's portable binary form. Thread safe. */
template<class T>
std::string
EncodeBinary(const T& aValue)
{
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(aValue);
  }
  return std::move(stream).str();
}

/** Decodes the output of EncodeBinary. Throws UserError if aBytes is truncated
 * or is not an encoded value of the type. Thread safe. */
template<class T>
T
DecodeBinary(const std::string& aBytes)
{
  T value;
  std::istringstream stream(aBytes);
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(value);
  } catch (const std::exception& error) {
    throw UserError(std::string("stored value cannot be decoded: ") +
                    error.what());
  }
  return value;
}

} // namespace sequoiakeel
