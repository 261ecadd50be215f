/**
 * Guards against decisions based on a capacity that a worker no longer has: a
 * worker's capacity can shrink, down to nothing, and grow again while tasks run
 * on it.
 */
#include "support/LoadSimulator.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>
#include <string>
#include <vector>

using namespace sequoiakeel;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Time after which a smaller capacity counts, in addition to one heartbeat of
 * the worker, as the platform's rules state it. */
constexpr milliseconds kCapacityNotice{ 3000 };

WorkerDescription
WorkerOf(const std::string& aId, std::int64_t aCpuMilli, std::int64_t aMemoryMb)
{
  WorkerDescription worker = SchedulerHarness::Worker(aId);
  worker.capacity = WorkerCapacity{ aCpuMilli, aMemoryMb, 0 };
  return worker;
}

/** Changes the listed capacity of the only worker. */
void
ListOne(SchedulerHarness& aHarness,
        std::int64_t aCpuMilli,
        std::int64_t aMemoryMb = 128000)
{
  aHarness.scheduler.UpdateWorkers(
    std::vector{ WorkerOf("w", aCpuMilli, aMemoryMb) });
}

WorkflowSubmission
Filler(const SchedulerHarness& aHarness,
       const std::string& aId,
       std::uint32_t aCpuMilli)
{
  WorkflowSubmission job = aHarness.Job(aId);
  job.steps[0].cpuMilli = aCpuMilli;
  job.steps[0].filler = true;
  job.steps[0].image = "batch";
  return job;
}

WorkflowSubmission
LongRunning(const SchedulerHarness& aHarness,
            const std::string& aId,
            std::uint32_t aCount,
            std::uint32_t aCpuMilli)
{
  WorkflowSubmission job = aHarness.Job(aId, aCount);
  job.steps[0].cpuMilli = aCpuMilli;
  job.steps[0].longRunning = true;
  return job;
}

/** Plays a mix of all kinds of task while capacities change at random, and
 * returns the starts that exceeded a capacity. */
std::vector<std::string>
PlayResizes(std::uint64_t aSeed, int& aStarts)
{
  constexpr int kWorkers = 6;
  LoadSimulator player(kWorkers, aSeed);
  player.DelayStarts();
  std::mt19937_64 random(aSeed + 1);
  const auto draw = [&random](int aLimit) {
    return std::uniform_int_distribution<int>(0, aLimit - 1)(random);
  };
  for (int i = 0; i < 4; ++i) {
    player.SubmitLongRunning("service" + std::to_string(i), 3, 5000);
  }
  for (int i = 0; i < 400; ++i) {
    const std::string id = std::to_string(i);
    CellScheduler& scheduler = player.harness.scheduler;
    if (scheduler.CountPendingJobs("quotes") < 12) {
      WorkflowSubmission job = player.harness.Job("job" + id, 1 + draw(4));
      WorkflowStep& step = job.steps[0];
      step.cpuMilli = 500 + draw(9000);
      step.memoryMb = 1000 + draw(20000);
      step.estimateMs = 100 + draw(1500);
      const int kind = draw(8);
      step.gang = kind == 0;
      step.filler = kind == 1;
      step.longRunning = kind == 2 && i < 200;
      scheduler.Accept(job);
    }
    if (draw(6) == 0) {
      scheduler.Cancel("job" + std::to_string(draw(i + 1)));
    }
    if (draw(4) == 0) {
      player.Resize("w" + std::to_string(draw(kWorkers)),
                    WorkerCapacity{ 1000 * draw(40), 4000 * draw(40), 0 });
    }
    player.Simulate(milliseconds(100));
  }
  aStarts += player.starts;
  return player.startsOverCapacity;
}

} // namespace

// Guards against a reading interval and a validity of starts which together
// exceed the time after which a smaller capacity counts.
TEST_CASE("a start decided on an earlier capacity arrives in time")
{
  for (const int drain : { 500, 2000, 4000, 20000 }) {
    SchedulerTimings timings;
    timings.drain = milliseconds(drain);
    CHECK(timings.RegistryInterval() + LoadSimulator::kMaxTransit <=
          kCapacityNotice);
  }
}

