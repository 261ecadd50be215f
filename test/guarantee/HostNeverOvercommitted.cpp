#include "support/ReadyCell.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sequoiakeel;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const std::string kJob = "cell-1.1";

/** Maximum number of tasks of kTaskSize on one worker of kWorkerSize. */
constexpr std::size_t kFitting = 8;

/** A cell whose events are chosen by a sequence of bytes. */
class RandomCell : public ReadyCell
{
public:
  explicit RandomCell(std::uint64_t aSeed)
    : ReadyCell(aSeed, 2)
  {
    this->AddPlanner("p2");
    this->faultPercent = 15;
  }

  void Happen(std::uint8_t aEvent)
  {
    using Step = void (RandomCell::*)(std::uint8_t);
    constexpr Step kSteps[] = {
      &RandomCell::SubmitJob, &RandomCell::SubmitJob,
      &RandomCell::CutOff,    &RandomCell::Reconnect,
      &RandomCell::KillOwner, &RandomCell::RestartWorker,
      &RandomCell::EvictAll,  &RandomCell::SwitchStore,
      &RandomCell::PauseOne,
    };
    (this->*kSteps[aEvent % std::size(kSteps)])(aEvent);
    this->Run(seconds(aEvent % 23));
  }

  /** Ends all faults; returns whether all jobs then end within 30 minutes. */
  bool Settles()
  {
    this->store.down = false;
    this->faultPercent = 0;
    this->unreachable.clear();
    this->ResumeAll();
    return this->RunUntil(
      [this] {
        FakePlanner* owner = this->Owner();
        return owner != nullptr && owner->machine->Committed().OpenJobs() == 0;
      },
      minutes(30));
  }

private:
  static std::string Worker(std::uint8_t aEvent)
  {
    return aEvent % 2 == 0 ? "w1" : "w2";
  }

  void SubmitJob(std::uint8_t aEvent)
  {
    if (this->Owner() != nullptr) {
      this->SubmitOne("cell-1.j" + std::to_string(this->jobs++),
                      1000 + aEvent * 300,
                      1 + aEvent % 12,
                      Resources{ 500 + aEvent * 40, 1000 + aEvent * 90, 0 });
    }
  }

  void CutOff(std::uint8_t aEvent) { this->unreachable.insert(Worker(aEvent)); }

  void Reconnect(std::uint8_t) { this->unreachable.clear(); }

  void KillOwner(std::uint8_t)
  {
    FakePlanner* owner = this->Owner();
    if (owner != nullptr) {
      this->Kill(owner->name);
      this->AddPlanner("p" + std::to_string(++this->added));
    }
  }

  void RestartWorker(std::uint8_t aEvent)
  {
    this->workers[Worker(aEvent)]->Restart(
      Resources{ 16000 + aEvent * 100, 60000 + aEvent * 100, 0 });
  }

  void EvictAll(std::uint8_t aEvent)
  {
    FakePlanner* owner = this->Owner();
    if (owner == nullptr) {
      return;
    }
    const std::set<TaskRef> tasks =
      owner->machine->Working().TasksOn(Worker(aEvent));
    for (const TaskRef& task : tasks) {
      owner->machine->Evict(task, "test", this->clock.Now());
    }
  }

  void SwitchStore(std::uint8_t) { this->store.down = !this->store.down; }

  void ResumeAll()
  {
    for (const auto& [name, planner] : this->planners) {
      if (planner->paused) {
        this->Resume(name);
      }
    }
  }

  void PauseOne(std::uint8_t aEvent)
  {
    this->ResumeAll();
    if (aEvent > 128) {
      this->Pause(this->planners.begin()->first);
    }
  }

  int jobs = 0;
  int added = 2;
};

} // namespace

