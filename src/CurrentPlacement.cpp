#include "CurrentPlacement.h"

#include "PlacementOrder.h"
#include "PlacementScore.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace sequoiakeel {

namespace {

/** Maximum number of workers with enough capacity that are considered for one
 * task. In cells with more workers, the search for them starts at a random
 * worker, and if none of those found may run the task, all workers with enough
 * capacity are considered. */
constexpr std::size_t kMaxScored = 128;
/** A task is large if it needs at least this share of the largest capacity of
 * any worker in at least one resource. */
constexpr double kLargeShare = 0.25;
/** Waiting time after which capacity is reserved for a large task. */
constexpr Duration kReserveAfter = std::chrono::seconds(30);
/** On average, one in this many placements may use the worker with the second
 * lowest cost, so that the interference between kinds of tasks that would
 * otherwise never share a worker is measured as well. */
constexpr std::uint64_t kExploreOneIn = 50;
/** Largest cost above the lowest at which the second-best worker is used for
 * exploration. */
constexpr double kExploreMargin = 0.05;
constexpr std::size_t kAlternatives = 3;
/** Longest time for which a task is delayed because its kind is known to exceed
 * its declared memory. Started without delay, it would be evicted or cause
 * other tasks to be ended. */
constexpr Duration kLongestHold = std::chrono::minutes(10);
/** A task that is expected to exceed its declared memory is placed on a worker
 * only up to this expected share of the worker's memory. Lower than the share
 * at which tasks are evicted. */
constexpr double kExpectedMemory = 0.90;

std::string
FormatCost(const std::string& aWorker, double aCost)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "=%.3f", aCost);
  return aWorker + text.data();
}

/** Capacity to reserve for a large task. Includes the memory that the task is
 * expected to use: with only its declared memory reserved, the check of
 * expected memory would keep delaying it. */
Resources
RoomWanted(PlacementRound& aRound,
           const TaskView& aTask,
           const Resources& aLargest)
{
  Resources wanted = aTask.resources;
  const auto most = static_cast<std::int64_t>(
    kExpectedMemory * static_cast<double>(aLargest.memoryMb));
  const auto expected =
    static_cast<std::int64_t>(aRound.LoadOf(aTask).memoryMb);
  wanted.memoryMb = std::max(wanted.memoryMb, std::min(expected, most));
  return wanted;
}

} // namespace

CurrentPlacement::CurrentPlacement(PlacementKnowledge& aKnowledge,
                                   std::uint64_t aSeed)
  : knowledge(aKnowledge)
  , random(aSeed)
{
}

std::vector<std::size_t>
CurrentPlacement::Order(const CellView& aCell, std::span<const TaskView> aQueue)
{
  return PlacementOrder(aCell.now, aQueue, this->knowledge);
}

bool
CurrentPlacement::BlockedByRules(PlacementRound& aRound,
                                 const Limits& aLimits,
                                 const TaskView& aTask,
                                 PlacementDecision& aDecision) const
{
  aDecision.reason = aLimits.capacity.WhyNowhere(aTask);
  if (!aDecision.reason.empty()) {
    aDecision.outcome = PlacementOutcome::Unplaceable;
    aDecision.block = PlacementBlock::FitsNowhere;
    return true;
  }
  const std::string exceeded = aLimits.quota.Exceeded(aTask);
  if (!exceeded.empty()) {
    aDecision.block = PlacementBlock::Quota;
    aDecision.reason = "quota of team " + aTask.team + " exceeded: " + exceeded;
    return true;
  }
  const Quarantine& quarantine = this->knowledge.quarantine;
  if (quarantine.IsSuspectedOfLosses(aTask.job) &&
      aRound.SuspectRuns(aTask.job)) {
    aDecision.block = PlacementBlock::Avoided;
    aDecision.reason =
      "job suspected of killing workers runs one task at a time: " +
      quarantine.Explain(aTask.job);
    return true;
  }
  return false;
}

