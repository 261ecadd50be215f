#pragma once

#include "PlacementRound.h"

namespace sequoiakeel {

/**
 * Returns the cost of placing the task on a worker that has the capacity for
 * it; lower is better. The unit is work lost for each unit of work placed:
 * cores slowed down for each core of the task. Other terms are scaled to this
 * unit by weights. Not thread safe.
 */
double
PlacementCost(PlacementRound& aRound,
              std::size_t aWorker,
              const TaskView& aTask,
              const TaskLoad& aLoad);

/** Returns the part of the cost that is due to interference: cores slowed down
 * for each core placed, weighted by HarmOf. Not thread safe. */
double
InterferenceCost(PlacementRound& aRound,
                 const RoundWorker& aWorker,
                 const TaskLoad& aLoad);

} // namespace sequoiakeel
