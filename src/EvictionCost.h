#pragma once

#include "EvictionHistory.h"
#include "PlacementKnowledge.h"

#include <optional>
#include <string>

namespace sequoiakeel {

/** How much is at stake: under Emergency the host itself is about to fail. */
enum class ReliefNeed : std::uint8_t
{
  Ordinary,
  Emergency,
};

/** Why the task must not be evicted now; empty if it may. A watcher late in
 * its shift and a task that is not evictable are never evicted. */
std::string
WhyNotEvict(const RunningTaskView& aTask,
            TimePoint aNow,
            ReliefNeed aNeed,
            const EvictionHistory& aHistory,
            const PlacementKnowledge& aKnowledge);

/** Cost of evicting the task in lost core-seconds, weighted by priority. */
double
EvictionCost(const RunningTaskView& aTask, TimePoint aNow);

/** Whether the last checkpoint is recent enough to lose little. */
bool
HasRecentCheckpoint(const RunningTaskView& aTask, TimePoint aNow);

/** Whether the task would miss its deadline by a delay of aDelay. */
bool
NearDeadline(const RunningTaskView& aTask,
             TimePoint aNow,
             Duration aDelay,
             const PlacementKnowledge& aKnowledge);

/** Whether the processor share of the task may be limited. */
bool
MayThrottle(const RunningTaskView& aTask);

} // namespace sequoiakeel
