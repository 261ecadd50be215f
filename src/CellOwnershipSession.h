#pragma once

#include "AsyncSignal.h"
#include "CellScheduler.h"
#include "OwnerProgress.h"
#include "SchedulerMetrics.h"
#include "TransactionalStore.h"
#include "WorkerCommandClient.h"
#include "WorkflowKeys.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Reads the list of registered workers. Thread safe. */
class WorkerRegistry
{
public:
  virtual ~WorkerRegistry() = default;

  /** Returns the entries that could be decoded, or nullopt if the registry did
   * not answer. */
  virtual boost::asio::awaitable<std::optional<std::vector<WorkerDescription>>>
  List() = 0;
};

/** What an ownership session uses. The referenced objects must outlive the
 * session. */
struct OwnershipSessionDependencies
{
  boost::asio::any_io_executor strand;
  TransactionalStore& store;
  WorkerRegistry& registry;
  WorkerCommandClient& workerCommands;
  const Clock& clock;
  const WallClock& wallClock;
  SchedulerTimings bounds;
  SchedulerPolicies policies;
  SchedulerMetrics& metrics;
  /** Number of cells in the system. */
  std::uint32_t cells = 1;
  /** Returns whether a registered worker belongs to this cell. */
  std::function<bool(const WorkerDescription&)> isOwnWorker;
  /** Null if zones cannot be closed. */
  ClosedZoneSource* closedZones = nullptr;
  /** Number of tasks from which on new jobs are refused; 0: unlimited. */
  std::uint64_t maxTasks = 0;
};

/** Ownership of a cell, as it was acquired. */
struct OwnershipClaim
{
  std::uint32_t cell = 0;
  /** Revision in which the owner's key was created. It is the fencing token of
   * every command to a worker. */
  std::uint64_t fencingToken = 0;
  std::uint64_t lease = 0;
  std::chrono::milliseconds leaseTtl{ 0 };
  /** Time on the boot clock until which this owner may send commands. */
  TimePoint validUntil;
};

/**
 * One period in which this process owns a cell. A session recovers the cell's
 * state from the store and the workers, renews the store lease and the workers'
 * leases, sends the scheduler's commands to the workers and writes progress to
 * the store. It ends when the ownership is lost or released. All calls and
 * coroutines run on OwnershipSessionDependencies::strand.
 */
