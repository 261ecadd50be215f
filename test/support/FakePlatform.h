#pragma once

#include "BootClock.h"
#include "CellOwnershipSession.h"
#include "TransactionalStore.h"
#include "WorkerCommandClient.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sequoiakeel {

/** An in-memory store with transactions, leases and watches. Thread safe. */
class FakeTransactionalStore : public TransactionalStore
{
public:
  explicit FakeTransactionalStore(boost::asio::any_io_executor aExecutor);

  boost::asio::awaitable<StoreRangeReply> Get(
    std::string aKey,
    TransferTimeout aTimeout) override;
  boost::asio::awaitable<StorePage> ReadPage(std::string aPrefix,
                                             std::string aAfter,
                                             ReadFreshness aFreshness,
                                             TransferTimeout aTimeout) override;
  boost::asio::awaitable<StoreWatchReply> Watch(std::string aPrefix,
                                                std::uint64_t aAfter,
                                                Duration aWait) override;
  boost::asio::awaitable<StoreTransactionReply> Commit(
    StoreTransaction aTransaction,
    TransferTimeout aTimeout) override;
  boost::asio::awaitable<StoreLeaseReply> GrantLease(
    std::chrono::milliseconds aTtl,
    TransferTimeout aTimeout) override;
  boost::asio::awaitable<StoreLeaseReply> RenewLease(
    std::uint64_t aLease,
    TransferTimeout aTimeout) override;
  boost::asio::awaitable<StoreLeaseReply> EndLease(
    std::uint64_t aLease,
    TransferTimeout aTimeout) override;

  /** Makes the next aCount commits that write a key with a prefix return
   * StoreResult::Unknown after they were applied. */
  void LoseAnswers(int aCount, const std::string& aPrefix = "");

  /** Makes every call return StoreResult::Unavailable while set. */
  void SetDown(bool aDown);

  /** While set, watches of a prefix that begins with aPrefix return no events.
   * Resetting it compacts the whole
   * history. */
  void SetWatchesBlocked(bool aBlocked, const std::string& aPrefix = "");

  /** Limits the items of a page of a range. If aFailing is not 0, every
   * aFailing-th read of a page fails. */
  void SetPages(std::size_t aItems, int aFailing = 0);

  /** Removes a key without ending its lease, as an operator can. */
  void Remove(const std::string& aKey);

  /** Returns the number of reads of pages. */
  int PagesRead();

  /** Returns the number of transactions that were attempted. */
  int Commits();

  /** Returns the number of keys with a prefix. */
  std::size_t Count(const std::string& aPrefix);

private:
  struct Change
  {
    std::uint64_t revision;
    StoreItem item;
  };

  void ExpireLeases();
  void Put(const StorePut& aPut);
  void Delete(const std::string& aKey);
  bool Holds(const StoreExpectation& aExpectation) const;

  boost::asio::any_io_executor executor;
  std::mutex mutex;
  BootClock clock;
  std::map<std::string, StoreItem> items;
  std::vector<Change> history;
  std::map<std::uint64_t, std::pair<std::chrono::milliseconds, TimePoint>>
    leases;
  std::uint64_t revision = 1;
  std::uint64_t nextLease = 1;
  int answersToLose = 0;
  std::string answersToLosePrefix;
  int commits = 0;
  std::size_t pageItems = SIZE_MAX;
  int failingPage = 0;
  int pagesRead = 0;
  bool down = false;
  bool watchesBlocked = false;
  std::string blockedPrefix;
  /** Revision up to which the history was compacted. */
  std::uint64_t compacted = 0;
};

/** In-memory workers, which also serve as the worker registry. Each task runs
 * until a test ends it or the scheduler stops it. Thread safe. */
class FakeWorkers
  : public WorkerCommandClient
  , public WorkerRegistry
{
public:
  FakeWorkers(boost::asio::any_io_executor aExecutor,
              std::vector<std::string> aIds);

  boost::asio::awaitable<std::optional<std::vector<WorkerDescription>>> List()
    override;
  boost::asio::awaitable<WorkerCommandReply> Start(WorkerCommandTarget aTarget,
                                                   StartCommand aCommand,
                                                   Duration aTimeout) override;
  boost::asio::awaitable<WorkerCommandReply> Stop(WorkerCommandTarget aTarget,
                                                  std::string aTask,
                                                  std::uint64_t aRun,
                                                  Duration aTimeout) override;
  boost::asio::awaitable<WorkerCommandReply> Throttle(
    WorkerCommandTarget aTarget,
    std::string aTask,
    std::uint64_t aRun,
    int aPercent,
    Duration aTimeout) override;
  boost::asio::awaitable<RenewReply> Renew(WorkerCommandTarget aTarget,
                                           std::uint64_t aUntilWorkerMs,
                                           EndsAcknowledgement aEnds,
                                           Duration aWait,
                                           Duration aTimeout) override;

  /** Ends all runs of all workers as done. */
  void FinishAll();

  /** Lists a worker as draining from now on. */
  void Drain(const std::string& aWorker);

  /** Loses the answers to the next aCount start commands, which are carried
   * out. */
  void LoseStartAnswers(int aCount);

  /** Makes a worker crash for good: its runs end and it answers no call. */
  void Crash(const std::string& aWorker);

  /** Makes a worker start again under its id at the next start command that it
   * receives, which it does not carry out. It answers no call until that
   * command is repeated, and carries out the repeated one, whose run ends as
   * done at once. The registry shows the new incarnation after its first
   * report. */
  void RestartAtNextStart(const std::string& aWorker);

  /** Ends all runs of a worker without a record of their ends. */
  void LoseRuns(const std::string& aWorker);

  /** Returns the number of times that a task was started. */
  int StartsOf(const std::string& aTask);

  /** Returns the number of runs in progress. */
  std::size_t Running();

  /** Returns whether a task was ever started while it was running, or again
   * after its end as done was acknowledged. */
  bool RanTwice();

private:
  struct Worker
  {
    bool crashed = false;
    bool restartAtNextStart = false;
    /** The worker has started again and received no start command since. */
    bool awaitsStart = false;
    std::uint64_t incarnation = 1;
    /** Incarnation that the registry shows. */
    std::uint64_t listedIncarnation = 1;
    std::uint64_t token = 0;
    std::map<std::string, std::uint64_t> running;
    std::map<std::string, std::uint64_t> highestEnded;
    std::vector<EndedRun> ended;
    std::uint64_t nextEnd = 1;
    bool draining = false;
  };

  std::uint64_t NowMs() const;
  /** Returns the answer to a renewal, or nothing while the worker does not
   * answer it yet. */
  std::optional<RenewReply> TryRenew(const WorkerCommandTarget& aTarget,
                                     EndsAcknowledgement aEnds,
                                     bool aWaitIsOver);
  static void FinishRuns(Worker& aWorker);

  boost::asio::any_io_executor executor;
  std::mutex mutex;
  BootClock clock;
  std::map<std::string, Worker> workers;
  std::map<std::string, int> starts;
  std::set<std::string> doneTasks;
  int answersToLose = 0;
  bool ranTwice = false;
};

} // namespace sequoiakeel
