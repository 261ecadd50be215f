#pragma once

#include "Clock.h"
#include "generated/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sequoiakeel {

/** A row not renewed for this long is suspect. */
inline constexpr std::chrono::seconds kSuspectAfter{ 5 };
/** A row not renewed for this long is removed. */
inline constexpr std::chrono::seconds kRemoveAfter{ 15 };
/** Oldest row that counts in a majority about the store. */
inline constexpr std::chrono::seconds kStoreReportMaxAge{ 3 };
/** Largest gossip datagram in bytes. */
inline constexpr std::size_t kMaxDatagramBytes = 600;
/** Largest datagram of a round while all beats fit into it; rounds are then
 * twice as frequent. */
inline constexpr std::size_t kSmallDatagramBytes = kMaxDatagramBytes / 2;

/** Order in which rows of other members go into a datagram. */
enum class RowChoice : std::uint8_t
{
  /** Most recent changes first, then the rest in turn. Up to half of the beats
   * are those of planners, since a majority of planners counts only while their
   * reports about the store are fresh. */
  NewestFirst,
  /** A random selection. */
  Random,
};

/** Variants of what a datagram carries. */
struct DatagramOptions
{
  RowChoice choice = RowChoice::NewestFirst;
  /** Whether heartbeats go without their rows where space is short. */
  bool beats = true;
};

/** One member as this process sees it. */
struct Member
{
  MemberRow row;
  /** Not renewed for kSuspectAfter. */
  bool suspect = false;
  /** Time since the member wrote the row, estimated from its heartbeat. */
  Duration age{};
};

/** Planners' reports about the store in rows of at most kStoreReportMaxAge. */
struct StoreReports
{
  std::size_t reachable = 0;
  std::size_t unreachable = 0;
  bool majorityReachable = false;
  bool majorityUnreachable = false;
};

/** What a datagram changed. */
struct MergeResult
{
  /** The member with the highest configuration generation, if that is higher
   * than the own one. */
  std::optional<MemberRow> newGeneration;
  /** Members that were not known or have a new incarnation. */
  std::vector<std::string> joined;
  /** Whether a member became leaving. */
  bool newLeaving = false;
  /** Hashes in beats that belong to no known member. */
  std::vector<std::uint32_t> unknown;
};

/** Ranks names for a key: highest xxHash64 of key and name first. Thread safe.
 */
std::vector<std::string>
RankByRendezvous(std::string_view aKey, std::vector<std::string> aNames);

/** Bits of a hash that names a member in beats. Two of 200 members share one
 * with a probability of 8%; such members are sent as rows. */
inline constexpr unsigned kMemberHashBits = 18;

/** Hash that names a member's incarnation in beats. Thread safe. */
std::uint32_t
MemberHash(std::string_view aName, std::uint64_t aIncarnation);

/** Table of the members, with the rules of section 5 of the design page. Not
 * thread safe. */
class Membership
{
public:
  /** aOwn needs name, zone, region, address, port, role and incarnation.
   * aClock must outlive the object. */
  Membership(MemberRow aOwn,
             const Clock& aClock,
             DatagramOptions aOptions = {});

  /** Returns this process's own row. */
  const MemberRow& Own() const { return this->own; }

  /** Sets fields of the own row; the heartbeat rises if one changed. */
  void SetPort(std::uint32_t aPort);
  void SetLoad(std::uint32_t aPermille);
  void SetStoreReachable(bool aReachable);
  void SetGeneration(std::uint64_t aGeneration);
  void SetLeaving();

  /** Renews the own heartbeat and drops rows not renewed for kRemoveAfter.
   * Returns the names dropped. */
  std::vector<std::string> Tick();

  /** Takes over newer rows and beats. A row with a lower incarnation, or with
   * no higher heartbeat, changes nothing. A row that was dropped comes back
   * only with a higher heartbeat. Precondition: the datagram passed
   * DecodeDatagram. */
  MergeResult Merge(const GossipDatagram& aDatagram);

  /** Chooses rows and beats for one datagram that encodes to at most aMaxBytes,
   * which is kMaxDatagramBytes or RoundBytes(). aLeaving is taken in order
   * while it fits. */
  GossipDatagram Compose(std::span<const LeavingEvidence> aLeaving,
                         std::mt19937_64& aRandom,
                         std::size_t aMaxBytes = kMaxDatagramBytes);

