#include "Quarantine.h"

#include "PlacementKnowledge.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

/** Reports a success of an unrelated job on each worker, so that failures there
 * count against the failing job. */
void
ReportSuccesses(Quarantine& aQuarantine, int aWorkers)
{
  aQuarantine.SetFleetSize(static_cast<std::size_t>(aWorkers));
  for (int i = 0; i < aWorkers; ++i) {
    aQuarantine.Report(kStart,
                       "w" + std::to_string(i),
                       "r" + std::to_string(i / 4),
                       "ok",
                       false);
  }
}

} // namespace

// Guards against a faulty worker that continues to receive tasks and fails all
// of them.
TEST_CASE("a worker that fails several jobs is quarantined")
{
  Quarantine quarantine;
  ReportSuccesses(quarantine, 20);
  quarantine.Report(kStart, "w1", "r0", "a", true);
  quarantine.Report(kStart, "w1", "r0", "b", true);
  CHECK(quarantine.StateOf(kStart, "w1") == QuarantineState::Healthy);
  quarantine.Report(kStart, "w1", "r0", "c", true);
  CHECK(quarantine.StateOf(kStart, "w1") == QuarantineState::Quarantined);
  CHECK(quarantine.StateOf(kStart, "w2") == QuarantineState::Healthy);
}

// Guards against the quarantine of workers because of a job that fails on every
// worker.
TEST_CASE("a job that fails on healthy workers does not count against them")
{
  Quarantine quarantine;
  ReportSuccesses(quarantine, 20);
  for (int i = 0; i < 10; ++i) {
    quarantine.Report(kStart, "w" + std::to_string(i), "r0", "bad", true);
  }
  CHECK(quarantine.IsSuspectedJob("bad"));
  CHECK_FALSE(quarantine.IsSuspectedOfLosses("bad"));
  for (int i = 0; i < 5; ++i) {
    quarantine.Report(kStart, "w3", "r0", "bad", true);
  }
  for (int i = 0; i < 10; ++i) {
    CHECK(quarantine.StateOf(kStart, "w" + std::to_string(i)) ==
          QuarantineState::Healthy);
  }
}

// Guards against a faulty worker that is never quarantined because all of its
// failures are of the same job.
TEST_CASE("failures of one job that succeeds elsewhere suffice as evidence")
{
  Quarantine quarantine;
  ReportSuccesses(quarantine, 20);
  for (int i = 0; i < 3; ++i) {
    quarantine.Report(kStart, "w5", "r1", "ok", true);
  }
  CHECK(quarantine.StateOf(kStart, "w5") == QuarantineState::Quarantined);
}

// Guards against slow detection of the fault of a rack, with the full evidence
// gathered for each of its workers.
TEST_CASE("less evidence is required for a worker in a failing rack")
{
  Quarantine quarantine;
  ReportSuccesses(quarantine, 20);
  for (const char* worker : { "w0", "w1" }) {
    for (const char* job : { "a", "b", "c" }) {
      quarantine.Report(kStart, worker, "r0", job, true);
    }
  }
  for (const char* job : { "d", "e" }) {
    quarantine.Report(kStart, "w2", "r0", job, true);
    quarantine.Report(kStart, "w9", "r2", job, true);
  }
  CHECK(quarantine.StateOf(kStart, "w2") == QuarantineState::Quarantined);
  CHECK(quarantine.StateOf(kStart, "w9") == QuarantineState::Healthy);
}

// Guards against a quarantine that never ends and against a faulty worker that
// is released after a single success.
TEST_CASE("probation ends after two successes or at the first failure")
{
  Quarantine quarantine;
  ReportSuccesses(quarantine, 20);
  for (const char* job : { "a", "b", "c" }) {
    quarantine.Report(kStart, "w1", "r0", job, true);
  }
  TimePoint now = kStart + std::chrono::minutes(1);
  CHECK(quarantine.StateOf(now, "w1") == QuarantineState::Probation);
  quarantine.Report(now, "w1", "r0", "d", true);
  CHECK(quarantine.StateOf(now, "w1") == QuarantineState::Quarantined);
  now += std::chrono::minutes(1);
  CHECK(quarantine.StateOf(now, "w1") == QuarantineState::Quarantined);
  now += std::chrono::minutes(1);
  CHECK(quarantine.StateOf(now, "w1") == QuarantineState::Probation);
  quarantine.Report(now, "w1", "r0", "e", false);
  CHECK(quarantine.StateOf(now, "w1") == QuarantineState::Probation);
  quarantine.Report(now, "w1", "r0", "f", false);
  CHECK(quarantine.StateOf(now, "w1") == QuarantineState::Healthy);
}

