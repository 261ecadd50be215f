#include "support/ReadyCell.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const std::string kJob = "cell-1.1";
const std::string kTask = "cell-1.1.0";

/** A cell with one task that has run for at least 20 s. */
class EvictionCell : public ReadyCell
{
public:
  explicit EvictionCell(std::uint64_t aSeed, std::int64_t aRunTimeMs = 200000)
    : ReadyCell(aSeed)
  {
    this->SubmitOne(kJob, aRunTimeMs);
    if (!this->RunUntilStarted(kTask)) {
      throw std::runtime_error("the task does not start");
    }
    this->Run(seconds(20));
  }

  bool Evict()
  {
    return this->Owner()->machine->Evict(
      { kJob, 0 }, "test", this->clock.Now());
  }

  /** Run time in the checkpoint that the last start used, in milliseconds. */
  std::int64_t Resumed()
  {
    const std::string& checkpoint = this->resumedFrom[kTask].back();
    return checkpoint.empty() ? 0 : std::stoll(checkpoint);
  }
};

} // namespace

// Guards against an eviction that loses the task's checkpoint or restarts the
// task before the evicted attempt has stopped.
TEST_CASE("an evicted task resumes from its checkpoint")
{
  EvictionCell world(1);
  CHECK(world.Evict());
  CHECK(world.RunUntilFinished(kJob));
  CHECK(world.starts[kTask] == 2);
  CHECK(world.Resumed() >= 20000);
  CHECK(world.Owner()->machine->Query(kJob).evictions == 1);
  CHECK(world.violations.empty());
}

// Guards against losing a task or its checkpoint when the owner dies during an
// eviction: before, during or after the checkpoint, and before or after the
// eviction's log records are durable.
TEST_CASE("an owner that dies at any point of an eviction loses nothing")
{
  int resumed = 0;
  for (std::uint64_t seed = 100; seed < 160; ++seed) {
    EvictionCell world(seed);
    world.AddPlanner("p2");
    CHECK(world.Evict());
    world.Run(milliseconds(50 * (seed - 100)));
    world.Kill("p1");
    CHECK(world.RunUntilFinished(kJob));
    CHECK(world.finished[kTask] == 1);
    CHECK(world.starts[kTask] <= 2);
    if (world.starts[kTask] == 2) {
      // The checkpoint is durable before the task is stopped, so it survives
      // the owner.
      CHECK(world.Resumed() >= 20000);
      ++resumed;
    }
    CHECK(world.violations.empty());
  }
  // In some runs the owner dies before the eviction is durable; in most it does
  // not.
  CHECK(resumed > 30);
}

// Guards against an eviction that never completes, or completes twice, because
// a checkpoint or stop command or its reply is lost, delayed or duplicated.
TEST_CASE("lost, late and repeated answers do not disturb an eviction")
{
  for (const WorkerVerb verb : { WorkerVerb::Checkpoint, WorkerVerb::Stop }) {
    for (const DeliveryFault fate : { DeliveryFault::LoseRequest,
                                      DeliveryFault::LoseReply,
                                      DeliveryFault::DelayRequest,
                                      DeliveryFault::DuplicateReply }) {
      for (std::uint64_t seed = 200; seed < 210; ++seed) {
        EvictionCell world(seed);
        int left = 2;
        world.workerFate = [&](const WorkerCommand& aCommand) {
          return aCommand.verb == verb && left-- > 0 ? fate
                                                     : DeliveryFault::Deliver;
        };
        CHECK(world.Evict());
        CHECK(world.RunUntilFinished(kJob));
        CHECK(world.finished[kTask] == 1);
        CHECK(world.violations.empty());
      }
    }
  }
}

// Guards against running a task again that finished on its own before the stop
// command of its eviction arrived.
TEST_CASE("a task that finishes during its eviction has finished")
{
  for (std::uint64_t seed = 300; seed < 330; ++seed) {
    EvictionCell world(seed, 20500 + 50 * static_cast<int>(seed % 30));
    world.faultPercent = 20;
    world.Evict();
    CHECK(world.RunUntilFinished(kJob));
    CHECK(world.finished[kTask] == 1);
    CHECK(world.violations.empty());
  }
}

// Guards against a task that never resumes because its newest checkpoint was
// lost with the host or could not be taken.
TEST_CASE("without a new checkpoint a task resumes from the last recorded one")
{
  EvictionCell lost(2);
  CHECK(lost.Evict());
  REQUIRE(lost.RunUntil([&] { return lost.starts[kTask] == 2; }));
  lost.Run(seconds(20));
  const std::int64_t recorded = lost.Resumed();
  lost.workers[lost.WorkerRunning(kTask)]->failCheckpoints = true;
  CHECK(lost.Evict());
  REQUIRE(lost.RunUntil([&] { return lost.starts[kTask] == 3; }));
  CHECK(lost.Resumed() == recorded);
  lost.workers[lost.WorkerRunning(kTask)]->Restart(kWorkerSize);
  CHECK(lost.RunUntilFinished(kJob));
  CHECK(lost.Resumed() == recorded);
  CHECK(lost.violations.empty());
}

// Guards against stopping a task while the store is down. The stop could not be
// recorded, so if the owner died as well, the task would never be restarted.
TEST_CASE("a store outage with a killed owner loses no evicted task")
{
  for (std::uint64_t seed = 400; seed < 420; ++seed) {
    EvictionCell world(seed);
    world.AddPlanner("p2");
    CHECK(world.Evict());
    world.Run(milliseconds(100 * (seed % 20)));
    world.store.down = true;
    world.Run(seconds(5));
    world.Kill("p1");
    world.Run(minutes(2));
    world.store.down = false;
    CHECK(world.RunUntilFinished(kJob));
    CHECK(world.finished[kTask] == 1);
    CHECK(world.violations.empty());
  }
}

