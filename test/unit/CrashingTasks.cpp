/**
 * Guards against tasks that crash their workers and are started without limit,
 * and against jobs that are shown as failed because they ran beside one.
 */
#include "support/CrashingCell.h"

using namespace sequoiakeel;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Rebirth kRebirths[] = { Rebirth::NewId, Rebirth::SameId };

/** Returns the runs under which a crash counts against the only task of the
 * only job. */
std::vector<std::uint64_t>
SuspectedRunsOf(SchedulerHarness& aHarness)
{
  const ProgressBatch batch = aHarness.scheduler.TakeProgress();
  for (const ProgressRecord& record : batch.records) {
    for (const TaskCrashes& crashes : record.progress.crashes) {
      return crashes.runs;
    }
  }
  return {};
}

} // namespace

// Guards against BUDGET, and against failing the jobs that ran beside the task.
TEST_CASE("a task that crashes its workers at once is given up, no other is")
{
  for (const Rebirth rebirth : kRebirths) {
    CAPTURE(static_cast<int>(rebirth));
    CrashingCell cell(6, rebirth);
    cell.Submit("service", 4, milliseconds(500), true);
    SubmitCrashing(cell, "bad");
    const auto jobs =
      SimulateWithShortJobs(cell, seconds(40), milliseconds(150));
    cell.Simulate(seconds(20));
    CHECK(cell.StateOf("bad") == WorkflowState::Failed);
    CHECK(cell.Starts(TaskOf("bad")) >= 2);
    CHECK(cell.Starts(TaskOf("bad")) <= 3);
    CheckAllCompleted(cell, jobs);
    CHECK(cell.StateOf("service") == WorkflowState::Running);
    CHECK(cell.secondRuns.empty());
  }
}

// Guards against BUDGET for a task that crashes its worker after two seconds.
TEST_CASE("a task that crashes its workers late is given up, no other is")
{
  for (const Rebirth rebirth : kRebirths) {
    CAPTURE(static_cast<int>(rebirth));
    CrashingCell cell(6, rebirth);
    cell.Submit("service", 4, milliseconds(500), true);
    cell.CrashAfter(TaskOf("bad"), seconds(2));
    cell.Submit("bad", 1, seconds(5));
    const auto jobs =
      SimulateWithShortJobs(cell, seconds(60), milliseconds(150));
    cell.Simulate(seconds(30));
    CHECK(cell.StateOf("bad") == WorkflowState::Failed);
    CHECK(cell.Starts(TaskOf("bad")) <= kMaxStarts);
    CheckAllCompleted(cell, jobs);
    CHECK(cell.StateOf("service") == WorkflowState::Running);
    CHECK(cell.secondRuns.empty());
  }
}

// Guards against BUDGET for tasks that crash several workers at the same time.
TEST_CASE("tasks that crash many workers at the same time are given up")
{
  for (const Rebirth rebirth : kRebirths) {
    CAPTURE(static_cast<int>(rebirth));
    CrashingCell cell(12, rebirth);
    constexpr int kBad = 6;
    for (int i = 0; i < kBad; ++i) {
      SubmitCrashing(cell, "bad" + std::to_string(i));
    }
    cell.Simulate(seconds(90));
    for (int i = 0; i < kBad; ++i) {
      const std::string id = "bad" + std::to_string(i);
      CAPTURE(id);
      CHECK(cell.StateOf(id) == WorkflowState::Failed);
      CHECK(cell.Starts(TaskOf(id)) <= kMaxStarts);
    }
  }
}

