#include "support/LoadSimulator.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Time within which a long-running task has to run again if a worker exists
 * that could run it. */
constexpr seconds kMaxDowntime{ 2 };

/** Keeps a pool overloaded with short tasks, so that they claim all capacity
 * that becomes free. */
void
RunOverloaded(LoadSimulator& aPlayer, seconds aTime, int& aNextJob)
{
  const TimePoint end = aPlayer.harness.clock.Now() + aTime;
  while (aPlayer.harness.clock.Now() < end) {
    if (aPlayer.harness.scheduler.CountPendingJobs("quotes") < 20) {
      aPlayer.SubmitShort("short" + std::to_string(aNextJob++),
                          4,
                          3000,
                          milliseconds(700),
                          milliseconds(1200));
    }
    aPlayer.Step();
  }
}

/** Starts ten services of four tasks of 6.4 cores each, as many as fill ten
 * workers. */
void
FillWithServices(LoadSimulator& aPlayer)
{
  for (int i = 0; i < 10; ++i) {
    aPlayer.SubmitLongRunning("service" + std::to_string(i), 4, 6400);
  }
  aPlayer.Simulate(seconds(1));
}

} // namespace

// Guards against a long-running task that is stopped on a draining worker and
// not restarted because short tasks claim all capacity that becomes free.
TEST_CASE("tasks of a draining worker are placed on a full pool")
{
  LoadSimulator player(12, 1);
  FillWithServices(player);
  int nextJob = 0;
  RunOverloaded(player, seconds(3), nextJob);
  player.Drain("w3");
  RunOverloaded(player, seconds(4), nextJob);
  CHECK(player.LongestDowntime() <= kMaxDowntime);
  int running = 0;
  for (int i = 0; i < 10; ++i) {
    running += player.Running("service" + std::to_string(i));
  }
  CHECK(running == 40);
}

// Guards against long-running tasks that are not restarted because short tasks
// claim all capacity that becomes free, after the crash of a worker with its
// tasks, and of several workers one after the other.
TEST_CASE("tasks of restarted workers are placed on a full pool")
{
  for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
    LoadSimulator player(12, seed);
    FillWithServices(player);
    int nextJob = 0;
    RunOverloaded(player, seconds(3), nextJob);
    for (const char* worker : { "w0", "w5", "w9" }) {
      player.Restart(worker);
      RunOverloaded(player, seconds(3), nextJob);
    }
    CHECK(player.LongestDowntime() <= kMaxDowntime);
  }
}

// Guards against preemption for capacity that becomes free soon without it.
TEST_CASE("short tasks that end in time are not preempted")
{
  LoadSimulator player(12, 1);
  FillWithServices(player);
  int nextJob = 0;
  RunOverloaded(player, seconds(3), nextJob);
  player.Restart("w2");
  RunOverloaded(player, seconds(4), nextJob);
  CHECK(player.stops == 0);
}

// Guards against an interrupted task that waits for short tasks that take long
// to end: those are preempted after a time limit.
TEST_CASE("short tasks that do not end are preempted for an interrupted task")
{
  LoadSimulator player(4, 1);
  player.SubmitLongRunning("service", 4, 12000);
  player.Simulate(seconds(1));
  for (int i = 0; i < 40; ++i) {
    player.SubmitShort(
      "long" + std::to_string(i), 1, 4000, seconds(100), seconds(300));
  }
  player.Simulate(seconds(1));
  player.Drain("w1");
  player.Simulate(seconds(4));
  CHECK(player.LongestDowntime() <= kMaxDowntime + seconds(1));
  CHECK(player.stops > 1);
}
