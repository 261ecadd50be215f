#pragma once

#include "Interference.h"
#include "PlacementViews.h"
#include "Quarantine.h"
#include "SizeEstimator.h"

#include <map>
#include <string>

namespace sequoiakeel {

/** The end of one attempt of a task. */
struct TaskEnd
{
  std::string job;
  std::string kind;
  std::string worker;
  std::string rack;
  bool failed = false;
  /** Time from start to end. */
  Duration ranFor{};
};

/**
 * What a cell's policies learn: interference, sizes, failures. A new owner
 * starts with an empty one, so decisions must be safe without it. Not thread
 * safe: one instance for each cell, used under the cell's lock.
 */
class PlacementKnowledge
{
public:
  /** Takes in a worker's new report. Call once for each report, with the
   * task list as of that report. */
  void ObserveWorker(TimePoint aNow, const WorkerView& aWorker);

  /** Takes in the end of an attempt. Evictions and cancellations are not ends.
   */
  void TaskEnded(TimePoint aNow, const TaskEnd& aEnd);

  /** Takes in the loss of a worker with the tasks it ran. */
  void WorkerLost(TimePoint aNow, const WorkerView& aWorker);

  /** Returns the state to put into the worker's view. */
  QuarantineState StateOf(TimePoint aNow, const std::string& aWorker);

  Interference interference;
  SizeEstimator sizes;
  Quarantine quarantine;
};

} // namespace sequoiakeel
