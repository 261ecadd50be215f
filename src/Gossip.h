#pragma once

#include "LeavingHosts.h"
#include "Membership.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

/** Interval between rounds. While the table is too large for small datagrams,
 * every second round sends nothing, so that the bytes a second stay the same.
 */
inline constexpr std::chrono::milliseconds kGossipInterval{ 500 };

/** Where datagrams go to and come from. */
struct GossipEndpoint
{
  std::string address;
  std::uint32_t port = 0;

  auto operator<=>(const GossipEndpoint&) const = default;
};

/** An encoded datagram on its way. */
struct OutgoingDatagram
{
  GossipEndpoint target;
  std::string bytes;
};

/** Traffic since the start. */
struct GossipCounters
{
  std::uint64_t datagramsSent = 0;
  std::uint64_t bytesSent = 0;
  std::uint64_t datagramsReceived = 0;
  std::uint64_t bytesReceived = 0;
  /** Datagrams dropped because of their form or contents. */
  std::uint64_t datagramsRejected = 0;
};

/** Variants of the protocol, for measurements. */
struct GossipOptions
{
  DatagramOptions datagram;
  /** Push news to random peers at once and forward on first receipt. */
  bool push = true;
  /** Answer a sender that lags behind, and ask for rows that are missing. */
  bool pull = true;
};

/** Encodes with cereal's portable binary archive. Thread safe. */
std::string
EncodeDatagram(const GossipDatagram& aDatagram);

/** Decodes a datagram; none if it is malformed, larger than kMaxDatagramBytes
 * or inconsistent: the first row must be the sender's own and name aSource as
 * its endpoint. Allocates no more than a small multiple of the input's size.
 * Thread safe. */
std::optional<GossipDatagram>
DecodeDatagram(std::string_view aBytes, const GossipEndpoint& aSource);

/** The gossip protocol without sockets: datagrams in, datagrams out. Not
 * thread safe. */
class Gossip
{
public:
  /** aClock must outlive the object. */
  Gossip(MemberRow aOwn,
         std::vector<GossipEndpoint> aSeeds,
         const Clock& aClock,
         std::uint64_t aRandomSeed,
         GossipOptions aOptions = {});

  /** One round, to be called every kGossipInterval. */
  std::vector<OutgoingDatagram> Round();

  /** Takes in a datagram and returns what is to be sent because of it. */
  std::vector<OutgoingDatagram> Receive(std::string_view aBytes,
                                        const GossipEndpoint& aSource);

  /** Returns the datagrams that push pending news; none if there is none. */
  std::vector<OutgoingDatagram> Flush();

  /** Returns a member that announced a generation higher than any before, once
   * for each. */
  std::optional<MemberRow> TakeNewGeneration();

  /** Sets the own generation; a higher one becomes pending news. */
  void AnnounceGeneration(std::uint64_t aGeneration);

  /** Marks the own row as leaving; becomes pending news. */
  void AnnounceLeaving();

  /** Evidence about leaving hosts; new evidence becomes pending news. */
  void SetHostList(std::uint64_t aRevision,
                   std::span<const std::string> aLeaving);
  void ReportRefusal(std::string_view aHost);

  /** The table and the evidence. */
  Membership& Table() { return this->membership; }
  const Membership& Table() const { return this->membership; }
  LeavingHosts& Leaving() { return this->leavingHosts; }
  const LeavingHosts& Leaving() const { return this->leavingHosts; }

  /** Returns the counters so far. */
  const GossipCounters& Counters() const { return this->counters; }

private:
  void Send(const GossipDatagram& aDatagram,
            const GossipEndpoint& aTarget,
            std::vector<OutgoingDatagram>& aOut);
  void SendNews(std::span<const MemberRow> aPeers,
                bool aEvidenceOnly,
                std::vector<OutgoingDatagram>& aOut);
  GossipDatagram Compose(std::span<const LeavingEvidence> aLeaving,
                         std::size_t aMaxBytes = kMaxDatagramBytes);
  void SendRound(std::vector<OutgoingDatagram>& aOut);
  void Answer(const GossipDatagram& aDatagram,
              const MergeResult& aMerged,
              std::vector<OutgoingDatagram>& aOut);
  std::optional<GossipEndpoint> PickRejoinTarget();

  Membership membership;
  LeavingHosts leavingHosts;
  std::vector<GossipEndpoint> seeds;
  std::mt19937_64 random;
  GossipOptions options;
  GossipCounters counters;
  std::optional<MemberRow> newGeneration;
  std::uint64_t rounds = 0;
  /** Answers that may still be sent before the next round. */
  std::size_t answersLeft = 0;
  bool rowNews = false;
  bool leavingNews = false;
};

} // namespace sequoiakeel
