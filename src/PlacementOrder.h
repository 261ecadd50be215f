#pragma once

#include "PlacementKnowledge.h"
#include "PlacementViews.h"

#include <cstddef>
#include <span>
#include <vector>

namespace sequoiakeel {

/**
 * Returns the indices of aQueue in the order in which to place the tasks:
 * urgent tasks first, then latency-critical ones, then the others by priority,
 * which grows with waiting time. Within a priority, tasks are ordered by the
 * latest start that still meets their deadline, and tasks that can no longer
 * meet their deadline come after those that can. Thread safe while aKnowledge
 * is not changed.
 */
std::vector<std::size_t>
PlacementOrder(TimePoint aNow,
               std::span<const TaskView> aQueue,
               const PlacementKnowledge& aKnowledge);

} // namespace sequoiakeel