// Guards against a ledger that accepts a commitment beyond a worker's capacity
// in any resource dimension, or counts a task twice.
TEST_CASE("the ledger refuses what does not fit in any dimension")
{
  Ledger ledger;
  ledger.SetCapacity("w", Resources{ 1000, 1000, 1 });
  CHECK(ledger.Commit("w", "a", Resources{ 1000, 10, 0 }));
  CHECK_FALSE(ledger.Commit("w", "b", Resources{ 1, 10, 0 }));
  CHECK_FALSE(ledger.Commit("w", "a", Resources{ 0, 0, 0 }));
  CHECK_FALSE(ledger.Commit("w", "c", Resources{ 0, 991, 0 }));
  CHECK_FALSE(ledger.Commit("w", "c", Resources{ 0, 0, 2 }));
  CHECK_FALSE(ledger.Commit("unknown", "c", Resources{ 0, 0, 0 }));
  CHECK(ledger.Commit("w", "c", Resources{ 0, 990, 1 }));
  ledger.Release("w", "a");
  CHECK(ledger.Free("w") == Resources{ 1000, 10, 0 });
}

// Guards against overcommitting a worker because a placement policy chose one
// without enough free capacity.
TEST_CASE("a policy that ignores room cannot overcommit")
{
  ReadyCell world(1);
  world.planners["p1"]->policies.ignoreCapacity = true;
  world.SubmitOne(kJob, 30000, 60);
  CHECK(world.RunUntil([&] {
    return world.Running() == 2 * kFitting || world.Running() == kFitting;
  }));
  CHECK(world.RunUntilFinished(kJob));
  CHECK(world.violations.empty());
}

// Guards against overcommitted workers when an owner whose lease expired while
// it was paused resumes beside its successor and both place tasks.
TEST_CASE("two owners around an expired lease do not overcommit")
{
  for (std::uint64_t seed = 100; seed < 130; ++seed) {
    ReadyCell world(seed);
    FakePlanner& second = world.AddPlanner("p2");
    world.SubmitOne(kJob, 60000, 30);
    world.Run(std::chrono::milliseconds(40 * (seed % 25)));
    world.Pause("p1");
    REQUIRE(world.RunUntil([&] { return world.Owner() == &second; }));
    world.Submit(second, "cell-1.2", 30, kTaskSize, 60000);
    world.Run(seconds(seed % 9));
    world.Resume("p1");
    world.Run(minutes(1));
    CHECK(world.RunUntilFinished("cell-1.2"));
    CHECK(world.violations.empty());
  }
}

// Guards against a new owner that does not count the capacity committed by its
// dead predecessor for start commands that have not reached the workers yet.
TEST_CASE("starts in flight count as committed for the next owner")
{
  for (std::uint64_t seed = 200; seed < 220; ++seed) {
    ReadyCell world(seed);
    world.AddPlanner("p2");
    world.workerFate = [](const WorkerCommand& aCommand) {
      const bool mine = aCommand.taskId.starts_with("cell-1.1.");
      return mine && aCommand.verb == WorkerVerb::Start
               ? DeliveryFault::DelayRequest
               : DeliveryFault::Deliver;
    };
    world.SubmitOne(kJob, 600000, 16);
    const CellMachine& old = world.Machine("p1");
    REQUIRE(world.RunUntil([&] {
      const Job* job = old.Committed().FindJob(kJob);
      return job != nullptr && job->row.nextTask == 16;
    }));
    world.Kill("p1");
    REQUIRE(world.RunUntil([&] { return world.Owner() != nullptr; }));
    // The workers report no running tasks to the new owner.
    world.SubmitOne("cell-1.2", 60000, 16);
    world.Run(minutes(2));
    CHECK(world.violations.empty());
  }
}

// Guards against a delayed usage report that is counted for a newer attempt of
// the task, and against observed usage above the declared size being ignored.
TEST_CASE("observed usage raises the commitment of its own attempt only")
{
  ReadyCell world(2);
  world.AddWorker("w3", kWorkerSize);
  for (const auto& [name, worker] : world.workers) {
    worker->extraMemoryMb = 40000;
  }
  world.SubmitOne(kJob, 200000, 6);
  REQUIRE(world.RunUntil([&] { return world.Running() == 6; }));
  world.Run(seconds(10));
  CellMachine& machine = world.Machine("p1");
  const std::string worker = world.WorkerRunning("cell-1.1.0");
  const auto before = machine.Working().Commitments().Committed(worker);
  CHECK(before.memoryMb > 8000 * 6);
  // The next attempt is committed with the declared size again.
  CHECK(machine.Evict({ kJob, 0 }, "test", world.clock.Now()));
  world.repliesLost.insert(worker);
  world.Run(seconds(1));
  world.repliesLost.clear();
  REQUIRE(world.RunUntil([&] { return world.starts["cell-1.1.0"] == 2; }));
  CHECK(world.violations.empty());
}

