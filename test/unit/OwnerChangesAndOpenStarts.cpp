#include "support/SchedulerHarness.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;
using std::chrono::seconds;

// Guards against a long-running task that stays away since each new owner waits
// anew for a start that a worker which is gone left unanswered.
TEST_CASE("changes of the owner do not begin the wait for a start anew")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w1" });
  WorkflowSubmission job = harness.Job("a");
  job.steps[0].longRunning = true;
  harness.scheduler.Accept(job);
  const std::vector<PlannedStart> starts = harness.PlanStarts();
  REQUIRE(starts.size() == 1);
  const TimePoint unanswered = harness.clock.Now();
  harness.scheduler.HandleUnansweredStart("w1", starts[0].command.task, 1);
  harness.scheduler.HandleUnresponsive("w1");
  WorkerRoster roster = harness.scheduler.RosterToWrite();
  bool started = false;
  for (int i = 0; !started && i < 60; ++i) {
    harness.clock.Advance(seconds(1));
    if (i % 15 == 14) {
      harness.WriteProgress();
      harness.TakeOver(std::vector{ job }, roster);
    }
    harness.scheduler.UpdateWorkers(
      std::vector{ SchedulerHarness::Worker("w2") });
    roster = harness.scheduler.RosterToWrite();
    harness.scheduler.RosterWritten(roster);
    harness.Report("w2", 1, {}, {});
    started = !harness.PlanStarts().empty();
  }
  CHECK(started);
  // A copy can be carried out for 12 s. The owner changes after 15 s, and the
  // next one waits up to 10 s for the leases of the worker.
  CHECK(harness.clock.Now() - unanswered > seconds(12));
  CHECK(harness.clock.Now() - unanswered < seconds(26));
}
