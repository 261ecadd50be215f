#pragma once

#include "EvictionPolicy.h"
#include "PlacementKnowledge.h"
#include "PlacementPolicy.h"

#include <span>
#include <vector>

namespace sequoiakeel {

/** What a cell asks of its policies and tells them. One instance per cell, used
 * under the cell's lock. Not thread safe. */
class CellPolicies
{
public:
  virtual ~CellPolicies() = default;

  /** Decides which waiting tasks start where. The cell checks each placement
   * against its ledger again. */
  virtual std::vector<PlacementDecision> Place(const CellView& aCell,
                                               std::span<const TaskView> aQueue,
                                               std::size_t aMaxPlacements) = 0;

  /** Decides on running tasks; called about once a second. */
  virtual std::vector<ReliefDecision> Relieve(
    const CellView& aCell,
    std::span<const TaskView> aQueue,
    const EvictionLimits& aLimits) = 0;

  /** Takes in a worker's new report. */
  virtual void ObserveWorker(TimePoint aNow, const WorkerView& aWorker) = 0;

  /** Takes in the end of an attempt. */
  virtual void TaskEnded(TimePoint aNow, const TaskEnd& aEnd) = 0;

  /** Takes in the loss of a worker with the tasks it ran. */
  virtual void WorkerLost(TimePoint aNow, const WorkerView& aWorker) = 0;

  /** Returns what the evidence says of a worker. */
  virtual QuarantineState StateOf(TimePoint aNow,
                                  const std::string& aWorker) = 0;
};

} // namespace sequoiakeel