bool
CurrentPlacement::Admissible(PlacementRound& aRound,
                             const TaskView& aTask,
                             const TaskLoad& aLoad,
                             PlacementDecision& aDecision)
{
  std::erase_if(this->feasible, [&](std::size_t aWorker) {
    const WorkerView& view = *aRound.Workers()[aWorker].view;
    const bool tried = view.quarantine == QuarantineState::Probation;
    const bool mayTry = aTask.evictable && !aTask.urgent &&
                        !aTask.latencyCritical && view.tasks.empty();
    return tried && !mayTry;
  });
  if (this->feasible.empty()) {
    aDecision.block = PlacementBlock::Avoided;
    aDecision.reason = "only workers on probation have room";
    return false;
  }
  std::erase_if(this->feasible, [&](std::size_t aWorker) {
    return !this->reservations.Allows(aRound, aWorker, aTask);
  });
  if (this->feasible.empty()) {
    aDecision.block = PlacementBlock::Reserved;
    aDecision.reason = "room is kept for a larger task that waits longer";
    return false;
  }
  std::erase_if(this->feasible, [&](std::size_t aWorker) {
    return !this->headroom.Allows(aRound, aWorker, aTask);
  });
  if (this->feasible.empty()) {
    aDecision.block = PlacementBlock::Reserved;
    aDecision.reason = "room is kept for urgent tasks";
    return false;
  }
  const bool mayHold = !aTask.urgent && !aTask.latencyCritical &&
                       aRound.Cell().now - aTask.queuedSince < kLongestHold;
  if (!mayHold) {
    return true;
  }
  std::erase_if(this->feasible, [&](std::size_t aWorker) {
    const RoundWorker& worker = aRound.Workers()[aWorker];
    const std::int64_t capacity = worker.view->capacity.memoryMb;
    const double expected = worker.memoryMb + aLoad.memoryMb;
    // If the expected memory is no more than what already counts as used plus
    // the task's declared size, the check of free capacity has covered it.
    const std::int64_t counted = capacity -
                                 aRound.Free().Free(aWorker).memoryMb +
                                 aTask.resources.memoryMb;
    return expected > static_cast<double>(counted) &&
           expected > kExpectedMemory * static_cast<double>(capacity);
  });
  if (this->feasible.empty()) {
    aDecision.block = PlacementBlock::Avoided;
    aDecision.reason = "tasks of kind " + aTask.kind +
                       " exceed their declared memory; expected use fits no "
                       "worker now";
    return false;
  }
  return true;
}

void
CurrentPlacement::Collect(const PlacementRound& aRound, const TaskView& aTask)
{
  const std::size_t workers = aRound.Workers().size();
  if (workers <= kMaxScored) {
    aRound.Free().Collect(aTask.resources, this->feasible);
    return;
  }
  aRound.Free().CollectFrom(
    aTask.resources, this->random() % workers, kMaxScored, this->feasible);
}

std::vector<CurrentPlacement::Candidate>
CurrentPlacement::Score(PlacementRound& aRound,
                        const TaskView& aTask,
                        const TaskLoad& aLoad)
{
  std::vector<Candidate> candidates;
  candidates.reserve(this->feasible.size());
  for (const std::size_t worker : this->feasible) {
    candidates.push_back(
      { worker, PlacementCost(aRound, worker, aTask, aLoad) });
  }
  const std::size_t best = std::min(candidates.size(), kAlternatives + 1);
  std::ranges::partial_sort(candidates,
                            candidates.begin() +
                              static_cast<std::ptrdiff_t>(best),
                            {},
                            &Candidate::cost);
  return candidates;
}

std::size_t
CurrentPlacement::Explore(PlacementRound& aRound,
                          const TaskView& aTask,
                          const std::vector<Candidate>& aCandidates)
{
  const bool safeTask = aTask.evictable && !aTask.urgent &&
                        !aTask.latencyCritical && !aTask.longRunning;
  if (!safeTask || aCandidates.size() < 2 ||
      this->random() % kExploreOneIn != 0) {
    return 0;
  }
  const Candidate& other = aCandidates[1];
  const bool safeWorker = !aRound.Workers()[other.worker].hasLatencyCritical;
  const bool close = other.cost <= aCandidates[0].cost + kExploreMargin;
  return safeWorker && close ? 1 : 0;
}

