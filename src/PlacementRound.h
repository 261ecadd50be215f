#pragma once

#include "FreeIndex.h"
#include "PlacementKnowledge.h"
#include "PlacementViews.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Expected load of one kind on a worker. */
struct KindLoad
{
  std::uint32_t kind = 0;
  double cores = 0;
  /** Cores weighted by how much a slowdown of them matters. */
  double harm = 0;
};

/** What a task is expected to add to a worker. */
struct TaskLoad
{
  KindLoad load;
  double memoryMb = 0;
};

/** A worker with the placements of the round counted. */
struct RoundWorker
{
  const WorkerView* view = nullptr;
  bool accepts = false;
  /** Expected usage, by reports and learnt sizes. */
  double cores = 0;
  double memoryMb = 0;
  bool hasLatencyCritical = false;
  std::vector<KindLoad> kinds;
  /** Evidence that it fails its tasks, 0 to 1. */
  double suspicion = 0;
};

/** Where the tasks of one job run. */
struct JobSpread
{
  double total = 0;
  std::map<std::string, double, std::less<>> zones;
  std::map<std::string, double, std::less<>> racks;
};

/**
 * State of one placement round: what is free and expected on each worker, with
 * the round's own placements counted. Refers to the cell's views, which must
 * outlive it. Not thread safe.
 */
class PlacementRound
{
public:
  PlacementRound(const CellView& aCell, PlacementKnowledge& aKnowledge);

  /** Counts a placement. */
  void Place(std::size_t aWorker, const TaskView& aTask, const TaskLoad& aLoad);

  /** What the task is expected to add. */
  TaskLoad LoadOf(const TaskView& aTask);

  /** Expected slowdown of a victim by one core of a neighbour; remembered for
   * the round. */
  double PerCore(std::uint32_t aVictim, std::uint32_t aNeighbour);

  /** Spread of a job's tasks; null if it runs none. Kept for latency-critical
   * and long-running tasks. */
  const JobSpread* SpreadOf(const std::string& aJob) const;

  /** Whether a task of the job runs in the cell. Counts suspected jobs only. */
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

/** Weight of a slowdown of a task's cores. Thread safe. */
double
HarmOf(double aCores, bool aLatencyCritical, bool aLongRunning);

/** Time until the running task is expected to end; Duration::max() for a
 * long-running or latency-critical one, or if nothing is known. Thread safe
 * while aKnowledge is not changed. */
Duration
ExpectedRemaining(const RunningTaskView& aTask,
                  TimePoint aNow,
                  const PlacementKnowledge& aKnowledge);

} // namespace sequoiakeel
