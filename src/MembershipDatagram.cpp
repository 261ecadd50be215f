// The part of Membership that chooses peers and fills datagrams.
#include "Membership.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

/** Encoded sizes: strings and sequences carry a length of 8 bytes. */
constexpr std::size_t kRowBytes = 67;
constexpr std::size_t kHeadBytes = 45;
constexpr std::size_t kEvidenceBytes = 21;
constexpr std::size_t kBeatBytes = 8;

constexpr std::uint64_t kHeartbeatMask = 0x7fffffff;

/** Rows in a datagram when heartbeats also go without rows. */
constexpr std::size_t kNewestRows = 2;
constexpr std::size_t kRowsInTurn = 1;

/** A change counts as news for this long. */
constexpr std::chrono::seconds kNewsFor{ 3 };

std::size_t
SizeOf(const MemberRow& aRow)
{
  return kRowBytes + aRow.name.size() + aRow.zone.size() + aRow.region.size() +
         aRow.address.size();
}

std::uint64_t
PackBeat(std::uint32_t aHash, const MemberRow& aRow)
{
  const std::uint64_t heartbeat = aRow.heartbeat & kHeartbeatMask;
  return static_cast<std::uint64_t>(aHash) << 32 | heartbeat << 1 |
         (aRow.storeReachable ? 1U : 0U);
}

} // namespace

std::vector<Membership::Entry*>
Membership::InOrder(std::uint64_t Entry::*aSent,
                    TimePoint Entry::*aNews,
                    std::size_t aNewest,
                    std::mt19937_64& aRandom)
{
  const TimePoint now = this->clock->Now();
  std::vector<Entry*> order;
  for (auto& [name, entry] : this->entries) {
    // A suspect's row is not passed on, or it would outlive its removal.
    if (!this->IsSuspect(entry)) {
      order.push_back(&entry);
    }
  }
  std::ranges::shuffle(order, aRandom);
  if (this->options.choice == RowChoice::Random) {
    return order;
  }
  std::ranges::stable_sort(order,
                           [aNews](const Entry* aOne, const Entry* aTwo) {
                             return aOne->*aNews > aTwo->*aNews;
                           });
  std::size_t newest = 0;
  while (newest < std::min(aNewest, order.size()) &&
         now - order[newest]->*aNews <= kNewsFor) {
    ++newest;
  }
  std::stable_sort(order.begin() + static_cast<std::ptrdiff_t>(newest),
                   order.end(),
                   [aSent](const Entry* aOne, const Entry* aTwo) {
                     return aOne->*aSent < aTwo->*aSent;
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
    entry->beatSent = this->sequence;
    aDatagram.rows.push_back(entry->row);
    ++used;
  }
  return used;
}

void
Membership::AddBeats(GossipDatagram& aDatagram,
                     std::size_t& aSpace,
                     std::mt19937_64& aRandom)
{
  const std::size_t room = aSpace / kBeatBytes;
  std::vector<Entry*> order =
    this->InOrder(&Entry::beatSent, &Entry::renewed, room / 2, aRandom);
  std::size_t added = 0;
  for (Entry* entry : order) {
    if (added == room) {
      break;
    }
    if (std::ranges::find(aDatagram.rows, entry->row.name, &MemberRow::name) !=
        aDatagram.rows.end()) {
      continue;
    }
    aDatagram.beats.push_back(PackBeat(entry->hash, entry->row));
    entry->beatSent = ++this->sequence;
    ++added;
  }
  aSpace -= added * kBeatBytes;
}

std::size_t
Membership::SpaceBesideOwnRow() const
{
  const std::size_t used =
    kHeadBytes + this->own.name.size() + SizeOf(this->own);
  return used < kMaxDatagramBytes ? kMaxDatagramBytes - used : 0;
}

GossipDatagram
Membership::Compose(std::span<const LeavingEvidence> aLeaving,
                    std::mt19937_64& aRandom)
{
  GossipDatagram datagram;
  datagram.sender = this->own.name;
  datagram.rows.push_back(this->own);
  std::size_t space = this->SpaceBesideOwnRow();
  for (const LeavingEvidence& evidence : aLeaving) {
    const std::size_t size = kEvidenceBytes + evidence.host.size();
    if (size > space) {
      break;
    }
    space -= size;
    datagram.leaving.push_back(evidence);
  }
  const std::vector<Entry*> order =
    this->InOrder(&Entry::rowSent, &Entry::changed, kNewestRows, aRandom);
  if (!this->options.beats) {
    this->AddRows(order, order.size(), datagram, space);
    return datagram;
  }
  const std::size_t used =
    this->AddRows(order, kNewestRows + kRowsInTurn, datagram, space);
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
    const Entry& entry = this->entries.at(found->second);
    const std::size_t size = SizeOf(entry.row);
    if (size > space || this->IsSuspect(entry)) {
      continue;
    }
    space -= size;
    datagram.rows.push_back(entry.row);
  }
  return datagram;
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
