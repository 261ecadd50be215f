#pragma once

#include "FreeIndex.h"
#include "PlacementKnowledge.h"
#include "PlacementViews.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Expected processor use of the tasks of one kind on a worker. */
struct KindLoad
{
  std::uint32_t kind = 0;
  double cores = 0;
  /** Cores in use, each weighted by the cost of slowing it down; see HarmOf. */
  double harm = 0;
};

/** Load that a task is expected to add to a worker. */
struct TaskLoad
{
  KindLoad load;
  double memoryMb = 0;
};

/** State of a worker, including the placements of the current planning pass. */
struct RoundWorker
{
  const WorkerView* view = nullptr;
  bool accepts = false;
  /** Expected use of processors and memory by the worker's tasks, from their
   * reports and from the sizes learnt for their kinds. */
  double cores = 0;
  double memoryMb = 0;
  bool hasLatencyCritical = false;
  std::vector<KindLoad> kinds;
  /** Strength of the evidence that the worker makes tasks fail, from 0 to 1; at
   * 1 the worker is quarantined. */
  double suspicion = 0;
};

/** Number of a job's running tasks, in total and by zone and rack. */
struct JobSpread
{
  double total = 0;
  std::map<std::string, double, std::less<>> zones;
  std::map<std::string, double, std::less<>> racks;
};

/**
 * State of one planning pass: the free capacity and the expected load of each
 * worker, including the placements made in this pass. Keeps references to
 * aCell, its views and aKnowledge, which must outlive this object. Not thread
 * safe.
 */
class PlacementRound
{
public:
  PlacementRound(const CellView& aCell, PlacementKnowledge& aKnowledge);

  /** Adds a placement made in this pass to the state. */
  void Place(std::size_t aWorker, const TaskView& aTask, const TaskLoad& aLoad);

  /** Returns the load that the task is expected to add to a worker. */
  TaskLoad LoadOf(const TaskView& aTask);

  /** Returns the expected slowdown of tasks of kind aVictim for each core used
   * by kind aNeighbour on the same worker. Cached for this pass. */
  double PerCore(std::uint32_t aVictim, std::uint32_t aNeighbour);

  /** Returns where the job's tasks run; null if it runs none. Only
   * latency-critical and long-running tasks are counted. */
  const JobSpread* SpreadOf(const std::string& aJob) const;

  /** Returns whether a task of the job runs in the cell, if the job is
   * suspected of causing losses of workers; false for other jobs. */
  bool SuspectRuns(const std::string& aJob) const;

  const CellView& Cell() const { return this->cell; }
  const FreeIndex& Free() const { return this->free; }
  const std::vector<RoundWorker>& Workers() const { return this->workers; }
  PlacementKnowledge& Knowledge() { return this->knowledge; }

private:
  void AddLoad(RoundWorker& aWorker, const KindLoad& aLoad);
  void AddSpread(const WorkerView& aWorker, const std::string& aJob);
  Resources ExpectedUse(const RunningTaskView& aTask) const;
  RoundWorker MakeWorker(const WorkerView& aView);

  const CellView& cell;
  PlacementKnowledge& knowledge;
  std::vector<RoundWorker> workers;
  FreeIndex free;
  std::map<std::string, JobSpread, std::less<>> spreads;
  std::map<std::string, int, std::less<>> suspects;
  std::vector<std::vector<double>> perCore;
};

/** Returns aCores weighted by the cost of slowing them down; a core of an
 * ordinary batch task has the weight 1. Thread safe. */
double
HarmOf(double aCores, bool aLatencyCritical, bool aLongRunning);

/** Returns the time until the running task is expected to end; Duration::max()
 * for a long-running or latency-critical task, or if no run time is known.
 * Thread safe while aKnowledge is not changed. */
Duration
ExpectedRemaining(const RunningTaskView& aTask,
                  TimePoint aNow,
                  const PlacementKnowledge& aKnowledge);

} // namespace sequoiakeel
