#include "NaivePlacement.h"

#include "PlacementRules.h"

#include <algorithm>
#include <numeric>

namespace sequoiakeel {

namespace {

/** Returns the free capacity of each worker, or negative amounts for a worker
 * that accepts no tasks. */
std::vector<Resources>
FreeAmounts(std::span<const WorkerView> aWorkers)
{
  std::vector<Resources> free;
  for (const WorkerView& worker : aWorkers) {
    const bool accepts = !worker.leaving && !worker.unreachable;
    free.push_back(accepts ? Difference(worker.capacity, CountedOn(worker))
                           : Resources{ -1, -1, -1 });
  }
  return free;
}

PlacementDecision
FirstFit(const CellView& aCell,
         const TaskView& aTask,
         const CapacityCheck& aCapacity,
         const QuotaCount& aQuota,
         std::vector<Resources>& aFree)
{
  PlacementDecision decision;
  decision.task = aTask.task;
  decision.reason = aCapacity.WhyNowhere(aTask);
  if (!decision.reason.empty()) {
    decision.outcome = PlacementOutcome::Unplaceable;
    decision.block = PlacementBlock::FitsNowhere;
    return decision;
  }
  const std::string exceeded = aQuota.Exceeded(aTask);
  if (!exceeded.empty()) {
    decision.block = PlacementBlock::Quota;
    decision.reason = "quota of team " + aTask.team + " exceeded: " + exceeded;
    return decision;
  }
  const auto found = std::ranges::find_if(aFree, [&](const Resources& aRoom) {
    return Within(aTask.resources, aRoom);
  });
  if (found == aFree.end()) {
    decision.block = PlacementBlock::NoRoom;
    decision.reason = "no worker has room";
    return decision;
  }
  *found = Difference(*found, aTask.resources);
  const auto index = static_cast<std::size_t>(found - aFree.begin());
  decision.outcome = PlacementOutcome::Placed;
  decision.worker = aCell.workers[index].name;
  decision.reason = "first fit";
  return decision;
}

} // namespace

std::vector<std::size_t>
NaivePlacement::Order(const CellView& /*aCell*/,
                      std::span<const TaskView> aQueue)
{
  std::vector<std::size_t> order(aQueue.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::ranges::stable_sort(order, [&](std::size_t aLeft, std::size_t aRight) {
    return aQueue[aLeft].queuedSince < aQueue[aRight].queuedSince;
  });
  return order;
}

PlacementDecision
NaivePlacement::Choose(const CellView& aCell, const TaskView& aTask)
{
  std::vector<Resources> free = FreeAmounts(aCell.workers);
  return FirstFit(
    aCell, aTask, CapacityCheck(aCell.workers), QuotaCount(aCell.teams), free);
}

std::vector<PlacementDecision>
NaivePlacement::PlanRound(const CellView& aCell,
                          std::span<const TaskView> aQueue,
                          std::size_t aMaxPlacements)
{
  std::vector<Resources> free = FreeAmounts(aCell.workers);
  const CapacityCheck capacity(aCell.workers);
  QuotaCount quota(aCell.teams);
  std::vector<PlacementDecision> decisions;
  std::size_t placed = 0;
  for (const std::size_t index : this->Order(aCell, aQueue)) {
    if (placed >= aMaxPlacements) {
      break;
    }
    const TaskView& task = aQueue[index];
    decisions.push_back(FirstFit(aCell, task, capacity, quota, free));
    if (decisions.back().outcome != PlacementOutcome::Placed) {
      continue;
    }
    ++placed;
    quota.Add(task);
  }
  return decisions;
}

} // namespace sequoiakeel
