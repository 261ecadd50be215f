#include "Gossip.h"

#include "Error.h"
#include "WireValidator.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <utility>

namespace sequoiakeel {

namespace {

constexpr std::size_t kPeersPerRound = 2;
constexpr std::size_t kPeersPerPush = 3;

/** Maximum number of pieces of evidence about leaving hosts in a datagram sent
 * in a gossip round. The remaining space is left to rows and beats (compact
 * heartbeat updates). */
constexpr std::size_t kEvidencePerRound = 4;

/** Maximum number of datagrams to one peer in one push. */
constexpr std::size_t kPushBurst = 4;

/** Maximum number of datagrams that are answered between two gossip rounds, so
 * that a flood of datagrams does not cause an equal flood of answers. */
constexpr std::size_t kAnswersPerRound = 4;

/** Number of gossip rounds between attempts to contact a seed that is not a
 * known member, or a removed member, while other members are known. */
constexpr std::uint64_t kRejoinRounds = 20;

constexpr std::size_t kMaxNameBytes = 60;
constexpr std::uint64_t kMaxHeartbeat = 0x7fffffff;

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::ranges::all_of(
           aText, [](char aChar) { return aChar > ' ' && aChar < '\x7f'; });
}

bool
IsAddress(const std::string& aText)
{
  boost::system::error_code error;
  boost::asio::ip::make_address(aText, error);
  return !error;
}

bool
IsConsistent(const MemberRow& aRow)
{
  return IsName(aRow.name) && IsName(aRow.zone) && IsName(aRow.region) &&
         aRow.port > 0 && aRow.port <= UINT16_MAX &&
         aRow.heartbeat <= kMaxHeartbeat && IsAddress(aRow.address);
}

bool
IsConsistent(const GossipDatagram& aDatagram, const GossipEndpoint& aSource)
{
  if (aDatagram.rows.empty()) {
    return false;
  }
  const MemberRow& own = aDatagram.rows.front();
  if (own.name != aDatagram.sender || own.address != aSource.address ||
      own.port != aSource.port) {
    return false;
  }
  return std::ranges::all_of(
           aDatagram.rows,
           [](const MemberRow& aRow) { return IsConsistent(aRow); }) &&
         std::ranges::all_of(aDatagram.leaving,
                             [](const LeavingEvidence& aEvidence) {
                               return IsName(aEvidence.host);
                             });
}

GossipEndpoint
EndpointOf(const MemberRow& aRow)
{
  return GossipEndpoint{ aRow.address, aRow.port };
}

} // namespace

