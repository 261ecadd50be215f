#include "ConcurrencyLimit.h"

#include "Random.h"

#include <doctest/doctest.h>

#include <vector>

using namespace sequoiakeel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

} // namespace

// Guards against a limit that does not recover after an overload, or that does
// not react to refusals.
TEST_CASE("the limit grows while it is in use and shrinks on refusals")
{
  ConcurrencyLimit limit;
  for (int response = 0; response < 100; ++response) {
    limit.OnResponse(limit.Limit(), 1, kStart);
  }
  CHECK(limit.Limit() == 6);
  limit.OnRefusal(kStart);
  CHECK(limit.Limit() == 4);
  // Refusals in quick succession count as one overload.
  limit.OnRefusal(kStart + milliseconds(1));
  CHECK(limit.Limit() == 4);
  for (int refusal = 1; refusal < 100; ++refusal) {
    limit.OnRefusal(kStart + seconds(refusal));
  }
  CHECK(limit.Limit() == 1);
}

// Guards against a limit that grows although the number of requests in progress
// is far below it.
TEST_CASE("a limit that is not in use does not grow")
{
  ConcurrencyLimit limit;
  for (int response = 0; response < 100; ++response) {
    limit.OnResponse(1, 1, kStart);
  }
  CHECK(limit.Limit() == 3);
}

// Guards against a limit that ignores the load of the other entries or that
// reacts to outdated reports.
TEST_CASE("peers' reports lower the limit unless they are old")
{
  ConcurrencyLimit limit;
  limit.OnPeerReport(20, seconds(10), kStart);
  limit.OnPeerReport(8, seconds(1), kStart);
  CHECK(limit.Limit() == 3);
  limit.OnPeerReport(20, seconds(1), kStart);
  CHECK(limit.Limit() == 2);
}

// Guards against a sum of limits above the connections that a worker accepts:
// ten entries adapt their limits independently to random feedback.
TEST_CASE("the limits of all entries together stay within the connections")
{
  Random random(64);
  for (const std::uint32_t connections : { 64U, 63U, 10U, 9U }) {
    ConcurrencyOptions options;
    options.connectionShare = ConnectionShare(connections, 10);
    std::vector<ConcurrencyLimit> entries(10, ConcurrencyLimit(options));
    TimePoint now = kStart;
    for (int step = 0; step < 20000; ++step) {
      now += milliseconds(DrawIndex(random, 50));
      ConcurrencyLimit& entry = entries[DrawIndex(random, entries.size())];
      switch (DrawIndex(random, 8)) {
        case 0:
          entry.OnRefusal(now);
          break;
        case 1:
          entry.OnPeerReport(DrawUnit(random) * 80, seconds(1), now);
          break;
        default:
          entry.OnResponse(entry.Limit(), DrawUnit(random) * 4, now);
      }
      std::uint32_t sum = 0;
      for (const ConcurrencyLimit& limit : entries) {
        sum += limit.Limit();
      }
      REQUIRE(sum <= connections);
    }
  }
}
