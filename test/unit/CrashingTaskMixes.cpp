#include "support/CrashingTaskMix.h"

using namespace sequoiakeel;

// Guards against BUDGET and LOST under combinations that no other case has.
TEST_CASE("a random mix with tasks that crash at once keeps the rules")
{
  PlayRandomMixes(RandomMix::CrashAtOnce);
}

// Guards against the same when owners change between the crashes.
TEST_CASE("a random mix with crashes at once and takeovers keeps the rules")
{
  PlayRandomMixes(RandomMix::CrashAtOnceAndTakeOvers);
}
