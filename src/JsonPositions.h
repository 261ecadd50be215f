#pragma once

#include "Findings.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace sequoiakeel {

/** Source locations of the values of a JSON text, and its duplicate object
 * keys.
 */
struct JsonPositions
{
  /** Line number of each value, starting at 1, by JSON Pointer. */
  std::map<std::string, std::size_t> lines;
  /** One finding for each repetition of a key within the same object. */
  Findings duplicates;

  /** Returns the line of the value at aPointer, or of its nearest known
   * ancestor; 0 if no lines are recorded. */
  std::size_t LineOf(std::string_view aPointer) const;
};

/** Escapes one reference token of a JSON Pointer (RFC 6901). Thread safe. */
std::string
EscapePointerToken(std::string_view aToken);

/** Precondition: aText is well-formed JSON. Thread safe. */
JsonPositions
ScanJsonPositions(std::string_view aText);

} // namespace sequoiakeel
