#include "EvictionCost.h"

#include "PlacementRound.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

/** Progress of a shift from which a watcher is late in it. */
constexpr std::int64_t kLateInShift = 750;
/** Tasks that end this soon relieve the worker by themselves. */
constexpr Duration kEndsSoon = std::chrono::seconds(30);
/** Delay that an eviction causes: stop, queue, start elsewhere. */
constexpr Duration kEvictionDelay = std::chrono::seconds(90);
/** Time for which an evicted task is left alone, against ping-pong. */
constexpr Duration kRest = std::chrono::minutes(5);
/** Age up to which a checkpoint is recent. */
constexpr Duration kRecentCheckpoint = std::chrono::seconds(60);
/** Cost of stopping and starting again. */
constexpr double kRestartSeconds = 30;
/** Share of the work since the last checkpoint that is lost on average, since
 * the checkpoint at the stop may fail. */
constexpr double kLostShare = 0.3;
/** A watcher that moves is blind for the time of the move. */
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
  // A deadline that is missed in any case gives no protection.
  if (left <= Duration::zero() || remaining == Duration::max() ||
      remaining > left) {
    return false;
  }
  return remaining + aDelay > left;
}

std::string
WhyNotEvict(const RunningTaskView& aTask,
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