class CellOwnershipSession
  : public std::enable_shared_from_this<CellOwnershipSession>
{
public:
  CellOwnershipSession(OwnershipSessionDependencies aDependencies,
                       OwnershipClaim aClaim);

  /** Loads the cell's state, then manages the cell until the session ends. */
  boost::asio::awaitable<void> Run();

  /** Stops sending commands and removes the owner's key. Retries for at most
   * aTimeout while the store does not answer, then ends the session. */
  boost::asio::awaitable<void> Release(Duration aTimeout);

  /** Returns whether the cell's state is loaded and the session has not
   * ended. */
  bool Serving() const { return this->loaded && !this->ended; }

  const CellScheduler& Scheduler() const { return this->scheduler; }

  /** Returns the time since the last successful renewal of the ownership was
   * sent. */
  Duration TimeSinceRenewal() const
  {
    return this->dependencies.clock.Now() - this->renewedAt;
  }

  /** Returns for how long the work of this owner has made no progress. */
  Duration StalledFor() const
  {
    return this->ownerProgress.StalledFor(this->dependencies.clock.Now());
  }

private:
  /** Records of a job that a hand-over changes. In each item, a key without a
   * value stands for a record that does not exist. */
  struct HandOverRecords
  {
    std::uint32_t ownCell = 0;
    /** Record in this cell, in the job's own cell (the same if this is the own
     * cell) and in the target cell. */
    StoreItem here;
    StoreItem own;
    StoreItem target;
  };

  struct WorkerLoop
  {
    explicit WorkerLoop(const boost::asio::any_io_executor& aExecutor)
      : wake(aExecutor)
    {
    }
    AsyncSignal wake;
  };

  bool CanSendCommands() const;
  void End(const char* aReason);
  boost::asio::awaitable<bool> Load();
  /** Reads a range, however often pages of it fail. Returns nothing once the
   * session has ended. */
  boost::asio::awaitable<std::optional<StoreRangeReply>> ReadAll(
    std::string aPrefix,
    OwnerDuty aDuty);
  void HandleInboxItem(const StoreItem& aItem);
  /** Returns the submission in an item unless this or a newer version of it was
   * handled already. An older version may list tasks that this cell has handed
   * over since. */
  std::optional<WorkflowSubmission> NewerSubmission(const StoreItem& aItem);
  void HandleInboxSnapshot(const std::vector<StoreItem>& aItems);
  boost::asio::awaitable<void> RenewOwnership();
  boost::asio::awaitable<void> WatchInbox();
  boost::asio::awaitable<void> PollRegistry();
  boost::asio::awaitable<void> PollClosedZones();
  /** Writes the roster whenever it is stale and rosterSignal is set. */
  boost::asio::awaitable<void> KeepRoster();
  boost::asio::awaitable<void> WriteRoster();
  boost::asio::awaitable<void> WriteProgress();
  /** Waits until the write window is over, so that several ends of runs share a
   * transaction. Returns early if the end of a job is to be written or starts
   * wait for the write. */
  boost::asio::awaitable<void> AwaitWriteWindow();
  /** Writes the first of the records, as many as fit into one transaction.
   * Returns their number, or 0 if the session has ended. Precondition: there
   * is a record. */
  boost::asio::awaitable<std::size_t> WriteRecords(
    std::span<const ProgressRecord> aRecords);
  StoreTransaction TransactionFor(
    std::span<const ProgressRecord> aRecords) const;
  boost::asio::awaitable<void> ExchangeEvidence();
  boost::asio::awaitable<void> LoadEvidence(ReadFreshness aFreshness);
  boost::asio::awaitable<void> LoadCapacities(ReadFreshness aFreshness);
  /** Hands over tasks that no worker of this cell can run to another cell. */
  boost::asio::awaitable<void> WriteHandOvers();
  /** Logs at intervals that offered tasks fit in no other cell. aSmallest: the
   * processors of the smallest of them. */
  void LogOffersWithoutTarget(std::uint64_t aSmallest);
  boost::asio::awaitable<void> WriteHandOver(HandOver aHandOver,
                                             std::uint32_t aCell);
  /** Reads the records that a hand-over changes; empty if the store does not
   * answer or the job has ended. */
  boost::asio::awaitable<std::optional<HandOverRecords>> ReadHandOverRecords(
    std::string aJob,
    std::uint32_t aOwnCell,
    std::uint32_t aCell);
  StoreTransaction HandOverTransaction(const HandOver& aHandOver,
                                       const WorkflowProgress& aProgress,
                                       HandOverRecords aRecords,
                                       std::uint32_t aCell) const;
  /** Commits a hand-over until its outcome is known; empty if the session
   * ended before. */
  boost::asio::awaitable<std::optional<bool>> CommitHandOver(
    HandOver aHandOver,
    StoreTransaction aChange);
  /** Publishes the cell's capacity if it grew enough to matter to tasks that
   * wait in other cells. */
  boost::asio::awaitable<void> PublishCapacity();
  /** Removes the submissions and cancellations of jobs whose end is durable. */
  boost::asio::awaitable<void> ClearInbox();
  boost::asio::awaitable<void> RemoveExpired();
  boost::asio::awaitable<void> PlanLoop();
  boost::asio::awaitable<void> RenewWorker(std::string aWorker,
                                           std::shared_ptr<WorkerLoop> aLoop);
  /** Waits until the ends of runs that a worker reported are durable, for a
   * limited time. */
  boost::asio::awaitable<void> AwaitDurableEnds(const std::string& aWorker,
                                                WorkerLoop& aLoop);
  void StartWorkerLoops();
  boost::asio::awaitable<void> SendStart(PlannedStart aStart);
  /** Waits until a start without an answer may be repeated. Returns false if it
   * is not awaited any more. */
  boost::asio::awaitable<bool> AwaitRepeatedStart(const PlannedStart& aStart);
  boost::asio::awaitable<void> SendStop(PlannedStop aStop);
  boost::asio::awaitable<void> SendThrottle(PlannedThrottle aThrottle);
  WorkerCommandTarget Target(const std::string& aWorker,
                             const Endpoint& aEndpoint) const;
  /** Ends the session if a result shows that a worker has received commands of
   * a newer owner. Returns whether it does. */
  bool EndIfFenced(const WorkerCommandTarget& aTarget,
                   WorkerCommandResult aResult);
  /** Starts a coroutine on the strand. This object stays alive until the
   * coroutine ends. */
  template<typename Coroutine>
  void Spawn(Coroutine aCoroutine)
  {
    boost::asio::co_spawn(
      this->dependencies.strand,
      [self = this->shared_from_this(), work = std::move(aCoroutine)]() mutable
      -> boost::asio::awaitable<void> { co_await work(*self); },
      [](std::exception_ptr aError) {
        if (aError) {
          std::rethrow_exception(aError);
        }
      });
  }

  OwnershipSessionDependencies dependencies;
  OwnershipClaim claim;
  WorkflowKeys keys;
  CellScheduler scheduler;
  bool loaded = false;
  bool ended = false;
  bool releasing = false;
  /** When the last successful renewal of the ownership was sent. */
  TimePoint renewedAt;
  OwnerProgress ownerProgress;
  std::uint64_t inboxRevision = 0;
  std::uint64_t rosterRevision = 0;
  std::map<std::string, std::uint64_t> progressRevisions;
  /** Revisions of the submissions that were handled, by job. */
  std::map<std::string, std::uint64_t> jobRevisions;
  /** Capacity that other cells last published, by cell. */
  std::map<std::uint32_t, LongRunningCapacity> capacities;
  TimePoint capacitiesReadAt;
  TimePoint offersLoggedAt;
  /** Capacity of this cell as it was last published. */
  LongRunningCapacity publishedCapacity;
  /** Ended jobs whose submissions are still in the store. Their progress
   * records are kept until the submissions are removed, since a submission
   * without a record would be started as a new job. */
  std::set<std::string> jobsToClear;
  std::map<std::string, std::shared_ptr<WorkerLoop>> workerLoops;
  std::vector<WorkerDescription> lastListed;
  /** Until this time, workers that have disappeared from the registry still
   * count as listed, since their entries may have expired during an outage of
   * the store. */
  TimePoint registryGraceUntil;
  AsyncSignal planSignal;
  AsyncSignal rosterSignal;
  AsyncSignal writeSignal;
  AsyncSignal endSignal;
};

} // namespace sequoiakeel
