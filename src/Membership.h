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
/** Maximum age of a row whose store report counts towards a majority. */
inline constexpr std::chrono::seconds kStoreReportMaxAge{ 3 };
/** Maximum size of a gossip datagram, in bytes. */
inline constexpr std::size_t kMaxDatagramBytes = 600;
/** Maximum size in bytes of a gossip datagram sent in a round, as long as the
 * beats (compact heartbeat updates) of all members fit into this size. Rounds
 * are then twice as frequent as with larger datagrams. */
inline constexpr std::size_t kSmallDatagramBytes = kMaxDatagramBytes / 2;

/** Order in which rows of other members go into a datagram. */
enum class RowChoice : std::uint8_t
{
  /** Rows with the most recent changes first, then the remaining rows in round-
   * robin order. Up to half of the beats are reserved for planners, because
   * planners' reports about the store count towards a majority only while they
   * are fresh. */
  NewestFirst,
  /** A random selection. */
  Random,
};

/** Options for the contents of a datagram. */
struct DatagramOptions
{
  RowChoice choice = RowChoice::NewestFirst;
  /** Whether datagrams contain beats, that is, heartbeats of members without
   * their full rows. Beats are used because not all rows may fit into a
   * datagram. */
  bool beats = true;
};

/** One member as this process sees it. */
struct Member
{
  MemberRow row;
  /** Whether the row has not been renewed for kSuspectAfter. */
  bool suspect = false;
  /** Time since the member wrote the row, estimated from its heartbeat. */
  Duration age{};
};

/** Number of planners that report the store as reachable or unreachable. Rows
 * older than kStoreReportMaxAge are not counted. */
struct StoreReports
{
  std::size_t reachable = 0;
  std::size_t unreachable = 0;
  bool majorityReachable = false;
  bool majorityUnreachable = false;
};

/** Result of merging a datagram into the member table. */
struct MergeResult
{
  /** The member with the highest configuration generation, if that generation
   * is higher than the one of this process. */
  std::optional<MemberRow> newGeneration;
  /** Members that were previously unknown or have a new incarnation. */
  std::vector<std::string> joined;
  /** Whether a member started leaving. */
  bool newLeaving = false;
  /** Hashes in beats that match no known member. */
  std::vector<std::uint32_t> unknown;
};

/** Ranks names for a key by rendezvous hashing: highest xxHash64 of key and
 * name first. Thread safe. */
std::vector<std::string>
RankByRendezvous(std::string_view aKey, std::vector<std::string> aNames);

/** Number of bits of the hash that identifies a member in beats. Among 200
 * members, the probability that any two collide is 8%; members whose hashes
 * collide are sent as rows. */
inline constexpr unsigned kMemberHashBits = 18;

/** Returns the hash that identifies one incarnation of a member in beats.
 * Thread safe. */
std::uint32_t
MemberHash(std::string_view aName, std::uint64_t aIncarnation);

/** Table of the members, following the rules in section 5 of the design page.
 * Not thread safe. */
class Membership
{
public:
  /** Precondition: aOwn has name, zone, region, address, port, role and
   * incarnation set. aClock must outlive the object. */
  Membership(MemberRow aOwn,
             const Clock& aClock,
             DatagramOptions aOptions = {});

  /** Returns this process's own row. */
  const MemberRow& Own() const { return this->own; }

  /** Set fields of the own row. Changes of the store report, the configuration
   * generation and the leaving flag also raise the heartbeat. */
  void SetPort(std::uint32_t aPort);
  void SetLoad(std::uint32_t aPermille);
  void SetStoreReachable(bool aReachable);
  void SetGeneration(std::uint64_t aGeneration);
  void SetLeaving();

  /** Raises the own heartbeat and removes rows not renewed for kRemoveAfter.
   * Returns the names of the removed members. */
  std::vector<std::string> Tick();

  /** Merges newer rows and beats into the table. A row with a lower
   * incarnation, or with a heartbeat that is not higher, is ignored. A removed
   * member is accepted again only with a higher incarnation or heartbeat.
   * Precondition: the datagram was returned by DecodeDatagram. */
  MergeResult Merge(const GossipDatagram& aDatagram);

