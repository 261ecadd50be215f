#include "FreeIndex.h"
#include "PlacementKnowledge.h"
#include "PlacementPolicy.h"
#include "support/RandomCell.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace sequoiakeel;

namespace {

constexpr std::uint64_t kCells = 300;

std::vector<PlacementDecision>
Plan(const RandomCell& aCell, const char* aPolicy, std::size_t aMax = 1000)
{
  PlacementKnowledge knowledge;
  const auto policy = MakePlacementPolicy(aPolicy, knowledge, 1);
  return policy->PlanRound(aCell.View(), aCell.queue, aMax);
}

const TaskView&
TaskOf(const RandomCell& aCell, const std::string& aName)
{
  return *std::ranges::find(aCell.queue, aName, &TaskView::task);
}

} // namespace

// Guards against placements that exceed a worker's free capacity or a team's
// quota, or that use a worker that does not accept tasks.
TEST_CASE("neither policy breaks feasibility or quota in a round")
{
  for (std::uint64_t seed = 0; seed < kCells; ++seed) {
    const RandomCell cell = MakeRandomCell(seed);
    for (const char* policy : { "naive", "current" }) {
      CAPTURE(seed);
      CAPTURE(policy);
      std::map<std::string, Resources> added;
      std::map<std::string, Resources> byTeam;
      for (const PlacementDecision& decision : Plan(cell, policy)) {
        CHECK_FALSE(decision.reason.empty());
        if (decision.outcome != PlacementOutcome::Placed) {
          continue;
        }
        const TaskView& task = TaskOf(cell, decision.task);
        Resources& onWorker = added[decision.worker];
        onWorker = Sum(onWorker, task.resources);
        Resources& ofTeam = byTeam[task.team];
        ofTeam = Sum(ofTeam, task.resources);
      }
      for (const WorkerView& worker : cell.workers) {
        if (!added.contains(worker.name)) {
          continue;
        }
        CHECK(AcceptsTasks(worker));
        CHECK(
          Within(Sum(CountedOn(worker), added[worker.name]), worker.capacity));
      }
      for (const TeamView& team : cell.teams) {
        CHECK((!byTeam.contains(team.team) ||
               Within(byTeam[team.team], team.quota)));
      }
    }
  }
}

// Guards against a task that the current policy never places although a worker
// has enough free capacity, and against policies that give different reasons
// for a task that no worker can run.
TEST_CASE("where the naive policy finds a placement the current one does too")
{
  for (std::uint64_t seed = 0; seed < kCells; ++seed) {
    const RandomCell cell = MakeRandomCell(seed);
    PlacementKnowledge knowledge;
    const auto naive = MakePlacementPolicy("naive", knowledge, 1);
    const auto current = MakePlacementPolicy("current", knowledge, 1);
    for (const TaskView& task : cell.queue) {
      CAPTURE(seed);
      CAPTURE(task.task);
      const PlacementDecision one = naive->Choose(cell.View(), task);
      const PlacementDecision other = current->Choose(cell.View(), task);
      CHECK(one.outcome == other.outcome);
      CHECK(one.block == other.block);
    }
  }
}

// Guards against a planning pass that omits a task, decides one twice or
// exceeds the limit on placements.
TEST_CASE("a round decides each task at most once and keeps its limit")
{
  for (std::uint64_t seed = 0; seed < kCells; ++seed) {
    const RandomCell cell = MakeRandomCell(seed);
    for (const char* policy : { "naive", "current" }) {
      CAPTURE(seed);
      CAPTURE(policy);
      std::set<std::string> seen;
      for (const PlacementDecision& decision : Plan(cell, policy)) {
        CHECK(seen.insert(decision.task).second);
      }
      CHECK(seen.size() == cell.queue.size());
      std::size_t placed = 0;
      for (const PlacementDecision& decision : Plan(cell, policy, 3)) {
        placed += decision.outcome == PlacementOutcome::Placed ? 1 : 0;
      }
      CHECK(placed <= 3);
    }
  }
}

// Guards against decisions that a second run with the same seed cannot
// reproduce.
TEST_CASE("the same seed gives the same decisions")
{
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    const RandomCell cell = MakeRandomCell(seed);
    const auto first = Plan(cell, "current");
    const auto second = Plan(cell, "current");
    REQUIRE(first.size() == second.size());
    for (std::size_t i = 0; i < first.size(); ++i) {
      CHECK(first[i].worker == second[i].worker);
    }
  }
}

// Guards against an index that omits a worker with enough free capacity or
// returns one without.
TEST_CASE("the index gives the same feasible set as a scan")
{
  for (std::uint64_t seed = 0; seed < kCells; ++seed) {
    std::mt19937_64 random(seed);
    const auto amount = [&](std::uint64_t aLimit) {
      return static_cast<std::int64_t>(random() % aLimit) - 1;
    };
    std::vector<Resources> free(random() % 130);
    for (Resources& entry : free) {
      entry = { amount(32), amount(125), amount(3) };
    }
    FreeIndex index(free);
    for (int step = 0; step < 20 && !free.empty(); ++step) {
      const std::size_t changed = random() % free.size();
      free[changed] = { amount(32), amount(125), amount(3) };
      index.Set(changed, free[changed]);
      const Resources needed{ amount(32) + 1, amount(125) + 1, amount(2) + 1 };
      std::vector<std::size_t> scanned;
      for (std::size_t i = 0; i < free.size(); ++i) {
        if (Within(needed, free[i])) {
          scanned.push_back(i);
        }
      }
      std::vector<std::size_t> found;
      index.Collect(needed, found);
      CHECK(found == scanned);
      const std::size_t start = random() % free.size();
      index.CollectFrom(needed, start, free.size(), found);
      const auto first =
        std::lower_bound(scanned.begin(), scanned.end(), start);
      std::rotate(scanned.begin(), first, scanned.end());
      CHECK(found == scanned);
      index.CollectFrom(needed, start, 3, found);
      scanned.resize(std::min<std::size_t>(3, scanned.size()));
      CHECK(found == scanned);
    }
  }
}
