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
  CHECK(!store.StoreUnreachable());
  for (int i = 0; i < 3; ++i) {
    store.RecordResult(StoreResult::Unknown);
  }
  CHECK(!store.StoreUnreachable());
  clock.Advance(std::chrono::milliseconds(400));
  CHECK(store.StoreUnreachable());
  store.RecordResult(StoreResult::Conflict);
  CHECK(!store.StoreUnreachable());
  store.RecordResult(StoreResult::Unavailable);
  clock.Advance(std::chrono::seconds(5));
  CHECK(!store.StoreUnreachable());
}
