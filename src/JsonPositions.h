#pragma once

#include "Findings.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace sequoiakeel {

/** Line of each value of a JSON text, by JSON Pointer, and the object keys that
 * occur twice. */
struct JsonPositions
{
  std::map<std::string, std::size_t> lines;
  /** One finding for each key that occurs again in its object. */
  Findings duplicates;

  /** Returns the line of the value or of its closest known parent; 0 if the
   * text is empty. */
  std::size_t LineOf(std::string_view aPointer) const;
};

/** Escapes one reference token of a JSON Pointer (RFC 6901). Thread safe. */
std::string
EscapePointerToken(std::string_view aToken);

/** Scans a text. Precondition: it is well-formed JSON. Thread safe. */
JsonPositions
ScanJsonPositions(std::string_view aText);

} // namespace sequoiakeel
