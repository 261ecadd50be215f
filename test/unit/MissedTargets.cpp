/**
 * Guards against fillers that keep starting beside serving tasks which already
 * miss their latency target: short fillers of several images come and go
 * between two reports, so that the image held responsible has ended when the
 * others have replaced it.
 */
#include "support/SchedulerHarness.h"

#include <cmath>
#include <doctest/doctest.h>
#include <map>
#include <string>

using namespace sequoiakeel;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kFillerTime{ 600 };
constexpr milliseconds kStep{ 50 };

/** Runs a filler that is known as harmless beside a serving task whose reported
 * latency varies around the target, and returns the filler's speed after aTime.
 */
int
SpeedAfter(milliseconds aTime)
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w" });
  WorkflowSubmission serving = harness.Job("5e41000000000000", 1);
  serving.steps[0].longRunning = true;
  serving.steps[0].image = "web";
  serving.steps[0].latencyTargetMs = 50;
  harness.scheduler.Accept(serving);
  harness.PlanAndConfirm();
  InterferenceEvidence evidence;
  evidence.effects.push_back(EffectEvidence{ "web", "batch", 0.0, 1000.0 });
  harness.scheduler.SetPeerEvidence("other", evidence);
  const std::string filler = "f111000000000000.0.0.0";
  const auto report = [&](std::int64_t aTailMs, bool aFiller) {
    harness.clock.Advance(milliseconds(500));
    harness.scheduler.NoteLease("w", harness.WorkerMs() + 5000);
    std::vector<RunningRun> rows{
      { "5e41000000000000.0.0.0", 1, "", 50, aTailMs }
    };
    if (aFiller) {
      rows.push_back({ filler, 1, "", 50, 3200 });
    }
    harness.Report("w", 1, rows, {});
  };
  report(20, false);
  WorkflowSubmission job = harness.Job("f111000000000000", 1);
  job.steps[0].cpuMilli = 3200;
  job.steps[0].filler = true;
  job.steps[0].image = "batch";
  harness.scheduler.Accept(job);
  REQUIRE(harness.PlanAndConfirm().size() == 1);
  int percent = 100;
  for (milliseconds past{ 0 }; past < aTime; past += milliseconds(500)) {
    const bool above = past.count() % 1000 == 0;
    report(above ? 52 : 49, true);
    for (const PlannedThrottle& throttle : harness.scheduler.Plan().throttles) {
      percent = throttle.percent;
    }
  }
  return percent;
}

/** One worker with serving tasks and a queue of short fillers of several
 * images, all of which slow the serving tasks down. */
class FillerQueue
{
public:
  FillerQueue()
  {
    this->harness.AddWorkers({ "w" });
    WorkflowSubmission serving = this->harness.Job("5e41000000000000", 4);
    serving.steps[0].cpuMilli = 4000;
    serving.steps[0].longRunning = true;
    serving.steps[0].image = "web";
    serving.steps[0].latencyTargetMs = 50;
    this->harness.scheduler.Accept(serving);
    for (int i = 0; i < 60; ++i) {
      const std::string id = "f111" + std::to_string(100000000000 + i);
      WorkflowSubmission filler = this->harness.Job(id, 1);
      filler.steps[0].cpuMilli = 3200;
      filler.steps[0].filler = true;
      filler.steps[0].image = "image" + std::to_string(i % 5);
      filler.steps[0].estimateMs = 600;
      this->harness.scheduler.Accept(filler);
    }
  }

  /** Advances the simulation; aDisturbed: whether something other than fillers
   * keeps the serving tasks over their target. */
  void Step(bool aDisturbed)
  {
    this->harness.clock.Advance(kStep);
    const TimePoint now = this->harness.clock.Now();
    std::vector<EndedRun> ended;
    for (auto run = this->running.begin(); run != this->running.end();) {
      const bool over =
        !IsServing(run->first) && now - run->second >= kFillerTime;
      if (over) {
        ended.push_back(
          EndedRun{ ++this->ends, run->first, 1, RunEnd::Done, "" });
        run = this->running.erase(run);
        continue;
      }
      ++run;
    }
    if (!ended.empty() || now - this->reportedAt > milliseconds(900)) {
      this->Report(aDisturbed, std::move(ended));
    }
    for (const PlannedStart& start : this->harness.PlanAndConfirm()) {
      this->running[start.command.task] = this->harness.clock.Now();
      this->fillersStarted += IsServing(start.command.task) ? 0 : 1;
    }
    this->harness.WriteProgress();
  }

  int FillersStarted() const { return this->fillersStarted; }

private:
  static bool IsServing(const std::string& aTask)
  {
    return aTask.starts_with("5e41");
  }

  void Report(bool aDisturbed, std::vector<EndedRun> aEnded)
  {
    std::vector<RunningRun> rows;
    for (const auto& [task, startedAt] : this->running) {
      RunningRun row;
      row.task = task;
      row.run = 1;
      row.percent = 50;
      row.usage = IsServing(task) ? (aDisturbed ? 120 : 20) : 3200;
      rows.push_back(row);
    }
    this->harness.scheduler.NoteLease("w", this->harness.WorkerMs() + 5000);
    this->harness.Report("w", 1, rows, std::move(aEnded));
    this->reportedAt = this->harness.clock.Now();
  }

  SchedulerHarness harness;
  std::map<std::string, TimePoint> running;
  std::uint64_t ends = 0;
  TimePoint reportedAt;
  int fillersStarted = 0;
};

} // namespace

TEST_CASE("no filler starts beside a serving task that misses its target")
{
  FillerQueue queue;
  for (int i = 0; i < 60; ++i) {
    queue.Step(false);
  }
  const int before = queue.FillersStarted();
  REQUIRE(before > 0);
  // The first report over the target arrives within a second.
  for (int i = 0; i < 20; ++i) {
    queue.Step(true);
  }
  const int atFirstReport = queue.FillersStarted();
  for (int i = 0; i < 60; ++i) {
    queue.Step(true);
  }
  CHECK(queue.FillersStarted() == atFirstReport);
  for (int i = 0; i < 60; ++i) {
    queue.Step(false);
  }
  CHECK(queue.FillersStarted() > atFirstReport);
}

// Guards against fillers that cause a target to be missed for four seconds
// because some of the rounded readings lie just below it.
TEST_CASE("all fillers pause before a target is missed for too long")
{
  CHECK(SpeedAfter(milliseconds(500)) > 0);
  CHECK(SpeedAfter(milliseconds(2500)) == 0);
}
