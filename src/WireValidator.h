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
 * Validates bytes in the layout of cereal's portable binary archive without
 * decoding the message; has the interface of a cereal archive. When cereal
 * decodes a message, it allocates as many bytes as a length in the input states
 * and loads any byte into a bool or an enumeration, so input from the network
 * is validated with this class first. Supports only the field types of the
 * generated messages.
 */
class WireValidator
{
public:
  explicit WireValidator(std::string_view aBytes)
    : rest(aBytes)
  {
  }

  /** Validates the given fields in order; called by the serialize function of
   * the messages. */
  template<typename... Fields>
  void operator()(Fields&... aFields)
  {
    (this->Validate(aFields), ...);
  }

  /** Returns whether the whole input has been consumed without an error. */
  bool Complete() const { return this->ok && this->rest.empty(); }

  /** Validates the leading byte of the archive, which states the byte order;
   * only little endian is accepted. */
  void ValidateHeader()
  {
    if (this->Consume(1) != std::string_view("\x01", 1)) {
      this->ok = false;
    }
  }

private:
  std::string_view Consume(std::size_t aCount)
  {
    if (!this->ok || aCount > this->rest.size()) {
      this->ok = false;
      return {};
    }
    const std::string_view consumed = this->rest.substr(0, aCount);
    this->rest.remove_prefix(aCount);
    return consumed;
  }

  std::uint64_t ConsumeLength()
  {
    const std::string_view bytes = this->Consume(sizeof(std::uint64_t));
    std::uint64_t length = 0;
    if (this->ok) {
      std::memcpy(&length, bytes.data(), sizeof(length));
    }
    return length;
  }

  template<typename Field>
  void Validate(Field& aField)
  {
    if constexpr (std::is_same_v<Field, bool>) {
      const std::string_view byte = this->Consume(1);
      this->ok = this->ok && byte[0] >= 0 && byte[0] <= 1;
    } else if constexpr (std::is_enum_v<Field>) {
      const std::string_view byte = this->Consume(sizeof(Field));
      this->ok = this->ok && ToString(static_cast<Field>(byte[0])) != "invalid";
    } else if constexpr (std::is_arithmetic_v<Field>) {
      this->Consume(sizeof(Field));
    } else {
      this->ValidateCompound(aField);
    }
  }

  void ValidateCompound(std::string&) { this->Consume(this->ConsumeLength()); }

  template<typename Item>
  void ValidateCompound(std::vector<Item>&)
  {
    const std::uint64_t length = this->ConsumeLength();
    // A length greater than the number of remaining bytes is malformed, since
    // each item of the sequence is encoded in at least one byte.
    this->ok = this->ok && length <= this->rest.size();
    Item item{};
    for (std::uint64_t index = 0; index < length && this->ok; ++index) {
      this->Validate(item);
    }
  }

  template<typename Message>
  void ValidateCompound(Message& aMessage)
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
IsWellFormed(std::string_view aBytes)
{
  WireValidator validator(aBytes);
  Message message{};
  validator.ValidateHeader();
  message.serialize(validator);
  return validator.Complete();
}

} // namespace sequoiakeel
