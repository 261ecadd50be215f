#include "Log.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;

// Guards against log lines of one very frequent event using processor time that
// requests need.
TEST_CASE("lines over the limit of their event are left out and counted")
{
  const std::uint64_t before = DroppedLogLines();
  for (std::uint64_t i = 0; i < 4 * kMaxLinesPerSecond; ++i) {
    Event("flood").Add("number", i);
  }
  // The lines may extend into a second one-second period, but never into a
  // third.
  CHECK(DroppedLogLines() - before >= 2 * kMaxLinesPerSecond);
  const std::uint64_t after = DroppedLogLines();
  Event("another").Add("number", 1);
  CHECK(DroppedLogLines() == after);
}
