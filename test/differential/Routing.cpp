#include "ConcurrencyLimit.h"
#include "RequestQueue.h"
#include "RoutingPolicy.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace sequoiakeel;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

/** Draws servers in random states; the share of ineligible ones varies between
 * calls. */
std::vector<ServerView>
DrawServers(Random& aRandom)
{
  std::vector<ServerView> servers(DrawIndex(aRandom, 40));
  const double bad = DrawUnit(aRandom);
  for (std::size_t index = 0; index < servers.size(); ++index) {
    ServerView& server = servers[index];
    server.id = static_cast<ServerId>(index);
    server.zone = DrawIndex(aRandom, 2) == 0 ? "zone-a" : "zone-b";
    server.connectionLimit = static_cast<std::uint32_t>(DrawIndex(aRandom, 7));
    server.softLimit = 1 + static_cast<std::uint32_t>(DrawIndex(aRandom, 7));
    server.inFlight = static_cast<std::uint32_t>(DrawIndex(aRandom, 7));
    server.leaving = DrawUnit(aRandom) < bad;
    server.trialAllowed = DrawIndex(aRandom, 2) == 0;
    server.health = static_cast<HealthState>(
      DrawUnit(aRandom) < bad ? 1 + DrawIndex(aRandom, 2) : 0);
  }
  return servers;
}

/** Restates the rules of IsEligible() independently of the code under test. */
bool
Allowed(const ServerView& aServer)
{
  const bool trial =
    aServer.health == HealthState::Probation && aServer.trialAllowed;
  const bool healthy = aServer.health == HealthState::Healthy || trial;
  return !aServer.leaving && healthy &&
         aServer.inFlight + 1 <= aServer.connectionLimit &&
         aServer.inFlight + 1 <= aServer.softLimit;
}

/** Reports a request with a random outcome at a random server. */
void
GiveFeedback(RoutingPolicy& aPolicy, Random& aRandom, TimePoint aNow)
{
  const auto server = static_cast<ServerId>(DrawIndex(aRandom, 40));
  const Duration time = milliseconds(DrawIndex(aRandom, 500));
  aPolicy.OnStart(server, aNow - time);
  switch (DrawIndex(aRandom, 5)) {
    case 0:
      return aPolicy.OnResponse(server, time, aNow);
    case 1:
      return aPolicy.OnRefusal(server, aNow);
    case 2:
      return aPolicy.OnFailure(server, aNow);
    case 3:
      return aPolicy.OnTimeout(server, time, aNow);
    default:
      return aPolicy.OnAbandoned(server, aNow);
  }
}

/** Compares the policies with random states and requests drawn from aSeed. */
void
CompareChoices(std::uint64_t aSeed)
{
  Random random(aSeed);
  const auto naive = MakeRoutingPolicy("naive");
  const auto current = MakeRoutingPolicy("current");
  TimePoint now = kStart;
  for (int step = 0; step < 20; ++step) {
    now += milliseconds(DrawIndex(random, 2000));
    GiveFeedback(*current, random, now);
    const std::vector<ServerView> servers = DrawServers(random);
    std::vector<ServerId> tried(DrawIndex(random, 4));
    for (ServerId& server : tried) {
      server = static_cast<ServerId>(DrawIndex(random, 40));
    }
    RequestView request;
    request.zone = "zone-a";
    request.urgent = DrawIndex(random, 2) == 0;
    request.deadline =
      now + milliseconds(DrawIndex(random, 400)) - milliseconds(100);
    request.tried = tried;
    const bool possible =
      request.deadline > now && std::ranges::any_of(servers, Allowed);
    const auto isUntried = [&](const ServerView& aServer) {
      return Allowed(aServer) &&
             std::ranges::find(tried, aServer.id) == tried.end();
    };
    for (RoutingPolicy* policy : { naive.get(), current.get() }) {
      const RoutingDecision decision =
        policy->Choose(request, servers, now, random);
      REQUIRE(decision.index.has_value() == possible);
      if (!possible) {
        continue;
      }
      REQUIRE(Allowed(servers.at(*decision.index)));
      // A server that failed the request is chosen only as the last resort.
      if (policy == current.get() && std::ranges::any_of(servers, isUntried)) {
        REQUIRE(isUntried(servers[*decision.index]));
      }
    }
  }
}

/** Applies random operations drawn from aSeed to aQueue and checks the deadline
 * rules. */