// Guards against a state that a restart of the system would revert.
TEST_CASE("a job that is given up is shown as failed once that is durable")
{
  CrashingCell cell(4);
  SubmitCrashing(cell, "bad");
  REQUIRE(cell.SimulateUntil(seconds(30),
                             [&] { return cell.StoredCrashes("bad") == 1; }));
  cell.writes = false;
  cell.Simulate(seconds(40));
  const int starts = cell.Starts(TaskOf("bad"));
  CHECK(starts <= 3);
  CHECK(cell.Owner().HasFinalProgress());
  CHECK(cell.StateOf("bad") == WorkflowState::Running);
  cell.writes = true;
  cell.Simulate(milliseconds(100));
  CHECK(cell.StateOf("bad") == WorkflowState::Failed);
  CHECK(cell.Starts(TaskOf("bad")) == starts);
}

// Guards against taking a worker that was cut off for a crashed one.
TEST_CASE("a silent worker that returns in its incarnation counts no crash")
{
  for (const milliseconds silence : { seconds(3), seconds(12) }) {
    CAPTURE(silence.count());
    CrashingCell cell(2);
    cell.Submit("service", 2, milliseconds(500), true);
    cell.Submit("job", 2, seconds(4));
    cell.Simulate(milliseconds(100));
    cell.Silence(0, silence);
    cell.Simulate(seconds(30));
    CHECK(cell.counted.empty());
    CHECK(cell.StateOf("job") == WorkflowState::Completed);
  }
}

// Guards against taking a planned end of a worker for a crash.
TEST_CASE("a worker that drains and is replaced counts no crash")
{
  for (const int kind : { 0, 1, 2 }) {
    CAPTURE(kind);
    const Rebirth rebirth = kind == 0 ? Rebirth::NewId : Rebirth::SameId;
    const bool listedFirst = kind == 2;
    CrashingCell cell(2, rebirth);
    cell.Submit("job", 4, seconds(6));
    cell.Simulate(milliseconds(100));
    cell.Drain(0);
    cell.Simulate(seconds(2));
    cell.Crash(0, seconds(3));
    if (listedFirst) {
      cell.Silence(0, seconds(6));
    }
    cell.Simulate(seconds(30));
    CHECK(cell.counted.empty());
    CHECK(cell.StateOf("job") == WorkflowState::Completed);
  }
}

// Guards against taking a planned end for a crash that the owner could not see
// since it was cut off from the worker.
TEST_CASE("a silent worker that drains and is replaced counts no crash")
{
  for (const Rebirth rebirth : kRebirths) {
    CAPTURE(static_cast<int>(rebirth));
    CrashingCell cell(2, rebirth);
    cell.Submit("job", 4, seconds(6));
    cell.Simulate(milliseconds(100));
    cell.Silence(0, seconds(20));
    cell.Simulate(seconds(1));
    cell.Drain(0);
    cell.Simulate(seconds(2));
    cell.Crash(0, seconds(3));
    cell.Simulate(seconds(40));
    CHECK(cell.counted.empty());
    CHECK(cell.StateOf("job") == WorkflowState::Completed);
  }
}

// Guards against taking a worker for a crashed one that never returns.
TEST_CASE("a worker that is gone for good counts no crash")
{
  CrashingCell cell(3);
  cell.Submit("job", 6, seconds(6));
  cell.Simulate(milliseconds(100));
  cell.Crash(0, std::nullopt);
  cell.Simulate(seconds(60));
  CHECK(cell.counted.empty());
  CHECK(cell.StateOf("job") == WorkflowState::Completed);
}

// Guards against an owner's death that makes the count of crashes start anew.
TEST_CASE("crashes in the written progress count for the next owners")
{
  for (const Rebirth rebirth : kRebirths) {
    CAPTURE(static_cast<int>(rebirth));
    CrashingCell cell(4, rebirth);
    SubmitCrashing(cell, "bad");
    std::size_t counted = 0;
    cell.SimulateUntil(seconds(150), [&] {
      if (cell.StoredCrashes("bad") > counted) {
        counted = cell.StoredCrashes("bad");
        cell.TakeOver();
      }
      return cell.StateOf("bad") == WorkflowState::Failed;
    });
    CHECK(cell.StateOf("bad") == WorkflowState::Failed);
    CHECK(cell.Starts(TaskOf("bad")) <= 3);
  }
}