// Guards against many simultaneous cancellations that leave tasks running or
// resources committed.
TEST_CASE("a wave of cancellations during evictions frees everything")
{
  ReadyCell world(3);
  world.faultPercent = 10;
  for (int job = 0; job < 40; ++job) {
    world.SubmitOne("cell-1.w" + std::to_string(job), 0, 4);
  }
  REQUIRE(world.RunUntil([&] { return world.Running() == 16; }));
  CellMachine& machine = world.Machine("p1");
  for (const TaskRef& task :
       std::set<TaskRef>(machine.Working().TasksOn("w1"))) {
    machine.Evict(task, "test", world.clock.Now());
  }
  for (int job = 0; job < 40; ++job) {
    world.Cancel(*world.planners["p1"], "cell-1.w" + std::to_string(job));
  }
  CHECK(world.RunUntil([&] { return machine.Committed().OpenJobs() == 0; }));
  CHECK(world.RunUntil([&] { return world.Running() == 0; }));
  CHECK(machine.Working().Commitments().Committed("w1") == Resources{});
  CHECK(machine.Working().Commitments().Committed("w2") == Resources{});
  CHECK(world.violations.empty());
}

// Guards against a job that is retried without limit on workers where every
// task fails, and against a job that fails because of one faulty worker.
TEST_CASE("a failed task runs again, up to a limit")
{
  ReadyCell world(4);
  world.workers["w1"]->failTasks = true;
  world.SubmitOne(kJob, 5000);
  world.Run(seconds(12));
  world.workers["w1"]->failTasks = false;
  CHECK(world.RunUntilFinished(kJob));
  world.workers["w1"]->failTasks = true;
  world.workers["w2"]->failTasks = true;
  world.SubmitOne("cell-1.2", 5000);
  CHECK(world.RunUntil([&] { return world.StateOf("cell-1.2") == "failed"; }));
  CHECK(world.starts["cell-1.2.0"] == static_cast<int>(kMaxTaskFailures));
  CHECK(world.violations.empty());
}

// Guards against a job too large for every worker that blocks other jobs, or
// that is not reconsidered when a larger worker joins.
TEST_CASE("a job that fits nowhere waits with its reason for a larger worker")
{
  ReadyCell world(5);
  world.SubmitOne("cell-1.big", 5000, 1, Resources{ 64000, 1000, 0 });
  world.SubmitOne(kJob, 5000);
  CHECK(world.RunUntilFinished(kJob));
  const JobStatus status = world.Owner()->machine->Query("cell-1.big");
  CHECK(status.state == "unplaceable");
  CHECK(status.reason == "larger than every worker");
  world.AddWorker("w3", Resources{ 64000, 125000, 0 });
  CHECK(world.RunUntilFinished("cell-1.big"));
}

// Guards against a queue that grows without bound because submissions over its
// limit are accepted.
TEST_CASE("a full queue refuses with its reason")
{
  ReadyCell world(6);
  CellLimits limits;
  limits.queuedTasks = 10;
  world.Machine("p1").SetLimits(limits);
  world.SubmitOne(kJob, 0, 10, kWorkerSize);
  const auto token = world.SubmitOne("cell-1.2", 0, 10, kWorkerSize);
  CHECK(world.planners["p1"]->replies[token].outcome == SubmitOutcome::Refused);
  CHECK(world.planners["p1"]->replies[token].reason == "queue-full");
}

// Guards against a hand-over to another planner that loses a log append,
// interrupts a task or waits until the old owner's key in the store expires.
TEST_CASE("a graceful hand-over interrupts nothing")
{
  for (std::uint64_t seed = 500; seed < 520; ++seed) {
    ReadyCell world(seed);
    world.AddPlanner("p2");
    world.SubmitOne(kJob, 60000, 10);
    world.Run(milliseconds(100 * (seed % 20)));
    world.Machine("p1").Drain();
    const TimePoint begun = world.clock.Now();
    CHECK(world.RunUntil(
      [&] { return world.Machine("p1").Phase() == CellPhase::Released; }));
    world.Kill("p1");
    REQUIRE(world.RunUntil([&] { return world.Owner() != nullptr; }));
    CHECK(world.clock.Now() - begun < seconds(6));
    CHECK(world.RunUntilFinished(kJob));
    CHECK(world.starts.size() == 10);
    for (const auto& [task, count] : world.starts) {
      CHECK(count == 1);
    }
    CHECK(world.violations.empty());
  }
}

// Guards against stopping a task before the record of its checkpoint is
// durable: if the owner died then, the work done would be lost.
TEST_CASE("while the store is down a task is checkpointed but not stopped")
{
  EvictionCell world(7);
  CHECK(world.Evict());
  REQUIRE(world.RunUntil([&] {
    const TaskRow* row = world.Machine("p1").Committed().FindTask({ kJob, 0 });
    return row->phase == TaskPhase::Evicting;
  }));
  world.store.down = true;
  world.Run(seconds(15));
  const std::string worker = world.WorkerRunning(kTask);
  REQUIRE(!worker.empty());
  CHECK(!world.workers[worker]->runs[kTask].checkpoint.empty());
  world.store.down = false;
  CHECK(world.RunUntilFinished(kJob));
  CHECK(world.Resumed() >= 20000);
}
