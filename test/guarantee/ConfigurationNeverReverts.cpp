#include "support/ConfigurationFleet.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sequoiakeel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 90509;

/** Time within which an accepted configuration must be active in every running
 * process. */
constexpr std::chrono::seconds kEverywhereWithin{ 5 };

std::string
Document(const std::string& aTeam)
{
  return R"({"cells": [], "services": [], "task_classes": [], "teams": )"
         R"([{"name": ")" +
         aTeam + R"("}]})";
}

NetworkPlan
Nine(int aLossPercent = 0)
{
  NetworkPlan plan;
  plan.seed = kSeed;
  plan.lossPercent = aLossPercent;
  return plan;
}

bool
NeverReverted(const ConfigurationFleet& aFleet)
{
  for (std::size_t index = 0; index < 9; ++index) {
    const auto& activated = aFleet.Activated(index);
    if (std::ranges::adjacent_find(activated, std::greater_equal<>()) !=
        activated.end()) {
      return false;
    }
  }
  return true;
}

void
Apply(ConfigurationFleet& aFleet, std::uint64_t aBase)
{
  const ApplyResult result = aFleet.Apply(
    aBase % 8, Document("team-" + std::to_string(aBase + 1)), aBase);
  REQUIRE(result.outcome == ApplyOutcome::Applied);
}

} // namespace

// Guards against a change that some process misses when gossip datagrams are
// lost.
TEST_CASE("a change is active on nine processes within the time limit")
{
  for (const int loss : { 0, 10, 30 }) {
    ConfigurationFleet fleet(Nine(loss));
    fleet.Run(10s);
    for (std::uint64_t generation = 1; generation <= 20; ++generation) {
      Apply(fleet, generation - 1);
      fleet.Run(kEverywhereWithin);
      CHECK(fleet.CountAt(generation) == 9);
    }
    CHECK(NeverReverted(fleet));
  }
}

// Guards against a change that spreads only through the processes that poll the
// store: if the store fails right after the write, gossip and fetches from
// peers must distribute the change.
TEST_CASE("a change written just before a store outage is active everywhere")
{
  ConfigurationFleet fleet(Nine(10));
  fleet.Run(10s);
  Apply(fleet, 0);
  fleet.store.down = true;
  fleet.Run(kEverywhereWithin);
  CHECK(fleet.CountAt(1) == 9);
  CHECK(fleet.Apply(3, Document("late"), 1).outcome ==
        ApplyOutcome::NotApplied);
  fleet.Run(60s);
  CHECK(fleet.CountAt(1) == 9);
}

// Guards against two conflicting changes that are both reported as applied.
TEST_CASE("one of two racing changes applies and the other names the winner")
{
  ConfigurationFleet fleet(Nine());
  fleet.Run(5s);
  Apply(fleet, 0);
  fleet.Run(5s);
  const ApplyResult won = fleet.Apply(2, Document("red"), 1, "ann");
  const ApplyResult lost = fleet.Apply(3, Document("blue"), 1, "bob");
  CHECK(won.outcome == ApplyOutcome::Applied);
  CHECK(won.generation == 2);
  CHECK(lost.outcome == ApplyOutcome::Conflict);
  CHECK(lost.winner == "ann");
  CHECK(lost.generation == 2);
  CHECK(lost.differences == std::vector<std::string>{ "/teams/0/name" });
  fleet.Run(kEverywhereWithin);
  CHECK(fleet.CountAt(2) == 9);
  for (std::size_t index = 0; index < 9; ++index) {
    CHECK(fleet.Agent(index).Document().find("red") != std::string::npos);
  }
}

// Guards against overwriting another change that is written between the read
// and the write of this one.
TEST_CASE("a change written between read and write is not overwritten")
{
  ConfigurationFleet fleet(Nine());
  fleet.Run(5s);
  Apply(fleet, 0);
  const std::string key(kConfigurationKey);
  const StoreValue base = fleet.store.Peek(key).values.front();
  // The write does not take effect, its reply is lost, and another process
  // writes in the meantime.
  fleet.store.writeFaults = { { false, StoreResult::Unknown } };
  fleet.store.afterWrite = [&] {
    fleet.store.Put(
      key, base.version, WithDocumentHead(Document("x"), { 2, "x", "eve" }));
  };
  const ApplyResult result = fleet.Apply(4, Document("y"), 1);
  CHECK(result.outcome == ApplyOutcome::Conflict);
  CHECK(result.winner == "eve");
  fleet.Run(kEverywhereWithin);
  CHECK(fleet.CountAt(2) == 9);
}

// Guards against a lost reply that is treated as a failed write, or a failed
// write that is reported as a success.
TEST_CASE("the write id resolves the outcome when a reply is lost")
{
  ConfigurationFleet fleet(Nine());
  fleet.Run(5s);
  fleet.store.writeFaults = { { true, StoreResult::Unknown } };
  CHECK(fleet.Apply(0, Document("a"), 0).outcome == ApplyOutcome::Applied);
  fleet.store.writeFaults = { { false, StoreResult::Unknown } };
  const ApplyResult retried = fleet.Apply(0, Document("b"), 1);
  CHECK(retried.outcome == ApplyOutcome::Applied);
  CHECK(retried.generation == 2);
  // The outcome can't be resolved because the store goes down.
  fleet.store.writeFaults = { { true, StoreResult::Unknown } };
  fleet.store.afterWrite = [&] { fleet.store.down = true; };
  CHECK(fleet.Apply(0, Document("c"), 2).outcome == ApplyOutcome::Unknown);
  CHECK(fleet.Agent(0).Generation() == 2);
  fleet.store.down = false;
  fleet.Run(kEverywhereWithin);
  CHECK(fleet.CountAt(3) == 9);
}

