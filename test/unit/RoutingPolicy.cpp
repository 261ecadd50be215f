#include "RoutingPolicy.h"

#include "Error.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <vector>

using namespace sequoiakeel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr TimePoint kStart{ std::chrono::hours(1) };

std::vector<ServerView>
MakeServers(std::size_t aCount)
{
  std::vector<ServerView> servers(aCount);
  for (std::size_t index = 0; index < aCount; ++index) {
    servers[index].id = static_cast<ServerId>(index);
    servers[index].zone = "zone-a";
  }
  return servers;
}

RequestView
MakeRequest()
{
  RequestView request;
  request.zone = "zone-a";
  request.deadline = kStart + seconds(10);
  return request;
}

/** Reports aCount responses from aServer, all at aEnd, with the latency
 * aLatency. */
void
Answer(RoutingPolicy& aPolicy,
       ServerId aServer,
       Duration aLatency,
       TimePoint aEnd,
       int aCount = 20)
{
  for (int response = 0; response < aCount; ++response) {
    aPolicy.OnStart(aServer, aEnd - aLatency);
    aPolicy.OnResponse(aServer, aLatency, aEnd);
  }
}

} // namespace

// Guards against a policy that continues to choose a host slowed by batch
// tasks.
TEST_CASE("a slow server is not chosen if others are faster")
{
  const std::unique_ptr<RoutingPolicy> policy = MakeRoutingPolicy("current");
  Random random(kSeed);
  const std::vector<ServerView> servers = MakeServers(4);
  for (ServerId id = 0; id < 4; ++id) {
    Answer(*policy, id, milliseconds(id == 2 ? 200 : 40), kStart);
  }
  for (int draw = 0; draw < 200; ++draw) {
    const RoutingDecision decision =
      policy->Choose(MakeRequest(), servers, kStart, random);
    REQUIRE(decision.index);
    CHECK(*decision.index != 2);
    CHECK(decision.reason == RoutingReason::LowestScore);
    CHECK(decision.alternativesCount == 2);
    CHECK(decision.score <= decision.alternatives[0].score);
    CHECK(decision.alternatives[0].score <= decision.alternatives[1].score);
  }
}

// Guards against a server that is avoided forever after it was slow once, since
// it receives no requests that could correct its estimate.
TEST_CASE("a server that was slow is used again after a while")
{
  const std::unique_ptr<RoutingPolicy> policy = MakeRoutingPolicy("current");
  Random random(kSeed);
  std::vector<ServerView> servers = MakeServers(2);
  Answer(*policy, 1, milliseconds(120), kStart);
  Answer(*policy, 0, milliseconds(40), kStart, 500);
  servers[0].inFlight = 2;
  CHECK(*policy->Choose(MakeRequest(), servers, kStart, random).index == 0);
  RequestView later = MakeRequest();
  later.deadline += seconds(60);
  const TimePoint then = kStart + seconds(60);
  Answer(*policy, 0, milliseconds(40), then);
  CHECK(*policy->Choose(later, servers, then, random).index == 1);
}

// Guards against a server that attracts load because it fails fast, and against
// one that does not answer and keeps a low latency estimate.
TEST_CASE("failures and overdue replies increase the expected latency")
{
  const std::unique_ptr<RoutingPolicy> policy = MakeRoutingPolicy("current");
  Random random(kSeed);
  const std::vector<ServerView> servers = MakeServers(3);
  for (ServerId id = 0; id < 3; ++id) {
    Answer(*policy, id, milliseconds(40), kStart);
  }
  for (int failure = 0; failure < 5; ++failure) {
    policy->OnStart(1, kStart);
    policy->OnFailure(1, kStart);
  }
  policy->OnStart(2, kStart);
  const TimePoint later = kStart + milliseconds(500);
  for (int draw = 0; draw < 50; ++draw) {
    CHECK(*policy->Choose(MakeRequest(), servers, later, random).index == 0);
  }
}

