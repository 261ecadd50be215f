#pragma once

#include "PlacementViews.h"

#include <cstddef>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace sequoiakeel {

/** Actual behaviour of a simulated task, which the policies cannot see. */
struct SimulatedTaskState
{
  /** Index into the slowdown table. */
  std::size_t kind = 0;
  double cores = 1;
  double memoryMb = 0;
  /** Run time without slowdown. */
  double workSeconds = 0;
  double doneSeconds = 0;
  /** Interval of periodic checkpoints; 0 if the task takes none. */
  double checkpointSeconds = 0;
  /** Progress saved in the last checkpoint. */
  double savedSeconds = 0;
  double sinceCheckpoint = 0;
  /** Time since the start of the attempt. */
  double ranSeconds = 0;
  /** Remaining time until a failing worker ends the task; negative if never. */
  double failsAfter = -1;
  /** Current slowdown; 0 if none. */
  double slowdown = 0;
};

/** The end of a task on a fake worker. */
struct FakeEnd
{
  std::string worker;
  std::string rack;
  RunningTaskView view;
  SimulatedTaskState truth;
  bool failed = false;
  /** True if the task ended because the worker ran out of memory. */
  bool outOfMemory = false;
};

/**
 * Simulates workers as the policies see them, on a manual clock. Tasks
 * progress, slow each other down according to a pairwise table and the load,
 * and are reported with a delay. Neither network nor processes are modelled.
 * Not thread safe.
 */
class FakeWorkers
{
public:
  /** aSlowdown[victim][neighbour] is the slowdown of the victim by one core
   * of the neighbour at full load. */
  FakeWorkers(std::vector<WorkerView> aWorkers,
              std::vector<std::vector<double>> aSlowdown);

  /** Returns the views, which contain the last report of each worker. */
  const std::vector<WorkerView>& Views() const { return this->views; }
  WorkerView& View(std::size_t aWorker) { return this->views[aWorker]; }

  /** Returns the index of a worker, which must exist. */
  std::size_t IndexOf(const std::string& aName) const
  {
    return this->indices.at(aName);
  }

  void Start(std::size_t aWorker,
             RunningTaskView aView,
             SimulatedTaskState aTruth);
  /** Removes a task. Returns false if the worker does not run it. */
  bool Stop(std::size_t aWorker, const std::string& aTask, FakeEnd& aEnd);
  /** Removes all tasks of a worker. */
  std::vector<FakeEnd> StopAll(std::size_t aWorker);
  void Throttle(std::size_t aWorker,
                const std::string& aTask,
                std::int64_t aPermille);
  void Checkpoint(std::size_t aWorker,
                  const std::string& aTask,
                  TimePoint aNow);
  void MarkEvicting(std::size_t aWorker, const std::string& aTask);

  /** Sets the share of its processors that each latency-critical task uses. */
  void SetServiceLoad(double aLoad) { this->serviceLoad = aLoad; }

  /** Advances all tasks by aSeconds and returns those that ended. */
  std::vector<FakeEnd> Step(TimePoint aNow, double aSeconds);

  /** Returns the workers that delivered a report in the last step. */
  const std::vector<std::size_t>& Reported() const { return this->reported; }

  const std::vector<SimulatedTaskState>& Truths(std::size_t aWorker) const
  {
    return this->states[aWorker].truths;
  }
  /** Returns the current usage of a worker, not that of its last report. */
  const Resources& UsageNow(std::size_t aWorker) const
  {
    return this->states[aWorker].usage;
  }

private:
  struct Sample
  {
    std::string task;
    Resources usage;
    std::int64_t slowdownPermille = 1000;
    std::int64_t progressPermille = 0;
  };
  struct State
  {
    std::vector<SimulatedTaskState> truths;
    /** Number of cores that each task receives. */
    std::vector<double> cores;
    Resources usage;
    std::vector<Sample> captured;
    Resources capturedUsage;
    TimePoint capturedAt;
    TimePoint publishedFrom;
  };

  std::size_t Find(std::size_t aWorker, const std::string& aTask) const;
  FakeEnd Remove(std::size_t aWorker, std::size_t aTask);
  void Share(std::size_t aWorker);
  void Progress(std::size_t aWorker,
                TimePoint aNow,
                double aSeconds,
                std::vector<FakeEnd>& aEnds);
  void KillForMemory(std::size_t aWorker, std::vector<FakeEnd>& aEnds);
  void ReportUsage(std::size_t aWorker, TimePoint aNow);

  std::vector<WorkerView> views;
  std::vector<State> states;
  std::vector<std::vector<double>> slowdown;
  std::unordered_map<std::string, std::size_t> indices;
  std::vector<std::size_t> reported;
  double serviceLoad = 0.5;
};

} // namespace sequoiakeel
