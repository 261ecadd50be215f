#include "PlacementOrder.h"

#include <algorithm>
#include <tuple>

namespace sequoiakeel {

namespace {

/** Width of a priority step. Tasks within the same step are ordered by deadline
 * rather than by priority. */
constexpr std::int64_t kPriorityStep = 10;
/** Waiting time that raises the priority by one step. */
constexpr Duration kAgingStep = std::chrono::minutes(15);
constexpr std::int64_t kMaxAgingSteps = 3;
/** Target waiting time of a task without a deadline, from which its latest
 * start is computed. */
constexpr Duration kStartWithin = std::chrono::minutes(15);
/** Factor on the remaining run time that allows for slowdown by other tasks on
 * the same worker. */
constexpr double kSlowdownAllowance = 1.2;

struct Rank
{
  int band = 0;
  /** Negated, so that the highest priority sorts first. */
  std::int64_t priority = 0;
  bool hopeless = false;
  TimePoint latestStart;
  TimePoint queuedSince;
  std::size_t index = 0;

  /** Returns whether this task is placed before aOther. */
  bool operator<(const Rank& aOther) const
  {
    const auto key = [](const Rank& aRank) {
      return std::tie(aRank.band,
                      aRank.priority,
                      aRank.hopeless,
                      aRank.latestStart,
                      aRank.queuedSince,
                      aRank.index);
    };
    return key(*this) < key(aOther);
  }
};

int
BandOf(const TaskView& aTask)
{
  if (aTask.urgent) {
    return 0;
  }
  return aTask.latencyCritical ? 1 : 2;
}

Rank
RankOf(TimePoint aNow,
       const TaskView& aTask,
       const PlacementKnowledge& aKnowledge)
{
  Rank rank;
  rank.band = BandOf(aTask);
  const Duration waited = std::max(aNow - aTask.queuedSince, Duration::zero());
  rank.priority =
    -(aTask.priority / kPriorityStep +
      std::min<std::int64_t>(kMaxAgingSteps, waited / kAgingStep));
  rank.queuedSince = aTask.queuedSince;
  rank.latestStart = aTask.queuedSince + kStartWithin;
  if (aTask.deadline && !aTask.longRunning) {
    const Duration whole =
      aKnowledge.sizes.ExpectedRunTime(aTask.kind, aTask.runTime);
    const double left = static_cast<double>(std::max<std::int64_t>(
                          0, 1000 - aTask.checkpointPermille)) /
                        1000;
    const auto remaining = std::chrono::duration_cast<Duration>(whole * left);
    rank.hopeless = aNow + remaining > *aTask.deadline;
    rank.latestStart = *aTask.deadline - std::chrono::duration_cast<Duration>(
                                           remaining * kSlowdownAllowance);
  }
  return rank;
}

} // namespace

std::vector<std::size_t>
PlacementOrder(TimePoint aNow,
               std::span<const TaskView> aQueue,
               const PlacementKnowledge& aKnowledge)
{
  std::vector<Rank> ranks;
  ranks.reserve(aQueue.size());
  for (std::size_t i = 0; i < aQueue.size(); ++i) {
    ranks.push_back(RankOf(aNow, aQueue[i], aKnowledge));
    ranks.back().index = i;
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<std::size_t> order;
  order.reserve(ranks.size());
  for (const Rank& rank : ranks) {
    order.push_back(rank.index);
  }
  return order;
}

} // namespace sequoiakeel
