#pragma once

#include "PlacementKnowledge.h"
#include "PlacementViews.h"

#include <cstddef>
#include <span>
#include <vector>

namespace sequoiakeel {

/**
 * Order in which to place waiting tasks: urgent ones, latency-critical ones,
 * then by priority, which grows with waiting time, and within it by the latest
 * start that still meets the deadline. Tasks that can't meet theirs any more
 * come after those that can. Thread safe while aKnowledge is not changed.
 */
std::vector<std::size_t>
PlacementOrder(TimePoint aNow,
               std::span<const TaskView> aQueue,
               const PlacementKnowledge& aKnowledge);

} // namespace sequoiakeel
