#pragma once

#include "CellOwnerElector.h"
#include "NodeDirectory.h"
#include "PeerRpc.h"
#include "QueueTable.h"
#include "StoreReachability.h"
#include "TransactionalStore.h"
#include "generated/Workflow.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Outcome of a submission. */
enum class SubmissionOutcome : std::uint8_t
{
  /** The job is stored, now or by an earlier submission of its id. */
  Accepted,
  /** The job was not stored, and this call can no longer store it. */
  NotAccepted,
  /** It is not known whether the job was stored; the same id may be submitted
   * again. */
  Unknown,
  /** The job was not stored, since the cells that it may be in have too many
   * tasks. */
  TooManyTasks,
  /** The job was not stored, since a job of another queue has its id. */
  IdInUse,
};

/** Outcome of a cancellation. */
enum class CancelOutcome : std::uint8_t
{
  Cancelled,
  /** No such job. */
  NoSuchJob,
  /** The store did not answer in time. */
  Unknown,
};

/**
 * Handles callers' operations on workflow jobs at any node: submissions and
 * cancellations are written to the store; queries are sent to the owner of the
 * job's cell or, if it does not answer, to the store. Thread safe.
 */
class WorkflowGateway
{
public:
  /** aCells holds the service of each cell, by number. The referenced objects
   * must outlive the gateway. aMaxTasks: limit of the tasks of a cell as long
   * as its owner has not named one; 0: unlimited. */
  WorkflowGateway(TransactionalStore& aStore,
                  PeerClient& aPeers,
                  NodeDirectory& aNodes,
                  std::vector<std::shared_ptr<CellOwnerElector>> aCells,
                  const StoreReachability& aReachability,
                  SchedulerMetrics& aMetrics,
                  const Clock& aClock,
                  std::uint64_t aMaxTasks = 0,
                  const ActiveQueues* aQueues = nullptr);

  /** Stores a change on behalf of a peer that cannot reach the store.
   * aTransferTime: what a large submission may take beyond the time of a small
   * one. */
  boost::asio::awaitable<RelayOutcome> StoreForPeer(
    WorkflowSubmission aSubmission,
    Duration aTransferTime);
  boost::asio::awaitable<RelayOutcome> CancelForPeer(std::string aJob,
                                                     std::string aQueue);

  /** Stores a job unless its id exists already. Precondition: aSubmission
   * passes CheckSubmission(). */
  boost::asio::awaitable<SubmissionOutcome> Submit(
    WorkflowSubmission aSubmission,
    TimePoint aDeadline);

  /** Returns the state of a job of a queue. WorkflowState::Unknown: no such
   * job; empty: the state could not be read before the deadline. An empty
   * aQueue stands for any queue, here and below. */
  boost::asio::awaitable<std::optional<WorkflowState>>
  State(std::string aJob, TimePoint aDeadline, std::string aQueue = "");

  /** Cancels a job of a queue. A job that has ended already counts as cancelled
   * and keeps its final state. */
  boost::asio::awaitable<CancelOutcome> Cancel(std::string aJob,
                                               TimePoint aDeadline,
                                               std::string aQueue = "");

  /** Returns the number of jobs of a queue without a started task; empty if an
   * owner does not answer before the deadline. */
  boost::asio::awaitable<std::optional<std::uint64_t>> PendingJobCount(
    std::string aQueue,
    TimePoint aDeadline);

private:
  /** Returns whether a record of aRecorded belongs to another queue than
   * aQueue. A queue that no longer exists may have been renamed. */
  bool IsOtherQueue(const std::string& aRecorded,
                    const std::string& aQueue) const;
  /** Returns the outcome of a submission whose id is in use, given the records
   * that have it. */
  SubmissionOutcome OutcomeOfConflict(const WorkflowSubmission& aSubmission,
                                      std::span<const StoreItem> aItems) const;
  std::vector<std::uint32_t> CandidateCellsOf(const std::string& aJob) const;
  /** Returns the least loaded candidate cell that may get the job, or nothing
   * if none may. */
  boost::asio::awaitable<std::optional<std::uint32_t>> ChooseCell(
    const WorkflowSubmission& aSubmission,
    TimePoint aDeadline);
  /** Returns whether the only cell may get the job. Its load is read at most
   * once per kLoadLifetime, unless this process has submitted much since. */
  bool KnownToHaveRoomFor(std::uint64_t aTasks);
  boost::asio::awaitable<bool> OnlyCellHasRoomFor(std::uint64_t aTasks,
                                                  TimePoint aDeadline);
  /** Returns the outcome of a submission for which no cell has room. An earlier
   * submission may have stored the job. */
  boost::asio::awaitable<SubmissionOutcome> RefuseUnlessStored(
    const WorkflowSubmission& aSubmission,
    TimePoint aDeadline);
  boost::asio::awaitable<std::optional<WorkflowReply>> QueryOwner(
    WorkflowQuery aQuery,
    TimePoint aDeadline);
  boost::asio::awaitable<std::optional<WorkflowState>>
  StateInStore(std::string aJob, TimePoint aDeadline, std::string aQueue);
  boost::asio::awaitable<SubmissionOutcome> TryStore(
    const WorkflowSubmission& aSubmission,
    std::uint32_t aCell,
    TransferTimeout aTimeout);
  boost::asio::awaitable<StoreRangeReply> GetFromStore(std::string aKey,
                                                       TimePoint aDeadline);
  boost::asio::awaitable<CancelOutcome> TryCancel(std::string aJob,
                                                  TimePoint aDeadline,
                                                  std::string aQueue);
  template<class Message>
  boost::asio::awaitable<RelayOutcome> Relay(PeerMessage aKind,
                                             Message aMessage,
                                             TimePoint aDeadline);
  Duration TimeLeft(TimePoint aDeadline) const;

  TransactionalStore& store;
  PeerClient& peers;
  NodeDirectory& nodes;
  std::vector<std::shared_ptr<CellOwnerElector>> cells;
  const StoreReachability& reachability;
  SchedulerMetrics& metrics;
  const Clock& clock;
  /** Null: jobs are not told apart by their queues. */
  const ActiveQueues* queues;
  std::mutex mutex;
  /** Load of the only cell, with what was submitted here since. */
  CellLoad onlyLoad;
  std::uint64_t submittedSince = 0;
  TimePoint onlyLoadAt;
};

/** Registers the handlers that answer peers' queries from the cells of this
 * process and store the changes that peers relay. Precondition: the server was
 * not started yet. aGateway must outlive it. */
void
RegisterWorkflowHandlers(PeerServer& aServer,
                         WorkflowGateway& aGateway,
                         std::vector<std::shared_ptr<CellOwnerElector>> aCells);

} // namespace sequoiakeel
