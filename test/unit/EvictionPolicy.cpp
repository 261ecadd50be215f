#include "EvictionPolicy.h"

#include "Error.h"
#include "EvictionCost.h"
#include "PlacementKnowledge.h"
#include "support/RandomCell.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace sequoiakeel;

namespace {

constexpr TimePoint kNow{ std::chrono::hours(10) };
constexpr EvictionLimits kLimits{ 6, 3, true };

/** A worker whose memory is nearly exhausted by four tasks of 30 GB. */
WorkerView
FullWorker()
{
  WorkerView worker = MakeWorker("full");
  for (const char* name : { "a", "b", "c", "d" }) {
    RunningTaskView& task = AddRunning(worker, name, 4, 30);
    task.startedAt = kNow - std::chrono::minutes(10);
    task.lastCheckpoint = kNow - std::chrono::seconds(20);
    task.runTime = std::chrono::hours(1);
  }
  return worker;
}

std::vector<ReliefDecision>
DecideOnce(const std::vector<WorkerView>& aWorkers,
           const std::vector<TaskView>& aWaiting = {})
{
  PlacementKnowledge knowledge;
  const auto policy = MakeEvictionPolicy("current", knowledge);
  return policy->Decide({ kNow, aWorkers, {} }, aWaiting, kLimits);
}

RunningTaskView&
Named(WorkerView& aWorker, const char* aName)
{
  return *std::ranges::find(aWorker.tasks, aName, &RunningTaskView::task);
}

} // namespace

// Guards against a misspelt policy name in the configuration that silently
// selects another policy.
TEST_CASE("an unknown policy name is refused")
{
  PlacementKnowledge knowledge;
  CHECK_THROWS_AS(MakeEvictionPolicy("best", knowledge), UserError);
}

// Guards against evicting a task where throttling a neighbour is enough.
TEST_CASE("a suffering latency-critical task gets its neighbour throttled")
{
  WorkerView worker = MakeWorker("w");
  RunningTaskView& quote = AddRunning(worker, "quote", 4, 8);
  quote.latencyCritical = true;
  quote.evictable = false;
  quote.slowdownPermille = 2500;
  AddRunning(worker, "noisy", 10, 10);
  const auto decisions = DecideOnce({ worker, MakeWorker("empty") });
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].action == ReliefAction::Throttle);
  CHECK(decisions[0].task == "noisy");
  CHECK(decisions[0].throttlePermille < 1000);
}

// Guards against evicting a task to the queue although another worker has
// capacity for it, and against losing a worker because nothing relieves its
// memory pressure.
TEST_CASE("memory pressure moves the cheapest task if another worker has room")
{
  WorkerView worker = FullWorker();
  Named(worker, "b").lastCheckpoint = kNow;
  const auto moved = DecideOnce({ worker, MakeWorker("empty") });
  REQUIRE(moved.size() == 1);
  CHECK(moved[0].action == ReliefAction::Move);
  CHECK(moved[0].task == "b");
  CHECK_FALSE(moved[0].alternatives.empty());
  const auto evicted = DecideOnce({ worker });
  REQUIRE(evicted.size() == 1);
  CHECK(evicted[0].action == ReliefAction::Evict);
}

// Guards against losing work because a task without a recent checkpoint is
// stopped when memory use rises.
TEST_CASE("rising memory takes a checkpoint before anything is stopped")
{
  WorkerView worker = FullWorker();
  worker.observed.memoryMb = 114000;
  for (RunningTaskView& task : worker.tasks) {
    task.lastCheckpoint = kNow - std::chrono::minutes(8);
  }
  const auto decisions = DecideOnce({ worker, MakeWorker("empty") });
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].action == ReliefAction::Checkpoint);
}

