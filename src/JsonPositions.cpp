#include "JsonPositions.h"

#include <set>

namespace sequoiakeel {

namespace {

/** Recursive-descent scanner for well-formed JSON. Records the line of each
 * value and duplicate keys; does not decode values. */
class Scanner
{
public:
  explicit Scanner(std::string_view aText)
    : text(aText)
  {
  }

  JsonPositions Run()
  {
    this->Value("");
    return std::move(this->positions);
  }

private:
  void SkipSpace()
  {
    while (this->at < this->text.size() &&
           std::string_view(" \t\r\n").find(this->text[this->at]) !=
             std::string_view::npos) {
      this->line += this->text[this->at] == '\n' ? 1 : 0;
      ++this->at;
    }
  }

  char Peek()
  {
    this->SkipSpace();
    return this->at < this->text.size() ? this->text[this->at] : '\0';
  }

  /** Consumes a string and returns its text without the quotes. Escape
   * sequences are not decoded. */
  std::string_view String()
  {
    const std::size_t start = ++this->at;
    while (this->at < this->text.size() && this->text[this->at] != '"') {
      this->at += this->text[this->at] == '\\' ? 2 : 1;
    }
    const std::string_view content = this->text.substr(start, this->at - start);
    ++this->at;
    return content;
  }

  void Value(const std::string& aPointer)
  {
    const char first = this->Peek();
    this->positions.lines[aPointer] = this->line;
    if (first == '{') {
      this->Object(aPointer);
      return;
    }
    if (first == '[') {
      this->Array(aPointer);
      return;
    }
    if (first == '"') {
      this->String();
      return;
    }
    this->at = std::min(this->text.find_first_of(",]} \t\r\n", this->at),
                        this->text.size());
  }

  void Object(const std::string& aPointer)
  {
    std::set<std::string_view> keys;
    ++this->at;
    while (this->Peek() == '"') {
      const std::string_view key = this->String();
      const std::string place = aPointer + "/" + EscapePointerToken(key);
      if (!keys.insert(key).second) {
        this->positions.duplicates.Add(
          place, "duplicate key in object", this->line);
      }
      this->Peek();
      ++this->at;
      this->Value(place);
      if (this->Peek() == ',') {
        ++this->at;
      }
    }
    ++this->at;
  }

  void Array(const std::string& aPointer)
  {
    ++this->at;
    for (std::size_t index = 0; this->Peek() != ']' && this->Peek() != '\0';
         ++index) {
      this->Value(aPointer + "/" + std::to_string(index));
      if (this->Peek() == ',') {
        ++this->at;
      }
    }
    ++this->at;
  }

  std::string_view text;
  std::size_t at = 0;
  std::size_t line = 1;
  JsonPositions positions;
};

} // namespace

std::size_t
JsonPositions::LineOf(std::string_view aPointer) const
{
  std::string pointer(aPointer);
  while (true) {
    const auto found = this->lines.find(pointer);
    if (found != this->lines.end()) {
      return found->second;
    }
    if (pointer.empty()) {
      return 0;
    }
    pointer.resize(pointer.rfind('/'));
  }
}

std::string
EscapePointerToken(std::string_view aToken)
{
  std::string escaped;
  for (const char character : aToken) {
    if (character == '~') {
      escaped += "~0";
    } else if (character == '/') {
      escaped += "~1";
    } else {
      escaped += character;
    }
  }
  return escaped;
}

JsonPositions
ScanJsonPositions(std::string_view aText)
{
  return Scanner(aText).Run();
}

} // namespace sequoiakeel
