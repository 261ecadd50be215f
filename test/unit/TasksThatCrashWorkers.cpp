#include "support/ReadyCell.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sequoiakeel;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const std::string kInnocentJob = "cell-1.innocent";

/** Maximum number of starts of a task that crashes each worker that starts it:
 * two after the third crash. */
constexpr int kMaxStarts = 5;

/** Maximum time until the jobs of a test have ended. */
constexpr minutes kLimit{ 30 };

/** A cell of four workers whose owner can be replaced. */
class CrashingCell : public ReadyCell
{
public:
  explicit CrashingCell(std::uint64_t aSeed)
    : ReadyCell(aSeed)
  {
    this->AddWorker("w3", kWorkerSize);
    this->AddWorker("w4", kWorkerSize);
    this->Run(seconds(8));
  }

  /** Submits a job of one task that crashes each worker aAfter its start. */
  std::string SubmitCrashing(Duration aAfter)
  {
    const std::string job =
      "cell-1.crashing" + std::to_string(this->crashingJobs.size());
    this->crashingTasks[job + ".0"] = aAfter;
    this->crashingJobs.push_back(job);
    this->SubmitOne(job, 60000);
    return job;
  }

  void ReplaceOwner(const std::string& aNext)
  {
    this->Kill(this->Owner()->name);
    this->AddPlanner(aNext);
    REQUIRE(this->RunUntil([this] { return this->Owner() != nullptr; }));
  }

  bool RunUntilGivenUp()
  {
    return this->RunUntil(
      [this] {
        return std::ranges::all_of(this->crashingJobs,
                                   [this](const std::string& aJob) {
                                     return this->StateOf(aJob) == "failed";
                                   });
      },
      kLimit);
  }

  void CheckStarts()
  {
    for (const std::string& job : this->crashingJobs) {
      CAPTURE(job);
      CHECK(this->starts[job + ".0"] <= kMaxStarts);
    }
    CHECK(this->violations.empty());
  }

  std::vector<std::string> crashingJobs;
};

} // namespace

// Guards against a task that crashes each worker that starts it and is started
// without limit.
TEST_CASE("a task that crashes its workers is given up")
{
  for (std::uint64_t seed = 100; seed < 110; ++seed) {
    CAPTURE(seed);
    CrashingCell world(seed);
    world.SubmitOne(kInnocentJob, 20000, 12);
    world.SubmitCrashing(seed % 2 == 0 ? seconds(0) : seconds(2));
    CHECK(world.RunUntilGivenUp());
    CHECK(world.RunUntilFinished(kInnocentJob));
    world.CheckStarts();
  }
}

// Guards against crashes that are forgotten with the owner that saw them.
TEST_CASE("crashes under a task are remembered when the cell's owner changes")
{
  for (std::uint64_t seed = 200; seed < 210; ++seed) {
    CAPTURE(seed);
    CrashingCell world(seed);
    world.SubmitOne(kInnocentJob, 20000, 12);
    world.SubmitCrashing(milliseconds(500 * (seed % 3)));
    for (int crash = 1; crash <= 3; ++crash) {
      REQUIRE(world.RunUntil([&] { return world.crashes >= crash; }));
      // The owner is replaced before or after it has seen the crash.
      world.Run(seconds(seed % 5 * 2));
      world.ReplaceOwner("next" + std::to_string(crash));
    }
    CHECK(world.RunUntilGivenUp());
    CHECK(world.RunUntilFinished(kInnocentJob));
    world.CheckStarts();
  }
}

// Guards against several tasks that crash their workers and hide each other,
// and against a task that is given up for the crashes of another.
TEST_CASE("several crashing tasks are told apart from those beside them")
{
  for (std::uint64_t seed = 300; seed < 320; ++seed) {
    CAPTURE(seed);
    CrashingCell world(seed);
    for (int i = 0; i < 6; ++i) {
      world.SubmitCrashing(milliseconds(700 * (i % 3)));
    }
    world.SubmitOne(kInnocentJob, 40000, 40);
    CHECK(world.RunUntilGivenUp());
    CHECK(world.RunUntil(
      [&] { return world.StateOf(kInnocentJob) == "finished"; }, kLimit));
    world.CheckStarts();
  }
}

// Guards against a long-running task that is given up after several power
// losses, at each of which the cell's next owner doesn't know how long it ran.
TEST_CASE("power losses don't count against a long-running task")
{
  CrashingCell world(500);
  world.SubmitOne(kInnocentJob, 0);
  for (int loss = 0; loss < 6; ++loss) {
    REQUIRE(world.RunUntilStarted(kInnocentJob + ".0"));
    world.Run(minutes(5));
    for (const auto& [name, worker] : world.workers) {
      worker->Restart(kWorkerSize);
    }
    world.ReplaceOwner("next" + std::to_string(loss));
  }
  CHECK(world.RunUntilStarted(kInnocentJob + ".0"));
  CHECK(world.violations.empty());
}

// Guards against a long-running task that is given up since its workers were
// restarted over time.
TEST_CASE("restarts of workers don't count against tasks that ran before them")
{
  CrashingCell world(400);
  world.SubmitOne(kInnocentJob, 0);
  for (int restart = 0; restart < 10; ++restart) {
    REQUIRE(world.RunUntilStarted(kInnocentJob + ".0"));
    world.Run(minutes(5));
    world.workers[world.WorkerRunning(kInnocentJob + ".0")]->Restart(
      kWorkerSize);
    world.Run(seconds(10));
  }
  CHECK(world.RunUntilStarted(kInnocentJob + ".0"));
  CHECK(world.violations.empty());
}