// Guards against forgetting a crash that was not confirmed when its owner died.
TEST_CASE("a loss that only the roster names is counted by the next owner")
{
  for (const Rebirth rebirth : kRebirths) {
    CAPTURE(static_cast<int>(rebirth));
    CrashingCell cell(4, rebirth);
    SubmitCrashing(cell, "bad");
    REQUIRE(cell.SimulateUntil(
      seconds(5), [&] { return cell.Starts(TaskOf("bad")) == 1; }));
    cell.Simulate(milliseconds(50));
    REQUIRE(cell.Owner().RosterIsStale());
    cell.WriteRoster();
    REQUIRE(cell.StoredCrashes("bad") == 0);
    cell.TakeOver();
    CHECK(cell.SimulateUntil(seconds(8),
                             [&] { return cell.StoredCrashes("bad") == 1; }));
    cell.Simulate(seconds(60));
    CHECK(cell.StateOf("bad") == WorkflowState::Failed);
    CHECK(cell.Starts(TaskOf("bad")) <= 3);
  }
}

// Guards against BUDGET when the owner dies after each crash.
TEST_CASE("crashes count although the owner dies after each one")
{
  for (const Rebirth rebirth : kRebirths) {
    CAPTURE(static_cast<int>(rebirth));
    CrashingCell cell(4, rebirth);
    SubmitCrashing(cell, "bad");
    int starts = 0;
    cell.SimulateUntil(seconds(300), [&] {
      if (cell.Starts(TaskOf("bad")) > starts) {
        starts = cell.Starts(TaskOf("bad"));
        cell.Simulate(milliseconds(50));
        cell.WriteRoster();
        cell.TakeOver();
      }
      return cell.StateOf("bad") == WorkflowState::Failed;
    });
    CHECK(cell.StateOf("bad") == WorkflowState::Failed);
    CHECK(cell.Starts(TaskOf("bad")) <= kMaxStarts);
  }
}

// Guards against failing a job for one crash that two records name.
TEST_CASE("a crash in both progress and roster is counted once")
{
  for (const Rebirth rebirth : kRebirths) {
    CAPTURE(static_cast<int>(rebirth));
    CrashingCell cell(4, rebirth);
    SubmitCrashing(cell, "bad");
    REQUIRE(cell.SimulateUntil(
      seconds(5), [&] { return cell.Starts(TaskOf("bad")) == 1; }));
    cell.Simulate(milliseconds(50));
    const WorkerRoster before = cell.Owner().RosterToWrite();
    REQUIRE(cell.SimulateUntil(seconds(20),
                               [&] { return cell.StoredCrashes("bad") == 1; }));
    cell.TakeOver(before);
    cell.Simulate(seconds(2));
    CHECK(cell.StoredCrashes("bad") == 1);
    CHECK(cell.StateOf("bad") == WorkflowState::Running);
  }
}

// Guards against a crash that has several suspects although one was known.
TEST_CASE("a suspected task is started apart from other recent starts")
{
  for (const bool longRunning : { false, true }) {
    CAPTURE(longRunning);
    CrashingCell cell(6);
    cell.Submit("service", 6, milliseconds(500), true);
    SubmitCrashing(cell, "bad", milliseconds(300), longRunning);
    SimulateWithShortJobs(cell, seconds(30), milliseconds(300));
    const std::string bad = TaskOf("bad");
    CHECK(cell.Starts(bad) >= 2);
    int seen = 0;
    for (std::size_t i = 0; i < cell.starts.size(); ++i) {
      const StartSeen& start = cell.starts[i];
      if (start.task != bad || seen++ == 0) {
        continue;
      }
      CHECK(start.youngestBeside >= milliseconds(480));
      for (std::size_t j = i + 1; j < cell.starts.size(); ++j) {
        const StartSeen& later = cell.starts[j];
        const bool beside = later.machine == start.machine &&
                            later.at - start.at < milliseconds(300);
        CHECK_MESSAGE(!beside, later.task);
      }
    }
  }
}