// Guards against a start command that is sent again after its worker has become
// too small for it.
TEST_CASE("a start is not repeated once its worker has become too small")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w" });
  harness.scheduler.Accept(harness.Job("a000000000000000"));
  const PlannedStart start = harness.scheduler.Plan().starts.at(0);
  const auto awaited = [&] {
    return harness.scheduler.AwaitsStart(
      "w", start.command.task, start.command.run);
  };
  CHECK(awaited());
  SUBCASE("in processors")
  {
    ListOne(harness, 900);
    CHECK(!awaited());
    ListOne(harness, 1000);
    CHECK(awaited());
  }
  SUBCASE("in memory")
  {
    ListOne(harness, 32000, 99);
    CHECK(!awaited());
  }
}

// Guards against an estimate of the unused processor time from before the
// change, which lets fillers start on a worker that has become small.
TEST_CASE("a filler is not placed by the earlier capacity of a worker")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w0", "w1" });
  harness.scheduler.Accept(Filler(harness, "f000000000000000", 20000));
  const std::vector<PlannedStart> first = harness.PlanAndConfirm();
  REQUIRE(first.size() == 1);
  const std::string used = first[0].worker;
  const std::string other = used == "w0" ? "w1" : "w0";
  harness.scheduler.UpdateWorkers(std::vector{ WorkerOf(used, 32000, 128000),
                                               WorkerOf(other, 1000, 128000) });
  harness.scheduler.Accept(Filler(harness, "f100000000000000", 8000));
  const std::vector<PlannedStart> second = harness.PlanAndConfirm();
  REQUIRE(second.size() == 1);
  CHECK(second[0].worker == used);
}

// Guards against divisions by a capacity of zero, whose results reach the speed
// of fillers and the evidence for all owners.
TEST_CASE("fillers pause on a worker whose processors are gone")
{
  for (std::int64_t usage : { 0, 3200 }) {
    SchedulerHarness harness;
    harness.AddWorkers({ "w" });
    WorkflowSubmission serving =
      LongRunning(harness, "5e41000000000000", 1, 1000);
    serving.steps[0].image = "web";
    serving.steps[0].latencyTargetMs = 50;
    harness.scheduler.Accept(serving);
    harness.PlanAndConfirm();
    InterferenceEvidence evidence;
    evidence.effects.push_back(EffectEvidence{ "web", "batch", 0.0, 1000.0 });
    harness.scheduler.SetPeerEvidence("other", evidence);
    const std::string filler = "f111000000000000.0.0.0";
    const auto report = [&](bool aFiller) {
      harness.clock.Advance(milliseconds(900));
      harness.scheduler.NoteLease("w", harness.WorkerMs() + 5000);
      std::vector<RunningRun> rows{
        { "5e41000000000000.0.0.0", 1, "", 50, 20 }
      };
      if (aFiller) {
        rows.push_back({ filler, 1, "", 50, usage });
      }
      harness.Report("w", 1, rows, {});
    };
    report(false);
    harness.scheduler.Accept(Filler(harness, "f111000000000000", 3200));
    REQUIRE(harness.PlanAndConfirm().size() == 1);
    report(true);
    harness.scheduler.Plan();
    ListOne(harness, 0);
    int percent = 100;
    const auto plan = [&] {
      for (const PlannedThrottle& order : harness.scheduler.Plan().throttles) {
        percent = order.percent;
        CHECK(percent >= 0);
        CHECK(percent <= 100);
      }
    };
    for (int i = 0; i < 4; ++i) {
      report(true);
      plan();
    }
    CHECK(percent == 0);
    // The speed rises again with the capacity.
    ListOne(harness, 32000);
    for (int i = 0; i < 8; ++i) {
      report(true);
      plan();
    }
    CHECK(percent == 100);
    // The effect of the filler can still be learnt.
    for (int i = 0; i < 60; ++i) {
      usage = i % 4 < 2 ? 800 : 3200;
      report(true);
      harness.scheduler.Plan();
    }
    const InterferenceEvidence learnt = harness.scheduler.Evidence();
    REQUIRE(learnt.effects.size() == 1);
    CHECK(std::isfinite(learnt.effects[0].effect));
    CHECK(learnt.effects[0].weight > 0);
  }
}

