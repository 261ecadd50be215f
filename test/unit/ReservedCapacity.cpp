/**
 * Guards against capacity that is reserved for a long-running task and keeps
 * short tasks from starting for as long as other runs delay the long-running
 * task.
 */
#include "support/SchedulerHarness.h"

#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <string>

using namespace sequoiakeel;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Within this time after the end of the traffic every job has to start. */
constexpr seconds kMaxIdle{ 14 };

/** A worker of 32 cores whose runs end when the test says so, and possibly a
 * second one. */
class ReservedCell
{
public:
  SchedulerHarness harness;

  ReservedCell() { this->harness.AddWorkers({ "w1" }); }

  void Accept(const std::string& aId,
              std::uint32_t aCpuMilli,
              milliseconds aEstimate,
              bool aLongRunning = false)
  {
    WorkflowSubmission job = this->harness.Job(aId);
    job.steps[0].cpuMilli = aCpuMilli;
    job.steps[0].estimateMs = static_cast<std::uint32_t>(aEstimate.count());
    job.steps[0].longRunning = aLongRunning;
    this->harness.scheduler.Accept(job);
  }

  /** Starts a run of 12 cores, and lets a task of 24 cores that has never run
   * wait for its end. */
  void BlockLongRunning(milliseconds aEstimate)
  {
    this->Accept("batch", 12000, aEstimate);
    this->Step();
    this->Accept("service", 24000, milliseconds(320), true);
    this->Step();
  }

  /** Advances the clock, reports the worker's runs with a progress of
   * progressPercent, and starts what the scheduler plans. */
  void Step()
  {
    this->harness.clock.Advance(milliseconds(100));
    CellScheduler& scheduler = this->harness.scheduler;
    scheduler.NoteLease("w1", scheduler.LeaseUntil("w1"));
    std::vector<RunningRun> running;
    for (const auto& [task, run] : this->running) {
      running.push_back(
        RunningRun{ task, run, "", this->progressPercent[task], 0 });
    }
    std::vector<EndedRun> ended = std::move(this->ended);
    this->ended.clear();
    this->harness.Report("w1", 1, running, ended);
    for (const PlannedStart& start : this->harness.PlanAndConfirm()) {
      if (start.worker == "w1") {
        this->running[start.command.task] = start.command.run;
      }
      this->startedAt[start.command.task] = this->harness.clock.Now();
    }
  }

  void Simulate(Duration aTime)
  {
    const TimePoint end = this->harness.clock.Now() + aTime;
    while (this->harness.clock.Now() < end) {
      this->Step();
    }
  }

  /** Lists a second worker, which reports the ends of runs. */
  void ListSecondWorker(bool aDraining, std::vector<EndedRun> aEnded)
  {
    CellScheduler& scheduler = this->harness.scheduler;
    WorkerDescription second = SchedulerHarness::Worker("w2");
    second.draining = aDraining;
    scheduler.UpdateWorkers(
      std::vector{ SchedulerHarness::Worker("w1"), second });
    scheduler.RosterWritten(scheduler.RosterToWrite());
    this->harness.Report("w2", 1, {}, std::move(aEnded));
  }

  void End(const std::string& aJob, RunEnd aEnd = RunEnd::Done)
  {
    const std::string task = aJob + ".0.0.0";
    this->ended.push_back(
      EndedRun{ this->nextEnd++, task, this->running.at(task), aEnd, "" });
    this->running.erase(task);
  }

  bool Runs(const std::string& aJob) const
  {
    return this->running.contains(aJob + ".0.0.0");
  }

  std::map<std::string, int> progressPercent;
  std::map<std::string, TimePoint> startedAt;

private:
  std::map<std::string, std::uint64_t> running;
  std::vector<EndedRun> ended;
  std::uint64_t nextEnd = 1;
};

} // namespace

// Guards against a short task that waits for a run which ends much later.
TEST_CASE("a short task uses capacity that is not needed before its end")
{
  ReservedCell cell;
  cell.BlockLongRunning(seconds(90));
  cell.Simulate(seconds(3));
  cell.Accept("short", 2300, milliseconds(800));
  cell.Simulate(seconds(1));
  CHECK(cell.Runs("short"));
  CHECK_FALSE(cell.Runs("service"));
}

