#pragma once

#include "Clock.h"
#include "generated/Messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** Refusals and the reports of peers expire after this time unless renewed. */
inline constexpr std::chrono::seconds kReportLifetime{ 30 };

/**
 * Evidence that hosts are leaving, from three sources: the platform's host
 * list, the operators' configuration document, and refusals of work that this
 * process or a peer observed. A host counts as leaving if any source says so.
 * Not thread safe.
 */
class LeavingHosts
{
public:
  /** aClock must outlive the object. */
  explicit LeavingHosts(const Clock& aClock);

  /** Records the result of a complete poll of the host list: aLeaving are all
   * hosts that the list names as leaving at aRevision. A poll with a lower
   * revision than an earlier one is stale, since the revision of the list never
   * decreases, and is ignored. Returns true if there is new evidence for the
   * peers. */
  bool SetHostList(std::uint64_t aRevision,
                   std::span<const std::string> aLeaving);

  /** Replaces the hosts that the operators' configuration document names as
   * leaving. */
  void SetDocument(std::span<const std::string> aLeaving);

  /** Records that a host refused work because it is leaving. Returns true if
   * there is new evidence for the peers. */
  bool ReportRefusal(std::string_view aHost);

  /** Merges evidence from a peer. Returns true if the evidence was not known
   * and should be forwarded. */
  bool Merge(const LeavingEvidence& aEvidence);

  bool IsLeaving(std::string_view aHost) const;

  /** Returns all leaving hosts, sorted by name. */
  std::vector<std::string> All() const;

  /** Returns evidence to send to peers, at most aCount items that encode to at
   * most aBytes. Evidence that was never sent comes first, then the rest in
   * round-robin order. */
  std::vector<LeavingEvidence> Next(std::size_t aCount, std::size_t aBytes);

  /** Like Next(), but returns only evidence that was never sent. */
  std::vector<LeavingEvidence> NextUnsent(std::size_t aBytes);

  /** Returns evidence for a peer whose digest differs, which encodes to at most
   * aBytes. Evidence that was never sent or that this process learned recently
   * is preferred, since the peer most likely lacks it; other evidence is
   * returned if there is none. */
  std::vector<LeavingEvidence> NextRecent(std::size_t aBytes);

  /** Returns a hash over the evidence that is exchanged with peers: the hosts
   * that the host list or an unexpired report names as leaving. */
  std::uint32_t Digest() const;

  /** Returns whether there is evidence that was never sent. */
  bool HasUnsent() const { return this->unsentCount > 0; }

  /** Removes expired evidence. */
  void Tick();

private:
  struct ListEntry
  {
    std::uint64_t revision = 0;
    bool leaving = false;
    TimePoint changedAt;
    TimePoint learnedAt;
  };
  struct Report
  {
    TimePoint reportedAt;
    TimePoint learnedAt;
  };

  bool SetListed(const std::string& aHost,
                 std::uint64_t aRevision,
                 bool aLeaving,
                 Duration aAge);
  bool SetReported(const std::string& aHost, Duration aAge);
  std::optional<LeavingEvidence> MakeEvidence(std::string_view aKey) const;
  bool IsRecent(std::string_view aKey) const;
  bool IsValid(const Report& aReport) const;
  void QueueFirst(std::string aKey);

  const Clock* clock;
  std::uint64_t listRevision = 0;
  /** By host: the latest entry of the host list, from a poll or a peer. */
  std::map<std::string, ListEntry, std::less<>> listed;
  /** By host: the latest refusal, observed here or reported by a peer. */
  std::map<std::string, Report, std::less<>> reported;
  std::set<std::string, std::less<>> documentHosts;
  /** Keys of the evidence in the order in which it is sent. A key is the host
   * name with the prefix 'l' (host list) or 'r' (report). */
  std::deque<std::string> sendQueue;
  /** Number of keys at the front of sendQueue that were never sent. */
  std::size_t unsentCount = 0;
};

} // namespace sequoiakeel