// Guards against filling a worker up to its old capacity after it restarted
// with a smaller one, and against tasks of its old incarnation that are still
// counted or are lost.
TEST_CASE("a worker replaced by a smaller one is filled by its new capacity")
{
  for (std::uint64_t seed = 300; seed < 320; ++seed) {
    ReadyCell world(seed);
    world.faultPercent = 10;
    world.SubmitOne(kJob, 60000, 24);
    REQUIRE(world.RunUntil([&] { return world.Running() >= kFitting; }));
    world.workers["w1"]->Restart(Resources{ 9000, 20000, 0 });
    CHECK(world.RunUntilFinished(kJob));
    CHECK(world.finished.size() == 24);
    CHECK(world.violations.empty());
  }
}

// Guards against a start that was decided before its worker's capacity shrank
// and is sent after, since its log record was late.
TEST_CASE("a start that waits for its log record is not sent to a full worker")
{
  for (std::uint64_t seed = 400; seed < 410; ++seed) {
    CAPTURE(seed);
    ReadyCell world(seed);
    world.planners["p1"]->policies.rotate = false;
    world.storeFate = [](const StoreCommand& aCommand) {
      return aCommand.verb == StoreVerb::Put ? DeliveryFault::LoseRequest
                                             : DeliveryFault::Deliver;
    };
    world.SubmitOne(kJob, 20000, kFitting);
    world.Run(seconds(1));
    world.workers["w1"]->capacity = Resources{ 13000, 125000, 0 };
    world.Run(seconds(5));
    world.storeFate = nullptr;
    CHECK(world.RunUntilFinished(kJob));
    CHECK(world.violations.empty());
    // The capacity is used again after it has grown.
    world.workers["w1"]->capacity = kWorkerSize;
    world.Run(seconds(5));
    world.SubmitOne("cell-1.2", 20000, kFitting);
    CHECK(world.RunUntil([&] { return world.RunningOn("w1") == kFitting; }));
    CHECK(world.violations.empty());
  }
}

// Guards against a worker that stays overcommitted after its capacity shrinks
// while tasks run on it.
TEST_CASE("tasks leave a worker whose capacity shrinks")
{
  ReadyCell world(3);
  world.planners["p1"]->policies.rotate = false;
  world.SubmitOne(kJob, 300000, kFitting);
  REQUIRE(world.RunUntil([&] { return world.RunningOn("w1") == kFitting; }));
  world.workers["w1"]->capacity = Resources{ 13000, 125000, 0 };
  CHECK(world.RunUntil([&] { return world.RunningOn("w1") == 3; }, minutes(1)));
  CHECK(world.RunUntilFinished(kJob));
  CHECK(world.violations.empty());
}

// Guards against committed resources that diverge from the running tasks over
// long random sequences of submissions, lost connections, owner changes, worker
// restarts, store outages and evictions.
TEST_CASE("no random sequence of events overcommits, doubles or loses a task")
{
  const bool holds = rc::check(
    "random sequences keep the guarantees",
    [](std::uint64_t aSeed, const std::vector<std::uint8_t>& aEvents) {
      RandomCell world(aSeed);
      for (const std::uint8_t event : aEvents) {
        world.Happen(event);
      }
      RC_ASSERT(world.Settles());
      for (const std::string& breach : world.violations) {
        RC_LOG() << breach << "\n";
      }
      RC_ASSERT(world.violations.empty());
      for (const auto& [id, job] : world.Owner()->machine->Committed().Jobs()) {
        // Only a task under which two workers were restarted may be given up.
        const auto failed = static_cast<std::uint32_t>(std::ranges::count_if(
          world.restartsUnder, [&, name = id](const auto& aTask) {
            return aTask.second >= 2 && !world.finished.contains(aTask.first) &&
                   ParseTaskId(aTask.first)->job == name;
          }));
        RC_ASSERT(job.row.failed <= failed);
        RC_ASSERT(job.row.finished + job.row.failed ==
                  static_cast<std::uint32_t>(job.row.spec.taskCount));
      }
    });
  CHECK(holds);
}