// Guards against a search that is skipped after one for a longer task.
TEST_CASE("a short task does not wait behind a longer one of its size")
{
  ReservedCell cell;
  cell.BlockLongRunning(seconds(90));
  cell.Accept("long", 2300, seconds(60));
  cell.Accept("short", 2300, milliseconds(800));
  cell.Simulate(seconds(1));
  CHECK(cell.Runs("short"));
  CHECK_FALSE(cell.Runs("long"));
}

// Guards against short tasks that delay the task whose capacity they use.
TEST_CASE("a task that would end too late does not use reserved capacity")
{
  ReservedCell cell;
  cell.BlockLongRunning(seconds(4));
  cell.Accept("long", 2300, seconds(2));
  cell.Simulate(seconds(3));
  CHECK_FALSE(cell.Runs("long"));
  cell.End("batch");
  cell.Simulate(milliseconds(300));
  CHECK(cell.Runs("service"));
  CHECK(cell.Runs("long"));
}

// Guards against a wait without limit for a run that exceeds its estimate, or
// whose progress always shows that it is about to end.
TEST_CASE("wrong estimates of other runs do not delay short tasks for long")
{
  for (const int progress : { 0, 99, 100 }) {
    ReservedCell cell;
    cell.progressPercent["batch.0.0.0"] = progress;
    cell.BlockLongRunning(seconds(3));
    for (int i = 0; i < 5; ++i) {
      const std::string id = "short" + std::to_string(i);
      cell.Accept(id, 2300, milliseconds(800));
      const TimePoint acceptedAt = cell.harness.clock.Now();
      cell.Simulate(kMaxIdle);
      REQUIRE(cell.startedAt.contains(id + ".0.0.0"));
      CHECK(cell.startedAt[id + ".0.0.0"] - acceptedAt < kMaxIdle);
      cell.End(id);
    }
  }
}

// Guards against short tasks that exceed their estimates, and then let others
// use the reserved capacity that they still hold.
TEST_CASE("wrong estimates of short tasks delay a long-running one only once")
{
  constexpr seconds kRunTime{ 30 };
  ReservedCell cell;
  cell.BlockLongRunning(seconds(20));
  int next = 0;
  const TimePoint begunAt = cell.harness.clock.Now();
  std::optional<TimePoint> batchEndedAt;
  while (!cell.Runs("service") &&
         cell.harness.clock.Now() - begunAt < seconds(300)) {
    const TimePoint now = cell.harness.clock.Now();
    if (cell.harness.scheduler.CountPendingJobs("quotes") < 3) {
      cell.Accept("s" + std::to_string(next++), 8000, milliseconds(500));
    }
    for (int i = 0; i < next; ++i) {
      const std::string id = "s" + std::to_string(i);
      if (cell.Runs(id) && now - cell.startedAt[id + ".0.0.0"] > kRunTime) {
        cell.End(id);
      }
    }
    if (!batchEndedAt && now - begunAt > seconds(20)) {
      batchEndedAt = now;
      cell.End("batch");
    }
    cell.Step();
  }
  CHECK(next > 3);
  REQUIRE(cell.Runs("service"));
  CHECK(cell.startedAt["service.0.0.0"] - *batchEndedAt <=
        kRunTime + seconds(1));
}

// Guards against short tasks on capacity that an interrupted task needs.
TEST_CASE("no task uses capacity that is reserved for an interrupted task")
{
  ReservedCell cell;
  WorkflowSubmission batch = cell.harness.Job("batch");
  batch.steps[0].cpuMilli = 12000;
  batch.steps[0].estimateMs = 90000;
  // A member of a gang is not preempted.
  batch.steps[0].gang = true;
  cell.harness.scheduler.Accept(batch);
  cell.Step();
  cell.ListSecondWorker(false, {});
  cell.Accept("service", 24000, milliseconds(320), true);
  cell.Step();
  REQUIRE(cell.startedAt.contains("service.0.0.0"));
  REQUIRE_FALSE(cell.Runs("service"));
  cell.ListSecondWorker(
    true, { EndedRun{ 1, "service.0.0.0", 1, RunEnd::Failed, "" } });
  cell.Simulate(milliseconds(500));
  cell.Accept("short", 2300, milliseconds(800));
  cell.Simulate(seconds(5));
  CHECK_FALSE(cell.Runs("short"));
  cell.End("batch");
  cell.Simulate(milliseconds(200));
  CHECK(cell.Runs("service"));
}