// Guards against starts on a restarted worker by the registry entry of its
// earlier incarnation, which may have had other labels and more capacity.
TEST_CASE("a new incarnation gets no starts before the registry describes it")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w" });
  harness.Report("w", 2, {}, {});
  harness.scheduler.Accept(harness.Job("a000000000000000"));
  CHECK(harness.PlanAndConfirm().empty());
  WorkerDescription described = WorkerOf("w", 500, 128000);
  described.incarnation = 2;
  harness.scheduler.UpdateWorkers(std::vector{ described });
  CHECK(harness.PlanAndConfirm().empty());
  described.capacity.cpuMilli = 1000;
  harness.scheduler.UpdateWorkers(std::vector{ described });
  CHECK(harness.PlanAndConfirm().size() == 1);
}

// Guards against entries without an incarnation, which would otherwise never
// count as describing the worker that reports.
TEST_CASE("a worker whose entry names no incarnation gets starts")
{
  SchedulerHarness harness;
  WorkerDescription described = WorkerOf("w", 32000, 128000);
  described.incarnation = 0;
  harness.scheduler.SetRoster({});
  harness.scheduler.UpdateWorkers(std::vector{ described });
  harness.scheduler.RosterWritten(harness.scheduler.RosterToWrite());
  harness.Report("w", 7, {}, {});
  harness.scheduler.Accept(harness.Job("a000000000000000"));
  CHECK(harness.PlanAndConfirm().size() == 1);
}

// Guards against a reservation on a worker that has become too small for it,
// while short tasks take the capacity of the workers that could serve.
TEST_CASE("a reservation moves from a worker that has become too small")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w0", "w1" });
  WorkflowSubmission shorts = harness.Job("5000000000000000", 8);
  shorts.steps[0].cpuMilli = 8000;
  shorts.steps[0].estimateMs = 4000;
  harness.scheduler.Accept(shorts);
  std::map<std::string, std::vector<RunningRun>> rows;
  for (const PlannedStart& start : harness.PlanAndConfirm()) {
    // The tasks of the first worker are about to end.
    const int percent = start.worker == "w0" ? 90 : 20;
    rows[start.worker].push_back({ start.command.task, 1, "", percent, 0 });
  }
  REQUIRE(rows["w0"].size() == 4);
  harness.clock.Advance(milliseconds(500));
  harness.Report("w0", 1, rows["w0"], {});
  harness.Report("w1", 1, rows["w1"], {});
  harness.scheduler.Accept(LongRunning(harness, "1000000000000000", 1, 16000));
  CHECK(harness.PlanAndConfirm().empty());
  harness.scheduler.UpdateWorkers(std::vector{ WorkerOf("w0", 12000, 128000),
                                               WorkerOf("w1", 32000, 128000) });
  WorkflowSubmission more = harness.Job("5100000000000000", 1);
  more.steps[0].cpuMilli = 8000;
  harness.scheduler.Accept(more);
  const EndedRun end{ 1, rows["w1"].back().task, 1, RunEnd::Done, "" };
  rows["w1"].pop_back();
  harness.Report("w1", 1, rows["w1"], { end });
  CHECK(harness.PlanAndConfirm().empty());
}

// Guards against a reservation that outlives its need: the reserving task takes
// the place at once that a grown worker offers.
TEST_CASE("a waiting task starts at once on a worker that grows")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w" });
  harness.scheduler.Accept(LongRunning(harness, "1000000000000000", 2, 20000));
  CHECK(harness.PlanAndConfirm().size() == 1);
  CHECK(harness.PlanAndConfirm().empty());
  ListOne(harness, 40000);
  CHECK(harness.PlanAndConfirm().size() == 1);
}

