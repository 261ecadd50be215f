#pragma once

#include "generated/Messages.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** Changes kept for peers that lag behind and for the history. */
inline constexpr std::size_t kKeptChanges = 64;

/** One change of the configuration. */
struct ConfigurationChange
{
  std::uint64_t generation = 0;
  std::string writeId;
  std::string author;
  /** JSON Pointers of the fields that changed; "" for the first document that
   * this process had. */
  std::vector<std::string> changed;
};

/** The fields of a document that apply sets. */
struct DocumentHead
{
  std::uint64_t generation = 0;
  std::string writeId;
  std::string author;
};

/** Returns the canonical text: sorted keys, no white space. Throws UserError
 * if aText is not a JSON object. Thread safe. */
std::string
CanonicalDocument(std::string_view aText);

/** Reads generation, write id and author. Throws UserError if aText is not a
 * JSON object or they have wrong types. Thread safe. */
DocumentHead
ReadDocumentHead(std::string_view aText);

/** Returns the canonical text with the three fields replaced. Throws as
 * CanonicalDocument. Thread safe. */
std::string
WithDocumentHead(std::string_view aText, const DocumentHead& aHead);

/** Returns the JSON Pointers in which two documents differ, without the fields
 * that apply sets. Throws as CanonicalDocument. Thread safe. */
std::vector<std::string>
DifferingFields(std::string_view aOne, std::string_view aOther);

/** xxHash64 of a canonical text. Thread safe. */
std::uint64_t
DocumentHash(std::string_view aCanonical);

/** The active configuration; it activates only higher generations. Not thread
 * safe. */
class ActiveConfiguration
{
public:
  /** Activates a document if its generation is higher than the active one;
   * returns whether it did. Throws as ReadDocumentHead. */
  bool Activate(std::string_view aDocument);

  /** Returns the active generation; 0: none. */
  std::uint64_t Generation() const { return this->generation; }

  /** Returns the canonical text of the active document; empty: none. */
  const std::string& Document() const { return this->document; }

  /** Returns a patch from the generation that the peer has if that is known
   * and smaller, else the whole document. */
  ConfigurationReply ReplyTo(const FetchConfiguration& aRequest) const;

  /** Returns the document that a reply leads to; none if the reply is not for
   * a higher generation, does not apply to the active document or fails the
   * hash check. Changes nothing. */
  std::optional<std::string> Resolve(const ConfigurationReply& aReply) const;

  /** Returns the last kKeptChanges changes, oldest first. */
  std::vector<ConfigurationChange> History() const;

private:
  struct Change
  {
    ConfigurationChange summary;
    std::uint64_t from = 0;
    /** JSON Patch (RFC 6902) as text. */
    std::string patch;
  };

  std::uint64_t generation = 0;
  std::string document;
  std::deque<Change> changes;
};

} // namespace sequoiakeel
