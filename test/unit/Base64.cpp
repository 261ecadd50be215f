#include "Base64.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;

// Guards against values that change on their way through the store.
TEST_CASE("base64 keeps every byte and refuses malformed text")
{
  std::string bytes;
  for (int value = 0; value < 256; ++value) {
    bytes += static_cast<char>(value);
    CHECK(Base64Decode(Base64Encode(bytes)) == bytes);
  }
  CHECK(Base64Encode("foob") == "Zm9vYg==");
  CHECK(Base64Decode("").value() == "");
  CHECK_FALSE(Base64Decode("Zm9vYg=").has_value());
  CHECK_FALSE(Base64Decode("Zm9v!g==").has_value());
}
