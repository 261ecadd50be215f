#include "CellScheduler.h"

#include "support/SchedulerHarness.h"

#include <doctest/doctest.h>
#include <map>

using namespace sequoiakeel;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** What lies in the store: the roster and the progress of each job. */
struct StoredState
{
  WorkerRoster roster;
  std::map<std::string, WorkflowProgress> progress;
};

/** Writes all progress and the roster of an owner. */
void
Write(SchedulerHarness& aOwner, StoredState& aStore)
{
  const ProgressBatch batch = aOwner.scheduler.TakeProgress();
  for (const ProgressRecord& record : batch.records) {
    aStore.progress[record.progress.id] = record.progress;
    aOwner.scheduler.ProgressWritten(record);
  }
  aOwner.scheduler.BatchWritten(batch.change);
  aStore.roster = aOwner.scheduler.RosterToWrite();
  aOwner.scheduler.RosterWritten(aStore.roster);
}

void
List(SchedulerHarness& aOwner, const std::vector<std::string>& aWorkers)
{
  std::vector<WorkerDescription> listed;
  for (const std::string& id : aWorkers) {
    listed.push_back(SchedulerHarness::Worker(id));
  }
  aOwner.scheduler.UpdateWorkers(listed);
}

/** Returns a service whose tasks each need more than half of a worker. */
WorkflowSubmission
Service(const SchedulerHarness& aOwner,
        const std::string& aId,
        std::uint32_t aTasks = 1)
{
  WorkflowSubmission job = aOwner.Job(aId, aTasks);
  job.steps[0].cpuMilli = 20000;
  job.steps[0].longRunning = true;
  return job;
}

/** Returns the workers on which a service's tasks run, by index of the task. */
std::map<std::uint32_t, std::string>
WorkersOf(const std::vector<PlannedStart>& aStarts)
{
  std::map<std::uint32_t, std::string> workers;
  for (const PlannedStart& start : aStarts) {
    workers[ParseTaskName(start.command.task)->index] = start.worker;
  }
  return workers;
}

/** Plans and writes progress to aStore until no start is held. */
std::vector<PlannedStart>
PlanAndWrite(SchedulerHarness& aOwner, StoredState& aStore)
{
  std::vector<PlannedStart> starts = aOwner.scheduler.Plan().starts;
  Write(aOwner, aStore);
  for (PlannedStart& start : aOwner.scheduler.Plan().starts) {
    starts.push_back(std::move(start));
  }
  return starts;
}

std::string
TaskOf(std::uint32_t aIndex)
{
  return FormatTaskName({ "s", 0, 0, aIndex });
}

/** An owner that ran a service of two tasks, each on one of three workers, and
 * left its state in the store. */
struct EarlierOwner
{
  EarlierOwner()
  {
    this->owner.AddWorkers({ "w1", "w2", "w3" });
    this->owner.scheduler.Accept(Service(this->owner, "s", 2));
    Write(this->owner, this->store);
    this->starts = PlanAndWrite(this->owner, this->store);
    REQUIRE(this->starts.size() == 2);
    this->workers = WorkersOf(this->starts);
    for (const char* const id : { "w1", "w2", "w3" }) {
      if (id != this->workers[0] && id != this->workers[1]) {
        this->idle = id;
      }
    }
  }

  SchedulerHarness owner;
  StoredState store;
  std::vector<PlannedStart> starts;
  /** Worker of each task, and the worker without a task. */
  std::map<std::uint32_t, std::string> workers;
  std::string idle;
};

/** Loads the state in the store into a new owner. */
void
TakeOver(SchedulerHarness& aOwner,
         StoredState& aStore,
         const std::vector<WorkflowSubmission>& aJobs)
{
  for (const WorkflowSubmission& job : aJobs) {
    aOwner.scheduler.Restore(job, aStore.progress[job.id]);
  }
  aOwner.scheduler.SetRoster(aStore.roster);
  List(aOwner, { "w1", "w2", "w3" });
}

} // namespace

// Guards against a task that waits for all workers after a takeover although
// its own worker has reported that it does not run there.
TEST_CASE("a lost task restarts while another worker is silent at a takeover")
{
  EarlierOwner before;
  SchedulerHarness next;
  TakeOver(next, before.store, { Service(next, "s", 2) });
  // The worker of task 1 is silent, that of task 0 has lost the task.
  next.Report(before.workers[0], 1, {}, {});
  next.Report(before.idle, 1, {}, {});
  CHECK(!next.scheduler.Recovered());
  const auto starts = next.PlanAndConfirm();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].command.task == TaskOf(0));
  CHECK(starts[0].command.run == 2);
}