  /** Selects rows and beats for one datagram that encodes to at most aMaxBytes,
   * which is kMaxDatagramBytes or RoundBytes(). Evidence is added from aLeaving
   * in order, up to the first item that does not fit. */
  GossipDatagram Compose(std::span<const LeavingEvidence> aLeaving,
                         std::mt19937_64& aRandom,
                         std::size_t aMaxBytes = kMaxDatagramBytes);

  /** Returns the maximum datagram size in a gossip round: kSmallDatagramBytes
   * if the own row and all beats fit into it, otherwise kMaxDatagramBytes. */
  std::size_t RoundBytes() const;

  /** Returns the number of bytes left in a datagram of aMaxBytes after the
   * header and the own row. */
  std::size_t SpaceBesideOwnRow(
    std::size_t aMaxBytes = kMaxDatagramBytes) const;

  /** Returns a datagram with the own row and as many of the rows with the
   * given hashes as fit. Suspect members are left out. */
  GossipDatagram ComposeRows(std::span<const std::uint32_t> aHashes) const;

  /** Returns up to aCount distinct members at random. Suspect and leaving
   * members are chosen only if there are no others. */
  std::vector<MemberRow> PickPeers(std::size_t aCount,
                                   std::mt19937_64& aRandom) const;

  /** Returns the row of a random member that was removed within the last two
   * hours, if any. Contacting such members lets the two sides of a network
   * partition find each other once it has healed. */
  std::optional<MemberRow> PickDropped(std::mt19937_64& aRandom) const;

  /** Returns all members including this process, sorted by name. */
  std::vector<Member> Members() const;

  /** Returns the member with the given name, or nothing if it is unknown. */
  std::optional<Member> Find(std::string_view aName) const;

  /** Counts the planners' reports about the store, including the own report if
   * this process is a planner. A majority is more than half of
   * aPlannersExpected. Other members count only after they have been known for
   * kSuspectAfter, because the age of a member's first row is unknown. */
  StoreReports CountStoreReports(std::size_t aPlannersExpected) const;

private:
  struct Entry
  {
    /** Latest row of the member, except that its heartbeat and store report are
     * the latest received from either a row or a beat. */
    MemberRow row;
    /** Heartbeat of the received row that holds the other fields. */
    std::uint64_t contentHeartbeat = 0;
    TimePoint knownSince;
    /** When a higher heartbeat was last received. */
    TimePoint renewed;
    /** When the incarnation, the configuration generation or the leaving flag
     * last changed. */
    TimePoint changed;
    /** Estimated local time at which the member's heartbeat was zero. */
    TimePoint heartbeatZeroTime;
    std::uint32_t hash = 0;
    /** Sequence numbers of the last time that the row and its beat were sent;
     * they determine the round-robin order. */
    std::uint64_t rowSent = 0;
    std::uint64_t beatSent = 0;
  };
  struct Dropped
  {
    MemberRow row;
    TimePoint droppedAt;
  };

  bool MergeRow(const MemberRow& aRow, MergeResult& aResult);
  void AddMember(const MemberRow& aRow, MergeResult& aResult);
  void ReplaceRow(Entry& aEntry, const MemberRow& aRow);
  static MemberRow RowToSend(const Entry& aEntry);
  void MergeBeat(std::uint32_t aBeat, MergeResult& aResult);
  void AddHash(const Entry& aEntry);
  void RemoveHash(const Entry& aEntry);
  void Renew(Entry& aEntry, std::uint64_t aHeartbeat);
  void RaiseHeartbeat();
  Duration AgeOf(const Entry& aEntry) const;
  bool IsSuspect(const Entry& aEntry) const;
  bool IsDropped(const MemberRow& aRow) const;
  bool IsRecentChange(const Entry& aEntry) const;
  bool SharesHash(const Entry& aEntry) const;
  std::vector<Entry*> ShuffledLiveEntries(std::mt19937_64& aRandom);
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

/** Returns the names of the members that pass aFilter and are neither suspect
 * nor leaving, ranked by RankByRendezvous for aKey. Thread safe. */
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
