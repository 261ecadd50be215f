#pragma once

#include "EvictionHistory.h"
#include "PlacementKnowledge.h"

#include <optional>
#include <string>

namespace sequoiakeel {

/** Urgency of relieving a worker. Under Emergency the host itself is about to
 * fail, so that fewer tasks are protected from eviction. */
enum class ReliefNeed : std::uint8_t
{
  Ordinary,
  Emergency,
};

/** Returns why the task must not be evicted now; empty if it may be. A task
 * that is not evictable and a long-running task (a watcher) near the end of its
 * planned run time are never evicted, even under ReliefNeed::Emergency. */
std::string
EvictionObstacle(const RunningTaskView& aTask,
                 TimePoint aNow,
                 ReliefNeed aNeed,
                 const EvictionHistory& aHistory,
                 const PlacementKnowledge& aKnowledge);

/** Returns the cost of evicting the task in lost core-seconds, weighted by
 * priority, earlier evictions and whether the task is long-running. */
double
EvictionCost(const RunningTaskView& aTask, TimePoint aNow);

/** Returns whether the last checkpoint, or the start of the task if that is
 * later, is so recent that an eviction loses little work. */
bool
HasRecentCheckpoint(const RunningTaskView& aTask, TimePoint aNow);

/** Returns whether a delay of aDelay would make the task miss a deadline that
 * it would otherwise meet. */
bool
NearDeadline(const RunningTaskView& aTask,
             TimePoint aNow,
             Duration aDelay,
             const PlacementKnowledge& aKnowledge);

/** Returns whether the processor share of the task may be limited. */
bool
MayThrottle(const RunningTaskView& aTask);

} // namespace sequoiakeel