PlacementDecision
CurrentPlacement::Decide(PlacementRound& aRound,
                         Limits& aLimits,
                         const TaskView& aTask)
{
  PlacementDecision decision;
  decision.task = aTask.task;
  if (this->BlockedByRules(aRound, aLimits, aTask, decision)) {
    return decision;
  }
  const bool known =
    std::ranges::any_of(aLimits.noRoom, [&](const Resources& aSize) {
      return Within(aSize, aTask.resources);
    });
  this->feasible.clear();
  if (!known) {
    this->Collect(aRound, aTask);
  }
  if (this->feasible.empty()) {
    if (!known) {
      // If a size does not fit, no larger size fits either, so larger sizes
      // are dropped from the list.
      std::erase_if(aLimits.noRoom, [&](const Resources& aSize) {
        return Within(aTask.resources, aSize);
      });
      aLimits.noRoom.push_back(aTask.resources);
    }
    decision.block = PlacementBlock::NoRoom;
    decision.reason = "no worker has room";
    return decision;
  }
  const TaskLoad load = aRound.LoadOf(aTask);
  const bool sampled = this->feasible.size() >= kMaxScored;
  if (!this->Admissible(aRound, aTask, load, decision)) {
    if (!sampled) {
      return decision;
    }
    aRound.Free().Collect(aTask.resources, this->feasible);
    if (!this->Admissible(aRound, aTask, load, decision)) {
      return decision;
    }
  }
  decision.block = PlacementBlock::None;
  const std::vector<Candidate> candidates = this->Score(aRound, aTask, load);
  const std::size_t chosen = this->Explore(aRound, aTask, candidates);
  const Candidate& best = candidates[chosen];
  decision.outcome = PlacementOutcome::Placed;
  decision.worker = aRound.Workers()[best.worker].view->name;
  decision.reason = std::string(chosen == 0 ? "lowest cost" : "exploration") +
                    FormatCost("", best.cost) + " of " +
                    std::to_string(candidates.size());
  for (std::size_t i = 0; i < candidates.size() && i <= kAlternatives; ++i) {
    if (i == chosen) {
      continue;
    }
    decision.alternatives += decision.alternatives.empty() ? "" : " ";
    decision.alternatives += FormatCost(
      aRound.Workers()[candidates[i].worker].view->name, candidates[i].cost);
  }
  aRound.Place(best.worker, aTask, load);
  aLimits.quota.Add(aTask);
  this->reservations.Placed(aRound, best.worker, aTask);
  this->headroom.RecordPlacement(aRound, best.worker);
  return decision;
}

bool
CurrentPlacement::MayReserve(const PlacementRound& aRound,
                             const Limits& aLimits,
                             const TaskView& aTask) const
{
  const Resources& largest = aLimits.capacity.Largest();
  const auto share = [](std::int64_t aPart, std::int64_t aWhole) {
    return aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole)
                      : 0.0;
  };
  const double needed =
    std::max({ share(aTask.resources.cpuMillis, largest.cpuMillis),
               share(aTask.resources.memoryMb, largest.memoryMb),
               share(aTask.resources.accelerators, largest.accelerators) });
  return needed >= kLargeShare &&
         aRound.Cell().now - aTask.queuedSince >= kReserveAfter;
}

PlacementDecision
CurrentPlacement::Choose(const CellView& aCell, const TaskView& aTask)
{
  PlacementRound round(aCell, this->knowledge);
  Limits limits{ CapacityCheck(aCell.workers), QuotaCount(aCell.teams), {} };
  Reservations kept = std::exchange(this->reservations, Reservations());
  this->reservations.Begin(round, {});
  UrgentHeadroom keptHeadroom = std::exchange(this->headroom, UrgentHeadroom());
  PlacementDecision decision = this->Decide(round, limits, aTask);
  this->reservations = std::move(kept);
  this->headroom = std::move(keptHeadroom);
  return decision;
}

std::vector<PlacementDecision>
CurrentPlacement::PlanRound(const CellView& aCell,
                            std::span<const TaskView> aQueue,
                            std::size_t aMaxPlacements)
{
  std::vector<PlacementDecision> decisions;
  if (aQueue.empty()) {
    return decisions;
  }
  PlacementRound round(aCell, this->knowledge);
  Limits limits{ CapacityCheck(aCell.workers), QuotaCount(aCell.teams), {} };
  this->reservations.Begin(round, aQueue);
  this->headroom.Begin(round, aQueue);
  std::size_t placed = 0;
  for (const std::size_t index : this->Order(aCell, aQueue)) {
    if (placed >= aMaxPlacements) {
      break;
    }
    const TaskView& task = aQueue[index];
    decisions.push_back(this->Decide(round, limits, task));
    const PlacementDecision& decision = decisions.back();
    if (decision.outcome == PlacementOutcome::Placed) {
      ++placed;
      continue;
    }
    const bool waitsForRoom = decision.block == PlacementBlock::NoRoom ||
                              decision.block == PlacementBlock::Reserved ||
                              decision.block == PlacementBlock::Avoided;
    if (waitsForRoom && this->MayReserve(round, limits, task)) {
      this->reservations.Reserve(
        round, task, RoomWanted(round, task, limits.capacity.Largest()));
    }
  }
  return decisions;
}

} // namespace sequoiakeel
