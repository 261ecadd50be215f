#include "PlacementPolicy.h"

#include "Error.h"
#include "PlacementKnowledge.h"
#include "support/RandomCell.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace sequoiakeel;

namespace {

constexpr TimePoint kNow{ std::chrono::hours(10) };

/** A worker with eight tasks of four cores that end one after the other. */
WorkerView
BusyWorker(const std::string& aName)
{
  WorkerView worker = MakeWorker(aName);
  for (int i = 0; i < 8; ++i) {
    RunningTaskView& task =
      AddRunning(worker, aName + "." + std::to_string(i), 4, 4);
    task.runTime = std::chrono::minutes(10);
    task.progressPermille = 100 * i;
    task.startedAt = kNow - std::chrono::minutes(1);
  }
  return worker;
}

/** A policy with its learnt knowledge, which runs single planning passes. */
struct Fixture
{
  PlacementKnowledge knowledge;
  std::unique_ptr<PlacementPolicy> policy =
    MakePlacementPolicy("current", this->knowledge, 1);

  std::vector<PlacementDecision> Plan(const std::vector<WorkerView>& aWorkers,
                                      const std::vector<TaskView>& aQueue,
                                      TimePoint aNow = kNow)
  {
    return this->policy->PlanRound({ aNow, aWorkers, {} }, aQueue, 100);
  }
};

} // namespace

// Guards against a misspelt policy name in the configuration that silently
// selects another policy.
TEST_CASE("an unknown policy name is refused")
{
  PlacementKnowledge knowledge;
  CHECK_THROWS_AS(MakePlacementPolicy("best", knowledge, 1), UserError);
}

// Guards against a reason that does not say which resource request a caller has
// to reduce.
TEST_CASE("a job that fits nowhere is named with resource and largest worker")
{
  Fixture fixture;
  const auto decisions =
    fixture.Plan({ MakeWorker("w1") }, { MakeTask("big", 4, 200) });
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].outcome == PlacementOutcome::Unplaceable);
  CHECK(decisions[0].reason.find("limiting resource memory") !=
        std::string::npos);
  CHECK(decisions[0].reason.find("largest worker w1") != std::string::npos);
}

// Guards against starvation of large tasks, where small tasks take each core as
// soon as it becomes free.
TEST_CASE("room is kept for a large task, and small ones may fill the gap")
{
  Fixture fixture;
  std::vector<WorkerView> workers{ BusyWorker("w1") };
  workers[0].tasks.pop_back();
  workers[0].committed.cpuMillis -= 4000;
  TaskView large = MakeTask("large", 16, 16);
  large.queuedSince = kNow - std::chrono::minutes(5);
  TaskView small = MakeTask("small", 4, 4);
  small.queuedSince = kNow;
  small.runTime = std::chrono::hours(2);
  small.longRunning = true;
  TaskView brief = MakeTask("brief", 4, 4);
  brief.kind = "brief";
  brief.queuedSince = kNow;
  brief.runTime = std::chrono::seconds(20);
  const auto decisions = fixture.Plan(workers, { small, brief, large });
  REQUIRE(decisions.size() == 3);
  for (const PlacementDecision& decision : decisions) {
    CAPTURE(decision.task);
    const bool placed = decision.outcome == PlacementOutcome::Placed;
    CHECK(placed == (decision.task == "brief"));
  }
  CHECK(decisions[1].block == PlacementBlock::Reserved);
}

// Guards against urgent tasks that are placed after other tasks in the queue.
TEST_CASE("urgent tasks go first and higher priorities before lower ones")
{
  Fixture fixture;
  TaskView low = MakeTask("low", 32, 10);
  TaskView high = MakeTask("high", 32, 10);
  TaskView urgent = MakeTask("urgent", 32, 10);
  low.queuedSince = high.queuedSince = urgent.queuedSince = kNow;
  high.priority = 70;
  urgent.urgent = true;
  const std::vector<TaskView> queue{ low, high, urgent };
  const std::vector<WorkerView> workers{ MakeWorker("w1") };
  const auto order = fixture.policy->Order({ kNow, workers, {} }, queue);
  CHECK(order == std::vector<std::size_t>{ 2, 1, 0 });
}

