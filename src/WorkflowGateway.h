#pragma once

#include "CellService.h"
#include "NodeDirectory.h"
#include "PeerRpc.h"
#include "StoreReachability.h"
#include "TransactionalStore.h"
#include "generated/Workflow.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sequoiakeel {

/** What became of a submission. */
enum class SubmissionOutcome : std::uint8_t
{
  /** The job is stored, now or by an earlier submission of its id. */
  Accepted,
  /** It was not stored and never will be by this call. */
  NotAccepted,
  /** Whether it was stored isn't known; the same id may be submitted again. */
  Unknown,
};

/** What became of a cancellation. */
enum class CancelOutcome : std::uint8_t
{
  Cancelled,
  /** No such job. */
  NoSuchJob,
  /** The store did not answer in time. */
  Unknown,
};

/**
 * Callers' side of workflow jobs at any node: submissions and cancellations go
 * to the store, queries to the owner of the job's cell or, without one, to the
 * store. Thread safe.
 */
class WorkflowGateway
{
public:
  /** aCells holds the service of each cell, by number. The references outlive
   * the gateway. */
  WorkflowGateway(TransactionalStore& aStore,
                  PeerClient& aPeers,
                  NodeDirectory& aNodes,
                  std::vector<std::shared_ptr<CellService>> aCells,
                  const StoreReachability& aReachability,
                  SchedulerMetrics& aMetrics,
                  const Clock& aClock);

  /** Stores a change that a peer without the store asked for. */
  boost::asio::awaitable<RelayOutcome> StoreForPeer(
    WorkflowSubmission aSubmission);
  boost::asio::awaitable<RelayOutcome> CancelForPeer(std::string aJob);

  /** Stores a job unless its id is known. Precondition: CheckSubmission()
   * found no fault. */
  boost::asio::awaitable<SubmissionOutcome> Submit(
    WorkflowSubmission aSubmission,
    TimePoint aDeadline);

  /** Returns a job's state; Unknown: no such job; nothing: it can't be read. */
  boost::asio::awaitable<std::optional<WorkflowState>> State(
    std::string aJob,
    TimePoint aDeadline);

  /** Cancels a job. */
  boost::asio::awaitable<CancelOutcome> Cancel(std::string aJob,
                                               TimePoint aDeadline);

  /** Returns how many jobs of a queue have no started task; nothing if an owner
   * does not answer. */
  boost::asio::awaitable<std::optional<std::uint64_t>> Pending(
    std::string aQueue,
    TimePoint aDeadline);

private:
  std::vector<std::uint32_t> CellsOf(const std::string& aJob) const;
  /** Returns the candidate cell with the most room for the job. */
  boost::asio::awaitable<std::uint32_t> ChooseCell(
    const WorkflowSubmission& aSubmission,
    TimePoint aDeadline);
  boost::asio::awaitable<std::optional<WorkflowReply>> AskOwner(
    WorkflowQuery aQuery,
    TimePoint aDeadline);
  boost::asio::awaitable<std::optional<WorkflowState>> StateInStore(
    std::string aJob,
    TimePoint aDeadline);
  boost::asio::awaitable<SubmissionOutcome> StoreOnce(
    const WorkflowSubmission& aSubmission,
    std::uint32_t aCell,
    Duration aTimeout);
  boost::asio::awaitable<StoreRangeReply> GetFromStore(std::string aKey,
                                                       TimePoint aDeadline);
  boost::asio::awaitable<CancelOutcome> CancelOnce(std::string aJob,
                                                   TimePoint aDeadline);
  template<class Message>
  boost::asio::awaitable<RelayOutcome> Relay(PeerMessage aKind,
                                             Message aMessage,
                                             TimePoint aDeadline);
  Duration Left(TimePoint aDeadline) const;

  TransactionalStore& store;
  PeerClient& peers;
  NodeDirectory& nodes;
  std::vector<std::shared_ptr<CellService>> cells;
  const StoreReachability& reachability;
  SchedulerMetrics& metrics;
  const Clock& clock;
};

/** Answers peers' queries from the cells of this process and stores what they
 * relay. Precondition: the server was not started. aGateway outlives it. */
void
ServeWorkflowPeers(PeerServer& aServer,
                   WorkflowGateway& aGateway,
                   std::vector<std::shared_ptr<CellService>> aCells);

} // namespace sequoiakeel
