#include "DecisionHistory.h"

#include "support/ManualClock.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;
using namespace std::chrono_literals;

// Guards against a history that grows without bound, or that removes jobs with
// recent decisions before jobs whose last decision is older.
TEST_CASE("the last decisions on the jobs decided on last are kept")
{
  ManualClock clock;
  DecisionHistory history;
  for (std::size_t i = 0; i < kJobsRemembered; ++i) {
    history.Add("job-" + std::to_string(i), "placed", "fits", clock.Now());
  }
  clock.Advance(5s);
  history.Add("job-0", "evicted", "memory", clock.Now());
  history.Add("one-more", "placed", "fits", clock.Now());
  const std::vector<JobDecision> kept = history.Of("job-0", clock.Now() + 1s);
  REQUIRE(kept.size() == 2);
  CHECK(kept[0].ageMs == 6000);
  CHECK(kept[1].event == "evicted");
  CHECK(history.Of("job-1", clock.Now()).empty());
  CHECK(history.Of("job-2", clock.Now()).size() == 1);
  for (std::size_t i = 0; i < 2 * kDecisionsPerJob; ++i) {
    history.Add("job-2", "placed", std::to_string(i), clock.Now());
  }
  CHECK(history.Of("job-2", clock.Now()).size() == kDecisionsPerJob);
  CHECK(history.Of("job-2", clock.Now()).back().reason == "63");
}
