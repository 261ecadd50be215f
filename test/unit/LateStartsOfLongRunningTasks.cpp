#include "support/RestartMix.h"

using namespace sequoiakeel;

// Guards against two runs of a long-running task if a restarted worker carries
// out starts that are up to 12 s old.
TEST_CASE("random restarts and late commands start no long-running task twice")
{
  PlayRestartMixes(40, RestartingCell::kLateDelay, true);
}