// Guards against LOST: a task that lasts runs again within six seconds if a
// worker has room, also if every worker has recent starts.
TEST_CASE("a suspected long-running task does not wait longer than 6 s")
{
  CrashingCell cell(4, Rebirth::SameId);
  cell.Submit("service", 1, milliseconds(500), true);
  SimulateWithShortJobs(
    cell, seconds(2), milliseconds(100), milliseconds(300), 8);
  const auto machine = cell.MachineOf(TaskOf("service"));
  REQUIRE(machine);
  cell.Crash(*machine, seconds(1));
  const TimePoint lost = cell.Now();
  SimulateWithShortJobs(
    cell, seconds(7), milliseconds(100), milliseconds(300), 8);
  REQUIRE(cell.Starts(TaskOf("service")) == 2);
  const auto last = std::find_if(
    cell.starts.rbegin(), cell.starts.rend(), [](const StartSeen& aStart) {
      return aStart.task == TaskOf("service");
    });
  CHECK(last->at - lost <= milliseconds(6050));
}

// Guards against blaming tasks for a failure that has nothing to do with them.
TEST_CASE("the loss of a rack or of many workers at once blames nobody")
{
  const std::vector<std::vector<int>> groups{ { 0, 1, 2, 3 },
                                              { 0, 1, 4, 5, 8, 9 } };
  for (const Rebirth rebirth : kRebirths) {
    for (const std::vector<int>& group : groups) {
      CAPTURE(static_cast<int>(rebirth));
      CAPTURE(group.size());
      CrashingCell cell(12, rebirth);
      cell.Submit("service", 24, milliseconds(500), true);
      cell.Simulate(seconds(2));
      auto jobs = SimulateWithShortJobs(
        cell, seconds(1), milliseconds(50), seconds(1), 4);
      for (const int machine : group) {
        cell.Crash(machine, milliseconds(2000 + 400 * machine));
      }
      const auto more =
        SimulateWithShortJobs(cell, seconds(15), milliseconds(200));
      jobs.insert(jobs.end(), more.begin(), more.end());
      CHECK(cell.counted.empty());
      cell.Simulate(seconds(15));
      CheckAllCompleted(cell, jobs);
      CHECK(cell.secondRuns.empty());
    }
  }
}

// Guards against adding up crashes of a task that did not cause them.
TEST_CASE("a task that ran 10 s after it was suspected is suspected no more")
{
  CrashingCell cell(3);
  cell.Submit("service", 1, milliseconds(500), true);
  const std::string service = TaskOf("service");
  const auto crashAfter = [&](milliseconds aDelay) {
    REQUIRE(cell.SimulateUntil(
      seconds(10), [&] { return cell.MachineOf(service).has_value(); }));
    const int starts = cell.Starts(service);
    cell.Simulate(aDelay);
    cell.Crash(*cell.MachineOf(service), seconds(3));
    REQUIRE(cell.SimulateUntil(seconds(10),
                               [&] { return cell.Starts(service) > starts; }));
  };
  for (int i = 0; i < 5; ++i) {
    CAPTURE(i);
    crashAfter(milliseconds(100));
    CHECK(cell.StoredCrashes("service") == 1);
    cell.Simulate(seconds(12));
    CHECK(cell.StoredCrashes("service") == 0);
    crashAfter(milliseconds(0));
  }
  CHECK(cell.StateOf("service") == WorkflowState::Running);
}

