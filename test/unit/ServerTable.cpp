#include "ServerTable.h"

#include "support/ManualClock.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

RequestView
MakeRequest(const Clock& aClock)
{
  RequestView request;
  request.deadline = aClock.Now() + seconds(2);
  return request;
}

} // namespace

// Guards against a wrong number of requests in progress in the views.
TEST_CASE("each outcome ends one request")
{
  ManualClock clock;
  ServerTable table({});
  const ServerId id = table.Add("worker-1", "zone-a");
  CHECK(table.Add("worker-1", "zone-a") == id);
  for (int request = 0; request < 5; ++request) {
    table.OnStart(id, clock.Now());
  }
  CHECK(table.Views()[0].inFlight == 5);
  table.OnResponse(id, milliseconds(10), clock.Now());
  table.OnRefusal(id, clock.Now());
  table.OnFailure(id, clock.Now());
  table.OnTimeout(id, milliseconds(10), clock.Now());
  table.OnAbandoned(id, clock.Now());
  CHECK(table.Views()[0].inFlight == 0);
  CHECK(table.TypicalLatency() == milliseconds(10));
}

// Guards against feedback on a removed server that is attributed to another
// one.
TEST_CASE("late feedback on a removed server is ignored")
{
  ManualClock clock;
  ServerTable table({});
  const ServerId gone = table.Add("worker-1", "zone-a");
  const ServerId kept = table.Add("worker-2", "zone-a");
  table.OnStart(gone, clock.Now());
  table.OnStart(kept, clock.Now());
  table.Remove("worker-1");
  table.Remove("worker-1");
  const ServerId again = table.Add("worker-1", "zone-a");
  CHECK(again != gone);
  table.OnFailure(gone, clock.Now());
  table.OnResponse(kept, milliseconds(5), clock.Now());
  CHECK(table.Name(again) == "worker-1");
  CHECK_FALSE(table.Find("worker-3"));
  for (const ServerView& view : table.Views()) {
    CHECK(view.inFlight == 0);
    CHECK(view.name == table.Name(view.id));
  }
}

// Guards against new requests to a leaving host and against more connections
// than the entry's share of 64.
TEST_CASE("both policies respect leaving hosts and the connection share")
{
  for (const char* policy : { "naive", "current" }) {
    ManualClock clock;
    Random random(3);
    ServerTableOptions options;
    options.policy = policy;
    ServerTable table(options);
    const ServerId leaving = table.Add("worker-1", "zone-a");
    const ServerId staying = table.Add("worker-2", "zone-b");
    table.SetLeaving(leaving, true);
    for (int request = 0; request < 300; ++request) {
      const RoutingDecision decision =
        table.Choose(MakeRequest(clock), clock.Now(), random);
      if (!decision.index) {
        CHECK(decision.reason == RoutingReason::AllAtLimit);
        table.OnResponse(staying, milliseconds(10), clock.Now());
        continue;
      }
      CHECK(table.Views()[*decision.index].id == staying);
      table.OnStart(staying, clock.Now());
      CHECK(table.Views()[1].inFlight <= 6);
    }
  }
}

// Guards against health checks that alter the naive policy, which serves as the
// baseline of comparisons.
TEST_CASE("the naive table ejects nothing")
{
  ManualClock clock;
  Random random(3);
  ServerTableOptions options;
  options.policy = "naive";
  ServerTable table(options);
  const ServerId id = table.Add("worker-1", "zone-a");
  for (int failure = 0; failure < 20; ++failure) {
    table.OnStart(id, clock.Now());
    table.OnFailure(id, clock.Now());
  }
  table.Tick(clock.Now(), random);
  CHECK(table.TakeHealthChanges().empty());
  CHECK(table.Choose(MakeRequest(clock), clock.Now(), random).index);
}
