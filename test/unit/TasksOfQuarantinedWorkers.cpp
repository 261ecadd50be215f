#include "support/SchedulerHarness.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** A cell of 20 workers of kind "a" and some of kind "b" that fail all that
 * they start until they are mended. Tasks of the jobs that need kind "b" end
 * half a second after their start. */
class FailingKind
{
public:
  static constexpr int kOfKindA = 20;

  explicit FailingKind(int aOfKindB)
  {
    for (int i = 0; i < kOfKindA + aOfKindB; ++i) {
      WorkerDescription worker =
        SchedulerHarness::Worker("w" + std::to_string(i));
      worker.labels = { i < kOfKindA ? "a" : "b" };
      this->workers.push_back(worker);
    }
    this->harness.scheduler.SetRoster({});
    this->harness.scheduler.UpdateWorkers(this->workers);
    this->harness.scheduler.RosterWritten(
      this->harness.scheduler.RosterToWrite());
    this->Simulate(milliseconds(100));
  }

  void Submit(const std::string& aId, std::uint32_t aTasks, bool aGang = false)
  {
    WorkflowSubmission job = this->harness.Job(aId, aTasks);
    job.maxAttempts = 4;
    job.steps[0].requiredLabel = "b";
    job.steps[0].gang = aGang;
    this->harness.scheduler.Accept(job);
  }

  void Simulate(milliseconds aTime)
  {
    const TimePoint end = this->harness.clock.Now() + aTime;
    while (this->harness.clock.Now() < end) {
      this->harness.clock.Advance(milliseconds(50));
      for (const WorkerDescription& worker : this->workers) {
        this->Report(worker.id);
      }
      this->harness.WriteProgress();
      for (const PlannedStart& start : this->harness.PlanAndConfirm()) {
        this->runs[start.worker][start.command.task] =
          Run{ start.command.run,
               this->harness.clock.Now() + milliseconds(500) };
        ++this->starts;
      }
    }
  }

  WorkflowState StateOf(const std::string& aJob) const
  {
    return this->harness.scheduler.StateOf(aJob);
  }

  SchedulerHarness harness;
  bool failing = false;
  int starts = 0;

private:
  struct Run
  {
    std::uint64_t run = 0;
    TimePoint endsAt;
  };

  void Report(const std::string& aWorker)
  {
    std::vector<RunningRun> running;
    std::vector<EndedRun> ended;
    std::erase_if(this->runs[aWorker], [&](const auto& aItem) {
      const auto& [task, run] = aItem;
      if (!this->failing && this->harness.clock.Now() < run.endsAt) {
        running.push_back(RunningRun{ task, run.run, "", 50, 0 });
        return false;
      }
      ended.push_back(EndedRun{ ++this->ends[aWorker],
                                task,
                                run.run,
                                this->failing ? RunEnd::Failed : RunEnd::Done,
                                "" });
      return true;
    });
    this->harness.Report(aWorker, 1, std::move(running), std::move(ended));
  }

  std::vector<WorkerDescription> workers;
  std::map<std::string, std::map<std::string, Run>> runs;
  std::map<std::string, std::uint64_t> ends;
};

/** Has all workers of kind "b" fail for 6 s, in which jobs arrive as before. */
void
PlayFailures(FailingKind& aCell)
{
  for (int i = 0; i < 25; ++i) {
    aCell.failing = i >= 10;
    aCell.Submit("before" + std::to_string(i), 2);
    aCell.Simulate(milliseconds(400));
  }
  aCell.failing = false;
}

} // namespace

// Guards against jobs that stand still while the only workers that can run them
// are in quarantine, though sound again.
TEST_CASE("jobs run on workers that are sound again")
{
  for (const int ofKindB : { 1, 2, 4 }) {
    for (const bool gang : { false, true }) {
      CAPTURE(ofKindB);
      CAPTURE(gang);
      FailingKind cell(ofKindB);
      PlayFailures(cell);
      for (int i = 0; i < 5; ++i) {
        cell.Submit("after" + std::to_string(i), 2, gang);
      }
      // After 14 s no job may have nothing running.
      cell.Simulate(seconds(14));
      for (int i = 0; i < 5; ++i) {
        CHECK(cell.StateOf("after" + std::to_string(i)) ==
              WorkflowState::Completed);
      }
    }
  }
}

// Guards against a quarantined worker that gets many tasks, and fails them.
TEST_CASE("a worker that still fails is tried with one task at a time")
{
  FailingKind cell(1);
  PlayFailures(cell);
  cell.failing = true;
  for (int i = 0; i < 20; ++i) {
    cell.Submit("after" + std::to_string(i), 10);
  }
  cell.Simulate(seconds(8));
  const int before = cell.starts;
  cell.Simulate(seconds(40));
  // The pause between two tasks has grown to 8 s.
  CHECK(cell.starts - before <= 6);
  CHECK(cell.starts - before >= 4);
}