// Guards against failing a job whose suspected task ends well.
TEST_CASE("a suspected task that ends done completes its job")
{
  CrashingCell cell(3);
  cell.Submit("job", 1, seconds(3));
  REQUIRE(cell.SimulateUntil(
    seconds(1), [&] { return cell.MachineOf(TaskOf("job")).has_value(); }));
  cell.Simulate(milliseconds(100));
  const auto machine = cell.MachineOf(TaskOf("job"));
  REQUIRE(machine);
  cell.Crash(*machine, seconds(2));
  REQUIRE(cell.SimulateUntil(seconds(10),
                             [&] { return cell.StoredCrashes("job") == 1; }));
  cell.Simulate(seconds(15));
  CHECK(cell.StateOf("job") == WorkflowState::Completed);
  CHECK(cell.Starts(TaskOf("job")) == 2);
}

// Guards against BUDGET in a cell that cannot end the job.
TEST_CASE("a crashing task in a part of a job is not started without limit")
{
  for (const bool takeOvers : { false, true }) {
    CAPTURE(takeOvers);
    CrashingCell cell(4);
    WorkflowSubmission part = cell.harness.Job("bad", 2);
    part.steps[0].longRunning = true;
    part.partial = true;
    part.ownCell = 1;
    part.part = { TaskRun{ 0, 1, 3, 0, {} } };
    cell.CrashAfter(TaskOf("bad", 1), milliseconds(10));
    cell.Accept(part);
    for (int i = 0; i < 6; ++i) {
      cell.Simulate(seconds(20));
      if (takeOvers) {
        cell.TakeOver();
      }
    }
    CHECK(cell.Starts(TaskOf("bad", 1)) >= 2);
    CHECK(cell.Starts(TaskOf("bad", 1)) <= kMaxStarts);
    CHECK(cell.Starts(TaskOf("bad", 0)) == 0);
  }
}

// Guards against a count that starts anew in each cell.
TEST_CASE("crashes travel with a hand-over and back")
{
  CrashingCell cell(2);
  WorkflowSubmission job = LargeService(cell, "bad");
  cell.CrashAfter(TaskOf("bad"), milliseconds(10));
  cell.Accept(job);
  REQUIRE(cell.SimulateUntil(seconds(20),
                             [&] { return cell.StoredCrashes("bad") == 1; }));
  // Until they are back, no worker of the cell can run the task.
  cell.Crash(0, seconds(40));
  cell.Crash(1, seconds(40));
  REQUIRE(cell.SimulateUntil(seconds(20),
                             [&] { return cell.Owner().HasHandOvers(); }));
  const HandOver offer = cell.Owner().HandOvers().at(0);
  REQUIRE(offer.tasks.size() == 1);
  REQUIRE(offer.tasks[0].crashes.size() == 1);
  const auto stored = cell.Owner().BeginHandOver(offer);
  REQUIRE(stored);

  // The other cell counts one more and returns the task.
  TaskRun returned = offer.tasks[0];
  returned.run += 1;
  returned.crashes.push_back(returned.run);
  job.returned = { returned };
  WorkflowJob restored(job, cell.Now());
  restored.Restore(*stored, cell.Now());
  CHECK(restored.MostCrashes() == 2);
  cell.Accept(job);
  cell.Simulate(seconds(100));
  CHECK(cell.StateOf("bad") == WorkflowState::Failed);
  CHECK(cell.Starts(TaskOf("bad")) + 1 <= kMaxStarts);
}

// Guards against a crash that is forgotten since it was confirmed while another
// cell had the task.
TEST_CASE("a crash confirmed after a hand-over counts when the task is back")
{
  CrashingCell cell(2);
  WorkflowSubmission job = LargeService(cell, "moved");
  cell.Accept(job);
  cell.Accept(LargeService(cell, "other"));
  cell.Simulate(milliseconds(100));
  const auto machine = cell.MachineOf(TaskOf("moved"));
  REQUIRE(machine);
  cell.Crash(*machine, seconds(14));
  REQUIRE(cell.SimulateUntil(seconds(13),
                             [&] { return cell.Owner().HasHandOvers(); }));
  const HandOver offer = cell.Owner().HandOvers().at(0);
  REQUIRE(offer.tasks.size() == 1);
  REQUIRE(cell.Owner().BeginHandOver(offer));
  cell.Simulate(seconds(10));
  job.returned = { TaskRun{ 0, 0, offer.tasks[0].run + 1, 0, {} } };
  cell.Accept(job);
  REQUIRE(cell.SimulateUntil(
    seconds(5), [&] { return cell.MachineOf(TaskOf("moved")).has_value(); }));
  CHECK(cell.StoredCrashes("moved") == 1);
}

