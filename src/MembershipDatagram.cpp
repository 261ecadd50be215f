// The part of Membership that selects peers and composes datagrams.
#include "Membership.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

/** Sizes in bytes of an encoded row, of the header of a datagram, of a piece of
 * evidence about a leaving host and of a beat, without the characters of
 * strings. Each string and sequence has a length prefix of 8 bytes, which is
 * included. */
constexpr std::size_t kRowBytes = 67;
constexpr std::size_t kHeadBytes = 45;
constexpr std::size_t kEvidenceBytes = 21;
constexpr std::size_t kBeatBytes = sizeof(std::uint32_t);

constexpr std::uint32_t kHeartbeatMask = 0x1fff;

/** Maximum number of rows of members that changed recently or share a hash that
 * are added to a datagram before the beats (compact heartbeat updates). The
 * remaining space is needed for beats. */
constexpr std::size_t kMaxRecentRows = 2;

/** How long a change counts as recent. */
constexpr std::chrono::seconds kRecentChangeAge{ 3 };

std::size_t
SizeOf(const MemberRow& aRow)
{
  return kRowBytes + aRow.name.size() + aRow.zone.size() + aRow.region.size() +
         aRow.address.size();
}

std::uint32_t
PackBeat(std::uint32_t aHash, const MemberRow& aRow)
{
  const auto heartbeat =
    static_cast<std::uint32_t>(aRow.heartbeat) & kHeartbeatMask;
  return aHash << (32 - kMemberHashBits) | heartbeat << 1 |
         (aRow.storeReachable ? 1U : 0U);
}

} // namespace

bool
Membership::IsRecentChange(const Entry& aEntry) const
{
  return this->clock->Now() - aEntry.changed <= kRecentChangeAge;
}

bool
Membership::SharesHash(const Entry& aEntry) const
{
  return this->byHash.at(aEntry.hash).size() > 1;
}

std::vector<Membership::Entry*>
Membership::ShuffledLiveEntries(std::mt19937_64& aRandom)
{
  std::vector<Entry*> live;
  for (auto& [name, entry] : this->entries) {
    // The row of a suspect member is not forwarded; otherwise it could keep
    // circulating after the member has been removed.
    if (!this->IsSuspect(entry)) {
      live.push_back(&entry);
    }
  }
  std::ranges::shuffle(live, aRandom);
  return live;
}

std::vector<Membership::Entry*>
Membership::RowsInOrder(std::mt19937_64& aRandom)
{
  std::vector<Entry*> order = this->ShuffledLiveEntries(aRandom);
  if (this->options.choice == RowChoice::Random) {
    return order;
  }
  const auto rest = std::stable_partition(
    order.begin(), order.end(), [this](const Entry* aEntry) {
      return this->IsRecentChange(*aEntry) || this->SharesHash(*aEntry);
    });
  std::stable_sort(
    order.begin(), rest, [](const Entry* aOne, const Entry* aTwo) {
      return aOne->changed > aTwo->changed;
    });
  std::stable_sort(rest, order.end(), [](const Entry* aOne, const Entry* aTwo) {
    return aOne->rowSent < aTwo->rowSent;
  });
  return order;
}

std::size_t
Membership::AddRows(std::span<Entry* const> aOrder,
                    std::size_t aMax,
                    GossipDatagram& aDatagram,
                    std::size_t& aSpace)
{
  std::size_t used = 0;
  for (Entry* entry : aOrder) {
    const std::size_t size = SizeOf(entry->row);
    if (used == aMax || size > aSpace) {
      break;
    }
    aSpace -= size;
    entry->rowSent = ++this->sequence;
    if (entry->contentHeartbeat == entry->row.heartbeat) {
      entry->beatSent = this->sequence;
    }
    aDatagram.rows.push_back(RowToSend(*entry));
    ++used;
  }
  return used;
}

void
Membership::AddBeats(GossipDatagram& aDatagram,
                     std::size_t& aSpace,
                     std::mt19937_64& aRandom)
{
  const std::size_t maxBeats = aSpace / kBeatBytes;
  std::vector<Entry*> order = this->ShuffledLiveEntries(aRandom);
  if (this->options.choice == RowChoice::NewestFirst) {
    const auto inTurn = [](const Entry* aOne, const Entry* aTwo) {
      return aOne->beatSent < aTwo->beatSent;
    };
    std::ranges::stable_sort(order, inTurn);
    const auto others = std::stable_partition(
      order.begin(), order.end(), [](const Entry* aEntry) {
        return aEntry->row.role == MemberRole::Planner;
      });
    const auto planners =
      std::min<std::ptrdiff_t>(others - order.begin(), maxBeats / 2);
    std::stable_sort(order.begin() + planners, order.end(), inTurn);
  }
  std::size_t added = 0;
  for (Entry* entry : order) {
    if (added == maxBeats) {
      break;
    }
    const bool sentAsRow =
      entry->contentHeartbeat == entry->row.heartbeat &&
      std::ranges::find(aDatagram.rows, entry->row.name, &MemberRow::name) !=
        aDatagram.rows.end();
    if (sentAsRow) {
      continue;
    }
    aDatagram.beats.push_back(PackBeat(entry->hash, entry->row));
    entry->beatSent = ++this->sequence;
    ++added;
  }
  aSpace -= added * kBeatBytes;
}

