#include "support/SchedulerHarness.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

WorkflowSubmission
LongRunning(SchedulerHarness& aHarness,
            const std::string& aId,
            std::uint32_t aCpuMilli)
{
  WorkflowSubmission job = aHarness.Job(aId);
  job.steps[0].longRunning = true;
  job.steps[0].cpuMilli = aCpuMilli;
  return job;
}

RunningRun
Row(const std::string& aTask, std::uint64_t aRun, int aPercent)
{
  return RunningRun{ aTask, aRun, "", aPercent, 0 };
}

} // namespace

// Guards against a wait that begins anew with each start that a worker rejects,
// so that short tasks never give way to the interrupted task.
TEST_CASE("rejected starts do not postpone preemption for a task")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w1" });
  WorkflowSubmission busy = harness.Job("busy");
  busy.steps[0].cpuMilli = 30000;
  busy.steps[0].estimateMs = 100000;
  harness.scheduler.Accept(busy);
  REQUIRE(harness.PlanAndConfirm().size() == 1);
  harness.scheduler.UpdateWorkers(std::vector{
    SchedulerHarness::Worker("w1"), SchedulerHarness::Worker("w2") });
  harness.scheduler.RosterWritten(harness.scheduler.RosterToWrite());
  harness.Report("w2", 1, {}, {});
  harness.scheduler.Accept(LongRunning(harness, "service", 20000));
  REQUIRE(harness.PlanAndConfirm().size() == 1);
  harness.Report(
    "w2", 1, {}, { EndedRun{ 1, "service.0.0.0", 1, RunEnd::Failed, "" } });
  bool preempted = false;
  for (int i = 0; i < 40 && !preempted; ++i) {
    harness.clock.Advance(milliseconds(100));
    harness.Report("w1", 1, { Row("busy.0.0.0", 1, 1) }, {});
    harness.Report("w2", 1, {}, {});
    PlannedCommands commands = harness.scheduler.Plan();
    if (commands.stops.empty() && harness.scheduler.HasHeldStarts()) {
      harness.WriteProgress();
      commands = harness.scheduler.Plan();
    }
    for (const PlannedStart& start : commands.starts) {
      harness.scheduler.HandleStart(
        start.worker,
        start.command.task,
        start.command.run,
        WorkerCommandReply{ WorkerCommandResult::Refused, harness.WorkerMs() },
        false);
    }
    preempted = !commands.stops.empty();
  }
  CHECK(preempted);
}

// Guards against capacity that stays unused since it is reserved for a larger
// task that cannot start.
TEST_CASE("a task that fits is started on capacity that stays reserved")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w1" });
  WorkflowSubmission gang = harness.Job("gang");
  gang.steps[0].gang = true;
  gang.steps[0].cpuMilli = 16000;
  gang.steps[0].estimateMs = 100000;
  harness.scheduler.Accept(gang);
  REQUIRE(harness.PlanAndConfirm().size() == 1);
  harness.scheduler.UpdateWorkers(std::vector{
    SchedulerHarness::Worker("w1"), SchedulerHarness::Worker("w2") });
  harness.scheduler.RosterWritten(harness.scheduler.RosterToWrite());
  harness.Report("w2", 1, {}, {});
  harness.scheduler.Accept(LongRunning(harness, "large", 20000));
  REQUIRE(harness.PlanAndConfirm().size() == 1);
  harness.clock.Advance(milliseconds(10));
  harness.scheduler.Accept(LongRunning(harness, "small", 6000));
  const std::vector<PlannedStart> second = harness.PlanAndConfirm();
  REQUIRE(second.size() == 1);
  REQUIRE(second[0].worker == "w2");
  harness.clock.Advance(milliseconds(100));
  harness.Report(
    "w2", 1, { Row("large.0.0.0", 1, 100), Row("small.0.0.0", 1, 100) }, {});
  WorkerDescription gone = SchedulerHarness::Worker("w2", 2);
  gone.draining = true;
  harness.scheduler.UpdateWorkers(
    std::vector{ SchedulerHarness::Worker("w1"), gone });
  std::vector<std::string> started;
  for (int i = 0; i < 50; ++i) {
    harness.clock.Advance(milliseconds(100));
    std::vector<RunningRun> running{ Row("gang.0.0.0", 1, 1) };
    for (const std::string& task : started) {
      running.push_back(Row(task, 2, 100));
    }
    harness.Report("w1", 1, running, {});
    for (const PlannedStart& start : harness.PlanAndConfirm()) {
      started.push_back(start.command.task);
    }
  }
  CHECK(started == std::vector<std::string>{ "small.0.0.0" });
}

