#include "EvictionPolicy.h"
#include "PlacementKnowledge.h"
#include "support/RandomCell.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace sequoiakeel;

namespace {

constexpr std::uint64_t kCells = 200;

bool
Stops(const ReliefDecision& aDecision)
{
  return aDecision.action == ReliefAction::Move ||
         aDecision.action == ReliefAction::Evict;
}

const RunningTaskView&
TaskOf(const RandomCell& aCell, const ReliefDecision& aDecision)
{
  const WorkerView& worker =
    *std::ranges::find(aCell.workers, aDecision.worker, &WorkerView::name);
  return *std::ranges::find(
    worker.tasks, aDecision.task, &RunningTaskView::task);
}

} // namespace

// Guards against a policy that evicts a protected task or exceeds the eviction
// limits that operators configure.
TEST_CASE("neither policy evicts protected tasks or exceeds the limits")
{
  const EvictionLimits limits{ 5, 2, true };
  for (std::uint64_t seed = 0; seed < kCells; ++seed) {
    for (const char* name : { "naive", "current" }) {
      CAPTURE(seed);
      CAPTURE(name);
      RandomCell cell = MakeRandomCell(seed);
      PlacementKnowledge knowledge;
      const auto policy = MakeEvictionPolicy(name, knowledge);
      std::int64_t inMinute = 0;
      std::map<std::string, std::int64_t> onWorker;
      for (int step = 0; step < 50; ++step) {
        for (const ReliefDecision& decision :
             policy->Decide(cell.View(), cell.queue, limits)) {
          CHECK_FALSE(decision.reason.empty());
          if (!Stops(decision)) {
            continue;
          }
          CHECK(TaskOf(cell, decision).evictable);
          CHECK_FALSE(TaskOf(cell, decision).latencyCritical);
          ++inMinute;
          ++onWorker[decision.worker];
        }
        cell.now += std::chrono::seconds(1);
      }
      CHECK(inMinute <= limits.perMinute);
      for (const auto& [worker, count] : onWorker) {
        CHECK(count <= limits.perWorker);
      }
    }
  }
}

// Guards against stopping tasks while the store is down, when an eviction
// cannot be written to the log.
TEST_CASE("neither policy stops a task while that is not allowed")
{
  for (std::uint64_t seed = 0; seed < kCells; ++seed) {
    const RandomCell cell = MakeRandomCell(seed);
    for (const char* name : { "naive", "current" }) {
      PlacementKnowledge knowledge;
      const auto policy = MakeEvictionPolicy(name, knowledge);
      for (const ReliefDecision& decision :
           policy->Decide(cell.View(), cell.queue, { 100, 100, false })) {
        CHECK_FALSE(Stops(decision));
      }
    }
  }
}