// Guards against reporting a conflict for a change that took effect and was
// replaced before the writer could read the store again.
TEST_CASE("a replaced change whose reply was lost is not a conflict")
{
  ConfigurationFleet fleet(Nine());
  fleet.Run(5s);
  Apply(fleet, 0);
  const std::string key(kConfigurationKey);
  fleet.store.writeFaults = { { true, StoreResult::Unknown } };
  fleet.store.afterWrite = [&] {
    const StoreValue mine = fleet.store.Peek(key).values.front();
    fleet.store.Put(
      key, mine.version, WithDocumentHead(Document("z"), { 3, "z", "eve" }));
  };
  const ApplyResult result = fleet.Apply(4, Document("y"), 1);
  CHECK(result.outcome == ApplyOutcome::Unknown);
}

// Guards against a store read whose result is older than the active
// configuration because its reply is delayed.
TEST_CASE("a delayed store read does not revert the configuration")
{
  ConfigurationFleet fleet(Nine());
  fleet.Run(5s);
  Apply(fleet, 0);
  const StoreReadReply old = fleet.store.Peek(std::string(kConfigurationKey));
  fleet.Run(5s);
  Apply(fleet, 1);
  Apply(fleet, 2);
  fleet.Run(5s);
  for (int read = 0; read < 40; ++read) {
    fleet.store.lateRead = old;
    fleet.Run(500ms);
    CHECK(fleet.CountAt(3) == 9);
  }
  CHECK(NeverReverted(fleet));
}

// Guards against a process that starts during a store outage and becomes ready
// without a configuration, or with the outdated configuration of one of its
// peers.
TEST_CASE("a start during a store outage activates the peers' highest")
{
  ConfigurationFleet fleet(Nine());
  fleet.Run(5s);
  Apply(fleet, 0);
  fleet.Run(5s);
  const ConfigurationReply old = fleet.Agent(2).ReplyTo({});
  Apply(fleet, 1);
  fleet.Run(5s);
  fleet.store.down = true;
  fleet.network.Restart(5);
  fleet.StartAgent(5);
  CHECK_FALSE(fleet.Await(fleet.Agent(5).Load()));
  // One peer answers with generation 1, the others with 2.
  fleet.modifyReply =
    [&](std::size_t, std::size_t aTo, ConfigurationReply& aReply) {
      aReply = aTo == 2 ? old : aReply;
    };
  // Disable fetches triggered by gossip, so that only Load can obtain the
  // document.
  fleet.network.onGeneration = nullptr;
  fleet.network.Run(3s);
  CHECK(fleet.Await(fleet.Agent(5).Load()));
  CHECK(fleet.Activated(5) == std::vector<std::uint64_t>{ 2 });
  CHECK(fleet.CountAt(2) == 9);
}

// Guards against a fleet that becomes ready without a configuration because
// starting processes accept each other's empty replies.
TEST_CASE("peers without a configuration do not make a process ready")
{
  ConfigurationFleet fleet(Nine());
  fleet.store.down = true;
  fleet.Run(5s);
  CHECK_FALSE(fleet.Await(fleet.Agent(3).Load()));
  fleet.store.down = false;
  CHECK(fleet.Await(fleet.Agent(3).Load()));
}

// Guards against a resumed process that activates an old generation from
// datagrams queued in its socket, or that makes other processes revert.
TEST_CASE("a process paused during three changes catches up")
{
  ConfigurationFleet fleet(Nine(10));
  fleet.Run(10s);
  Apply(fleet, 0);
  fleet.Run(5s);
  fleet.network.Pause(8);
  for (std::uint64_t base = 1; base <= 3; ++base) {
    Apply(fleet, base);
    fleet.Run(20s);
    CHECK(fleet.CountAt(base + 1) == 8);
  }
  CHECK(fleet.Agent(8).Generation() == 1);
  fleet.network.Resume(8);
  fleet.Run(kEverywhereWithin);
  CHECK(fleet.CountAt(4) == 9);
  CHECK(NeverReverted(fleet));
}

// Guards against activating replies of a peer that sends an older generation
// than it announced, or corrupted documents; the other processes must obtain
// the change from another peer or the store.
TEST_CASE("outdated or corrupted replies of a peer are not activated")
{
  ConfigurationFleet fleet(Nine(10));
  fleet.Run(10s);
  Apply(fleet, 0);
  fleet.Run(5s);
  const ConfigurationReply old = fleet.Agent(1).ReplyTo({});
  int replies = 0;
  fleet.modifyReply =
    [&](std::size_t, std::size_t aTo, ConfigurationReply& aReply) {
      const std::size_t at = aReply.body.find("team-");
      if (aTo > 2 || at == std::string::npos) {
        return;
      }
      ++replies;
      if (replies % 2 == 0) {
        aReply = old;
      } else {
        aReply.body.replace(at, 5, "mate-");
      }
    };
  for (std::uint64_t base = 1; base <= 10; ++base) {
    Apply(fleet, base);
    fleet.Run(kEverywhereWithin);
    CHECK(fleet.CountAt(base + 1) == 9);
    for (std::size_t index = 0; index < 9; ++index) {
      CHECK(fleet.Agent(index).Document() == fleet.Agent(8).Document());
    }
  }
  CHECK(replies > 0);
  CHECK(NeverReverted(fleet));
}
