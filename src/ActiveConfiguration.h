#pragma once

#include "generated/Messages.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** Number of recent configuration changes kept, both for patches to peers with
 * an older generation and for the history. */
inline constexpr std::size_t kKeptChanges = 64;

/** Summary of one configuration change. */
struct ConfigurationChange
{
  std::uint64_t generation = 0;
  std::string writeId;
  std::string author;
  /** JSON Pointers of the changed fields; a single "" for the first document
   * that this process activated. */
  std::vector<std::string> changed;
};

/** The fields of a document that ConfigurationAgent::Apply sets. */
struct DocumentHead
{
  std::uint64_t generation = 0;
  std::string writeId;
  std::string author;
};

/** Returns the canonical form of a JSON text: sorted keys, no white space.
 * Throws UserError if aText is not a JSON object or is nested too deeply.
 * Thread safe. */
std::string
CanonicalDocument(std::string_view aText);

/** Reads generation, write id and author. Throws UserError if aText is not a
 * JSON object or one of the fields has the wrong type. Thread safe. */
DocumentHead
ReadDocumentHead(std::string_view aText);

/** Returns the canonical form of aText with the fields of aHead replaced.
 * Throws like CanonicalDocument. Thread safe. */
std::string
WithDocumentHead(std::string_view aText, const DocumentHead& aHead);

/** Returns JSON Pointers to the fields in which two documents differ, except
 * those in DocumentHead. Throws like CanonicalDocument. Thread safe. */
std::vector<std::string>
DifferingFields(std::string_view aOne, std::string_view aOther);

/** Returns the xxHash64 of a document in canonical form. Thread safe. */
std::uint64_t
DocumentHash(std::string_view aCanonical);

/** The active configuration of a process and its recent changes. Its generation
 * only increases. Not thread safe. */
class ActiveConfiguration
{
public:
  /** Activates a document if its generation is higher than the active
   * generation, and returns whether it was activated. Throws in the same cases
   * as ReadDocumentHead. */
  bool Activate(std::string_view aDocument);

  /** Returns the active generation, or 0 if there is none. */
  std::uint64_t Generation() const { return this->generation; }

  /** Returns the active document in canonical form; empty if there is none. */
  const std::string& Document() const { return this->document; }

  /** Returns the reply to a peer's request for the configuration. The reply
   * contains a patch against the document of the peer's generation if the
   * changes since then are known and the patch is smaller than the document,
   * otherwise the whole document. It contains neither if the peer's generation
   * is not lower than the active one. */
  ConfigurationReply ReplyTo(const FetchConfiguration& aRequest) const;

  /** Returns the document that results from a reply, without activating it.
   * Returns nothing if the generation of the reply is not higher than the
   * active one, its patch does not apply to the active document or its hash is
   * not that of the resulting document. */
  std::optional<std::string> Resolve(const ConfigurationReply& aReply) const;

  /** Returns up to kKeptChanges recent changes, oldest first. */
  std::vector<ConfigurationChange> History() const;

private:
  struct Change
  {
    ConfigurationChange summary;
    /** Generation that the patch applies to. */
    std::uint64_t from = 0;
    /** JSON Patch (RFC 6902) in text form. */
    std::string patch;
  };

  std::uint64_t generation = 0;
  std::string document;
  std::deque<Change> changes;
};

} // namespace sequoiakeel