// Guards against an interrupted task that is not placed on reserved capacity
// since another task of its step, which never ran, may not use it.
TEST_CASE("a task that never ran does not hold back an interrupted one")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w1", "w2", "w3" });
  const auto start = [&](const WorkflowSubmission& aJob) {
    harness.scheduler.Accept(aJob);
    const std::vector<PlannedStart> starts = harness.PlanAndConfirm();
    REQUIRE(starts.size() == 1);
    harness.clock.Advance(milliseconds(10));
    return starts[0].worker;
  };
  const auto gang = [&](const std::string& aId, std::uint32_t aCpuMilli) {
    WorkflowSubmission job = harness.Job(aId);
    job.steps[0].gang = true;
    job.steps[0].cpuMilli = aCpuMilli;
    job.steps[0].estimateMs = 100000;
    return job;
  };
  const std::string full = start(gang("gang1", 25000));
  const std::string half = start(gang("gang2", 16000));
  const std::string other = start(LongRunning(harness, "large", 20000));
  WorkflowSubmission part = LongRunning(harness, "part", 7000);
  part.steps[0].count = 2;
  part.partial = true;
  part.part = { TaskRun{ 0, 1, 1, 0, {} } };
  REQUIRE(start(part) == full);
  std::vector<WorkerDescription> listed;
  for (const std::string& id : { half, full, other }) {
    listed.push_back(SchedulerHarness::Worker(id));
  }
  const auto interrupt =
    [&](std::size_t aWorker, const std::string& aTask, std::uint64_t aRun) {
      listed[aWorker].draining = true;
      harness.scheduler.UpdateWorkers(listed);
      harness.Report(listed[aWorker].id,
                     1,
                     {},
                     { EndedRun{ 1, aTask, aRun, RunEnd::Stopped, "" } });
    };
  std::vector<std::string> started;
  const auto wait = [&](int aTenths) {
    for (int i = 0; i < aTenths; ++i) {
      harness.clock.Advance(milliseconds(100));
      std::vector<RunningRun> running{ Row("gang2.0.0.0", 1, 1) };
      for (const std::string& task : started) {
        running.push_back(Row(task, 3, 100));
      }
      harness.Report(half, 1, running, {});
      for (const PlannedStart& planned : harness.PlanAndConfirm()) {
        started.push_back(planned.command.task);
      }
    }
  };
  interrupt(2, "large.0.0.0", 1);
  wait(1);
  part.part.push_back(TaskRun{ 0, 0, 0, 0, {} });
  harness.scheduler.Accept(part);
  wait(10);
  REQUIRE(started.empty());
  interrupt(1, "part.0.0.1", 2);
  wait(40);
  CHECK(started == std::vector<std::string>{ "part.0.0.1" });
}

// Guards against a second run of a task whose start was carried out by a new
// incarnation of the worker that the scheduler did not know yet.
TEST_CASE("a start that a new incarnation may have confirmed is stopped first")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w1" });
  harness.scheduler.Accept(LongRunning(harness, "service", 6000));
  harness.clock.Advance(milliseconds(100));
  REQUIRE(harness.PlanAndConfirm().size() == 1);
  harness.scheduler.UpdateWorkers(std::vector{
    SchedulerHarness::Worker("w1", 2), SchedulerHarness::Worker("w2") });
  harness.scheduler.RosterWritten(harness.scheduler.RosterToWrite());
  harness.Report("w2", 1, {}, {});
  const PlannedCommands commands = harness.scheduler.Plan();
  CHECK(commands.starts.empty());
  REQUIRE(commands.stops.size() == 1);
  CHECK(commands.stops[0].worker == "w1");
}

// Guards against an exception that ends the process: a worker reports an
// earlier run of a task that waits to be started.
TEST_CASE("an earlier run of a pending task is kept")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w1", "w2" });
  harness.scheduler.Accept(LongRunning(harness, "service", 6000));
  const std::vector<PlannedStart> first = harness.PlanAndConfirm();
  REQUIRE(first.size() == 1);
  const std::string silent = first[0].worker;
  const std::string other = silent == "w1" ? "w2" : "w1";
  harness.Report(silent, 1, { Row("service.0.0.0", 1, 100) }, {});
  harness.scheduler.HandleUnresponsive(silent);
  harness.clock.Advance(seconds(9));
  harness.Report(other, 1, {}, {});
  const std::vector<PlannedStart> second = harness.PlanAndConfirm();
  REQUIRE(second.size() == 1);
  REQUIRE(second[0].worker == other);
  harness.clock.Advance(milliseconds(100));
  harness.Report(
    other, 1, {}, { EndedRun{ 1, "service.0.0.0", 2, RunEnd::Failed, "" } });
  harness.Report(silent, 1, { Row("service.0.0.0", 1, 100) }, {});
  harness.scheduler.NoteLease(silent, harness.scheduler.LeaseUntil(silent));
  harness.scheduler.RosterWritten(harness.scheduler.RosterToWrite());
  PlannedCommands commands;
  CHECK_NOTHROW(commands = harness.scheduler.Plan());
  CHECK(commands.starts.empty());
  CHECK(commands.stops.empty());
}