std::size_t
Membership::RoundBytes() const
{
  const std::size_t beats = this->entries.size() * kBeatBytes;
  const bool fits = this->options.beats &&
                    beats <= this->SpaceBesideOwnRow(kSmallDatagramBytes);
  return fits ? kSmallDatagramBytes : kMaxDatagramBytes;
}

std::size_t
Membership::SpaceBesideOwnRow(std::size_t aMaxBytes) const
{
  const std::size_t used =
    kHeadBytes + this->own.name.size() + SizeOf(this->own);
  return used < aMaxBytes ? aMaxBytes - used : 0;
}

GossipDatagram
Membership::Compose(std::span<const LeavingEvidence> aLeaving,
                    std::mt19937_64& aRandom,
                    std::size_t aMaxBytes)
{
  GossipDatagram datagram;
  datagram.sender = this->own.name;
  datagram.rows.push_back(this->own);
  std::size_t space = this->SpaceBesideOwnRow(aMaxBytes);
  for (const LeavingEvidence& evidence : aLeaving) {
    const std::size_t size = kEvidenceBytes + evidence.host.size();
    if (size > space) {
      break;
    }
    space -= size;
    datagram.leaving.push_back(evidence);
  }
  const std::vector<Entry*> order = this->RowsInOrder(aRandom);
  if (!this->options.beats) {
    this->AddRows(order, order.size(), datagram, space);
    return datagram;
  }
  const auto recentRows = static_cast<std::size_t>(
    std::ranges::count_if(order, [this](const Entry* aEntry) {
      return this->IsRecentChange(*aEntry) || this->SharesHash(*aEntry);
    }));
  const std::size_t used =
    this->AddRows(order, std::min(recentRows, kMaxRecentRows), datagram, space);
  this->AddBeats(datagram, space, aRandom);
  this->AddRows(std::span(order).subspan(used), order.size(), datagram, space);
  return datagram;
}

GossipDatagram
Membership::ComposeRows(std::span<const std::uint32_t> aHashes) const
{
  GossipDatagram datagram;
  datagram.sender = this->own.name;
  datagram.rows.push_back(this->own);
  std::size_t space = this->SpaceBesideOwnRow();
  for (const std::uint32_t hash : aHashes) {
    const auto found = this->byHash.find(hash);
    if (found == this->byHash.end()) {
      continue;
    }
    for (const std::string& name : found->second) {
      const Entry& entry = this->entries.at(name);
      const std::size_t size = SizeOf(entry.row);
      if (size > space || this->IsSuspect(entry)) {
        continue;
      }
      space -= size;
      datagram.rows.push_back(RowToSend(entry));
    }
  }
  return datagram;
}

MemberRow
Membership::RowToSend(const Entry& aEntry)
{
  // Send the row with the heartbeat of the received row that its other fields
  // are from. With the later heartbeat of a beat, the row would replace newer
  // contents at the receiver.
  MemberRow row = aEntry.row;
  row.heartbeat = aEntry.contentHeartbeat;
  return row;
}

std::vector<MemberRow>
Membership::PickPeers(std::size_t aCount, std::mt19937_64& aRandom) const
{
  std::vector<const MemberRow*> preferred;
  std::vector<const MemberRow*> others;
  for (const auto& [name, entry] : this->entries) {
    const bool usable = !this->IsSuspect(entry) && !entry.row.leaving;
    (usable ? preferred : others).push_back(&entry.row);
  }
  if (preferred.empty()) {
    preferred = std::move(others);
  }
  std::vector<MemberRow> peers;
  while (peers.size() < aCount && !preferred.empty()) {
    std::uniform_int_distribution<std::size_t> pick(0, preferred.size() - 1);
    const std::size_t chosen = pick(aRandom);
    peers.push_back(*preferred[chosen]);
    preferred[chosen] = preferred.back();
    preferred.pop_back();
  }
  return peers;
}

std::optional<MemberRow>
Membership::PickDropped(std::mt19937_64& aRandom) const
{
  if (this->dropped.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> pick(0, this->dropped.size() - 1);
  return std::next(this->dropped.begin(),
                   static_cast<std::ptrdiff_t>(pick(aRandom)))
    ->second.row;
}

} // namespace sequoiakeel
