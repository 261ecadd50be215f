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

/** Places each waiting task on the first worker with enough free capacity and
 * evicts nothing.
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

  /** Ignores free capacity, as a faulty policy would. */
  bool ignoreCapacity = false;
  /** Starts each planning pass at the next worker, so that a further attempt of
   * a task is rarely placed on the same worker. */
  bool rotate = true;

private:
  std::size_t round = 0;
};

/** In-memory key-value service whose leases expire by the world's clock. */
class FakeCellStore
{
public:
  explicit FakeCellStore(const Clock& aClock)
    : clock(aClock)
  {
  }

  StoreReply Apply(const StoreCommand& aCommand);
  /** Renews aLease or, if it has expired, grants a new lease. Returns the id of
   * the valid lease. */
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

class CellSimulation;

/** A worker that runs tasks under leases and adds each breach of a guarantee to
 * CellSimulation::breaches. */
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

  FakeWorker(CellSimulation& aWorld, std::string aName, Resources aCapacity);

  WorkerReply Handle(const WorkerCommand& aCommand);
  /** Expires leases, stops the tasks under them and ends tasks whose run time
   * has elapsed. */
  void Progress();
  /** Removes unacknowledged completions from CellSimulation::finished, because
   * these tasks may run again. */
  void DiscardUnacknowledgedCompletions();
  /** Restarts the worker as a new incarnation without tasks and leases. */
  void Restart(Resources aCapacity);

  std::string name;
  Resources capacity;
  std::uint64_t incarnation = 1;
  bool failTasks = false;
  bool failCheckpoints = false;
  /** Memory that each task is reported to use beyond its declared resources. */
  std::int64_t extraMemoryMb = 0;
  std::map<std::string, Run> runs;
  std::map<std::string, TimePoint> leases;
  /** Send time of the latest lease grant, renewal or move that the worker
   * received. */
  TimePoint lastRenewal;

private:
  WorkerReply Status();
  WorkerReply Start(const StartTask& aStart);
  /** Restarts the worker, which is unreachable for CellSimulation::downTime. */
  void Crash();
  WorkerReply Act(const WorkerCommand& aCommand, Run& aRun);

  CellSimulation& world;
};

/** Outcome of the transmission of a request and its reply. */
enum class DeliveryFault : std::uint8_t
{
  Deliver,
  LoseRequest,
  LoseReply,
  /** The caller times out; the request takes effect 2 to 45 s after it was
   * sent. */
  DelayRequest,
  /** The reply is delivered twice. */
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
  /** Whether the planner renews its store lease. */
  bool renewsLease = true;
  /** Deliveries deferred until the planner resumes. */
  std::vector<std::function<void()>> backlog;
  std::map<std::uint64_t, SubmitReply> replies;
};

/**
 * Planners, store and workers of one cell on a manual clock. The latency and
 * fate of each message are random, determined by the seed. Each breach of
 * guarantees 1 to 3 that a worker detects is added to `breaches`.
 */
class CellSimulation
{
public:
  explicit CellSimulation(std::uint64_t aSeed,
                          std::uint32_t aPlannersExpected = 1);

  FakePlanner& AddPlanner(const std::string& aName);
  FakeWorker& AddWorker(const std::string& aName, Resources aCapacity);
  /** Ends a planner abruptly; its requests in flight still arrive. */
  void Kill(const std::string& aPlanner);
  void Pause(const std::string& aPlanner);
  void Resume(const std::string& aPlanner);

  /** Advances the clock by aTime in steps of 50 ms. */
  void Run(Duration aTime);
  /** Advances the clock until the condition holds; returns false if it does not
   * hold within aLimit. */
  bool RunUntil(const std::function<bool()>& aCondition,
                Duration aLimit = std::chrono::minutes(10));

  /** Submits a job to a planner. Returns the key of the reply in the planner's
   * `replies`. */
  std::uint64_t Submit(FakePlanner& aPlanner,
                       const std::string& aJob,
                       std::int64_t aTasks,
                       Resources aSize,
                       std::int64_t aRunTimeMs);
  std::uint64_t Cancel(FakePlanner& aPlanner, const std::string& aJob);

  /** Returns the planner that is not paused and owns the cell with a valid
   * lease; null if there is none. */
  FakePlanner* Owner();
  std::string StateOf(const std::string& aJob);
  /** Returns the number of tasks running on all workers. */
  std::size_t Running() const;
  std::size_t RunningOn(const std::string& aWorker) const;

  /** Compares each planner's ledger with the sums over its tasks; adds a breach
   * for each worker on which the ledger counts too little. */
  void CheckLedgers();

  ManualClock clock;
  std::mt19937_64 random;
  FakeCellStore store;
  std::map<std::string, std::unique_ptr<FakeWorker>> workers;
  std::map<std::string, std::unique_ptr<FakePlanner>> planners;
  /** Workers that receive no messages. */
  std::set<std::string> unreachable;
  /** Tasks that crash their worker when this time has passed since their start.
   */
  std::map<std::string, Duration> crashingTasks;
  /** Time for which a crashed worker is unreachable. */
  Duration downTime = std::chrono::seconds(2);
  int crashes = 0;
  /** Number of restarts of workers while they ran a task, by task id. */
  std::map<std::string, int> restartsUnder;
  /** Workers that receive messages but whose replies are lost. */
  std::set<std::string> repliesLost;
  /** Probability of a fate other than Deliver, in percent. */
  int faultPercent = 0;
  /** Selects the fate of worker messages; for Deliver the fate is drawn at
   * random by faultPercent. */
  std::function<DeliveryFault(const WorkerCommand&)> workerFate;
  std::function<DeliveryFault(const StoreCommand&)> storeFate;
  std::vector<std::string> violations;
  /** Number of completions by task id. */
  std::map<std::string, int> finished;
  std::map<std::string, int> starts;
  /** Checkpoint of each start, by task id; empty for a start from scratch. */
  std::map<std::string, std::vector<std::string>> resumedFrom;
  std::uint64_t messages = 0;

private:
  friend class FakeWorker;

  void Step();
  void ForgetUnknownEnds();
  void TickPlanner(FakePlanner& aPlanner);
  void SendPendingCommands(FakePlanner& aPlanner);
  void Send(FakePlanner& aPlanner, const StoreCommand& aCommand);
  void Send(FakePlanner& aPlanner, const WorkerCommand& aCommand);
  template<class Command, class Reply>
  void Transmit(FakePlanner& aPlanner,
                const Command& aCommand,
                DeliveryFault aFate,
                std::function<Reply()> aEffect,
                Reply aUnknown);
  void DeliverTo(const std::string& aPlanner,
                 const CellMachine* aMachine,
                 std::function<void(CellMachine&)> aStep);
  DeliveryFault Chance();
  Duration Delay(std::int64_t aMinMs, std::int64_t aMaxMs);
  void At(Duration aDelay, std::function<void()> aStep);

  std::uint32_t plannersExpected;
  std::multimap<TimePoint, std::function<void()>> scheduledEvents;
  std::uint64_t nextToken = 1;
  std::uint64_t processes = 0;
};

} // namespace sequoiakeel