// Guards against a worker that gets no starts for seconds after it is back,
// since its first report waits for the end of a run.
TEST_CASE("a restarted or unresponsive worker is asked to report at once")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w1", "w2" });
  CHECK_FALSE(harness.scheduler.FindWorker("w1")->NeedsReportNow());
  harness.scheduler.UpdateWorkers(std::vector{
    SchedulerHarness::Worker("w1", 2), SchedulerHarness::Worker("w2") });
  CHECK(harness.scheduler.FindWorker("w1")->NeedsReportNow());
  harness.scheduler.HandleUnresponsive("w2");
  CHECK(harness.scheduler.FindWorker("w2")->NeedsReportNow());
}

// Guards against tasks that move to a cell whose only free worker is
// quarantined and wait there, while another cell could run them.
TEST_CASE("a quarantined worker is not published as free capacity")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w1" });
  REQUIRE(harness.scheduler.CapacityForLongRunning().groups.size() == 1);
  std::uint64_t sequence = 0;
  for (const char* const id : { "j1", "j2", "j3" }) {
    harness.scheduler.Accept(harness.Job(id));
    const std::vector<PlannedStart> starts = harness.PlanAndConfirm();
    REQUIRE(starts.size() == 1);
    harness.Report(
      "w1",
      1,
      {},
      { EndedRun{
        ++sequence, starts[0].command.task, 1, RunEnd::Failed, "" } });
    harness.scheduler.Cancel(id);
  }
  CHECK(harness.scheduler.CapacityForLongRunning().groups.empty());
  // The quarantine lasts a minute.
  harness.clock.Advance(seconds(61));
  harness.Report("w1", 1, {}, {});
  CHECK(harness.scheduler.CapacityForLongRunning().groups.size() == 1);
}

// Guards against a wait that begins anew with each failed hand-over, so that
// the task never reaches the time after which it may use a quarantined worker.
TEST_CASE("failed hand-overs do not renew the wait of a task")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w1" });
  std::uint64_t sequence = 0;
  for (const char* const id : { "j1", "j2", "j3" }) {
    harness.scheduler.Accept(harness.Job(id));
    const std::vector<PlannedStart> starts = harness.PlanAndConfirm();
    REQUIRE(starts.size() == 1);
    harness.Report(
      "w1",
      1,
      {},
      { EndedRun{
        ++sequence, starts[0].command.task, 1, RunEnd::Failed, "" } });
    harness.scheduler.Cancel(id);
  }
  harness.scheduler.UpdateWorkers(std::vector{
    SchedulerHarness::Worker("w1"), SchedulerHarness::Worker("w2") });
  harness.scheduler.RosterWritten(harness.scheduler.RosterToWrite());
  harness.Report("w2", 1, {}, {});
  harness.scheduler.Accept(LongRunning(harness, "full", 20000));
  const std::vector<PlannedStart> first = harness.PlanAndConfirm();
  REQUIRE(first.size() == 1);
  REQUIRE(first[0].worker == "w2");
  harness.scheduler.Accept(LongRunning(harness, "service", 20000));
  int attempts = 0;
  TimePoint lastAttempt;
  std::vector<PlannedStart> started;
  for (int i = 0; i < 27 && started.empty(); ++i) {
    harness.clock.Advance(milliseconds(100));
    harness.Report("w1", 1, {}, {});
    harness.Report("w2", 1, { Row("full.0.0.0", 1, 100) }, {});
    started = harness.PlanAndConfirm();
    for (const HandOver& offer : harness.scheduler.HandOvers()) {
      // Attempts that follow one another at once would burden the store.
      CHECK(harness.clock.Now() - lastAttempt >= seconds(1));
      lastAttempt = harness.clock.Now();
      ++attempts;
      REQUIRE(harness.scheduler.BeginHandOver(offer));
      harness.scheduler.CancelHandOver(offer);
    }
  }
  CHECK(attempts == 2);
  REQUIRE(started.size() == 1);
  CHECK(started[0].worker == "w1");
}

