#pragma once

#include "CellMachine.h"
#include "support/ManualClock.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Places each waiting task on the first worker with room, and evicts nothing.
 */
class FirstFitPolicies : public CellPolicies
{
public:
  std::vector<PlacementDecision> Place(const CellView& aCell,
                                       std::span<const TaskView> aQueue,
                                       std::size_t aMaxPlacements) override;
  std::vector<ReliefDecision> Relieve(const CellView&,
                                      std::span<const TaskView>,
                                      const EvictionLimits&) override
  {
    return {};
  }
  void ObserveWorker(TimePoint, const WorkerView&) override {}
  void TaskEnded(TimePoint, const TaskEnd&) override {}
  void WorkerLost(TimePoint, const WorkerView&) override {}
  QuarantineState StateOf(TimePoint, const std::string&) override
  {
    return QuarantineState::Healthy;
  }

  /** Places without regard to room, as a faulty policy would. */
  bool ignoreRoom = false;
  /** Begins each round with another worker, so that a next attempt rarely goes
   * where the last one was. */
  bool rotate = true;

private:
  std::size_t round = 0;
};

/** Key-value service in memory with leases on the world's clock. */
class FakeCellStore
{
public:
  explicit FakeCellStore(const Clock& aClock)
    : clock(aClock)
  {
  }

  StoreReply Apply(const StoreCommand& aCommand);
  /** Renews aLease or, if it has expired, grants another one. */
  std::uint64_t RenewLease(std::uint64_t aLease);

  bool down = false;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::size_t largestValue = 0;
  std::map<std::string, StoreValue> values;

private:
  void Expire();

  const Clock& clock;
  std::map<std::string, std::uint64_t> leaseOf;
  std::map<std::uint64_t, TimePoint> leases;
  std::uint64_t revision = 0;
  std::uint64_t nextLease = 100;
};

class CellWorld;

/** A worker that runs tasks under leases and reports each breach of a guarantee
 * to the world. */
class FakeWorker
{
public:
  struct Run
  {
    StartTask start;
    TimePoint began;
    std::int64_t doneMs = 0;
    WorkerTaskState state = WorkerTaskState::Running;
    std::string checkpoint;
  };

  FakeWorker(CellWorld& aWorld, std::string aName, Resources aCapacity);

  WorkerReply Handle(const WorkerCommand& aCommand);
  /** Expires leases and ends tasks whose time is over. */
  void Progress();
  /** Forgets completions that nobody learnt of: the tasks may run again. */
  void ForgetCompletions();
  /** Starts again with nothing on it. */
  void Restart(Resources aCapacity);

  std::string name;
  Resources capacity;
  std::uint64_t incarnation = 1;
  bool failTasks = false;
  bool failCheckpoints = false;
  /** Tasks use this much more than declared, as reported. */
  std::int64_t extraMemoryMb = 0;
  std::map<std::string, Run> runs;
  std::map<std::string, TimePoint> leases;
  /** When the last grant, renewal or move that it received was sent. */
  TimePoint lastRenewal;

private:
  WorkerReply Status();
  WorkerReply Start(const StartTask& aStart);
  WorkerReply Act(const WorkerCommand& aCommand, Run& aRun);

  CellWorld& world;
};

/** What happens to a message. */
enum class Fate : std::uint8_t
{
  Deliver,
  LoseRequest,
  LoseReply,
  /** The caller gives up; the request takes effect later. */
  DelayRequest,
  /** The reply comes twice. */
  DuplicateReply,
};

/** A planner process with one cell. */
struct FakePlanner
{
  std::string name;
  FirstFitPolicies policies;
  std::unique_ptr<CellMachine> machine;
  std::uint64_t storeLease = 0;
  TimePoint nextRenewal;
  bool paused = false;
  bool candidate = true;
  bool reachesStore = true;
  /** Its lease renewals reach the store. */
  bool renewsLease = true;
  /** Replies that came while it was paused. */
  std::vector<std::function<void()>> backlog;
  std::map<std::uint64_t, SubmitReply> replies;
};