void
DriveQueue(RequestQueue& aQueue, std::uint64_t aSeed)
{
  Random random(aSeed);
  TimePoint now = kStart;
  std::vector<TimePoint> deadlines;
  // By request: number of times that it left the queue or was refused.
  std::vector<int> ends;
  for (int step = 0; step < 300; ++step) {
    now += milliseconds(DrawIndex(random, 10));
    const std::size_t kind = DrawIndex(random, 5);
    if (kind < 3) {
      QueuedRequest request;
      request.id = deadlines.size();
      request.team = std::to_string(DrawIndex(random, 3));
      request.urgent = DrawIndex(random, 10) == 0;
      request.deadline = now + milliseconds(DrawIndex(random, 200));
      request.expectedLatency = milliseconds(DrawIndex(random, 20));
      deadlines.push_back(request.deadline);
      ends.push_back(aQueue.Push(std::move(request), now) ? 1 : 0);
    } else if (kind == 3) {
      const auto request = aQueue.Pop(now);
      if (request) {
        REQUIRE(deadlines[request->id] > now);
        ++ends[request->id];
      }
    } else if (!ends.empty()) {
      const std::size_t id = DrawIndex(random, ends.size());
      ends[id] += aQueue.Remove(id) ? 1 : 0;
    }
    for (const DroppedRequest& dropped : aQueue.TakeDropped()) {
      ++ends[dropped.id];
    }
    REQUIRE(aQueue.Size() <= 30);
    REQUIRE(static_cast<std::size_t>(std::ranges::count(ends, 0)) ==
            aQueue.Size());
    REQUIRE(std::ranges::all_of(ends, [](int aEnd) { return aEnd < 2; }));
  }
}

} // namespace

// Guards against a current policy that chooses an ineligible server, or none
// where an eligible one exists. The naive policy keeps both rules.
TEST_CASE("the current and naive policies keep the same rules")
{
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    CompareChoices(seed);
  }
}

// Guards against more than 64 connections to one worker when ten entries
// choose servers independently with adaptive limits.
TEST_CASE("ten entries never open more than 64 connections to a worker")
{
  for (const char* name : { "naive", "current" }) {
    Random random(4242);
    constexpr std::size_t kEntries = 10;
    constexpr std::size_t kWorkers = 5;
    const std::uint32_t share = ConnectionShare(64, kEntries);
    std::vector<std::unique_ptr<RoutingPolicy>> policies;
    std::vector<ConcurrencyLimit> limits(kEntries * kWorkers);
    std::vector<std::vector<ServerView>> views(kEntries);
    for (std::vector<ServerView>& entry : views) {
      policies.push_back(MakeRoutingPolicy(name));
      entry.resize(kWorkers);
      for (std::size_t worker = 0; worker < kWorkers; ++worker) {
        entry[worker].id = static_cast<ServerId>(worker);
        entry[worker].connectionLimit = share;
      }
    }
    TimePoint now = kStart;
    for (int step = 0; step < 20000; ++step) {
      now += milliseconds(1);
      const std::size_t entry = DrawIndex(random, kEntries);
      RequestView request;
      request.deadline = now + milliseconds(500);
      const RoutingDecision decision =
        policies[entry]->Choose(request, views[entry], now, random);
      if (decision.index) {
        ++views[entry][*decision.index].inFlight;
        policies[entry]->OnStart(views[entry][*decision.index].id, now);
      }
      const std::size_t worker = DrawIndex(random, kWorkers);
      ServerView& view = views[entry][worker];
      ConcurrencyLimit& limit = limits[entry * kWorkers + worker];
      // Fewer responses than requests: the worker is overloaded.
      if (view.inFlight > 0 && DrawUnit(random) < 0.7) {
        limit.OnResponse(view.inFlight, DrawUnit(random) * 3.2, now);
        --view.inFlight;
      }
      if (DrawUnit(random) < 0.05) {
        limit.OnRefusal(now);
      }
      view.softLimit = limit.Limit();
      std::uint32_t connections = 0;
      for (const std::vector<ServerView>& other : views) {
        connections += other[worker].inFlight;
      }
      REQUIRE(connections <= 64);
    }
  }
}

// Guards against a queue that returns a request after its deadline, loses a
// request, or returns one twice.
TEST_CASE("the current and naive queues keep the deadline rules")
{
  for (const char* name : { "naive", "current" }) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      CAPTURE(seed);
      const auto queue = MakeRequestQueue(name, 30);
      DriveQueue(*queue, seed);
    }
  }
}
