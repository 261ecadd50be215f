#pragma once

#include "AsyncSignal.h"
#include "CellScheduler.h"
#include "SchedulerMetrics.h"
#include "TaskRunner.h"
#include "TransactionalStore.h"
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
#include <string>
#include <vector>

namespace sequoiakeel {

/** Lists the workers that are registered. Thread safe. */
class WorkerRegistry
{
public:
  virtual ~WorkerRegistry() = default;

  /** Returns the valid entries, or nothing if the registry did not answer. */
  virtual boost::asio::awaitable<std::optional<std::vector<WorkerDescription>>>
  List() = 0;
};

/** What a tenure works with; everything outlives it. */
struct TenureParts
{
  boost::asio::any_io_executor strand;
  TransactionalStore& store;
  WorkerRegistry& registry;
  TaskRunner& runner;
  const Clock& clock;
  const WallClock& wallClock;
  SchedulerBounds bounds;
  SchedulerPolicies policies;
  SchedulerMetrics& metrics;
  /** Number of cells. */
  std::uint32_t cells = 1;
  /** Tells which registered workers belong to the cell. */
  std::function<bool(const WorkerDescription&)> isOwnWorker;
};

/** Ownership of a cell as it was won. */
struct OwnershipClaim
{
  std::uint32_t cell = 0;
  /** Revision in which the owner's key was created; the fencing token of every
   * order. */
  std::uint64_t fencingToken = 0;
  std::uint64_t lease = 0;
  std::chrono::milliseconds leaseTtl{ 0 };
  /** Until when the lease is valid by the boot clock. */
  TimePoint validUntil;
};

/**
 * The time in which this process owns a cell: it recovers the cell's state from
 * the store and the workers, renews the store lease and the workers' leases,
 * carries out the scheduler's orders and writes progress. It ends when the
 * ownership is lost or released. All calls and coroutines run on
 * TenureParts::strand.
 */
class CellTenure : public std::enable_shared_from_this<CellTenure>
{
public:
  CellTenure(TenureParts aParts, OwnershipClaim aClaim);

  /** Recovers and works until the tenure ends. */
  boost::asio::awaitable<void> Run();

  /** Writes what is to be written and gives the ownership up. */
  boost::asio::awaitable<void> Release(Duration aTimeout);

  /** Tells whether the cell's state is loaded and ownership was not lost. */
  bool Serving() const { return this->loaded && !this->ended; }

  const CellScheduler& Scheduler() const { return this->scheduler; }

  /** Returns the time since the store last renewed the ownership. */
  Duration StoreSilence() const
  {
    return this->parts.clock.Now() - this->renewedAt;
  }

private:
  struct WorkerLoop
  {
    explicit WorkerLoop(const boost::asio::any_io_executor& aExecutor)
      : wake(aExecutor)
    {
    }
    AsyncSignal wake;
  };

  bool MayOrder() const;
  void End(const char* aReason);
  boost::asio::awaitable<bool> Load();
  boost::asio::awaitable<std::optional<StoreRangeReply>> ReadAll(
    std::string aPrefix);
  void TakeInboxItem(const StoreItem& aItem);
  void TakeWholeInbox(const std::vector<StoreItem>& aItems);
  boost::asio::awaitable<void> RenewOwnership();
  boost::asio::awaitable<void> WatchInbox();
  boost::asio::awaitable<void> FollowRegistry();
  boost::asio::awaitable<void> WriteRoster();
  boost::asio::awaitable<void> WriteProgress();
  /** Waits for more ends to write together. */
  boost::asio::awaitable<void> GatherProgress();
  boost::asio::awaitable<bool> WriteRecords(
    const std::vector<ProgressRecord>& aRecords);
  StoreTransaction TransactionFor(
    const std::vector<ProgressRecord>& aRecords) const;
  boost::asio::awaitable<void> ExchangeEvidence();
  boost::asio::awaitable<void> TakeEvidence(ReadFreshness aFreshness);
  boost::asio::awaitable<void> TakeRooms();
  /** Hands tasks that no worker here can take over to another cell. */
  boost::asio::awaitable<void> WriteHandOvers();
  boost::asio::awaitable<void> WriteHandOver(HandOver aHandOver,
                                             std::uint32_t aCell);
  /** Returns the other cell that may have the job, if it has room. */
  std::optional<std::uint32_t> CellWithRoom(const HandOver& aHandOver) const;
  /** Removes submissions and cancellations of jobs whose end is durable. */
  boost::asio::awaitable<void> ClearInbox();
  boost::asio::awaitable<void> RemoveExpired();
  boost::asio::awaitable<void> PlanLoop();
  boost::asio::awaitable<void> RenewWorker(std::string aWorker,
                                           std::shared_ptr<WorkerLoop> aLoop);
  /** Waits until the ends that a worker listed are durable. */
  boost::asio::awaitable<void> AwaitAcknowledgement(const std::string& aWorker,
                                                    WorkerLoop& aLoop);
  void StartWorkerLoops();
  boost::asio::awaitable<void> SendStart(PlannedStart aStart);
  boost::asio::awaitable<void> SendStop(PlannedStop aStop);
  boost::asio::awaitable<void> SendThrottle(PlannedThrottle aThrottle);
  OrderTarget Target(const std::string& aWorker,
                     const Endpoint& aEndpoint) const;
  /** Runs a coroutine of this object, which stays alive until it ends. */
  template<typename Coroutine>
  void Spawn(Coroutine aCoroutine)
  {
    boost::asio::co_spawn(
      this->parts.strand,
      [self = this->shared_from_this(), work = std::move(aCoroutine)]() mutable
      -> boost::asio::awaitable<void> { co_await work(*self); },
      [](std::exception_ptr aError) {
        if (aError) {
          std::rethrow_exception(aError);
        }
      });
  }

  TenureParts parts;
  OwnershipClaim claim;
  WorkflowKeys keys;
  CellScheduler scheduler;
  bool loaded = false;
  bool ended = false;
  bool releasing = false;
  /** When the last successful renewal was sent. */
  TimePoint renewedAt;
  std::uint64_t inboxRevision = 0;
  std::uint64_t rosterRevision = 0;
  std::map<std::string, std::uint64_t> progressRevisions;
  /** What other cells had room for when they last told, by cell. */
  std::map<std::uint32_t, CellRoom> rooms;
  /** Ended jobs whose submissions still stand in the store. Without its record,
   * such a job would be taken for a new one. */
  std::set<std::string> toClear;
  std::map<std::string, std::shared_ptr<WorkerLoop>> workerLoops;
  std::vector<WorkerDescription> lastListed;
  /** Until then workers that vanished from the registry count as listed, since
   * their entries may have lapsed while the store was away. */
  TimePoint registryGraceUntil;
  AsyncSignal planSignal;
  AsyncSignal writeSignal;
  AsyncSignal endSignal;
};

} // namespace sequoiakeel