/**
 * Planners, store and workers of one cell on a manual clock. Messages take
 * random times and meet fates by a named seed. Each breach of guarantees 1 to 3
 * that a worker notices is kept in `breaches`.
 */
class CellWorld
{
public:
  explicit CellWorld(std::uint64_t aSeed, std::uint32_t aPlannersExpected = 1);

  FakePlanner& AddPlanner(const std::string& aName);
  FakeWorker& AddWorker(const std::string& aName, Resources aCapacity);
  /** Ends a planner without notice; messages on their way still arrive. */
  void Kill(const std::string& aPlanner);
  void Pause(const std::string& aPlanner);
  void Resume(const std::string& aPlanner);

  /** Lets time pass in steps of 50 ms. */
  void Run(Duration aTime);
  /** Lets time pass until the condition holds; false if it does not within
   * aLimit. */
  bool RunUntil(const std::function<bool()>& aCondition,
                Duration aLimit = std::chrono::minutes(10));

  /** Submits a job to a planner; the reply is in the planner's `replies`. */
  std::uint64_t Submit(FakePlanner& aPlanner,
                       const std::string& aJob,
                       std::int64_t aTasks,
                       Resources aSize,
                       std::int64_t aRunTimeMs);
  std::uint64_t Cancel(FakePlanner& aPlanner, const std::string& aJob);

  /** The planner that is active and can reach the store; null if none. */
  FakePlanner* Owner();
  std::string StateOf(const std::string& aJob);
  /** Tasks that run now, over all workers. */
  std::size_t Running() const;
  std::size_t RunningOn(const std::string& aWorker) const;

  /** Compares each planner's ledger with sums over its tasks. */
  void CheckLedgers();

  ManualClock clock;
  std::mt19937_64 random;
  FakeCellStore store;
  std::map<std::string, std::unique_ptr<FakeWorker>> workers;
  std::map<std::string, std::unique_ptr<FakePlanner>> planners;
  /** Workers that no message reaches, and whose replies get lost. */
  std::set<std::string> unreachable;
  std::set<std::string> repliesLost;
  /** Chance of a fate other than Deliver, in percent. */
  int faultPercent = 0;
  /** Decides the fate of chosen worker messages; Deliver leaves it to chance.
   */
  std::function<Fate(const WorkerCommand&)> workerFate;
  std::function<Fate(const StoreCommand&)> storeFate;
  std::vector<std::string> breaches;
  /** Completions by task id. */
  std::map<std::string, int> finished;
  std::map<std::string, int> starts;
  /** Checkpoints that starts resumed from, by task id. */
  std::map<std::string, std::vector<std::string>> resumedFrom;
  std::uint64_t messages = 0;

private:
  friend class FakeWorker;

  void Step();
  void ForgetUnknownEnds();
  void TickPlanner(FakePlanner& aPlanner);
  void TakeCommands(FakePlanner& aPlanner);
  void Send(FakePlanner& aPlanner, const StoreCommand& aCommand);
  void Send(FakePlanner& aPlanner, const WorkerCommand& aCommand);
  template<class Command, class Reply>
  void Transmit(FakePlanner& aPlanner,
                const Command& aCommand,
                Fate aFate,
                std::function<Reply()> aEffect,
                Reply aUnknown);
  void DeliverTo(const std::string& aPlanner,
                 const CellMachine* aMachine,
                 std::function<void(CellMachine&)> aStep);
  Fate Chance();
  Duration Delay(std::int64_t aMinMs, std::int64_t aMaxMs);
  void At(Duration aDelay, std::function<void()> aStep);

  std::uint32_t plannersExpected;
  std::multimap<TimePoint, std::function<void()>> agenda;
  std::uint64_t nextToken = 1;
  std::uint64_t processes = 0;
};

} // namespace sequoiakeel
