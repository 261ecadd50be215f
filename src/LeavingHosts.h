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

/** Refusals and peers' reports count for this long unless renewed. */
inline constexpr std::chrono::seconds kReportLifetime{ 30 };

/** Evidence that hosts are leaving, by source; a host counts as leaving if any
 * source says so. Not thread safe. */
class LeavingHosts
{
public:
  /** aClock must outlive the object. */
  explicit LeavingHosts(const Clock& aClock);

  /** Takes over a whole poll of the host list: aLeaving are the hosts that the
   * list names as leaving at aRevision. A lower revision than that of an
   * earlier poll changes nothing: the revision of the list never goes down, so
   * such a poll is stale. Returns true if evidence to push is new. */
  bool SetHostList(std::uint64_t aRevision,
                   std::span<const std::string> aLeaving);

  /** Takes over the operators' document; replaces what it said before. */
  void SetDocument(std::span<const std::string> aLeaving);

  /** Records that a host refused work because it is leaving. Returns true if
   * evidence to push is new. */
  bool ReportRefusal(std::string_view aHost);

  /** Takes over evidence from a peer. Returns true if it is new here and
   * should be forwarded. */
  bool Merge(const LeavingEvidence& aEvidence);

  /** Tells whether any source says that the host is leaving. */
  bool IsLeaving(std::string_view aHost) const;

  /** Returns all leaving hosts in the order of their names. */
  std::vector<std::string> All() const;

  /** Returns evidence for peers, at most aCount pieces that encode to at most
   * aBytes: new ones first, then the rest in turn. */
  std::vector<LeavingEvidence> Next(std::size_t aCount, std::size_t aBytes);

  /** Returns evidence that was never returned before and encodes to at most
   * aBytes. */
  std::vector<LeavingEvidence> NextNews(std::size_t aBytes);

  /** Returns evidence that this process learned a short time ago, in turn,
   * that encodes to at most aBytes; other evidence if there is none. Meant for
   * a peer whose digest differs. */
  std::vector<LeavingEvidence> NextRecent(std::size_t aBytes);

  /** Returns a hash over what peers can tell each other: the hosts that the
   * list or a report names. */
  std::uint32_t Digest() const;

  /** Tells whether there is evidence that was never returned. */
  bool HasNews() const { return this->unsent > 0; }

  /** Drops expired evidence. */
  void Tick();

private:
  struct Listed
  {
    std::uint64_t revision = 0;
    bool leaving = false;
    TimePoint since;
    TimePoint learned;
  };
  struct Reported
  {
    TimePoint made;
    TimePoint learned;
  };

  bool SetListed(const std::string& aHost,
                 std::uint64_t aRevision,
                 bool aLeaving,
                 Duration aAge);
  bool SetReported(const std::string& aHost, Duration aAge);
  std::optional<LeavingEvidence> Describe(std::string_view aKey) const;
  bool IsRecent(std::string_view aKey) const;
  bool IsValid(const Reported& aReported) const;
  void PutFirst(std::string aKey);

  const Clock* clock;
  std::uint64_t listRevision = 0;
  /** By host: what the list said last, from a poll or through peers. */
  std::map<std::string, Listed, std::less<>> listed;
  /** By host: refusals and peers' reports. */
  std::map<std::string, Reported, std::less<>> reported;
  std::set<std::string, std::less<>> document;
  /** Keys of the evidence in the order in which it is sent: the host with a
   * leading 'l' (list) or 'r' (report). */
  std::deque<std::string> turn;
  /** How many keys at the front of the turn were never sent. */
  std::size_t unsent = 0;
};

} // namespace sequoiakeel
