#include "StoreReachability.h"

#include "support/ManualClock.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;

// Guards against callers that are refused because a single answer was lost, and
// against callers that are held through an outage.
TEST_CASE("several failures in a row over some time are an outage")
{
  ManualClock clock;
  StoreReachability store(clock);
  CHECK(!store.Lost());
  for (int i = 0; i < 3; ++i) {
    store.Note(StoreResult::Unknown);
  }
  CHECK(!store.Lost());
  clock.Advance(std::chrono::milliseconds(400));
  CHECK(store.Lost());
  store.Note(StoreResult::Conflict);
  CHECK(!store.Lost());
  store.Note(StoreResult::Unavailable);
  clock.Advance(std::chrono::seconds(5));
  CHECK(!store.Lost());
}
