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

/** Interval between gossip rounds. While the member table is too large for
 * datagrams of kSmallDatagramBytes, only every second round sends regular
 * datagrams, so that the number of bytes per second stays the same. */
inline constexpr std::chrono::milliseconds kGossipInterval{ 500 };

/** Network endpoint of a member. */
struct GossipEndpoint
{
  std::string address;
  std::uint32_t port = 0;

  auto operator<=>(const GossipEndpoint&) const = default;
};

/** An encoded datagram to be sent. */
struct OutgoingDatagram
{
  GossipEndpoint target;
  std::string bytes;
};

/** Traffic counters since the start of the process. */
struct GossipCounters
{
  std::uint64_t datagramsSent = 0;
  std::uint64_t bytesSent = 0;
  std::uint64_t datagramsReceived = 0;
  std::uint64_t bytesReceived = 0;
  /** Datagrams dropped because they were malformed, inconsistent or sent under
   * the name of this process. */
  std::uint64_t datagramsRejected = 0;
};

/** Options of the protocol. Benchmarks disable parts of it for comparison. */
struct GossipOptions
{
  DatagramOptions datagram;
  /** Whether changes are sent to random peers immediately and forwarded on
   * first receipt. */
  bool push = true;
  /** Whether datagrams are answered: senders whose state is out of date get an
   * update, and missing rows are requested. */
  bool pull = true;
};

/** Encodes a datagram with cereal's portable binary archive in little endian.
 * Thread safe. */
std::string
EncodeDatagram(const GossipDatagram& aDatagram);

/** Decodes a datagram. Returns nothing if it is malformed, larger than
 * kMaxDatagramBytes or inconsistent: the first row must be the sender's own and
 * have aSource as its endpoint. Allocates at most a small multiple of the size
 * of the input. Thread safe. */
std::optional<GossipDatagram>
DecodeDatagram(std::string_view aBytes, const GossipEndpoint& aSource);

/** The gossip protocol without I/O: consumes received datagrams and returns the
 * datagrams to be sent. Not thread safe. */
class Gossip
{
public:
  /** aClock must outlive the object. */
  Gossip(MemberRow aOwn,
         std::vector<GossipEndpoint> aSeeds,
         const Clock& aClock,
         std::uint64_t aRandomSeed,
         GossipOptions aOptions = {});

  /** Runs one gossip round and returns the datagrams to be sent. Must be called
   * every kGossipInterval. */
  std::vector<OutgoingDatagram> Round();

  /** Processes a received datagram and returns the datagrams to be sent in
   * response. */
  std::vector<OutgoingDatagram> Receive(std::string_view aBytes,
                                        const GossipEndpoint& aSource);

  /** Returns the datagrams that send pending changes to random peers; empty if
   * there are no pending changes. */
  std::vector<OutgoingDatagram> Flush();

  /** Returns the member that most recently announced a configuration generation
   * higher than that of this process, and forgets this member. Returns nothing
   * if there was none since the last call. */
  std::optional<MemberRow> TakeNewGeneration();

  /** Sets the configuration generation of this process if it is higher than
   * the current one and marks it as a pending change. */
  void AnnounceGeneration(std::uint64_t aGeneration);

  /** Marks the own row as leaving and as a pending change. */
  void AnnounceLeaving();

  /** Record evidence about leaving hosts; new evidence becomes a pending
   * change. See LeavingHosts. */
  void SetHostList(std::uint64_t aRevision,
                   std::span<const std::string> aLeaving);
  void ReportRefusal(std::string_view aHost);

  /** Return the member table and the evidence about leaving hosts. */
  Membership& Table() { return this->membership; }
  const Membership& Table() const { return this->membership; }
  LeavingHosts& Leaving() { return this->leavingHosts; }
  const LeavingHosts& Leaving() const { return this->leavingHosts; }

  const GossipCounters& Counters() const { return this->counters; }

private:
  void Send(const GossipDatagram& aDatagram,
            const GossipEndpoint& aTarget,
            std::vector<OutgoingDatagram>& aOut);
  void PushChanges(std::span<const MemberRow> aPeers,
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
  /** Number of answers that may still be sent before the next round. */
  std::size_t answersLeft = 0;
  /** Whether a changed row is pending. */
  bool rowChangePending = false;
  /** Whether new evidence about leaving hosts is pending. */
  bool evidencePending = false;
};

} // namespace sequoiakeel
