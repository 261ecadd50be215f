#include "support/RestartMix.h"

using namespace sequoiakeel;

// Guards against two runs of a long-running task if a restarted worker carries
// out starts that are up to 12 s old.
TEST_CASE("random restarts and late commands start no long-running task twice")
{
  PlayRestartMixes(40, RestartingCell::kLateDelay, { .longRunning = true });
}

// Guards against the same if workers that are up leave starts unanswered.
TEST_CASE("starts that are left unanswered start no long-running task twice")
{
  PlayRestartMixes(
    20, RestartingCell::kLateDelay, { .longRunning = true, .lateOneIn = 5 });
}

// Guards against a new owner that does not know which starts are open.
TEST_CASE("a change of the owner starts no long-running task twice")
{
  PlayRestartMixes(20,
                   RestartingCell::kLateDelay,
                   { .longRunning = true, .lateOneIn = 5, .takeOvers = true });
}