// Guards against a gang that never runs again because each of its tasks waits
// for a worker of its own or without recent starts.
TEST_CASE("a gang that is larger than the cell runs again after a crash")
{
  for (const bool busy : { false, true }) {
    CAPTURE(busy);
    CrashingCell cell(3);
    WorkflowSubmission job = cell.harness.Job("gang", 8);
    job.steps[0].gang = true;
    job.steps[0].estimateMs = 5000;
    cell.Accept(job);
    cell.Simulate(seconds(1));
    const auto machine = cell.MachineOf(TaskOf("gang"));
    REQUIRE(machine);
    cell.Crash(*machine, seconds(2));
    if (busy) {
      SimulateWithShortJobs(
        cell, seconds(30), milliseconds(100), milliseconds(300), 8);
    }
    cell.Simulate(seconds(30));
    CHECK(cell.StateOf("gang") == WorkflowState::Completed);
  }
}

// Guards against a run number that is used twice after a takeover, so that the
// second crash is taken for the first one.
TEST_CASE(
  "runs after a takeover are numbered after those that the roster names")
{
  CrashingCell cell(4);
  SubmitCrashing(cell, "bad");
  REQUIRE(cell.SimulateUntil(seconds(5),
                             [&] { return cell.Starts(TaskOf("bad")) == 1; }));
  cell.Simulate(milliseconds(50));
  cell.WriteRoster();
  // The worker is back only after the next start.
  cell.Delay(cell.starts.back().machine, seconds(15));
  cell.TakeOver();
  REQUIRE(cell.SimulateUntil(seconds(14),
                             [&] { return cell.Starts(TaskOf("bad")) == 2; }));
  CHECK(cell.starts.back().run > cell.starts.front().run);
}

// Guards against a next owner that blames runs of an earlier loss of a worker.
TEST_CASE("the roster is stale when the suspects of a lost worker change")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w1" });
  harness.scheduler.Accept(harness.Job("a"));
  REQUIRE(harness.PlanAndConfirm().size() == 1);
  harness.scheduler.HandleUnresponsive("w1", harness.clock.Now());
  harness.scheduler.RosterWritten(harness.scheduler.RosterToWrite());
  CHECK(!harness.scheduler.RosterIsStale());
  harness.Report("w1", 1, { RunningRun{ "a.0.0.0", 1, "", 10, 0 } }, {});
  harness.clock.Advance(seconds(1));
  harness.Report("w1", 1, { RunningRun{ "a.0.0.0", 1, "", 10, 0 } }, {});
  harness.scheduler.HandleUnresponsive("w1", harness.clock.Now());
  CHECK(harness.scheduler.RosterIsStale());
}

// Guards against a job that is never shown as failed since its task reached the
// limit in another cell.
TEST_CASE("a task that returns with the most crashes ends its job")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w1" });
  WorkflowSubmission job = harness.Job("a", 2);
  job.steps[0].longRunning = true;
  WorkflowProgress progress;
  progress.id = "a";
  progress.handedOver = { TaskRun{ 0, 1, 1, 0, { 1 } } };
  harness.scheduler.Restore(job, progress);
  job.returned = { TaskRun{ 0, 1, 4, 0, { 1, 2, 3, 4 } } };
  harness.scheduler.Accept(job);
  harness.WriteProgress();
  CHECK(harness.scheduler.StateOf("a") == WorkflowState::Failed);
}