  /** Returns the size of a round's datagrams: kSmallDatagramBytes if the own
   * row and all beats fit into it, else kMaxDatagramBytes. */
  std::size_t RoundBytes() const;

  /** Returns how many bytes of evidence fit beside the own row. */
  std::size_t SpaceBesideOwnRow(
    std::size_t aMaxBytes = kMaxDatagramBytes) const;

  /** A datagram with the own row and the rows named by hash that fit. */
  GossipDatagram ComposeRows(std::span<const std::uint32_t> aHashes) const;

  /** Returns up to aCount different members at random, without suspects and
   * members known to be leaving unless only those are left. */
  std::vector<MemberRow> PickPeers(std::size_t aCount,
                                   std::mt19937_64& aRandom) const;

  /** Returns the endpoint of a member dropped within the last two hours, so
   * that two sides of a healed partition find each other. */
  std::optional<MemberRow> PickDropped(std::mt19937_64& aRandom) const;

  /** Returns all members in the order of their names, with this process. */
  std::vector<Member> Members() const;

  /** Returns a member; none if unknown. */
  std::optional<Member> Find(std::string_view aName) const;

  /** Counts the planners' reports, with the own one if this is a planner. A
   * majority is more than half of aPlannersExpected. A member counts once it
   * is known for kSuspectAfter, since the age of its first row is unknown. */
  StoreReports CountStoreReports(std::size_t aPlannersExpected) const;

private:
  struct Entry
  {
    /** Heartbeat and store report are the latest that a row or a beat brought.
     */
    MemberRow row;
    /** Heartbeat at which the row's other fields were written. */
    std::uint64_t written = 0;
    TimePoint since;
    /** When a higher heartbeat last came. */
    TimePoint renewed;
    /** When a field other than heartbeat and load last changed. */
    TimePoint changed;
    /** Latest estimate of the local time at heartbeat zero. */
    TimePoint base;
    std::uint32_t hash = 0;
    /** Position in the turn: when the row or its beat was last sent. */
    std::uint64_t rowSent = 0;
    std::uint64_t beatSent = 0;
  };
  struct Dropped
  {
    MemberRow row;
    TimePoint since;
  };

  bool MergeRow(const MemberRow& aRow, MergeResult& aResult);
  void Adopt(const MemberRow& aRow, MergeResult& aResult);
  void TakeContent(Entry& aEntry, const MemberRow& aRow);
  static MemberRow AsSent(const Entry& aEntry);
  void MergeBeat(std::uint32_t aBeat, MergeResult& aResult);
  void AddHash(const Entry& aEntry);
  void RemoveHash(const Entry& aEntry);
  void Renew(Entry& aEntry, std::uint64_t aHeartbeat);
  void RaiseHeartbeat();
  Duration AgeOf(const Entry& aEntry) const;
  bool IsSuspect(const Entry& aEntry) const;
  bool IsDropped(const MemberRow& aRow) const;
  bool IsNews(const Entry& aEntry) const;
  bool SharesHash(const Entry& aEntry) const;
  std::vector<Entry*> Live(std::mt19937_64& aRandom);
  std::vector<Entry*> RowsInOrder(std::mt19937_64& aRandom);
  std::size_t AddRows(std::span<Entry* const> aOrder,
                      std::size_t aMax,
                      GossipDatagram& aDatagram,
                      std::size_t& aSpace);
  void AddBeats(GossipDatagram& aDatagram,
                std::size_t& aSpace,
                std::mt19937_64& aRandom);

  MemberRow own;
  const Clock* clock;
  DatagramOptions options;
  TimePoint started;
  std::uint64_t sequence = 0;
  std::map<std::string, Entry, std::less<>> entries;
  std::unordered_map<std::uint32_t, std::set<std::string>> byHash;
  std::map<std::string, Dropped> dropped;
};

/** Names of the members that pass aFilter (neither suspect nor leaving),
 * ranked for aKey. Thread safe. */
template<typename Filter>
std::vector<std::string>
RankMembers(std::string_view aKey,
            std::span<const Member> aMembers,
            Filter aFilter)
{
  std::vector<std::string> names;
  for (const Member& member : aMembers) {
    if (member.suspect || member.row.leaving || !aFilter(member.row)) {
      continue;
    }
    names.push_back(member.row.name);
  }
  return RankByRendezvous(aKey, std::move(names));
}

} // namespace sequoiakeel
