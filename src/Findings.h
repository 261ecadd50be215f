#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** A validation error in a document and its location. */
struct Finding
{
  /** JSON Pointer (RFC 6901) to the invalid value; empty for the whole
   * document. */
  std::string place;
  /** Line number in the source text, starting at 1; 0 if unknown. */
  std::size_t line = 0;
  std::string message;
};

/** Collects validation errors so that all are reported together. Not thread
 * safe. */
class Findings
{
public:
  /** aPlace is a JSON Pointer, aLine the line number or 0 if unknown. */
  void Add(std::string aPlace, std::string aMessage, std::size_t aLine = 0);

  /** Returns true if there are no findings. */
  bool Ok() const { return this->all.empty(); }

  /** Returns the findings in the order in which they were added. */
  const std::vector<Finding>& All() const { return this->all; }

  /** Returns one line of text per finding, in the form
   * "SOURCE:LINE: POINTER: MESSAGE". LINE is omitted if unknown; the pointer of
   * the whole document is written as "/". */
  std::string Format(std::string_view aSource) const;

private:
  std::vector<Finding> all;
};

} // namespace sequoiakeel
