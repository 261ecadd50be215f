#include "EvictionCost.h"

#include "PlacementRound.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

/** Permille of its shift (its planned run) from which a long-running task (a
 * watcher) is not evicted any more. */
constexpr std::int64_t kLateInShift = 750;
/** A task expected to end within this time is not evicted, since its end
 * relieves the worker anyway. */
constexpr Duration kEndsSoon = std::chrono::seconds(30);
/** Delay that an eviction adds to a task: stop, wait in the queue, start on
 * another worker. */
constexpr Duration kEvictionDelay = std::chrono::seconds(90);
/** Minimum time between two evictions of a task, except in an emergency, so
 * that it is not moved back and forth between workers. */
constexpr Duration kRest = std::chrono::minutes(5);
/** Age up to which a checkpoint counts as recent. */
constexpr Duration kRecentCheckpoint = std::chrono::seconds(60);
/** Work lost by stopping and restarting a task, in seconds of its run time. */
constexpr double kRestartSeconds = 30;
/** Average share of the work since the last checkpoint that an eviction loses:
 * a checkpoint is taken at the stop, but may fail. */
constexpr double kLostShare = 0.3;
/** Cost factor of a long-running task (a watcher), which observes nothing while
 * it is moved. */
constexpr double kWatcherFactor = 20;
constexpr double kMillisPerCore = 1000;

std::int64_t
ShiftPermille(const RunningTaskView& aTask, TimePoint aNow)
{
  if (aTask.runTime <= Duration::zero()) {
    return aTask.progressPermille;
  }
  const double ran = std::chrono::duration<double>(aNow - aTask.startedAt) /
                     std::chrono::duration<double>(aTask.runTime);
  return std::max(aTask.progressPermille,
                  static_cast<std::int64_t>(ran * 1000));
}

} // namespace

bool
HasRecentCheckpoint(const RunningTaskView& aTask, TimePoint aNow)
{
  const TimePoint saved = aTask.lastCheckpoint
                            ? std::max(*aTask.lastCheckpoint, aTask.startedAt)
                            : aTask.startedAt;
  return aNow - saved <= kRecentCheckpoint;
}

bool
NearDeadline(const RunningTaskView& aTask,
             TimePoint aNow,
             Duration aDelay,
             const PlacementKnowledge& aKnowledge)
{
  if (!aTask.deadline || aTask.longRunning) {
    return false;
  }
  const Duration left = *aTask.deadline - aNow;
  const Duration remaining = ExpectedRemaining(aTask, aNow, aKnowledge);
  // A task that will miss its deadline even without the delay is not protected.
  if (left <= Duration::zero() || remaining == Duration::max() ||
      remaining > left) {
    return false;
  }
  return remaining + aDelay > left;
}

std::string
EvictionObstacle(const RunningTaskView& aTask,
                 TimePoint aNow,
                 ReliefNeed aNeed,
                 const EvictionHistory& aHistory,
                 const PlacementKnowledge& aKnowledge)
{
  if (!aTask.evictable || aTask.latencyCritical) {
    return "not evictable";
  }
  if (aTask.evicting) {
    return "already evicting";
  }
  if (aTask.longRunning && ShiftPermille(aTask, aNow) >= kLateInShift) {
    return "late in its shift";
  }
  if (aNeed == ReliefNeed::Emergency) {
    return {};
  }
  const TimePoint last = aHistory.LastOf(aTask.task);
  if (last != TimePoint::min() && aNow - last < kRest) {
    return "evicted recently";
  }
  if (NearDeadline(aTask, aNow, kEvictionDelay, aKnowledge)) {
    return "near its deadline";
  }
  if (ExpectedRemaining(aTask, aNow, aKnowledge) <= kEndsSoon) {
    return "ends soon";
  }
  return {};
}

double
EvictionCost(const RunningTaskView& aTask, TimePoint aNow)
{
  const double cores = static_cast<double>(std::max(
                         aTask.usage.cpuMillis, aTask.committed.cpuMillis)) /
                       kMillisPerCore;
  const TimePoint saved = aTask.lastCheckpoint
                            ? std::max(*aTask.lastCheckpoint, aTask.startedAt)
                            : aTask.startedAt;
  const double unsaved =
    std::max(0.0, std::chrono::duration<double>(aNow - saved).count());
  const double repeated = 1 + static_cast<double>(aTask.evictions);
  const double priority = 1 + static_cast<double>(aTask.priority) / 25;
  const double kind = aTask.longRunning ? kWatcherFactor : 1;
  return cores * (kRestartSeconds + kLostShare * unsaved) * repeated *
         priority * kind;
}

bool
MayThrottle(const RunningTaskView& aTask)
{
  return !aTask.latencyCritical && !aTask.urgent && !aTask.longRunning &&
         !aTask.evicting;
}

} // namespace sequoiakeel