// Guards against evicting a long-running task late in its shift (its expected
// run time), or a task that is near its deadline, about to end or recently
// evicted.
TEST_CASE("protected tasks are not evicted")
{
  PlacementKnowledge knowledge;
  EvictionHistory history;
  const auto why = [&](const RunningTaskView& aTask, ReliefNeed aNeed) {
    return EvictionObstacle(aTask, kNow, aNeed, history, knowledge);
  };
  WorkerView worker = FullWorker();
  RunningTaskView watcher = worker.tasks[0];
  watcher.longRunning = true;
  watcher.runTime = std::chrono::hours(8);
  watcher.startedAt = kNow - std::chrono::hours(1);
  CHECK(why(watcher, ReliefNeed::Ordinary).empty());
  watcher.startedAt = kNow - std::chrono::hours(7);
  CHECK(why(watcher, ReliefNeed::Ordinary) == "late in its shift");
  CHECK(why(watcher, ReliefNeed::Emergency) == "late in its shift");
  RunningTaskView due = worker.tasks[1];
  due.progressPermille = 500;
  due.deadline = kNow + std::chrono::minutes(31);
  CHECK(why(due, ReliefNeed::Ordinary) == "near its deadline");
  due.deadline = kNow + std::chrono::minutes(60);
  CHECK(why(due, ReliefNeed::Ordinary).empty());
  due.deadline = kNow + std::chrono::minutes(10);
  CHECK(why(due, ReliefNeed::Ordinary).empty());
  RunningTaskView ending = worker.tasks[2];
  ending.progressPermille = 995;
  CHECK(why(ending, ReliefNeed::Ordinary) == "ends soon");
  history.Add(kNow - std::chrono::minutes(1), "other", "d");
  CHECK(why(worker.tasks[3], ReliefNeed::Ordinary) == "evicted recently");
}

// Guards against several evictions because of one outdated report, which still
// includes the memory of the task that was evicted first.
TEST_CASE("memory given back is taken off reports from before")
{
  PlacementKnowledge knowledge;
  const auto policy = MakeEvictionPolicy("current", knowledge);
  std::vector<WorkerView> workers{ FullWorker(), MakeWorker("empty") };
  CHECK(policy->Decide({ kNow, workers, {} }, {}, kLimits).size() == 1);
  workers[0].tasks.erase(workers[0].tasks.begin());
  workers[0].observedAge = std::chrono::seconds(8);
  const TimePoint later = kNow + std::chrono::seconds(2);
  CHECK(policy->Decide({ later, workers, {} }, {}, kLimits).empty());
}

// Guards against a policy that takes the committed amounts for current usage.
// The ledger keeps the peak usage of each task, so that the worker would appear
// overloaded for good: latency-critical tasks would no longer be protected and
// throttling would never be lifted.
TEST_CASE("a peak kept by the ledger does not end latency protection")
{
  WorkerView worker = MakeWorker("w");
  RunningTaskView& quote = AddRunning(worker, "quote", 4, 8);
  quote.latencyCritical = true;
  quote.evictable = false;
  quote.slowdownPermille = 2500;
  AddRunning(worker, "noisy", 10, 10);
  worker.committed.cpuMillis = 40000;
  const auto decisions = DecideOnce({ worker });
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].task == "noisy");
}

// Guards against throttling that alternates between being lifted and applied.
TEST_CASE("throttling is lifted only after a calm time")
{
  PlacementKnowledge knowledge;
  const auto policy = MakeEvictionPolicy("current", knowledge);
  std::vector<WorkerView> workers{ MakeWorker("w") };
  AddRunning(workers[0], "t", 4, 4).throttlePermille = 400;
  TimePoint now = kNow;
  CHECK(policy->Decide({ now, workers, {} }, {}, kLimits).empty());
  now += std::chrono::seconds(10);
  CHECK(policy->Decide({ now, workers, {} }, {}, kLimits).empty());
  now += std::chrono::seconds(15);
  const auto lifted = policy->Decide({ now, workers, {} }, {}, kLimits);
  REQUIRE(lifted.size() == 1);
  CHECK(lifted[0].throttlePermille > 400);
  now += std::chrono::seconds(1);
  CHECK(policy->Decide({ now, workers, {} }, {}, kLimits).empty());
}

// Guards against urgent tasks that wait for batch tasks to end, and against
// evicting a second task while the first is still being stopped.
TEST_CASE("urgent work displaces one task of lower priority")
{
  WorkerView worker = MakeWorker("w");
  for (int i = 0; i < 8; ++i) {
    AddRunning(worker, "t" + std::to_string(i), 4, 4).priority = 30;
  }
  worker.observed = { 10000, 32000, 0 };
  TaskView urgent = MakeTask("u", 2, 2);
  urgent.urgent = true;
  urgent.priority = 80;
  urgent.queuedSince = kNow - std::chrono::seconds(1);
  const auto decisions = DecideOnce({ worker }, { urgent });
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].action == ReliefAction::Evict);
  worker.tasks[3].evicting = true;
  CHECK(DecideOnce({ worker }, { urgent }).empty());
}
