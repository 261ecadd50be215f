#pragma once

#include "EvictionPolicy.h"
#include "PlacementKnowledge.h"
#include "PlacementPolicy.h"

#include <span>
#include <vector>

namespace sequoiakeel {

/** Interface of a cell to its placement, eviction and quarantine policies. One
 * instance per cell, used under the cell's lock. Not thread safe. */
class CellPolicies
{
public:
  virtual ~CellPolicies() = default;

  /** Decides which queued tasks start on which workers, at most aMaxPlacements
   * of them. The cell checks each placement against its ledger before it
   * applies it. */
  virtual std::vector<PlacementDecision> Place(const CellView& aCell,
                                               std::span<const TaskView> aQueue,
                                               std::size_t aMaxPlacements) = 0;

  /** Decides which running tasks to throttle, checkpoint, move or evict;
   * called about once a second. */
  virtual std::vector<ReliefDecision> Relieve(
    const CellView& aCell,
    std::span<const TaskView> aQueue,
    const EvictionLimits& aLimits) = 0;

  /** Handles a new status report of a worker. */
  virtual void ObserveWorker(TimePoint aNow, const WorkerView& aWorker) = 0;

  /** Handles the end of an attempt of a task. */
  virtual void TaskEnded(TimePoint aNow, const TaskEnd& aEnd) = 0;

  /** Handles the loss of a worker and of the tasks that ran on it. */
  virtual void WorkerLost(TimePoint aNow, const WorkerView& aWorker) = 0;

  /** Returns the quarantine state that follows from the events observed on a
   * worker. */
  virtual QuarantineState StateOf(TimePoint aNow,
                                  const std::string& aWorker) = 0;
};

} // namespace sequoiakeel