// Guards against batch tasks that occupy every core, so that a burst of urgent
// tasks finds no free capacity.
TEST_CASE("room for the last burst of urgent tasks is kept")
{
  Fixture fixture;
  std::vector<WorkerView> workers;
  for (int i = 0; i < 8; ++i) {
    workers.push_back(MakeWorker("w" + std::to_string(i)));
  }
  TaskView urgent = MakeTask("u", 8, 8);
  urgent.urgent = true;
  urgent.queuedSince = kNow;
  CHECK(fixture.Plan(workers, { urgent })[0].outcome ==
        PlacementOutcome::Placed);
  std::vector<TaskView> batch;
  for (int i = 0; i < 40; ++i) {
    batch.push_back(MakeTask("b" + std::to_string(i), 8, 8));
    batch.back().queuedSince = kNow;
  }
  const auto decisions =
    fixture.Plan(workers, batch, kNow + std::chrono::seconds(1));
  const auto placed = std::ranges::count(
    decisions, PlacementOutcome::Placed, &PlacementDecision::outcome);
  CHECK(placed == 31);
  CHECK(decisions.back().reason == "room is kept for urgent tasks");
}

// Guards against starting a task that will be evicted soon because tasks of its
// kind exceed their declared memory, and against never placing such a task.
TEST_CASE("a task known to exceed its memory is held for a limited time")
{
  Fixture fixture;
  const Resources declared{ 4000, 20000, 0 };
  for (int i = 0; i < 100; ++i) {
    fixture.knowledge.sizes.LearnUsage(
      "thermal", declared, { 4000, 60000, 0 }, std::chrono::minutes(5));
  }
  std::vector<WorkerView> workers{ MakeWorker("w1") };
  AddRunning(workers[0], "a", 4, 70).startedAt = kNow - std::chrono::hours(1);
  TaskView task = MakeTask("t", 4, 20);
  task.queuedSince = kNow;
  CHECK(fixture.Plan(workers, { task })[0].block == PlacementBlock::Avoided);
  const TimePoint later = kNow + std::chrono::minutes(11);
  CHECK(fixture.Plan(workers, { task }, later)[0].outcome ==
        PlacementOutcome::Placed);
}

// Guards against placing all latency-critical tasks of a job in one rack, where
// the failure of one switch would disconnect all of them.
TEST_CASE("latency-critical tasks of a job are spread over racks")
{
  Fixture fixture;
  std::vector<WorkerView> workers;
  for (int i = 0; i < 6; ++i) {
    workers.push_back(
      MakeWorker("w" + std::to_string(i), "r" + std::to_string(i / 2)));
  }
  std::vector<TaskView> queue;
  for (int i = 0; i < 3; ++i) {
    TaskView task = MakeTask("q" + std::to_string(i), 4, 8);
    task.job = "quotes";
    task.latencyCritical = true;
    queue.push_back(task);
  }
  std::set<std::string> racks;
  for (const PlacementDecision& decision : fixture.Plan(workers, queue)) {
    racks.insert(
      std::ranges::find(workers, decision.worker, &WorkerView::name)->rack);
  }
  CHECK(racks.size() == 3);
}

// Guards against a job whose tasks crash their workers and that runs on many
// workers at the same time.
TEST_CASE("a job suspected of killing workers runs one task at a time")
{
  Fixture fixture;
  std::vector<WorkerView> workers;
  for (int i = 0; i < 20; ++i) {
    workers.push_back(
      MakeWorker("w" + std::to_string(i), "r" + std::to_string(i)));
  }
  fixture.knowledge.quarantine.SetFleetSize(20);
  for (int i = 0; i < 2; ++i) {
    WorkerView lost = workers[static_cast<std::size_t>(i)];
    AddRunning(lost, "k", 1, 1).job = "killer";
    fixture.knowledge.WorkerLost(kNow + std::chrono::minutes(5 * i), lost);
  }
  const TimePoint later = kNow + std::chrono::minutes(20);
  fixture.knowledge.StateOf(later, "w0");
  std::vector<TaskView> queue;
  for (int i = 0; i < 3; ++i) {
    queue.push_back(MakeTask("t" + std::to_string(i), 1, 1));
    queue.back().job = "killer";
  }
  const auto decisions = fixture.Plan(workers, queue, later);
  CHECK(std::ranges::count(
          decisions, PlacementBlock::Avoided, &PlacementDecision::block) == 2);
}
