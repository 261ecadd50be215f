#include "support/GossipNetwork.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 70407;

/** Bound for the "few seconds" of the guarantee. */
constexpr std::chrono::seconds kPropagationBound{ 5 };

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

/** Simulates a poll of the host list by a member. */
void
Poll(GossipNetwork& aNetwork,
     std::size_t aMember,
     std::uint64_t aRevision,
     const std::vector<std::string>& aLeaving)
{
  aNetwork.At(aMember).SetHostList(aRevision, aLeaving);
  aNetwork.Send(aMember, aNetwork.At(aMember).Flush());
}

/** Simulates the refusal of a member's request by the host. */
void
Refuse(GossipNetwork& aNetwork, std::size_t aMember)
{
  aNetwork.At(aMember).ReportRefusal(kHost);
  aNetwork.Send(aMember, aNetwork.At(aMember).Flush());
}

} // namespace

// Guards against members that keep sending work to a leaving host while the
// host list is out of date. A refusal that any one member received from the
// host must be enough to inform all members, also when datagrams are lost.
TEST_CASE(
  "a refusal reaches all members while the host list still shows the host live")
{
  for (const int loss : { 0, 10, 30 }) {
    GossipNetwork network(Plan(loss));
    network.Run(10s);
    Poll(network, 0, 5, {});
    Refuse(network, 3);
    CHECK(network.At(3).Leaving().IsLeaving(kHost));
    network.Run(kPropagationBound);
    CHECK(CountLeaving(network) == network.Count());
    // A poll that returns an outdated list changes nothing.
    Poll(network, 0, 6, {});
    network.Run(1s);
    CHECK(CountLeaving(network) == network.Count());
  }
}

// Guards against evidence from the host list that is known only to the members
// that poll the list, or that expires when the list cannot be read.
TEST_CASE(
  "all members learn of a leaving host that one member reads in the list")
{
  for (const int loss : { 0, 10, 30 }) {
    GossipNetwork network(Plan(loss));
    network.Run(10s);
    Poll(network, 4, 7, { kHost });
    network.Run(kPropagationBound);
    CHECK(CountLeaving(network) == network.Count());
    // From here on the list is unavailable and the member that read it has
    // stopped.
    network.Stop(4);
    network.Run(10min);
    CHECK(CountLeaving(network) == network.Count());
    Poll(network, 5, 8, {});
    network.Run(kPropagationBound);
    CHECK(CountLeaving(network) <= 1);
  }
}

// Guards against refusal reports that expire although the host still refuses
// requests, and against reports that do not expire once renewals stop.
TEST_CASE("refusal reports last while renewed and expire after their lifetime")
{
  GossipNetwork network(Plan(10));
  network.Run(10s);
  for (int renewal = 0; renewal < 6; ++renewal) {
    Refuse(network, static_cast<std::size_t>(renewal) * 2 + 1);
    network.Run(kPropagationBound);
    CHECK(CountLeaving(network) == network.Count());
    network.Run(20s);
    CHECK(CountLeaving(network) == network.Count());
  }
  network.Run(31s);
  CHECK(CountLeaving(network) == 0);
}

// Guards against a member that sends work to a leaving host because it missed
// the update while it was paused or before it started.
TEST_CASE(
  "a paused or restarted member learns of a leaving host from its peers")
{
  GossipNetwork network(Plan(10));
  network.Run(10s);
  network.Pause(9);
  Poll(network, 4, 7, { kHost });
  network.Run(60s);
  CHECK(CountLeaving(network) == network.Count() - 1);
  network.Resume(9);
  network.Restart(12);
  network.Run(kPropagationBound);
  CHECK(CountLeaving(network) == network.Count());
}

// Guards against members that do not learn of some leaving hosts when a whole
// availability zone is drained, because the evidence about the first few hosts
// crowds the others out of the datagrams.
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
  network.Run(kPropagationBound);
  std::size_t missing = 0;
  for (const std::string& host : hosts) {
    missing += network.Count() - CountLeaving(network, host);
  }
  CHECK(missing == 0);
}
