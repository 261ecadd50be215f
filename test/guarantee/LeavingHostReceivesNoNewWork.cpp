#include "support/GossipNetwork.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 70407;

/** "A few seconds" of the guarantee. */
constexpr std::chrono::seconds kWithin{ 5 };

const std::string kHost = "worker-17";

NetworkPlan
Plan(int aLossPercent, std::size_t aMembers = 18)
{
  NetworkPlan plan;
  plan.members = aMembers;
  plan.seed = kSeed;
  plan.lossPercent = aLossPercent;
  return plan;
}

std::size_t
CountLeaving(GossipNetwork& aNetwork, const std::string& aHost = kHost)
{
  std::size_t count = 0;
  for (std::size_t index = 0; index < aNetwork.Count(); ++index) {
    count += aNetwork.At(index).Leaving().IsLeaving(aHost) ? 1 : 0;
  }
  return count;
}

/** A member polls the list. */
void
Poll(GossipNetwork& aNetwork,
     std::size_t aMember,
     std::uint64_t aRevision,
     const std::vector<std::string>& aLeaving)
{
  aNetwork.At(aMember).SetHostList(aRevision, aLeaving);
  aNetwork.Send(aMember, aNetwork.At(aMember).Flush());
}

/** The host refuses a request of a member. */
void
Refuse(GossipNetwork& aNetwork, std::size_t aMember)
{
  aNetwork.At(aMember).ReportRefusal(kHost);
  aNetwork.Send(aMember, aNetwork.At(aMember).Flush());
}

} // namespace

// Guards against members that go on sending work while the list lags: one
// refusal anywhere is enough, with losses on the way.
TEST_CASE("a refusal reaches all members while the list still says live")
{
  for (const int loss : { 0, 10, 30 }) {
    GossipNetwork network(Plan(loss));
    network.Run(10s);
    Poll(network, 0, 5, {});
    Refuse(network, 3);
    CHECK(network.At(3).Leaving().IsLeaving(kHost));
    network.Run(kWithin);
    CHECK(CountLeaving(network) == network.Count());
    // A poll that still lags changes nothing.
    Poll(network, 0, 6, {});
    network.Run(1s);
    CHECK(CountLeaving(network) == network.Count());
  }
}

// Guards against evidence from the list that stays with the members that poll
// it, or that ends when the list cannot be read.
TEST_CASE("what one member reads in the list holds everywhere")
{
  for (const int loss : { 0, 10, 30 }) {
    GossipNetwork network(Plan(loss));
    network.Run(10s);
    Poll(network, 4, 7, { kHost });
    network.Run(kWithin);
    CHECK(CountLeaving(network) == network.Count());
    // The list is down from now on and the member that read it is gone.
    network.Stop(4);
    network.Run(10min);
    CHECK(CountLeaving(network) == network.Count());
    Poll(network, 5, 8, {});
    network.Run(kWithin);
    CHECK(CountLeaving(network) <= 1);
  }
}

// Guards against evidence that stops counting although the host still refuses,
// and against evidence that nobody renews but that does not end.
TEST_CASE("reports last while renewed and end after their lifetime")
{
  GossipNetwork network(Plan(10));
  network.Run(10s);
  for (int renewal = 0; renewal < 6; ++renewal) {
    Refuse(network, static_cast<std::size_t>(renewal) * 2 + 1);
    network.Run(kWithin);
    CHECK(CountLeaving(network) == network.Count());
    network.Run(20s);
    CHECK(CountLeaving(network) == network.Count());
  }
  network.Run(31s);
  CHECK(CountLeaving(network) == 0);
}

// Guards against a member that missed the news, because it was paused or has
// just started, and sends work to the host.
TEST_CASE("a member that was paused or starts learns from its peers")
{
  GossipNetwork network(Plan(10));
  network.Run(10s);
  network.Pause(9);
  Poll(network, 4, 7, { kHost });
  network.Run(60s);
  CHECK(CountLeaving(network) == network.Count() - 1);
  network.Resume(9);
  network.Restart(12);
  network.Run(kWithin);
  CHECK(CountLeaving(network) == network.Count());
}

// Guards against a wave, a whole availability zone that is drained, in which
// the first few hosts keep the rest out of the datagrams.
TEST_CASE("many hosts that leave at once are known within the bound")
{
  GossipNetwork network(Plan(10));
  network.Run(10s);
  std::vector<std::string> hosts;
  for (int index = 0; index < 65; ++index) {
    hosts.push_back("worker-" + std::to_string(index));
  }
  Poll(network, 4, 7, hosts);
  Poll(network, 7, 7, hosts);
  network.Run(kWithin);
  std::size_t missing = 0;
  for (const std::string& host : hosts) {
    missing += network.Count() - CountLeaving(network, host);
  }
  CHECK(missing == 0);
}