// Guards against full servers that appear idle because they refuse requests.
TEST_CASE("refusals count against a server")
{
  const std::unique_ptr<RoutingPolicy> policy = MakeRoutingPolicy("current");
  Random random(kSeed);
  const std::vector<ServerView> servers = MakeServers(2);
  Answer(*policy, 0, milliseconds(40), kStart);
  Answer(*policy, 1, milliseconds(50), kStart);
  CHECK(*policy->Choose(MakeRequest(), servers, kStart, random).index == 0);
  for (int refusal = 0; refusal < 3; ++refusal) {
    policy->OnStart(0, kStart);
    policy->OnRefusal(0, kStart);
  }
  CHECK(*policy->Choose(MakeRequest(), servers, kStart, random).index == 1);
}

// Guards against a score that ignores the latency between zones.
TEST_CASE("among equal servers the one in the entry's zone is chosen")
{
  const std::unique_ptr<RoutingPolicy> policy = MakeRoutingPolicy("current");
  Random random(kSeed);
  std::vector<ServerView> servers = MakeServers(5);
  for (std::size_t index : { 0, 1, 3, 4 }) {
    servers[index].zone = "zone-b";
  }
  for (int draw = 0; draw < 50; ++draw) {
    CHECK(*policy->Choose(MakeRequest(), servers, kStart, random).index == 2);
  }
}

// Guards against retries at the server that just failed the request.
TEST_CASE("a server that failed the request is chosen only if no other is left")
{
  const std::unique_ptr<RoutingPolicy> policy = MakeRoutingPolicy("current");
  Random random(kSeed);
  const std::vector<ServerView> servers = MakeServers(3);
  const std::array<ServerId, 3> tried = { 0, 2, 1 };
  RequestView request = MakeRequest();
  request.tried = std::span(tried).first(2);
  RoutingDecision decision = policy->Choose(request, servers, kStart, random);
  CHECK(*decision.index == 1);
  CHECK(decision.reason == RoutingReason::OnlyCandidate);
  request.tried = tried;
  decision = policy->Choose(request, servers, kStart, random);
  CHECK(decision.index);
  CHECK(decision.reason == RoutingReason::TriedBefore);
}

// Guards against requests that miss their deadline because they were sent as
// trial requests to a server that is still unresponsive.
TEST_CASE("only requests with enough time left are used as trial requests")
{
  const std::unique_ptr<RoutingPolicy> policy = MakeRoutingPolicy("current");
  Random random(kSeed);
  std::vector<ServerView> servers = MakeServers(2);
  Answer(*policy, 0, milliseconds(40), kStart);
  servers[1].health = HealthState::Probation;
  servers[1].trialAllowed = true;
  RequestView request = MakeRequest();
  RoutingDecision decision = policy->Choose(request, servers, kStart, random);
  CHECK(*decision.index == 1);
  CHECK(decision.reason == RoutingReason::Trial);
  request.urgent = true;
  CHECK(*policy->Choose(request, servers, kStart, random).index == 0);
  request.urgent = false;
  request.deadline = kStart + milliseconds(100);
  CHECK(*policy->Choose(request, servers, kStart, random).index == 0);
  servers[0].leaving = true;
  decision = policy->Choose(request, servers, kStart, random);
  CHECK(*decision.index == 1);
}

// Guards against a wrong reason in the log line and in the response.
TEST_CASE("the reason why no server is eligible is returned")
{
  Random random(kSeed);
  for (const char* name : { "naive", "current" }) {
    const std::unique_ptr<RoutingPolicy> policy = MakeRoutingPolicy(name);
    std::vector<ServerView> servers = MakeServers(2);
    const auto reason = [&]() {
      const RoutingDecision decision =
        policy->Choose(MakeRequest(), servers, kStart, random);
      CHECK_FALSE(decision.index);
      return ToText(decision.reason);
    };
    servers[0].leaving = true;
    servers[1].inFlight = servers[1].softLimit;
    CHECK(reason() == "all-at-limit");
    servers[1].health = HealthState::Ejected;
    CHECK(reason() == "all-unhealthy");
    servers[1].leaving = true;
    CHECK(reason() == "all-leaving");
    servers.clear();
    CHECK(reason() == "no-servers");
  }
  CHECK_THROWS_AS(MakeRoutingPolicy("other"), UserError);
}