std::string
EncodeDatagram(const GossipDatagram& aDatagram)
{
  std::ostringstream stream(std::ios::binary);
  cereal::PortableBinaryOutputArchive archive(
    stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
  archive(aDatagram);
  return std::move(stream).str();
}

std::optional<GossipDatagram>
DecodeDatagram(std::string_view aBytes, const GossipEndpoint& aSource)
{
  if (aBytes.size() > kMaxDatagramBytes ||
      !IsWellFormed<GossipDatagram>(aBytes)) {
    return std::nullopt;
  }
  std::istringstream stream(std::string(aBytes), std::ios::binary);
  cereal::PortableBinaryInputArchive archive(stream);
  GossipDatagram datagram;
  archive(datagram);
  if (!IsConsistent(datagram, aSource)) {
    return std::nullopt;
  }
  return datagram;
}

Gossip::Gossip(MemberRow aOwn,
               std::vector<GossipEndpoint> aSeeds,
               const Clock& aClock,
               std::uint64_t aRandomSeed,
               GossipOptions aOptions)
  : membership(std::move(aOwn), aClock, aOptions.datagram)
  , leavingHosts(aClock)
  , seeds(std::move(aSeeds))
  , random(aRandomSeed)
  , options(aOptions)
  , answersLeft(kAnswersPerRound)
{
}

void
Gossip::Send(const GossipDatagram& aDatagram,
             const GossipEndpoint& aTarget,
             std::vector<OutgoingDatagram>& aOut)
{
  std::string bytes = EncodeDatagram(aDatagram);
  InternalAssert(bytes.size() <= kMaxDatagramBytes,
                 "gossip datagram exceeds the maximum size");
  ++this->counters.datagramsSent;
  this->counters.bytesSent += bytes.size();
  aOut.push_back(OutgoingDatagram{ aTarget, std::move(bytes) });
}

std::vector<OutgoingDatagram>
Gossip::Round()
{
  this->membership.Tick();
  this->leavingHosts.Tick();
  this->evidencePending |= this->leavingHosts.HasUnsent();
  std::vector<OutgoingDatagram> out = this->Flush();
  this->answersLeft = kAnswersPerRound;
  if (this->rounds % 2 == 0 ||
      this->membership.RoundBytes() == kSmallDatagramBytes) {
    this->SendRound(out);
  }
  ++this->rounds;
  return out;
}

void
Gossip::SendRound(std::vector<OutgoingDatagram>& aOut)
{
  const std::size_t bytes = this->membership.RoundBytes();
  const std::size_t space = this->membership.SpaceBesideOwnRow(bytes);
  for (const MemberRow& peer :
       this->membership.PickPeers(kPeersPerRound, this->random)) {
    const std::vector<LeavingEvidence> evidence =
      this->leavingHosts.Next(kEvidencePerRound, space);
    this->Send(this->Compose(evidence, bytes), EndpointOf(peer), aOut);
  }
  if (const std::optional<GossipEndpoint> target = this->PickRejoinTarget()) {
    this->Send(this->Compose({}), *target, aOut);
  }
}

std::optional<GossipEndpoint>
Gossip::PickRejoinTarget()
{
  const std::vector<Member> members = this->membership.Members();
  const bool alone = members.size() == 1;
  if (!alone && this->rounds % kRejoinRounds != 0) {
    return std::nullopt;
  }
  std::vector<GossipEndpoint> candidates;
  for (const GossipEndpoint& seed : this->seeds) {
    const bool known = std::ranges::any_of(members, [&](const Member& aMember) {
      return EndpointOf(aMember.row) == seed;
    });
    if (!known) {
      candidates.push_back(seed);
    }
  }
  if (const auto dropped = this->membership.PickDropped(this->random)) {
    candidates.push_back(EndpointOf(*dropped));
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  return candidates[pick(this->random)];
}

std::vector<OutgoingDatagram>
Gossip::Receive(std::string_view aBytes, const GossipEndpoint& aSource)
{
  std::vector<OutgoingDatagram> out;
  ++this->counters.datagramsReceived;
  this->counters.bytesReceived += aBytes.size();
  const std::optional<GossipDatagram> datagram =
    DecodeDatagram(aBytes, aSource);
  if (!datagram || datagram->sender == this->membership.Own().name) {
    ++this->counters.datagramsRejected;
    return out;
  }
  const MergeResult merged = this->membership.Merge(*datagram);
  for (const LeavingEvidence& evidence : datagram->leaving) {
    this->evidencePending |= this->leavingHosts.Merge(evidence);
  }
  this->rowChangePending |= merged.newLeaving;
  if (merged.newGeneration) {
    this->newGeneration = merged.newGeneration;
  }
  // Send pending changes to random peers before answering the sender, so that
  // an answer to one peer does not use up evidence about leaving hosts that is
  // to be pushed to several peers.
  out = this->Flush();
  if (this->options.pull) {
    this->Answer(*datagram, merged, out);
  }
  return out;
}

GossipDatagram
Gossip::Compose(std::span<const LeavingEvidence> aLeaving,
                std::size_t aMaxBytes)
{
  GossipDatagram datagram =
    this->membership.Compose(aLeaving, this->random, aMaxBytes);
  datagram.leavingDigest = this->leavingHosts.Digest();
  return datagram;
}

void
Gossip::Answer(const GossipDatagram& aDatagram,
               const MergeResult& aMerged,
               std::vector<OutgoingDatagram>& aOut)
{
  const bool senderOutdated = aDatagram.rows.front().configurationGeneration <
                              this->membership.Own().configurationGeneration;
  const bool digestDiffers =
    aDatagram.leavingDigest != this->leavingHosts.Digest();
  GossipDatagram answer = this->membership.ComposeRows(aDatagram.wanted);
  const bool hasWantedRows = answer.rows.size() > 1;
  if ((!senderOutdated && !hasWantedRows && !digestDiffers &&
       aMerged.unknown.empty()) ||
      this->answersLeft == 0) {
    return;
  }
  --this->answersLeft;
  answer.leavingDigest = this->leavingHosts.Digest();
  std::size_t used = EncodeDatagram(answer).size();
  for (const std::uint32_t hash : aMerged.unknown) {
    if (used + sizeof(hash) > kMaxDatagramBytes) {
      break;
    }
    used += sizeof(hash);
    answer.wanted.push_back(hash);
  }
  if (digestDiffers) {
    answer.leaving = this->leavingHosts.NextRecent(kMaxDatagramBytes - used);
  }
  this->Send(answer, EndpointOf(aDatagram.rows.front()), aOut);
}

std::vector<OutgoingDatagram>
Gossip::Flush()
{
  std::vector<OutgoingDatagram> out;
  if (!this->rowChangePending && !this->evidencePending) {
    return out;
  }
  const bool evidenceOnly = !this->rowChangePending;
  this->rowChangePending = false;
  this->evidencePending = false;
  if (!this->options.push) {
    return out;
  }
  const std::vector<MemberRow> peers =
    this->membership.PickPeers(kPeersPerPush, this->random);
  this->PushChanges(peers, evidenceOnly, out);
  return out;
}

void
Gossip::PushChanges(std::span<const MemberRow> aPeers,
                    bool aEvidenceOnly,
                    std::vector<OutgoingDatagram>& aOut)
{
  const std::size_t space = this->membership.SpaceBesideOwnRow();
  for (std::size_t sent = 0; sent < kPushBurst; ++sent) {
    const std::vector<LeavingEvidence> evidence =
      this->leavingHosts.NextUnsent(space);
    if (evidence.empty() && (aEvidenceOnly || sent > 0)) {
      break;
    }
    const GossipDatagram datagram = this->Compose(evidence);
    for (const MemberRow& peer : aPeers) {
      this->Send(datagram, EndpointOf(peer), aOut);
    }
  }
}

std::optional<MemberRow>
Gossip::TakeNewGeneration()
{
  return std::exchange(this->newGeneration, std::nullopt);
}

void
Gossip::AnnounceGeneration(std::uint64_t aGeneration)
{
  if (aGeneration <= this->membership.Own().configurationGeneration) {
    return;
  }
  this->membership.SetGeneration(aGeneration);
  this->rowChangePending = true;
}

void
Gossip::AnnounceLeaving()
{
  this->membership.SetLeaving();
  this->rowChangePending = true;
}

void
Gossip::SetHostList(std::uint64_t aRevision,
                    std::span<const std::string> aLeaving)
{
  this->evidencePending |= this->leavingHosts.SetHostList(aRevision, aLeaving);
}

void
Gossip::ReportRefusal(std::string_view aHost)
{
  this->evidencePending |= this->leavingHosts.ReportRefusal(aHost);
}

} // namespace sequoiakeel
