#include "Quarantine.h"

#include "PlacementKnowledge.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

/** Reports successes of unrelated jobs, so that the workers count as sound. */
void
Prove(Quarantine& aQuarantine, int aWorkers)
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

// Guards against a worker that goes on to fail every task it is given.
TEST_CASE("a worker that fails several jobs is quarantined")
{
  Quarantine quarantine;
  Prove(quarantine, 20);
  quarantine.Report(kStart, "w1", "r0", "a", true);
  quarantine.Report(kStart, "w1", "r0", "b", true);
  CHECK(quarantine.StateOf(kStart, "w1") == QuarantineState::Healthy);
  quarantine.Report(kStart, "w1", "r0", "c", true);
  CHECK(quarantine.StateOf(kStart, "w1") == QuarantineState::Quarantined);
  CHECK(quarantine.StateOf(kStart, "w2") == QuarantineState::Healthy);
}

// Guards against workers that are blamed for a job that fails everywhere.
TEST_CASE("a job that fails on sound workers does not count against them")
{
  Quarantine quarantine;
  Prove(quarantine, 20);
  for (int i = 0; i < 10; ++i) {
    quarantine.Report(kStart, "w" + std::to_string(i), "r0", "bad", true);
  }
  CHECK(quarantine.IsSuspectedJob("bad"));
  CHECK_FALSE(quarantine.IsKillerJob("bad"));
  for (int i = 0; i < 5; ++i) {
    quarantine.Report(kStart, "w3", "r0", "bad", true);
  }
  for (int i = 0; i < 10; ++i) {
    CHECK(quarantine.StateOf(kStart, "w" + std::to_string(i)) ==
          QuarantineState::Healthy);
  }
}

// Guards against a worker that can fail many tasks of the only job that runs.
TEST_CASE("one job that succeeds elsewhere is evidence enough")
{
  Quarantine quarantine;
  Prove(quarantine, 20);
  for (int i = 0; i < 3; ++i) {
    quarantine.Report(kStart, "w5", "r1", "ok", true);
  }
  CHECK(quarantine.StateOf(kStart, "w5") == QuarantineState::Quarantined);
}

// Guards against a rack fault that is found out worker by worker.
TEST_CASE("a failing rack needs less evidence by worker")
{
  Quarantine quarantine;
  Prove(quarantine, 20);
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

// Guards against a quarantine that never ends, and against one that ends by a
// single lucky task.
TEST_CASE("probation ends by successes and fails by one failure")
{
  Quarantine quarantine;
  Prove(quarantine, 20);
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

// Guards against a common fault that takes the whole cell out of service.
TEST_CASE("at most a fifth of the fleet is quarantined")
{
  Quarantine quarantine;
  Prove(quarantine, 20);
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

// Guards against a job that takes down one worker after the other.
TEST_CASE("a job that kills workers one by one is named")
{
  Quarantine quarantine;
  Prove(quarantine, 20);
  TimePoint now = kStart;
  for (const char* worker : { "w0", "w5" }) {
    quarantine.WorkerLost(now, worker, "r0", { "killer", "ok" });
    now += std::chrono::minutes(5);
  }
  quarantine.StateOf(now, "w9");
  CHECK(quarantine.IsKillerJob("killer"));
  CHECK_FALSE(quarantine.IsKillerJob("ok"));
}

// Guards against jobs that are blamed for the loss of a rack or a zone.
TEST_CASE("the loss of a rack or of the zone accuses no job")
{
  Quarantine quarantine;
  Prove(quarantine, 20);
  for (const char* worker : { "w0", "w1", "w2", "w3" }) {
    quarantine.WorkerLost(kStart, worker, "r0", { "job" });
  }
  quarantine.StateOf(kStart + std::chrono::minutes(5), "w9");
  CHECK_FALSE(quarantine.IsKillerJob("job"));
}

// Guards against a worker that is blamed for a task that outgrew its declared
// memory.
TEST_CASE("a task that exceeded its memory does not accuse the worker")
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
