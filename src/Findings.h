#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** One fault in a document, with the place where it was found. */
struct Finding
{
  /** JSON Pointer (RFC 6901) into the document; empty for the document itself.
   */
  std::string place;
  /** Line in the source text, from 1; 0 if unknown. */
  std::size_t line = 0;
  std::string message;
};

/** Collects faults so that they can be reported together. Not thread safe. */
class Findings
{
public:
  /** Adds a fault. aPlace is a JSON Pointer. */
  void Add(std::string aPlace, std::string aMessage, std::size_t aLine = 0);

  /** Tells whether no fault was found. */
  bool Ok() const { return this->all.empty(); }

  /** Returns the faults in the order in which they were found. */
  const std::vector<Finding>& All() const { return this->all; }

  /** Returns one line of text for each fault, each starting with aSource and
   * the place. */
  std::string Format(std::string_view aSource) const;

private:
  std::vector<Finding> all;
};

} // namespace sequoiakeel
