/**
 * Guards against fillers of an accepted job that wait without limit while
 * workers have free capacity: their image is believed to harm the serving tasks
 * everywhere, or jobs that were accepted later take the processors.
 */
#include "support/SchedulerHarness.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <string>

using namespace sequoiakeel;
using std::chrono::milliseconds;

namespace {

constexpr const char* kServingTask = "5e41000000000000.0.0.0";
constexpr const char* kOldJob = "01d0000000000000";
constexpr std::int64_t kTargetMs = 50;
/** Objective of the jobs; their results are of no use after three times that.
 */
constexpr milliseconds kObjective{ 1000 };
constexpr milliseconds kReportInterval{ 500 };

/** One worker with a serving task, which reports aTailMs, and fillers that run
 * until Complete() is called. */
class FillerCell
{
public:
  explicit FillerCell(std::int64_t aTailMs)
    : tailMs(aTailMs)
  {
    this->harness.AddWorkers({ "w" });
    WorkflowSubmission serving = this->harness.Job("5e41000000000000");
    serving.steps[0].cpuMilli = 6000;
    serving.steps[0].longRunning = true;
    serving.steps[0].image = "web";
    serving.steps[0].latencyTargetMs = kTargetMs;
    this->harness.scheduler.Accept(serving);
    this->Step();
  }

  /** Makes the fillers of an image known to have an effect on the serving task.
   */
  void SetEffect(const std::string& aImage, double aEffect)
  {
    this->evidence.effects.push_back(
      EffectEvidence{ "web", aImage, aEffect, 1e6 });
    this->harness.scheduler.SetPeerEvidence("other", this->evidence);
  }

  void AcceptFillers(const std::string& aJob,
                     std::uint32_t aCount,
                     const std::string& aImage,
                     std::uint32_t aCpuMilli = 3200,
                     milliseconds aObjective = kObjective)
  {
    WorkflowSubmission job = this->harness.Job(aJob, aCount);
    job.steps[0].cpuMilli = aCpuMilli;
    job.steps[0].filler = true;
    job.steps[0].image = aImage;
    job.objectiveStretch = 0;
    job.objectiveMs = static_cast<std::uint32_t>(aObjective.count());
    this->harness.scheduler.Accept(job);
  }

  /** Reports the runs, then plans. */
  void Step()
  {
    this->harness.clock.Advance(kReportInterval);
    std::vector<RunningRun> rows;
    for (const auto& [task, run] : this->running) {
      const bool serving = task == kServingTask;
      rows.push_back({ task, run, "", 50, serving ? this->tailMs : 3200 });
    }
    this->harness.scheduler.NoteLease("w", this->harness.WorkerMs() + 5000);
    this->harness.Report("w", 1, rows, std::move(this->ended));
    this->ended.clear();
    for (const PlannedStart& start : this->harness.PlanAndConfirm()) {
      this->running[start.command.task] = start.command.run;
    }
    this->harness.WriteProgress();
  }

  void Simulate(milliseconds aTime)
  {
    for (milliseconds past{ 0 }; past < aTime; past += kReportInterval) {
      this->Step();
    }
  }

  /** Ends all fillers of the jobs whose id begins with aPrefix. */
  void Complete(const std::string& aPrefix)
  {
    std::erase_if(this->running, [&](const auto& aItem) {
      const bool ends = aItem.first.starts_with(aPrefix);
      if (ends) {
        this->ended.push_back(EndedRun{
          ++this->ends, aItem.first, aItem.second, RunEnd::Done, "" });
      }
      return ends;
    });
  }

  std::ptrdiff_t Running(const std::string& aJob) const
  {
    return std::count_if(
      this->running.begin(), this->running.end(), [&](const auto& aItem) {
        return aItem.first.starts_with(aJob);
      });
  }

private:
  SchedulerHarness harness;
  InterferenceEvidence evidence;
  std::int64_t tailMs;
  std::map<std::string, std::uint64_t> running;
  std::vector<EndedRun> ended;
  std::uint64_t ends = 0;
};

} // namespace

// Guards against a job that never starts because its image is believed to harm
// the serving tasks of every worker, however far these are below their target.
TEST_CASE("an overdue filler starts beside a serving task that it slows down")
{
  FillerCell cell(10);
  cell.SetEffect("batch", 4);
  cell.AcceptFillers(kOldJob, 1, "batch");
  cell.Simulate(2 * kObjective);
  CHECK(cell.Running(kOldJob) == 0);
  cell.Simulate(2 * kObjective);
  CHECK(cell.Running(kOldJob) == 1);
}

// Guards against an overdue filler that makes a serving task miss its target.
TEST_CASE("an overdue filler waits for a serving task near its target")
{
  FillerCell cell(35);
  cell.SetEffect("batch", 4);
  cell.AcceptFillers(kOldJob, 1, "batch");
  cell.Simulate(6 * kObjective);
  CHECK(cell.Running(kOldJob) == 0);
}

// Guards against a job that counts as in time for as long as its callers'
// estimates are too high, and thus never gets wider limits.
TEST_CASE("a filler with a late objective is overdue after 30 seconds")
{
  FillerCell cell(10);
  cell.SetEffect("batch", 4);
  cell.AcceptFillers(kOldJob, 1, "batch", 3200, std::chrono::minutes(10));
  cell.Simulate(std::chrono::seconds(29));
  CHECK(cell.Running(kOldJob) == 0);
  cell.Simulate(std::chrono::seconds(3));
  CHECK(cell.Running(kOldJob) == 1);
}

// Guards against overdue jobs that have nothing running while all tasks of
// those accepted before them are started.
TEST_CASE("each overdue job gets a first task before one gets a second")
{
  FillerCell cell(10);
  cell.SetEffect("batch", 0);
  cell.AcceptFillers("1a7e000000000000", 12, "batch");
  cell.Step();
  for (int i = 0; i < 4; ++i) {
    cell.AcceptFillers("01d0" + std::to_string(i) + "00000000000", 30, "batch");
  }
  cell.Simulate(4 * kObjective);
  cell.Complete("1a7e");
  cell.Simulate(2 * kObjective);
  for (int i = 0; i < 4; ++i) {
    CHECK(cell.Running("01d0" + std::to_string(i)) > 0);
  }
}

// Guards against a large filler that waits for as long as smaller ones take the
// processors that become free.
TEST_CASE("the first task of an overdue job starts on part of its demand")
{
  FillerCell cell(10);
  cell.SetEffect("batch", 0);
  cell.AcceptFillers("1a7e000000000000", 6, "batch");
  cell.Step();
  REQUIRE(cell.Running("1a7e") == 6);
  cell.AcceptFillers(kOldJob, 2, "batch", 16000);
  cell.Simulate(2 * kObjective);
  CHECK(cell.Running(kOldJob) == 0);
  cell.Simulate(2 * kObjective);
  CHECK(cell.Running(kOldJob) == 1);
}

// Guards against a search that is skipped for an overdue job because none was
// found for a later job of the same image, to which narrower limits apply.
TEST_CASE("a later job without a worker does not block an overdue one")
{
  FillerCell cell(10);
  cell.SetEffect("batch", 4);
  cell.AcceptFillers(kOldJob, 1, "batch");
  for (int i = 0; i < 8; ++i) {
    cell.AcceptFillers(
      "1a7e" + std::to_string(100000000000 + i), 1, "batch", 1000);
    cell.Step();
  }
  CHECK(cell.Running(kOldJob) == 1);
}
