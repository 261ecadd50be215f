#pragma once

#include "AsyncSignal.h"
#include "CellOwnershipSession.h"
#include "OwnerDirectory.h"
#include "PeerRpc.h"

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sequoiakeel {

/** Identity of this process as a candidate for the ownership of cells. */
struct CandidateIdentity
{
  std::string node;
  /** Unique to each start of the process. */
  std::string boot;
  Endpoint peer;
  /** Time to live of the ownership lease. The lease survives short outages of
   * the store; an owner that has died is detected earlier, by probes. */
  std::chrono::milliseconds leaseTtl{ 5000 };
  /** Interval at which this process probes the owner. */
  std::chrono::milliseconds probeInterval{ 1000 };
  /** Returns how long this process waits before it claims a vacant cell, so
   * that better suited candidates can claim it first. Empty: no wait. May be
   * called on any strand. */
  std::function<std::chrono::milliseconds(std::uint32_t)> claimDelay;
};

/** Result of a probe of a cell's owner. */
enum class OwnerHealth : std::uint8_t
{
  Healthy,
  /** No answer. The owner may be dead, frozen or unreachable from this
   * process. */
  Unresponsive,
  /** The owner's process has ended: the connection was refused, or another
   * start of the process answered. */
  Terminated,
  /** The owner answers but cannot reach the store. */
  StoreLost,
  /** The owner answers but its work makes no progress. */
  Stalled,
  /** The owner answers and has not loaded the cell's state yet. */
  Loading,
};

/**
 * Participates in the election of the owner of one cell. Whenever the cell has
 * no owner, the candidates race to create the owner's key; the winner runs a
 * CellOwnershipSession until it loses the key. The other candidates probe the
 * owner and remove its key if it fails. Runs on
 * OwnershipSessionDependencies::strand.
 */
class CellOwnerElector : public std::enable_shared_from_this<CellOwnerElector>
{
public:
  /** aPeers and aOwners must outlive the object. */
  CellOwnerElector(OwnershipSessionDependencies aDependencies,
                   std::uint32_t aCell,
                   CandidateIdentity aIdentity,
                   PeerClient& aPeers,
                   OwnerDirectory& aOwners);

  /** Runs until Stop(). */
  boost::asio::awaitable<void> Run();

  /** Releases the ownership, if this process has it, and ends the participation
   * in elections. Runs on the strand. */
  boost::asio::awaitable<void> Stop(Duration aTimeout);

  /** Answers a query from the cell's state. WorkflowReply::isOwner is false if
   * this process does not own the cell. Runs on the strand. */
  WorkflowReply Answer(const WorkflowQuery& aQuery) const;

  /** Returns the last known owner, or nullopt if the cell was vacant. Runs on
   * the strand. */
  const std::optional<CellOwnerRecord>& Owner() const { return this->owner; }

  /** Returns the current ownership session, or null. Runs on the strand. */
  const CellOwnershipSession* Session() const { return this->session.get(); }

  /** Returns whether this process owns the cell or is about to claim it. Thread
   * safe. */
  bool IsOwnerOrClaiming() const { return this->isOwnerOrClaiming; }

  boost::asio::any_io_executor Strand() const
  {
    return this->dependencies.strand;
  }

private:
  void SubscribeToOwner();
  void UpdateOwner(const OwnerView& aView);
  boost::asio::awaitable<void> AwaitVacancy();
  boost::asio::awaitable<void> DelayClaim(Duration aSpread);
  boost::asio::awaitable<std::optional<OwnershipClaim>> Claim();
  boost::asio::awaitable<void> ProbeOwner();
  boost::asio::awaitable<OwnerHealth> CheckOwner(Duration aStallLimit);
  boost::asio::awaitable<void> RemoveOwner(std::uint64_t aRevision,
                                           const char* aReason);

  OwnershipSessionDependencies dependencies;
  std::uint32_t cell;
  WorkflowKeys keys;
  CandidateIdentity identity;
  PeerClient& peers;
  OwnerDirectory& owners;
  std::optional<CellOwnerRecord> owner;
  /** Revision of the owner's key, or a revision at which the key did not exist.
   * 0: nothing is known yet. */
  std::uint64_t ownerRevision = 0;
  AsyncSignal ownerSignal;
  std::shared_ptr<CellOwnershipSession> session;
  /** Set after a session that got nowhere, so that other candidates claim the
   * cell first. */
  Duration claimHandicap = Duration::zero();
  std::atomic<bool> isOwnerOrClaiming = false;
  bool stopped = false;
};

} // namespace sequoiakeel