// Guards against a common fault because of which all workers of a cell are
// quarantined.
TEST_CASE("at most a fifth of the fleet is quarantined")
{
  Quarantine quarantine;
  ReportSuccesses(quarantine, 20);
  int quarantined = 0;
  for (int i = 0; i < 20; ++i) {
    const std::string worker = "w" + std::to_string(i);
    for (int job = 0; job < 4; ++job) {
      quarantine.Report(kStart,
                        worker,
                        "r" + std::to_string(i / 4),
                        worker + std::to_string(job),
                        true);
    }
    const bool out =
      quarantine.StateOf(kStart, worker) == QuarantineState::Quarantined;
    quarantined += out ? 1 : 0;
  }
  CHECK(quarantined == 4);
}

// Guards against a job that crashes one worker after another without being
// suspected.
TEST_CASE("a job that repeatedly crashes its worker is suspected")
{
  Quarantine quarantine;
  ReportSuccesses(quarantine, 20);
  TimePoint now = kStart;
  for (const char* worker : { "w0", "w5" }) {
    quarantine.WorkerLost(now, worker, "r0", { "killer", "ok" });
    now += std::chrono::minutes(5);
  }
  quarantine.StateOf(now, "w9");
  CHECK(quarantine.IsSuspectedOfLosses("killer"));
  CHECK_FALSE(quarantine.IsSuspectedOfLosses("ok"));
}

// Guards against the suspicion of jobs that ran on workers lost together with
// their rack or zone.
TEST_CASE("the loss of a rack or of the zone is not attributed to a job")
{
  Quarantine quarantine;
  ReportSuccesses(quarantine, 20);
  for (const char* worker : { "w0", "w1", "w2", "w3" }) {
    quarantine.WorkerLost(kStart, worker, "r0", { "job" });
  }
  quarantine.StateOf(kStart + std::chrono::minutes(5), "w9");
  CHECK_FALSE(quarantine.IsSuspectedOfLosses("job"));
}

// Guards against the quarantine of a worker because of tasks that exceeded
// their declared memory, which is the fault of their jobs.
TEST_CASE("a task that exceeded its memory does not count against the worker")
{
  PlacementKnowledge knowledge;
  TaskEnd end;
  end.worker = "w0";
  end.rack = "r0";
  end.failed = true;
  end.exceededMemory = true;
  for (const char* job : { "a", "b", "c", "d" }) {
    end.job = job;
    knowledge.TaskEnded(kStart, end);
  }
  CHECK(knowledge.StateOf(kStart, "w0") == QuarantineState::Healthy);
}

// Guards against a worker that is sound again and stays in quarantine although
// only it can run some tasks.
TEST_CASE("tasks are tried on a quarantined worker until two succeed")
{
  using std::chrono::seconds;
  Quarantine quarantine;
  ReportSuccesses(quarantine, 20);
  TimePoint now = kStart;
  for (const char* const job : { "a", "b", "c" }) {
    quarantine.Report(now, "w1", "r0", job, true);
  }
  REQUIRE(quarantine.IsQuarantined(now, "w1"));
  CHECK_FALSE(quarantine.MayTry(now, "w1"));
  CHECK_FALSE(quarantine.MayTry(now, "w2"));
  // The pauses grow up to a limit while tasks fail.
  for (const seconds pause :
       { seconds(2), seconds(4), seconds(8), seconds(8) }) {
    CHECK_FALSE(quarantine.MayTry(now + pause - seconds(1), "w1"));
    now += pause;
    REQUIRE(quarantine.MayTry(now, "w1"));
    quarantine.BeginTrial(now, "w1", "d");
    CHECK_FALSE(quarantine.MayTry(now, "w1"));
    quarantine.Report(now, "w1", "r0", "d", true);
  }
  now += seconds(8);
  quarantine.BeginTrial(now, "w1", "e");
  // A task that was started before the quarantine proves nothing.
  quarantine.Report(now, "w1", "r0", "f", false);
  CHECK_FALSE(quarantine.MayTry(now, "w1"));
  quarantine.Report(now, "w1", "r0", "e", false);
  CHECK(quarantine.IsQuarantined(now, "w1"));
  REQUIRE(quarantine.MayTry(now, "w1"));
  quarantine.BeginTrial(now, "w1", "e");
  quarantine.Report(now, "w1", "r0", "e", false);
  CHECK(quarantine.StateOf(now, "w1") == QuarantineState::Healthy);
}
