#include "Membership.h"

#include "Error.h"

#include <algorithm>
#include <xxhash.h>

namespace sequoiakeel {

namespace {

using Tenths = std::chrono::duration<std::int64_t, std::deci>;

constexpr std::uint32_t kHeartbeatMask = 0x1fff;

/** Limits the correction of the estimated local time at which a member's
 * heartbeat was zero. Each renewal of the member moves this time later by at
 * most 1 / kDriftDivisor of the time since the previous renewal. This allows
 * for clock rates that deviate by up to 1% on each of the two machines. */
constexpr int kDriftDivisor = 50;

/** Maximum number of members in the table and of unknown member hashes in a
 * MergeResult. They bound the memory that forged datagrams can consume. */
constexpr std::size_t kMaxMembers = 4096;
constexpr std::size_t kMaxUnknown = 16;

/** How long a removed member is remembered. */
constexpr std::chrono::hours kDroppedFor{ 2 };

bool
SameProcess(const MemberRow& aOne, const MemberRow& aOther)
{
  return aOne.zone == aOther.zone && aOne.region == aOther.region &&
         aOne.address == aOther.address && aOne.port == aOther.port &&
         aOne.role == aOther.role;
}

bool
Differs(const MemberRow& aOld, const MemberRow& aNew)
{
  return aOld.incarnation != aNew.incarnation ||
         aOld.configurationGeneration != aNew.configurationGeneration ||
         aOld.leaving != aNew.leaving;
}

void
Count(const MemberRow& aRow, StoreReports& aReports)
{
  if (aRow.role != MemberRole::Planner) {
    return;
  }
  ++(aRow.storeReachable ? aReports.reachable : aReports.unreachable);
}

} // namespace

std::vector<std::string>
RankByRendezvous(std::string_view aKey, std::vector<std::string> aNames)
{
  const std::uint64_t seed = XXH64(aKey.data(), aKey.size(), 0);
  std::vector<std::pair<std::uint64_t, std::string>> ranked;
  ranked.reserve(aNames.size());
  for (std::string& name : aNames) {
    const std::uint64_t weight = XXH64(name.data(), name.size(), seed);
    ranked.emplace_back(weight, std::move(name));
  }
  std::ranges::sort(ranked, std::greater<>());
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (auto& [weight, name] : ranked) {
    names.push_back(std::move(name));
  }
  return names;
}

std::uint32_t
MemberHash(std::string_view aName, std::uint64_t aIncarnation)
{
  return static_cast<std::uint32_t>(
    XXH64(aName.data(), aName.size(), aIncarnation) >> (64 - kMemberHashBits));
}

Membership::Membership(MemberRow aOwn,
                       const Clock& aClock,
                       DatagramOptions aOptions)
  : own(std::move(aOwn))
  , clock(&aClock)
  , options(aOptions)
  , started(aClock.Now())
{
  InternalAssert(!this->own.name.empty(), "the member name is empty");
  this->own.heartbeat = 1;
}

void
Membership::RaiseHeartbeat()
{
  const auto passed =
    std::chrono::floor<Tenths>(this->clock->Now() - this->started);
  this->own.heartbeat =
    std::max<std::uint64_t>(this->own.heartbeat + 1, passed.count());
}

void
Membership::SetPort(std::uint32_t aPort)
{
  this->own.port = aPort;
}

void
Membership::SetLoad(std::uint32_t aPermille)
{
  this->own.loadPermille = aPermille;
}

void
Membership::SetStoreReachable(bool aReachable)
{
  if (this->own.storeReachable == aReachable) {
    return;
  }
  this->own.storeReachable = aReachable;
  this->RaiseHeartbeat();
}

void
Membership::SetGeneration(std::uint64_t aGeneration)
{
  if (this->own.configurationGeneration == aGeneration) {
    return;
  }
  this->own.configurationGeneration = aGeneration;
  this->RaiseHeartbeat();
}

void
Membership::SetLeaving()
{
  this->own.leaving = true;
  this->RaiseHeartbeat();
}

std::vector<std::string>
Membership::Tick()
{
  this->RaiseHeartbeat();
  const TimePoint now = this->clock->Now();
  std::erase_if(this->dropped, [now](const auto& aDropped) {
    return now - aDropped.second.droppedAt >= kDroppedFor;
  });
  std::vector<std::string> names;
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    if (now - entry->second.renewed < kRemoveAfter) {
      ++entry;
      continue;
    }
    names.push_back(entry->first);
    this->RemoveHash(entry->second);
    this->dropped[entry->first] = Dropped{ entry->second.row, now };
    entry = this->entries.erase(entry);
  }
  return names;
}