// Guards against free processors that are offered to other cells although the
// worker has no memory left for a task.
TEST_CASE("a worker without memory offers no capacity for long-running tasks")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w" });
  harness.scheduler.Accept(LongRunning(harness, "1000000000000000", 2, 1000));
  REQUIRE(harness.PlanAndConfirm().size() == 2);
  const LongRunningCapacity before = harness.scheduler.CapacityForLongRunning();
  REQUIRE(before.groups.size() == 1);
  CHECK(before.groups.front().freeCpuMilli == 30000);
  SUBCASE("memory")
  {
    ListOne(harness, 32000, 150);
  }
  SUBCASE("processors")
  {
    ListOne(harness, 1500);
  }
  CHECK(harness.scheduler.CapacityForLongRunning().groups.empty());
}

// Guards against stops of tasks that run on a worker which has become too small
// for them, and against further starts there.
TEST_CASE("tasks keep running on a worker that has become too small")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w" });
  harness.scheduler.Accept(LongRunning(harness, "1000000000000000", 2, 10000));
  harness.scheduler.Accept(harness.Job("a000000000000000", 2));
  REQUIRE(harness.PlanAndConfirm().size() == 4);
  ListOne(harness, 12000);
  harness.scheduler.Accept(harness.Job("b000000000000000"));
  const PlannedCommands commands = harness.scheduler.Plan();
  CHECK(commands.starts.empty());
  CHECK(commands.stops.empty());
}

// Guards against tasks that are declared lost or started twice because the
// registry entry of their worker cannot be read for a time.
TEST_CASE("tasks keep running on a worker whose entry cannot be read")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w" });
  harness.scheduler.Accept(LongRunning(harness, "1000000000000000", 1, 10000));
  REQUIRE(harness.PlanAndConfirm().size() == 1);
  harness.scheduler.UpdateWorkers({});
  harness.scheduler.Accept(harness.Job("b000000000000000"));
  for (int i = 0; i < 20; ++i) {
    harness.clock.Advance(milliseconds(500));
    harness.scheduler.NoteLease("w", harness.scheduler.LeaseUntil("w"));
    harness.Report("w", 1, { { "1000000000000000.0.0.0", 1, "", 100, 0 } }, {});
    const PlannedCommands commands = harness.scheduler.Plan();
    CHECK(commands.starts.empty());
    CHECK(commands.stops.empty());
    CHECK(harness.scheduler.WorkersToRenew().size() == 1);
  }
  ListOne(harness, 32000);
  CHECK(harness.PlanAndConfirm().size() == 1);
}

// Guards against starts beyond a capacity that has shrunk, whatever else
// happens on the worker: runs that are being stopped, gangs, fillers and
// reservations.
TEST_CASE("no start exceeds a capacity that has counted long enough")
{
  int starts = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    const std::vector<std::string> over = PlayResizes(seed, starts);
    INFO("seed ", seed, ": ", over.empty() ? "" : over.front());
    CHECK(over.empty());
  }
  CHECK(starts > 4000);
}

// Guards against a start beyond the capacity of a worker that became smaller
// while the start was held.
TEST_CASE("a held start is not sent once its worker has become too small")
{
  SchedulerHarness harness;
  harness.AddWorkers({ "w" });
  harness.scheduler.Accept(LongRunning(harness, "s", 1, 20000));
  CHECK(harness.scheduler.Plan().starts.empty());
  REQUIRE(harness.scheduler.HasHeldStarts());
  ListOne(harness, 19000);
  harness.WriteProgress();
  CHECK(harness.scheduler.Plan().starts.empty());
  CHECK(harness.scheduler.FindWorker("w")->Committed().cpuMilli == 0);
  ListOne(harness, 20000);
  const std::vector<PlannedStart> starts = harness.PlanAndConfirm();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].command.run == 2);
}
