/**
 * Guards against tail latencies that are attributed to the wrong fillers:
 * workers report when a task ends, and the reported latency covers the time in
 * which a filler that has just ended was still running.
 */
#include "FillerInterference.h"
#include "support/SchedulerHarness.h"

#include <doctest/doctest.h>
#include <map>
#include <string>

using namespace sequoiakeel;
using std::chrono::milliseconds;

namespace {

constexpr std::int64_t kUndisturbedMs = 18;
constexpr std::int64_t kDisturbedMs = 45;

WorkflowSubmission
ServingJob(const SchedulerHarness& aHarness)
{
  WorkflowSubmission job = aHarness.Job("5e41000000000000", 2);
  job.steps[0].cpuMilli = 6000;
  job.steps[0].longRunning = true;
  job.steps[0].image = "web";
  job.steps[0].latencyTargetMs = 50;
  return job;
}

WorkflowSubmission
FillerJob(const SchedulerHarness& aHarness,
          const std::string& aId,
          const std::string& aImage)
{
  WorkflowSubmission job = aHarness.Job(aId, 1);
  job.steps[0].cpuMilli = 3200;
  job.steps[0].filler = true;
  job.steps[0].image = aImage;
  return job;
}

/** One worker with serving tasks, a steady harmless filler and a succession of
 * short harmful ones. */
class OneWorker
{
public:
  OneWorker()
  {
    this->harness.AddWorkers({ "w" });
    this->harness.scheduler.Accept(ServingJob(this->harness));
    this->Start();
    this->Wait(milliseconds(800), kUndisturbedMs);
    this->harness.scheduler.Accept(
      FillerJob(this->harness, "11a4000000000000", "light"));
    this->Start();
    this->Wait(milliseconds(800), kUndisturbedMs);
  }

  /** Runs one harmful filler; the report of its end is the only one that covers
   * it. */
  void RunHeavyFiller(int aNumber)
  {
    const std::string id = "4ea0" + std::to_string(100000000000 + aNumber);
    this->harness.scheduler.Accept(FillerJob(this->harness, id, "heavy"));
    this->Start();
    this->harness.clock.Advance(milliseconds(900));
    const std::string task = id + ".0.0.0";
    const auto run = this->running.find(task);
    if (run != this->running.end()) {
      this->running.erase(run);
      this->Report(kDisturbedMs,
                   { EndedRun{ ++this->ends, task, 1, RunEnd::Done, "" } });
    }
    this->Wait(milliseconds(900), kUndisturbedMs);
    this->Wait(milliseconds(900), kUndisturbedMs);
  }

  double EffectOf(const std::string& aImage) const
  {
    for (const EffectEvidence& one :
         this->harness.scheduler.Evidence().effects) {
      if (one.fillerImage == aImage) {
        return one.effect;
      }
    }
    return FillerInterference::kPriorEffect;
  }

private:
  void Start()
  {
    for (const PlannedStart& start : this->harness.PlanAndConfirm()) {
      this->running[start.command.task] = start.command.run;
    }
  }

  void Wait(milliseconds aTime, std::int64_t aTailMs)
  {
    this->harness.clock.Advance(aTime);
    this->Report(aTailMs, {});
  }

  void Report(std::int64_t aTailMs, std::vector<EndedRun> aEnded)
  {
    std::vector<RunningRun> rows;
    for (const auto& [task, run] : this->running) {
      RunningRun row;
      row.task = task;
      row.run = run;
      row.percent = 50;
      row.usage = task.starts_with("5e41") ? aTailMs : 3200;
      rows.push_back(row);
    }
    this->harness.scheduler.NoteLease("w", this->harness.WorkerMs() + 5000);
    this->harness.Report("w", 1, rows, std::move(aEnded));
  }

  SchedulerHarness harness;
  std::map<std::string, std::uint64_t> running;
  std::uint64_t ends = 0;
};

} // namespace

TEST_CASE("a filler that has just ended is held responsible for the latency")
{
  OneWorker worker;
  for (int i = 0; i < 4; ++i) {
    worker.RunHeavyFiller(i);
  }
  CHECK(worker.EffectOf("heavy") > 2.0);
  CHECK(worker.EffectOf("light") < FillerInterference::kHarmlessEffect);
}

TEST_CASE("the use of a filler is averaged over the measuring window")
{
  ManualClock clock;
  ScheduledWorker worker;
  worker.description = SchedulerHarness::Worker("w");
  Commitment filler;
  filler.phase = CommitmentPhase::Running;
  filler.step.filler = true;
  filler.step.image = "image";
  filler.step.cpuMilli = 3200;
  filler.startedAt = clock.Now();
  filler.confirmedAt = clock.Now();
  worker.Commit("task", filler);
  clock.Advance(milliseconds(250));
  const Duration window = milliseconds(500);
  CHECK(worker.FillerShares(clock.Now(), window)["image"] ==
        doctest::Approx(0.05));
  worker.NoteFillerEnd(*worker.Find("task"), clock.Now());
  worker.Release("task");
  clock.Advance(milliseconds(400));
  CHECK(worker.FillerShares(clock.Now(), window)["image"] ==
        doctest::Approx(0.02));
  clock.Advance(milliseconds(200));
  CHECK(worker.FillerShares(clock.Now(), window).empty());
}

TEST_CASE("fillers are never estimated to speed serving tasks up")
{
  // The own load of the serving tasks happens to fall whenever a filler runs.
  FillerInterference interference;
  const std::vector<FillerLoad> filler{ FillerLoad{ "light", 0.2 } };
  TimePoint now(std::chrono::hours(1));
  for (int i = 0; i < 20; ++i) {
    const bool runs = i % 2 == 0;
    interference.Observe({ "group",
                           "web",
                           runs ? 15.0 : 25.0,
                           runs ? filler : std::vector<FillerLoad>{},
                           now });
    now += milliseconds(1000);
  }
  interference.Update(now);
  CHECK(interference.Effect("web", "light") >= 0);
}
