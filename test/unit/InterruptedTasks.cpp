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
    const PlannedCommands commands = harness.scheduler.Plan();
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