// Guards against an interrupted task, which runs nowhere, that waits for all
// workers after a takeover.
TEST_CASE("an interrupted task restarts while a worker is silent at a takeover")
{
  EarlierOwner before;
  before.owner.Report(
    before.workers[0], 1, {}, { { 1, TaskOf(0), 1, RunEnd::Failed, "" } });
  Write(before.owner, before.store);
  SchedulerHarness next;
  TakeOver(next, before.store, { Service(next, "s", 2) });
  // The worker on which the task ran last need not report.
  next.Report(before.idle, 1, {}, {});
  const auto starts = next.PlanAndConfirm();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].command.task == TaskOf(0));
  CHECK(starts[0].command.run == 2);
}

// Guards against a second run of a task on a worker that is silent at a
// takeover and may still run it.
TEST_CASE("a task of a worker that is silent at a takeover waits for its lease")
{
  EarlierOwner before;
  SchedulerHarness next;
  TakeOver(next, before.store, { Service(next, "s", 2) });
  const auto reportOthers = [&] {
    next.Report(before.workers[0], 1, { { TaskOf(0), 1, "", 100, 0 } }, {});
    next.Report(before.idle, 1, {}, {});
    next.scheduler.NoteLease(before.workers[0], next.WorkerMs() + 5000);
    next.scheduler.NoteLease(before.idle, next.WorkerMs() + 5000);
  };
  for (int i = 0; i < 7; ++i) {
    reportOthers();
    CHECK(next.PlanAndConfirm().empty());
    next.clock.Advance(seconds(1));
  }
  // Also a third owner waits for the worker.
  StoredState& store = before.store;
  Write(next, store);
  SchedulerHarness third;
  TakeOver(third, store, { Service(third, "s", 2) });
  third.Report(before.idle, 1, {}, {});
  CHECK(third.PlanAndConfirm().empty());

  next.clock.Advance(seconds(1));
  reportOthers();
  const auto starts = next.PlanAndConfirm();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].command.task == TaskOf(1));
}

// Guards against a second run that a new owner starts because it does not know
// of a start that its predecessor sent.
TEST_CASE("a long-running start is not sent before its assignment is durable")
{
  SchedulerHarness owner;
  StoredState store;
  owner.AddWorkers({ "w1", "w2" });
  Write(owner, store);
  owner.scheduler.Accept(Service(owner, "s"));
  CHECK(owner.scheduler.Plan().starts.empty());
  owner.clock.Advance(milliseconds(300));
  CHECK(owner.scheduler.Plan().starts.empty());
  // The batch is taken but its write fails, since the owner was replaced.
  const ProgressBatch batch = owner.scheduler.TakeProgress();
  CHECK(owner.scheduler.Plan().starts.empty());

  SchedulerHarness next;
  TakeOver(next, store, { Service(next, "s") });
  next.Report("w2", 1, {}, {});
  CHECK(next.PlanAndConfirm().size() == 1);
  CHECK(owner.scheduler.Plan().starts.empty());
  // The record names the worker to which the start is then sent.
  REQUIRE(batch.records.size() == 1);
  owner.scheduler.BatchWritten(batch.change);
  const auto starts = owner.scheduler.Plan().starts;
  REQUIRE(starts.size() == 1);
  REQUIRE(batch.records[0].progress.assignments.size() == 1);
  CHECK(batch.records[0].progress.assignments[0].worker == starts[0].worker);
  CHECK(batch.records[0].progress.assignments[0].run == starts[0].command.run);
}

// Guards against a start that outlives its validity or the worker's lease while
// it is held.
TEST_CASE("a held start is valid from the time at which it is sent")
{
  SchedulerHarness owner;
  owner.AddWorkers({ "w1" });
  owner.scheduler.Accept(Service(owner, "s"));
  CHECK(owner.scheduler.Plan().starts.empty());
  for (int i = 0; i < 20; ++i) {
    owner.clock.Advance(milliseconds(200));
    owner.Report("w1", 1, {}, {});
    CHECK(owner.scheduler.Plan().starts.empty());
  }
  owner.WriteProgress();
  const auto starts = owner.scheduler.Plan().starts;
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].command.run == 1);
  CHECK(starts[0].command.validUntilWorkerMs > owner.WorkerMs() + 1000);
}

