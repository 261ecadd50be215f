#pragma once

#include "PlacementViews.h"

#include <cstddef>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace sequoiakeel {

/** What a task really does, which the policies don't know. */
struct TaskTruth
{
  /** Index into the slowdown table. */
  std::size_t kind = 0;
  double cores = 1;
  double memoryMb = 0;
  /** Run time undisturbed. */
  double workSeconds = 0;
  double doneSeconds = 0;
  /** Interval of periodic checkpoints; 0: takes none. */
  double checkpointSeconds = 0;
  /** Progress in the last checkpoint. */
  double savedSeconds = 0;
  double sinceCheckpoint = 0;
  /** Time since the start of the attempt. */
  double ranSeconds = 0;
  /** A failing worker ends the task after this time; below 0: never. */
  double failsAfter = -1;
  /** Slowdown now; 0: undisturbed. */
  double slowdown = 0;
};

/** The end of a task on a fake worker. */
struct FakeEnd
{
  std::string worker;
  std::string rack;
  RunningTaskView view;
  TaskTruth truth;
  bool failed = false;
  /** Ended because the worker ran out of memory. */
  bool outOfMemory = false;
};

/**
 * Workers at the level of their view, on a manual clock: tasks progress, slow
 * each other down by a table of pairs and by load, and are reported late. It
 * models neither network nor processes. Not thread safe.
 */
class FakeWorkers
{
public:
  /** aSlowdown[victim][neighbour] is the slowdown by one core at full load. */
  FakeWorkers(std::vector<WorkerView> aWorkers,
              std::vector<std::vector<double>> aSlowdown);

  /** Views with the last report of each worker. */
  const std::vector<WorkerView>& Views() const { return this->views; }
  WorkerView& View(std::size_t aWorker) { return this->views[aWorker]; }

  /** Index of a worker; it must exist. */
  std::size_t IndexOf(const std::string& aName) const
  {
    return this->indices.at(aName);
  }

  void Start(std::size_t aWorker, RunningTaskView aView, TaskTruth aTruth);
  /** Removes a task; false if it is not there. */
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

  /** Share of its processors that a latency-critical kind uses now. */
  void SetServiceLoad(double aLoad) { this->serviceLoad = aLoad; }

  /** Moves all tasks on; returns those that ended. */
  std::vector<FakeEnd> Step(TimePoint aNow, double aSeconds);

  /** Workers that delivered a report in the last step. */
  const std::vector<std::size_t>& Reported() const { return this->reported; }

  const std::vector<TaskTruth>& Truths(std::size_t aWorker) const
  {
    return this->states[aWorker].truths;
  }
  /** Usage of a worker now, as opposed to its last report. */
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
    std::vector<TaskTruth> truths;
    /** Processors that each task gets. */
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