MergeResult
Membership::Merge(const GossipDatagram& aDatagram)
{
  MergeResult result;
  std::uint64_t highest = this->own.configurationGeneration;
  for (const MemberRow& row : aDatagram.rows) {
    if (!this->MergeRow(row, result)) {
      continue;
    }
    if (row.configurationGeneration > highest) {
      highest = row.configurationGeneration;
      result.newGeneration = row;
    }
  }
  for (const std::uint64_t beat : aDatagram.beats) {
    this->MergeBeat(beat, result);
  }
  return result;
}

bool
Membership::IsDropped(const MemberRow& aRow) const
{
  const auto found = this->dropped.find(aRow.name);
  if (found == this->dropped.end()) {
    return false;
  }
  const MemberRow& last = found->second.row;
  return aRow.incarnation < last.incarnation ||
         (aRow.incarnation == last.incarnation &&
          aRow.heartbeat <= last.heartbeat);
}

bool
Membership::MergeRow(const MemberRow& aRow, MergeResult& aResult)
{
  if (aRow.name == this->own.name || this->IsDropped(aRow)) {
    return false;
  }
  const auto found = this->entries.find(aRow.name);
  if (found == this->entries.end() ||
      aRow.incarnation > found->second.row.incarnation) {
    this->AddMember(aRow, aResult);
    return true;
  }
  Entry& entry = found->second;
  if (aRow.incarnation < entry.row.incarnation ||
      aRow.heartbeat <= entry.contentHeartbeat ||
      !SameProcess(aRow, entry.row)) {
    return false;
  }
  aResult.newLeaving |= aRow.leaving && !entry.row.leaving;
  if (Differs(entry.row, aRow)) {
    entry.changed = this->clock->Now();
  }
  this->ReplaceRow(entry, aRow);
  return true;
}

void
Membership::ReplaceRow(Entry& aEntry, const MemberRow& aRow)
{
  const std::uint64_t beat = aEntry.row.heartbeat;
  const bool reachable = aEntry.row.storeReachable;
  aEntry.row = aRow;
  aEntry.contentHeartbeat = aRow.heartbeat;
  if (aRow.heartbeat > beat) {
    this->Renew(aEntry, aRow.heartbeat);
    return;
  }
  // Keep the heartbeat and the store report of an earlier received beat
  // (compact heartbeat update), which are more recent than those of this row.
  aEntry.row.heartbeat = beat;
  aEntry.row.storeReachable = reachable;
}

void
Membership::AddMember(const MemberRow& aRow, MergeResult& aResult)
{
  if (this->entries.size() >= kMaxMembers) {
    return;
  }
  const TimePoint now = this->clock->Now();
  Entry entry;
  entry.row = aRow;
  entry.knownSince = now;
  entry.renewed = now;
  entry.changed = now;
  entry.contentHeartbeat = aRow.heartbeat;
  entry.heartbeatZeroTime = now - Tenths(aRow.heartbeat);
  entry.hash = MemberHash(aRow.name, aRow.incarnation);
  aResult.newLeaving |= aRow.leaving;
  aResult.joined.push_back(aRow.name);
  const auto old = this->entries.find(aRow.name);
  if (old != this->entries.end()) {
    this->RemoveHash(old->second);
  }
  this->dropped.erase(aRow.name);
  this->AddHash(entry);
  this->entries[aRow.name] = std::move(entry);
}

