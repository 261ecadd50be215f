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
  /** The attempt used more memory than declared. A failure is then not counted
   * as evidence against the worker. */
  bool exceededMemory = false;
  /** Time from start to end. */
  Duration ranFor{};
  /** Progress of the checkpoint that the attempt resumed from; 1000: complete.
   */
  std::int64_t startedFromPermille = 0;
};

/**
 * What the placement policies of a cell learn at run time: interference between
 * kinds of tasks, actual sizes, and failures. Not stored: a new owner of the
 * cell starts with an empty instance, so decisions must be safe without this
 * data. Not thread safe: one instance for each cell, used under the cell's
 * lock.
 */
class PlacementKnowledge
{
public:
  /** Learns from a worker's new report. Call once for each report, with the
   * task list as of that report. */
  void ObserveWorker(TimePoint aNow, const WorkerView& aWorker);

  /** Learns from the end of an attempt. Not to be called for attempts that were
   * evicted, cancelled or lost with their worker. */
  void TaskEnded(TimePoint aNow, const TaskEnd& aEnd);

  /** Records the loss of a worker with the tasks that it ran. */
  void WorkerLost(TimePoint aNow, const WorkerView& aWorker);

  /** Records the beginning of an eviction. For some minutes, placement then
   * avoids the worker for this task. */
  void TaskEvicted(TimePoint aNow,
                   const std::string& aTask,
                   const std::string& aWorker);

  /** Returns whether the task's last eviction was from this worker and a few
   * minutes ago at most. */
  bool RecentlyEvicted(TimePoint aNow,
                       const std::string& aTask,
                       const std::string& aWorker) const;

  /** Returns the value for WorkerView::quarantine. */
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
