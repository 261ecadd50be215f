#include "support/CrashingTaskMix.h"

using namespace sequoiakeel;

// Guards against the same for tasks that crash their workers after 2 s.
TEST_CASE("a random mix with tasks that crash late keeps the rules")
{
  PlayRandomMixes(RandomMix::CrashLate);
}

// Guards against the same for both kinds of task and changes of the owner.
TEST_CASE("a random mix with crashes at once and late keeps the rules")
{
  PlayRandomMixes(RandomMix::BothAndTakeOvers);
}