void
Membership::AddHash(const Entry& aEntry)
{
  this->byHash[aEntry.hash].insert(aEntry.row.name);
}

void
Membership::RemoveHash(const Entry& aEntry)
{
  const auto found = this->byHash.find(aEntry.hash);
  if (found == this->byHash.end()) {
    return;
  }
  found->second.erase(aEntry.row.name);
  if (found->second.empty()) {
    this->byHash.erase(found);
  }
}

void
Membership::MergeBeat(std::uint32_t aBeat, MergeResult& aResult)
{
  const std::uint32_t hash = aBeat >> (32 - kMemberHashBits);
  if (hash == MemberHash(this->own.name, this->own.incarnation)) {
    return;
  }
  const auto found = this->byHash.find(hash);
  if (found == this->byHash.end()) {
    if (aResult.unknown.size() < kMaxUnknown) {
      aResult.unknown.push_back(hash);
    }
    return;
  }
  if (found->second.size() > 1) {
    return;
  }
  Entry& entry = this->entries.at(*found->second.begin());
  // A beat has only the low bits of the heartbeat, so compare modulo their
  // range: a difference of more than half of the range means an older beat.
  const auto known = static_cast<std::uint32_t>(entry.row.heartbeat);
  const std::uint32_t ahead = ((aBeat >> 1) - known) & kHeartbeatMask;
  if (ahead == 0 || ahead > kHeartbeatMask / 2) {
    return;
  }
  this->Renew(entry, entry.row.heartbeat + ahead);
  entry.row.storeReachable = (aBeat & 1) != 0;
}

void
Membership::Renew(Entry& aEntry, std::uint64_t aHeartbeat)
{
  const TimePoint now = this->clock->Now();
  const TimePoint latest =
    aEntry.heartbeatZeroTime + (now - aEntry.renewed) / kDriftDivisor;
  aEntry.heartbeatZeroTime = std::min(latest, now - Tenths(aHeartbeat));
  aEntry.row.heartbeat = aHeartbeat;
  aEntry.renewed = now;
}

Duration
Membership::AgeOf(const Entry& aEntry) const
{
  const TimePoint written =
    aEntry.heartbeatZeroTime + Tenths(aEntry.row.heartbeat);
  return std::max(Duration(0), this->clock->Now() - written);
}

bool
Membership::IsSuspect(const Entry& aEntry) const
{
  return this->clock->Now() - aEntry.renewed >= kSuspectAfter;
}

std::vector<Member>
Membership::Members() const
{
  std::vector<Member> members;
  members.push_back(Member{ this->own, false, Duration(0) });
  for (const auto& [name, entry] : this->entries) {
    members.push_back(
      Member{ entry.row, this->IsSuspect(entry), this->AgeOf(entry) });
  }
  std::ranges::sort(members, {}, [](const Member& aMember) {
    return std::string_view(aMember.row.name);
  });
  return members;
}

std::optional<Member>
Membership::Find(std::string_view aName) const
{
  if (aName == this->own.name) {
    return Member{ this->own, false, Duration(0) };
  }
  const auto found = this->entries.find(aName);
  if (found == this->entries.end()) {
    return std::nullopt;
  }
  const Entry& entry = found->second;
  return Member{ entry.row, this->IsSuspect(entry), this->AgeOf(entry) };
}

StoreReports
Membership::CountStoreReports(std::size_t aPlannersExpected) const
{
  StoreReports reports;
  Count(this->own, reports);
  for (const auto& [name, entry] : this->entries) {
    if (this->clock->Now() - entry.knownSince < kSuspectAfter ||
        this->AgeOf(entry) > kStoreReportMaxAge) {
      continue;
    }
    Count(entry.row, reports);
  }
  reports.majorityReachable = reports.reachable * 2 > aPlannersExpected;
  reports.majorityUnreachable = reports.unreachable * 2 > aPlannersExpected;
  return reports;
}

} // namespace sequoiakeel