// Guards against a task that waits for copies of its start command although all
// were answered, when its worker restarts after the start and then is silent.
TEST_CASE("a confirmed start on a lost worker ends with the longest lease")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w1" });
  harness.scheduler.Accept(LongRunning(harness, "service", 6000));
  harness.clock.Advance(milliseconds(100));
  REQUIRE(harness.PlanAndConfirm().size() == 1);
  harness.scheduler.UpdateWorkers(std::vector{
    SchedulerHarness::Worker("w1", 2), SchedulerHarness::Worker("w2") });
  harness.scheduler.RosterWritten(harness.scheduler.RosterToWrite());
  harness.scheduler.HandleUnresponsive("w1");
  Duration waited{};
  std::vector<PlannedStart> starts;
  while (starts.empty() && waited < seconds(20)) {
    harness.clock.Advance(milliseconds(100));
    waited += milliseconds(102);
    harness.Report("w2", 1, {}, {});
    starts = harness.PlanAndConfirm();
  }
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].worker == "w2");
  CHECK(waited > harness.bounds.workerLease);
  CHECK(waited < harness.bounds.workerLease + milliseconds(2500));
}

// Guards against a task of another cell that is handed over to capacity that a
// task of a draining worker is about to use.
TEST_CASE("capacity reserved for a task of a draining worker is not published")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w1" });
  harness.scheduler.Accept(LongRunning(harness, "service", 20000));
  REQUIRE(harness.PlanAndConfirm().size() == 1);
  WorkerDescription leaving = SchedulerHarness::Worker("w1");
  leaving.draining = true;
  harness.scheduler.UpdateWorkers(
    std::vector{ leaving, SchedulerHarness::Worker("w2") });
  harness.scheduler.RosterWritten(harness.scheduler.RosterToWrite());
  harness.Report("w2", 1, {}, {});
  REQUIRE(harness.scheduler.Plan().stops.size() == 1);
  const LongRunningCapacity capacity =
    harness.scheduler.CapacityForLongRunning();
  REQUIRE(capacity.groups.size() == 1);
  REQUIRE(capacity.groups[0].pieces.size() == 1);
  CHECK(capacity.groups[0].pieces[0].cpuMilli == 12000);
}

// Guards against a wait that begins anew in each cell, so that a task that
// moves never reaches the time after which short tasks give way to it.
TEST_CASE("a task that came from another cell keeps its wait")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w1" });
  WorkflowSubmission busy = harness.Job("busy");
  busy.steps[0].cpuMilli = 30000;
  busy.steps[0].estimateMs = 100000;
  harness.scheduler.Accept(busy);
  REQUIRE(harness.PlanAndConfirm().size() == 1);
  WorkflowSubmission part = LongRunning(harness, "service", 20000);
  part.partial = true;
  part.part = { TaskRun{ 0, 0, 3, 0, {} } };
  part.part[0].waitedMs = 1200;
  harness.scheduler.Accept(part);
  harness.Report("w1", 1, { Row("busy.0.0.0", 1, 1) }, {});
  CHECK(harness.scheduler.Plan().stops.empty());
  harness.clock.Advance(milliseconds(400));
  harness.Report("w1", 1, { Row("busy.0.0.0", 1, 1) }, {});
  CHECK(harness.scheduler.Plan().stops.size() == 1);
}

// Guards against a wait that is lost when the task is handed over.
TEST_CASE("a task is offered to other cells with its wait")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w1" });
  harness.scheduler.Accept(LongRunning(harness, "service", 40000));
  harness.Report("w1", 1, {}, {});
  harness.clock.Advance(milliseconds(1100));
  harness.scheduler.Plan();
  const std::vector<HandOver> offers = harness.scheduler.HandOvers();
  REQUIRE(offers.size() == 1);
  CHECK(offers[0].tasks[0].waitedMs >= 1100);
}

// Guards against a second run of a task when the end of an earlier run is
// reported late by the worker on which the task runs again.
TEST_CASE("the end of an earlier run does not unassign the current one")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w1" });
  harness.scheduler.Accept(LongRunning(harness, "service", 6000));
  REQUIRE(harness.PlanAndConfirm().size() == 1);
  harness.clock.Advance(milliseconds(100));
  harness.Report("w1", 1, {}, {});
  const std::vector<PlannedStart> second = harness.PlanAndConfirm();
  REQUIRE(second.size() == 1);
  REQUIRE(second[0].command.run == 2);
  harness.scheduler.UpdateWorkers(std::vector{
    SchedulerHarness::Worker("w1"), SchedulerHarness::Worker("w2") });
  harness.scheduler.RosterWritten(harness.scheduler.RosterToWrite());
  harness.Report("w2", 1, {}, {});
  harness.Report("w1",
                 1,
                 { Row("service.0.0.0", 2, 100) },
                 { EndedRun{ 1, "service.0.0.0", 1, RunEnd::Failed, "" } });
  harness.scheduler.HandleWrongWorker("w1");
  CHECK(harness.PlanStarts().empty());
}