// Guards against an acquittal by a run that never was confirmed.
TEST_CASE("a stopped run that was not confirmed clears no crash")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w1" });
  WorkflowProgress progress;
  progress.id = "a";
  progress.crashes = { TaskCrashes{ 0, 0, 0, { 1 } } };
  WorkflowSubmission job = harness.Job("a");
  harness.clock.Advance(seconds(20));
  harness.Report("w1", 1, {}, {});
  harness.scheduler.Restore(job, progress);
  const std::vector<PlannedStart> starts = harness.PlanStarts();
  REQUIRE(starts.size() == 1);
  harness.scheduler.UpdateWorkers(
    std::vector{ SchedulerHarness::Worker("w1", 2) });
  harness.Report("w1", 2, { RunningRun{ "a.0.0.0", 2, "", 10, 0 } }, {});
  const ProgressBatch batch = harness.scheduler.TakeProgress();
  REQUIRE(batch.records.size() == 1);
  REQUIRE(batch.records[0].progress.crashes.size() == 1);
  CHECK(batch.records[0].progress.crashes[0].runs.front() == 1);
}

// Guards against giving up a task for a crash whose cause is given up with it.
TEST_CASE("a bystander is not given up with the cause of its last crash")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w1" });
  WorkflowSubmission service = harness.Job("service");
  service.steps[0].longRunning = true;
  WorkflowProgress earlier;
  earlier.id = "service";
  earlier.crashes = { TaskCrashes{ 0, 0, 0, { 1, 2, 3 } } };
  harness.scheduler.Restore(service, earlier);
  const RunningRun row{ "service.0.0.0", 4, "", 100, 0 };
  harness.Report("w1", 1, { row }, {});
  harness.clock.Advance(seconds(1));
  harness.Report("w1", 1, { row }, {});
  WorkflowProgress crashed;
  crashed.id = "bad";
  crashed.crashes = { TaskCrashes{ 0, 0, 0, { 1 } } };
  harness.scheduler.Restore(harness.Job("bad"), crashed);
  REQUIRE(harness.PlanAndConfirm().size() == 1);
  harness.clock.Advance(milliseconds(10));
  harness.scheduler.HandleUnresponsive("w1", harness.clock.Now());
  harness.clock.Advance(seconds(3));
  harness.Report("w1", 2, {}, {});
  harness.WriteProgress();
  CHECK(harness.scheduler.StateOf("bad") == WorkflowState::Failed);
  CHECK(harness.scheduler.StateOf("service") == WorkflowState::Running);
}

// Guards against BUDGET: a worker that a task crashes before the next renewal
// is sent is up again when the connection of that renewal breaks.
TEST_CASE("a break that its next incarnation follows does not date a crash")
{
  enum class Sign : std::uint8_t
  {
    Report,
    Registry,
    OtherWorker,
  };
  for (const Sign sign : { Sign::Report, Sign::Registry, Sign::OtherWorker }) {
    CAPTURE(static_cast<int>(sign));
    SchedulerHarness harness;
    harness.AddWorkers({ "w1" });
    harness.scheduler.Accept(harness.Job("bad"));
    REQUIRE(harness.PlanAndConfirm().size() == 1);
    harness.clock.Advance(milliseconds(1500));
    harness.scheduler.HandleUnresponsive("w1", harness.clock.Now());
    harness.clock.Advance(milliseconds(200));
    if (sign == Sign::Report) {
      harness.Report("w1", 2, {}, {});
    } else if (sign == Sign::Registry) {
      harness.scheduler.UpdateWorkers(
        std::vector{ SchedulerHarness::Worker("w1", 2) });
    } else {
      harness.scheduler.HandleUnresponsive("w1");
      harness.scheduler.HandleWrongWorker("w1");
    }
    CHECK(SuspectedRunsOf(harness) == std::vector<std::uint64_t>{ 1 });
  }
}

