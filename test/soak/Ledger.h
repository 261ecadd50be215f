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

/** A job and its state from the caller's point of view. */
struct JobPlan
{
  std::string id;
  /** Each step starts only after the previous one has completed. */
  std::vector<StepPlan> steps;
  /** The first task of the first step crashes each worker that starts it. */
  bool crashes = false;
  bool accepted = false;
  /** An attempt to submit may have been accepted although the caller got no
   * response. */
  bool uncertain = false;
  bool refused = false;
  bool cancelSent = false;
  bool cancelled = false;
};

/**
 * Tracks every job and every run, and records each guarantee of the scheduler
 * that is violated from the point of view of callers and workers. Not thread
 * safe.
 */
class JobLedger
{
public:
  std::map<std::string, JobPlan> jobs;

  /** Returns the step of a task, or null if no caller has submitted the task.
   */
  const StepPlan* StepOf(const TaskName& aName) const;

  /** Records that a worker has started a run, and checks that the start was
   * allowed. */
  void RecordStart(const std::string& aWorker,
                   const std::string& aTask,
                   std::uint64_t aRun);

  /** Records that a run is no longer in progress: it ended, or its worker
   * crashed. */
  void RecordRunEnded(const std::string& aWorker,
                      const std::string& aTask,
                      std::uint64_t aRun);

  /** Records that a worker crashed while it ran a task. */
  void RecordCrash(const std::string& aTask) { ++this->crashes[aTask]; }

  /** Sets whether the processes and the store have been undisturbed for long
   * enough that rules with a time limit hold. */
  void SetInTouch(bool aInTouch) { this->inTouch = aInTouch; }
  bool InTouch() const { return this->inTouch; }

  /** Records that a run completed. The worker keeps the completion record until
   * the scheduler acknowledges it. */
  void RecordCompletion(const std::string& aTask, std::uint64_t aRun);

  /** Records that the scheduler acknowledged the completion of a run.
   * aLeaseLapsed: the worker's lease has expired since the run completed, so
   * the task may have been assigned to another worker in the meantime. */
  void RecordAcknowledgement(const std::string& aTask,
                             std::uint64_t aRun,
                             bool aLeaseLapsed);

  /** Records that an unacknowledged completion record was lost because its
   * worker crashed. */
  void RecordCompletionLost(const std::string& aTask, std::uint64_t aRun);

  /** Checks a job state that was returned to a caller. */
  void CheckReportedState(const std::string& aJob, const std::string& aState);

  /** Returns the number of runs of a job that are in progress. */
  std::size_t Running(const std::string& aJob) const;

  void RecordViolation(const std::string& aPromise, const std::string& aDetail);

  const std::vector<std::string>& Violations() const { return this->broken; }
  std::uint64_t Starts() const { return this->starts; }

  /** Returns the number of starts on one worker. */
  std::uint64_t StartsOn(const std::string& aWorker) const
  {
    const auto found = this->startsByWorker.find(aWorker);
    return found == this->startsByWorker.end() ? 0 : found->second;
  }

private:
  void CheckCrashLimit(const std::string& aTask, const std::string& aDetail);
  bool StepDone(const JobPlan& aJob, std::uint32_t aStep) const;

  std::map<std::string, std::uint64_t> startsByWorker;
  /** Workers and run numbers of the runs in progress, by task. */
  std::map<std::string, std::set<std::pair<std::string, std::uint64_t>>>
    running;
  /** Completed runs whose completion records are held by a worker and not yet
   * acknowledged, by task. */
  std::map<std::string, std::set<std::uint64_t>> unacknowledged;
  std::set<std::string> acknowledged;
  /** Every task that has completed at least once, including those whose
   * completion record was lost with its worker. */
  std::set<std::string> everDone;
  /** Completed runs whose task was started again while a worker still held the
   * unacknowledged completion record. */
  std::set<std::pair<std::string, std::uint64_t>> startedAfterDone;
  /** Number of workers that crashed under a task, and of its starts in touch
   * after kCrashes of them. */
  std::map<std::string, int> crashes;
  std::map<std::string, int> startsAfterCrashes;
  bool inTouch = false;
  std::vector<std::string> broken;
  std::uint64_t starts = 0;
};

} // namespace sequoiakeel::soak
