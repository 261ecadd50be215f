#pragma once

#include "TaskName.h"
#include "WorkerReport.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sequoiakeel::soak {

/** One step of a job that a caller submits. */
struct StepPlan
{
  std::uint32_t count = 1;
  std::uint32_t cpuMilli = 1000;
  std::uint32_t memoryMb = 100;
  std::uint32_t durationMs = 100;
  bool longRunning = false;
};

/** A job as its caller sees it. */
struct JobPlan
{
  std::string id;
  /** Each step waits for the one before it. */
  std::vector<StepPlan> steps;
  bool accepted = false;
  /** Some attempt may have been accepted without an answer. */
  bool uncertain = false;
  bool refused = false;
  bool cancelSent = false;
  bool cancelled = false;
};

/**
 * Knows every job and every run, and notes each promise that was broken from
 * what callers and workers see. Not thread safe.
 */
class JobLedger
{
public:
  std::map<std::string, JobPlan> jobs;

  /** Returns the step of a task, or null if no caller sent such a task. */
  const StepPlan* StepOf(const TaskName& aName) const;

  /** A worker has begun a run. */
  void Started(const std::string& aWorker,
               const std::string& aTask,
               std::uint64_t aRun);

  /** A run is no longer there: it ended, or its worker went down. */
  void Gone(const std::string& aWorker,
            const std::string& aTask,
            std::uint64_t aRun);

  /** A run ended as done on a worker that keeps the end until it is
   * acknowledged. */
  void Done(const std::string& aTask, std::uint64_t aRun);

  /** The end of a run that was done was acknowledged. aLeaseLapsed: the worker
   * was left alone for longer than its lease since, so that the task may have
   * been given to another one meanwhile. */
  void Acknowledged(const std::string& aTask,
                    std::uint64_t aRun,
                    bool aLeaseLapsed);

  /** A worker that had kept an end went down, so it is lost. */
  void DoneLost(const std::string& aTask, std::uint64_t aRun);

  /** A job's state was shown to a caller. */
  void Shown(const std::string& aJob, const std::string& aState);

  /** Returns the runs in progress of a job. */
  std::size_t Running(const std::string& aJob) const;

  void Break(const std::string& aPromise, const std::string& aDetail);

  const std::vector<std::string>& Broken() const { return this->broken; }
  std::uint64_t Starts() const { return this->starts; }

private:
  bool StepDone(const JobPlan& aJob, std::uint32_t aStep) const;

  /** Worker and run of each task that runs. */
  std::map<std::string, std::set<std::pair<std::string, std::uint64_t>>>
    running;
  /** Runs that are done and whose ends workers keep, by task. */
  std::map<std::string, std::set<std::uint64_t>> kept;
  std::set<std::string> acknowledged;
  /** Every task that was ever done; it may have been lost with its worker. */
  std::set<std::string> everDone;
  /** Runs that are done and whose task was started again while a worker kept
   * their end. */
  std::set<std::pair<std::string, std::uint64_t>> startedAfterDone;
  std::vector<std::string> broken;
  std::uint64_t starts = 0;
};

} // namespace sequoiakeel::soak
