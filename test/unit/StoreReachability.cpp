#include "StoreReachability.h"

#include "support/ManualClock.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;

// Guards against requests that are rejected because a single answer of the
// store was lost, and against requests that are held during an outage.
TEST_CASE("consecutive failures over at least 300 ms are an outage")
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