// Guards against a start that is sent to a worker that was replaced, drains or
// fell silent while the start was held, and against waiting for that worker as
// if the start were in flight.
TEST_CASE("a held start is planned again if its worker takes no starts")
{
  for (const char* const change : { "incarnation", "drain", "silence" }) {
    CAPTURE(change);
    SchedulerHarness owner;
    owner.AddWorkers({ "w1", "w2" });
    owner.scheduler.Accept(Service(owner, "s"));
    CHECK(owner.scheduler.Plan().starts.empty());
    const bool onFirst =
      !owner.scheduler.FindWorker("w1")->Commitments().empty();
    const std::string chosen = onFirst ? "w1" : "w2";
    const std::string other = onFirst ? "w2" : "w1";
    std::vector<WorkerDescription> listed{ SchedulerHarness::Worker(chosen),
                                           SchedulerHarness::Worker(other) };
    if (change == std::string("incarnation")) {
      listed[0].incarnation = 2;
    } else if (change == std::string("drain")) {
      listed[0].draining = true;
    } else {
      owner.scheduler.HandleUnresponsive(chosen);
    }
    owner.scheduler.UpdateWorkers(listed);
    owner.WriteProgress();
    const PlannedCommands orders = owner.scheduler.Plan();
    CHECK(orders.starts.empty());
    CHECK(orders.stops.empty());
    CHECK(owner.scheduler.FindWorker(chosen)->Commitments().empty());
    owner.WriteProgress();
    const auto starts = owner.scheduler.Plan().starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].worker == other);
  }
}

// Guards against the start of a job that was cancelled while the start was
// held, and against capacity that stays committed for it.
TEST_CASE("a cancelled job's held start is not sent")
{
  SchedulerHarness owner;
  owner.AddWorkers({ "w1" });
  owner.scheduler.Accept(Service(owner, "s"));
  CHECK(owner.scheduler.Plan().starts.empty());
  CHECK(owner.scheduler.Cancel("s"));
  owner.WriteProgress();
  const PlannedCommands orders = owner.scheduler.Plan();
  CHECK(orders.starts.empty());
  CHECK(orders.stops.empty());
  CHECK(owner.scheduler.FindWorker("w1")->Committed().cpuMilli == 0);
}

// Guards against a gang of which some members are started although the worker
// of another one was lost while the starts were held.
TEST_CASE("held starts of a gang are sent together or not at all")
{
  SchedulerHarness owner;
  owner.AddWorkers({ "w1", "w2" });
  WorkflowSubmission gang = Service(owner, "s", 2);
  gang.steps[0].gang = true;
  owner.scheduler.Accept(gang);
  CHECK(owner.scheduler.Plan().starts.empty());
  owner.scheduler.HandleUnresponsive("w2");
  owner.WriteProgress();
  CHECK(owner.scheduler.Plan().starts.empty());
  CHECK(owner.scheduler.FindWorker("w1")->Commitments().empty());
  owner.Report("w2", 1, {}, {});
  CHECK(owner.PlanAndConfirm().size() == 2);
}

// Guards against a second run after an upgrade: data of earlier builds does not
// tell on which worker a task may be running.
TEST_CASE("without recorded assignments a takeover waits for every worker")
{
  EarlierOwner before;
  StoredState old = before.store;
  old.roster.assignmentsRecorded = false;
  old.progress.clear();
  SchedulerHarness next;
  TakeOver(next, old, { Service(next, "s", 2) });
  const auto running = [](std::uint32_t aTask) {
    return std::vector<RunningRun>{ { TaskOf(aTask), 1, "", 100, 0 } };
  };
  next.Report(before.workers[0], 1, running(0), {});
  next.Report(before.idle, 1, {}, {});
  CHECK(next.PlanAndConfirm().empty());
  Write(next, old);
  CHECK(!old.roster.assignmentsRecorded);
  // Once all workers have reported and the runs found are recorded, the next
  // owner waits only for the worker of each task.
  next.Report(before.workers[1], 1, running(1), {});
  CHECK(next.scheduler.Recovered());
  CHECK(!next.scheduler.RosterToWrite().assignmentsRecorded);
  Write(next, old);
  CHECK(old.roster.assignmentsRecorded);
  REQUIRE(old.progress["s"].assignments.size() == 2);
  CHECK(old.progress["s"].assignments[1].worker == before.workers[1]);
}

