#pragma once

#include "AsyncSignal.h"
#include "CellTenure.h"
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

/** Who this process is towards the other candidates for a cell. */
struct CandidateIdentity
{
  std::string node;
  /** Differs in each start of the process. */
  std::string boot;
  Endpoint peer;
  /** Time to live of the ownership lease. It outlasts short outages of the
   * store; an owner that has died is found earlier, by probes. */
  std::chrono::milliseconds leaseTtl{ 5000 };
  /** Interval at which this process probes the owner. */
  std::chrono::milliseconds probeInterval{ 1000 };
  /** Returns how long this process lets others claim a vacant cell first, by
   * cell; none: not at all. It is called on any strand. */
  std::function<std::chrono::milliseconds(std::uint32_t)> handicap;
};

/** What a probe of the owner showed. */
enum class OwnerHealth : std::uint8_t
{
  Healthy,
  /** No answer: the owner may be dead, frozen or cut off. */
  Silent,
  /** Its process has ended: the connection is refused, or another start of the
   * process answers. */
  Dead,
  /** It answers and has lost the store. */
  StoreLost,
};

/**
 * Follows the owner of one cell and stands in for it: whenever the cell has no
 * owner, the candidates race to create the owner's key, and the winner works
 * the cell until it loses the key. Runs on TenureParts::strand.
 */
class CellService : public std::enable_shared_from_this<CellService>
{
public:
  /** aPeers and aOwners outlive the service. */
  CellService(TenureParts aParts,
              std::uint32_t aCell,
              CandidateIdentity aIdentity,
              PeerClient& aPeers,
              OwnerDirectory& aOwners);

  /** Runs until Stop(). */
  boost::asio::awaitable<void> Run();

  /** Gives the ownership up, if any, and takes part no more. Runs on the
   * strand. */
  boost::asio::awaitable<void> Stop(Duration aTimeout);

  /** Answers a query from the cell's state; isOwner is false if this process
   * does not own the cell. Runs on the strand. */
  WorkflowReply Answer(const WorkflowQuery& aQuery) const;

  /** Returns the owner that was last seen, or nothing if there is none. Runs on
   * the strand. */
  const std::optional<CellOwnerRecord>& Owner() const { return this->owner; }

  /** Returns the tenure in progress, or null. Runs on the strand. */
  const CellTenure* Tenure() const { return this->tenure.get(); }

  /** Tells whether this process owns the cell or is about to claim it. Thread
   * safe. */
  bool Engaged() const { return this->engaged; }

  boost::asio::any_io_executor Strand() const { return this->parts.strand; }

private:
  void FollowOwner();
  void TakeOwner(const OwnerView& aView);
  boost::asio::awaitable<void> AwaitVacancy();
  boost::asio::awaitable<void> HoldBack(Duration aSpread);
  boost::asio::awaitable<std::optional<OwnershipClaim>> Claim();
  boost::asio::awaitable<void> ProbeOwner();
  boost::asio::awaitable<OwnerHealth> CheckOwner();
  boost::asio::awaitable<void> Depose(std::uint64_t aRevision,
                                      const char* aReason);

  TenureParts parts;
  std::uint32_t cell;
  WorkflowKeys keys;
  CandidateIdentity identity;
  PeerClient& peers;
  OwnerDirectory& owners;
  std::optional<CellOwnerRecord> owner;
  /** Revision of the owner's key, or one at which there was none; 0: nothing is
   * known yet. */
  std::uint64_t ownerRevision = 0;
  AsyncSignal ownerSignal;
  std::shared_ptr<CellTenure> tenure;
  std::atomic<bool> engaged = false;
  bool stopped = false;
};

} // namespace sequoiakeel