// Guards against suspecting runs that had been up for long, as that delays and
// may end harmless tasks.
TEST_CASE("a break dates a crash if the worker is away after it")
{
  for (const bool retried : { false, true }) {
    CAPTURE(retried);
    SchedulerHarness harness;
    harness.AddWorkers({ "w1" });
    harness.scheduler.Accept(harness.Job("a"));
    REQUIRE(harness.PlanAndConfirm().size() == 1);
    harness.clock.Advance(milliseconds(700));
    harness.scheduler.HandleUnresponsive("w1", harness.clock.Now());
    harness.clock.Advance(milliseconds(200));
    if (retried) {
      harness.scheduler.HandleFailedRetry("w1");
      harness.scheduler.HandleUnresponsive("w1");
    }
    harness.clock.Advance(milliseconds(retried ? 400 : 1000));
    harness.Report("w1", 2, {}, {});
    CHECK(SuspectedRunsOf(harness).empty());
  }
}

// Guards against failing a harmless job whose start had no answer when its
// worker was restarted, since one other worker crashed beside it.
TEST_CASE("a start without an answer and one crash do not end a job")
{
  for (const Rebirth rebirth : kRebirths) {
    for (const bool unansweredFirst : { true, false }) {
      CAPTURE(static_cast<int>(rebirth));
      CAPTURE(unansweredFirst);
      CrashingCell cell(4, rebirth);
      cell.Submit("job", 1, seconds(5));
      for (const int crash : { 1, 2 }) {
        cell.unanswered = unansweredFirst == (crash == 1);
        REQUIRE(cell.SimulateUntil(
          seconds(20), [&] { return cell.Starts(TaskOf("job")) == crash; }));
        cell.Crash(cell.MachineOf(TaskOf("job")).value(), seconds(2));
      }
      cell.unanswered = false;
      cell.Simulate(seconds(30));
      CHECK(cell.counted.contains("job"));
      CHECK(cell.StateOf("job") == WorkflowState::Completed);
    }
  }
}

// Guards against BUDGET for a task that crashes its worker before its start is
// answered, always or now and then.
TEST_CASE("a task that crashes before its start is answered is given up")
{
  for (const Rebirth rebirth : kRebirths) {
    for (const int answered : { 0, 1, 2, 3, 5, 6, 9, 10, 15 }) {
      CAPTURE(static_cast<int>(rebirth));
      CAPTURE(answered);
      CrashingCell cell(6, rebirth);
      SubmitCrashing(cell, "bad");
      cell.SimulateUntil(seconds(90), [&] {
        cell.unanswered = (answered >> cell.Starts(TaskOf("bad")) & 1) == 0;
        return cell.StateOf("bad") == WorkflowState::Failed;
      });
      CHECK(cell.StateOf("bad") == WorkflowState::Failed);
      CHECK(cell.Starts(TaskOf("bad")) <= 4);
    }
  }
}

// Guards against BUDGET for such a task when the owner changes after each
// crash.
TEST_CASE("crashes before the answer to a start count for the next owners")
{
  for (const Rebirth rebirth : kRebirths) {
    CAPTURE(static_cast<int>(rebirth));
    CrashingCell cell(4, rebirth);
    cell.unanswered = true;
    SubmitCrashing(cell, "bad");
    int starts = 0;
    cell.SimulateUntil(seconds(300), [&] {
      if (cell.Starts(TaskOf("bad")) > starts) {
        starts = cell.Starts(TaskOf("bad"));
        // The crashed worker is back by then.
        cell.Simulate(milliseconds(5200));
        cell.TakeOver();
      }
      return cell.StateOf("bad") == WorkflowState::Failed;
    });
    CHECK(cell.StateOf("bad") == WorkflowState::Failed);
    CHECK(cell.Starts(TaskOf("bad")) <= kMaxStarts);
  }
}
