#pragma once

#include "PlacementRound.h"

namespace sequoiakeel {

/**
 * Cost of a task on a worker with room for it; lower is better. The unit is
 * work lost for each unit of work placed: cores slowed down for each core of
 * the task, with further terms weighed against it. Not thread safe.
 */
double
PlacementCost(PlacementRound& aRound,
              std::size_t aWorker,
              const TaskView& aTask,
              const TaskLoad& aLoad);

/** The part of the cost that is due to interference, in cores slowed down for
 * each core placed, weighted by harm. Not thread safe. */
double
InterferenceCost(PlacementRound& aRound,
                 const RoundWorker& aWorker,
                 const TaskLoad& aLoad);

} // namespace sequoiakeel
