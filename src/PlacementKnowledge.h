#pragma once

#include "Interference.h"
#include "PlacementViews.h"
#include "Quarantine.h"
#include "SizeEstimator.h"

#include <string>
#include <unordered_map>

namespace sequoiakeel {

/** The end of one attempt of a task. */
struct TaskEnd
{
  std::string job;
  std::string kind;
  std::string worker;
  std::string rack;
  bool failed = false;
  bool longRunning = false;
  /** It used more memory than declared; a failure then says nothing of the
   * worker. */
  bool exceededMemory = false;
  /** Time from start to end. */
  Duration ranFor{};
  /** Progress that the attempt resumed from. */
  std::int64_t startedFromPermille = 0;
};

/**
 * What a cell's policies learn: interference, sizes, failures. A new owner
 * starts with an empty one, so decisions are safe without it. Not thread safe:
 * one instance for each cell, used under the cell's lock.
 */
class PlacementKnowledge
{
public:
  /** Takes in a worker's new report. Call once for each report, with the task
   * list as of that report. */
  void ObserveWorker(TimePoint aNow, const WorkerView& aWorker);

  /** Takes in the end of an attempt. Evictions, cancellations and losses of
   * workers are not ends. */
  void TaskEnded(TimePoint aNow, const TaskEnd& aEnd);

  /** Takes in the loss of a worker with the tasks that it ran. */
  void WorkerLost(TimePoint aNow, const WorkerView& aWorker);

  /** Takes in the beginning of an eviction; placement then avoids the worker
   * for the task for some minutes. */
  void TaskEvicted(TimePoint aNow,
                   const std::string& aTask,
                   const std::string& aWorker);

  /** Whether the task was evicted from the worker recently. */
  bool RecentlyEvicted(TimePoint aNow,
                       const std::string& aTask,
                       const std::string& aWorker) const;

  /** Returns the state to put into the worker's view. */
  QuarantineState StateOf(TimePoint aNow, const std::string& aWorker)
  {
    return this->quarantine.StateOf(aNow, aWorker);
  }

  Interference interference;
  SizeEstimator sizes;
  Quarantine quarantine;

private:
  struct Eviction
  {
    std::string worker;
    TimePoint at;
  };

  std::unordered_map<std::string, Eviction> evictions;
};

} // namespace sequoiakeel