// Guards against a job that was accepted after a takeover and takes the last
// free piece, so that an interrupted task finds none when its worker is given
// up.
TEST_CASE(
  "a new job does not take capacity of a task that waits for its worker")
{
  EarlierOwner before;
  SchedulerHarness next;
  TakeOver(next, before.store, { Service(next, "s", 2) });
  next.scheduler.Accept(Service(next, "t"));
  const auto report = [&] {
    next.Report(before.workers[0], 1, { { TaskOf(0), 1, "", 100, 0 } }, {});
    next.Report(before.idle, 1, {}, {});
    next.scheduler.NoteLease(before.workers[0], next.WorkerMs() + 5000);
    next.scheduler.NoteLease(before.idle, next.WorkerMs() + 5000);
  };
  for (int i = 0; i < 20; ++i) {
    report();
    CHECK(next.PlanAndConfirm().empty());
    next.clock.Advance(milliseconds(390));
  }
  next.clock.Advance(milliseconds(390));
  report();
  const auto starts = next.PlanAndConfirm();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].command.task == TaskOf(1));
}

// Guards against a takeover that waits for a worker named by a record although
// a previous owner learned that the task no longer runs there.
TEST_CASE("the record of a task follows when its worker reports it missing")
{
  EarlierOwner before;
  SchedulerHarness next;
  TakeOver(next, before.store, { Service(next, "s", 2) });
  // No other worker takes starts, so the task stays pending.
  next.Report(before.workers[0], 1, {}, {});
  next.scheduler.HandleUnresponsive(before.workers[0]);
  CHECK(next.PlanAndConfirm().empty());
  Write(next, before.store);
  REQUIRE(before.store.progress["s"].assignments.size() == 2);
  CHECK(before.store.progress["s"].assignments[0].worker.empty());
  CHECK(before.store.progress["s"].assignments[0].run == 1);
  CHECK(before.store.progress["s"].assignments[1].worker == before.workers[1]);
}

// Guards against the same by a task that never ran, of a job whose other tasks
// ran.
TEST_CASE("a task that never ran does not take capacity of one that ran")
{
  EarlierOwner before;
  SchedulerHarness next;
  TakeOver(next, before.store, { Service(next, "s", 3) });
  const auto report = [&] {
    next.Report(before.workers[0], 1, { { TaskOf(0), 1, "", 100, 0 } }, {});
    next.Report(before.idle, 1, {}, {});
    next.scheduler.NoteLease(before.workers[0], next.WorkerMs() + 5000);
    next.scheduler.NoteLease(before.idle, next.WorkerMs() + 5000);
  };
  for (int i = 0; i < 20; ++i) {
    report();
    CHECK(next.PlanAndConfirm().empty());
    next.clock.Advance(milliseconds(390));
  }
  next.clock.Advance(milliseconds(390));
  report();
  const auto starts = next.PlanAndConfirm();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].command.task == TaskOf(1));
}

// Guards against the same by a task whose first start was rejected.
TEST_CASE("a rejected first start gives no claim to reserved capacity")
{
  EarlierOwner before;
  SchedulerHarness next;
  TakeOver(next, before.store, { Service(next, "s", 2) });
  List(next, { "w1", "w2", "w3", "w4" });
  next.scheduler.RosterWritten(next.scheduler.RosterToWrite());
  std::set<std::string> free{ before.idle, "w4" };
  const auto report = [&] {
    next.Report(before.workers[0], 1, { { TaskOf(0), 1, "", 100, 0 } }, {});
    next.scheduler.NoteLease(before.workers[0], next.WorkerMs() + 5000);
    for (const std::string& id : free) {
      next.Report(id, 1, {}, {});
      next.scheduler.NoteLease(id, next.WorkerMs() + 5000);
    }
  };
  report();
  next.scheduler.Accept(Service(next, "t"));
  next.clock.Advance(milliseconds(600));
  report();
  const auto rejected = next.PlanStarts();
  REQUIRE(rejected.size() == 1);
  REQUIRE(rejected[0].command.task == "t.0.0.0");
  next.scheduler.HandleStart(
    rejected[0].worker,
    "t.0.0.0",
    1,
    WorkerCommandReply{ WorkerCommandResult::Refused, next.WorkerMs() },
    false);
  next.scheduler.HandleUnresponsive(rejected[0].worker);
  free.erase(rejected[0].worker);
  for (int i = 0; i < 16; ++i) {
    next.clock.Advance(milliseconds(390));
    report();
    CHECK(next.PlanAndConfirm().empty());
  }
}
