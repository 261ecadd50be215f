#pragma once

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace sequoiakeel {

/**
 * Archive that validates bytes in the layout of cereal's portable binary
 * archive without decoding the message. cereal allocates as much as a length in
 * the input requests and loads any byte into a bool or an enumeration, so input
 * from the network is validated with this class first. Supports only the field
 * types of the generated messages.
 */
class WireShape
{
public:
  explicit WireShape(std::string_view aBytes)
    : rest(aBytes)
  {
  }

  /** Validates the given fields in order; called by the serialize function of
   * the messages. */
  template<typename... Fields>
  void operator()(Fields&... aFields)
  {
    (this->Walk(aFields), ...);
  }

  /** Returns whether the whole input has been consumed without an error. */
  bool Complete() const { return this->ok && this->rest.empty(); }

  /** Validates the leading byte of the archive, which states the byte order;
   * only little endian is accepted. */
  void WalkHeader()
  {
    if (this->Take(1) != std::string_view("\x01", 1)) {
      this->ok = false;
    }
  }

private:
  std::string_view Take(std::size_t aCount)
  {
    if (!this->ok || aCount > this->rest.size()) {
      this->ok = false;
      return {};
    }
    const std::string_view taken = this->rest.substr(0, aCount);
    this->rest.remove_prefix(aCount);
    return taken;
  }

  std::uint64_t TakeLength()
  {
    const std::string_view bytes = this->Take(sizeof(std::uint64_t));
    std::uint64_t length = 0;
    if (this->ok) {
      std::memcpy(&length, bytes.data(), sizeof(length));
    }
    return length;
  }

  template<typename Field>
  void Walk(Field& aField)
  {
    if constexpr (std::is_same_v<Field, bool>) {
      const std::string_view byte = this->Take(1);
      this->ok = this->ok && byte[0] >= 0 && byte[0] <= 1;
    } else if constexpr (std::is_enum_v<Field>) {
      const std::string_view byte = this->Take(sizeof(Field));
      this->ok = this->ok && ToString(static_cast<Field>(byte[0])) != "invalid";
    } else if constexpr (std::is_arithmetic_v<Field>) {
      this->Take(sizeof(Field));
    } else {
      this->WalkCompound(aField);
    }
  }

  void WalkCompound(std::string&) { this->Take(this->TakeLength()); }

  template<typename Item>
  void WalkCompound(std::vector<Item>&)
  {
    const std::uint64_t length = this->TakeLength();
    // Each item is encoded in at least one byte, so a longer sequence is
    // malformed.
    this->ok = this->ok && length <= this->rest.size();
    Item item{};
    for (std::uint64_t index = 0; index < length && this->ok; ++index) {
      this->Walk(item);
    }
  }

  template<typename Message>
  void WalkCompound(Message& aMessage)
  {
    aMessage.serialize(*this);
  }

  std::string_view rest;
  bool ok = true;
};

/** Returns whether aBytes is exactly one well-formed encoded Message. Memory
 * use does not depend on the input. Thread safe. */
template<typename Message>
bool
HasShape(std::string_view aBytes)
{
  WireShape shape(aBytes);
  Message message{};
  shape.WalkHeader();
  message.serialize(shape);
  return shape.Complete();
}

} // namespace sequoiakeel
