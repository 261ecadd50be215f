#pragma once

#include "Clock.h"
#include "PlacementViews.h"

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace sequoiakeel {

/**
 * Distinguishes workers that fail every task from jobs that fail on every
 * worker. A failure counts against a worker only if the job itself is not
 * suspected. Less evidence is required against a worker whose rack has other
 * failing workers. At most a fifth of the workers is quarantined at a time,
 * since a fault that more of them share is not remedied by avoiding them. A
 * task that only quarantined workers can run is tried there, at growing
 * intervals. Not thread safe.
 */
class Quarantine
{
public:
  /** Records the outcome of one attempt of a task of aJob on aWorker. */
  void Report(TimePoint aNow,
              const std::string& aWorker,
              const std::string& aRack,
              const std::string& aJob,
              bool aFailed);

  /** Records the loss of a worker on which tasks of aJobs were running. */
  void WorkerLost(TimePoint aNow,
                  const std::string& aWorker,
                  const std::string& aRack,
                  const std::set<std::string>& aJobs);

  /** Returns the state of a worker. Changes it to probation first if its
   * quarantine has expired. */
  QuarantineState StateOf(TimePoint aNow, const std::string& aWorker);

  /** Returns whether a worker is in a quarantine that has not expired. */
  bool IsQuarantined(TimePoint aNow, const std::string& aWorker) const;

  /** Returns whether a quarantined worker may get a task to find out whether it
   * still fails; for tasks that no other worker can run. */
  bool MayTry(TimePoint aNow, const std::string& aWorker) const;

  /** Records that a task of aJob is started on a quarantined worker to find out
   * whether it still fails. Does nothing if MayTry() is false, so that it may
   * be called for each task of a gang. Tasks of the job that succeed there then
   * end the quarantine after kTrialSuccesses in a row; a failure ends the
   * trial.
   */
  void BeginTrial(TimePoint aNow,
                  const std::string& aWorker,
                  const std::string& aJob);

  /** Returns the evidence against a worker relative to the threshold, from 0 to
   * 1; at 1 the worker is quarantined. */
  double Suspicion(TimePoint aNow, const std::string& aWorker) const;

  /** Returns whether the job is suspected of failing on every worker or of
   * causing the loss of workers. */
  bool IsSuspectedJob(const std::string& aJob) const
  {
    return !this->suspected.empty() && this->suspected.contains(aJob);
  }

  /** Returns whether the job is suspected of causing the loss of workers. */
  bool IsSuspectedOfLosses(const std::string& aJob) const
  {
    return !this->suspectedOfLosses.empty() &&
           this->suspectedOfLosses.contains(aJob);
  }

  /** Returns a text for messages that says on how many workers a job failed and
   * succeeded and how many it may have caused to be lost; empty if nothing is
   * recorded about the job. */
  std::string Explain(const std::string& aJob) const;

  /** Sets the number of workers in the cell, which bounds the number of
   * quarantined workers. */
  void SetFleetSize(std::size_t aWorkers) { this->fleetSize = aWorkers; }

private:
  struct Worker
  {
    std::string rack;
    /** Number of failures since the last success, by job. */
    std::map<std::string, int> failures;
    int probationSuccesses = 0;
    int timesQuarantined = 0;
    QuarantineState state = QuarantineState::Healthy;
    TimePoint quarantinedUntil;
    TimePoint lastFailure;
    bool hasSucceeded = false;
    /** Job whose task was started last to find out whether the worker still
     * fails; empty if it has failed since. */
    std::string trialJob;
    int trialSuccesses = 0;
    TimePoint nextTrialAt;
    Duration trialPause{};
  };
  struct Job
  {
    std::set<std::string> failedOn;
    std::set<std::string> succeededOn;
    std::set<std::string> lostWorkers;
    TimePoint updated;
  };
  struct Loss
  {
    TimePoint at;
    std::string worker;
    std::string rack;
    std::set<std::string> jobs;
  };

  Job& GetJob(TimePoint aNow, const std::string& aJob);
  void RecordSuccess(TimePoint aNow, Worker& aWorker, const std::string& aJob);
  static void Release(Worker& aWorker);
  void RecordFailure(TimePoint aNow, Worker& aWorker, const std::string& aJob);
  void StartQuarantine(TimePoint aNow, Worker& aWorker);
  int Evidence(TimePoint aNow, const Worker& aWorker) const;
  int Threshold(TimePoint aNow, const Worker& aWorker) const;
  std::size_t QuarantinedWorkers() const;
  bool HasCommonCause(const Loss& aLoss) const;
  void AttributeLosses(TimePoint aNow);
  void UpdateSuspicion(const std::string& aJob);

  std::map<std::string, Worker> workers;
  std::map<std::string, Job> jobs;
  std::set<std::string> suspected;
  std::set<std::string> suspectedOfLosses;
  /** Recent losses of workers, oldest first. They are kept until it is known
   * whether a later loss has the same cause, such as the loss of a rack or the
   * zone. */
  std::deque<Loss> losses;
  std::size_t fleetSize = 0;
};

} // namespace sequoiakeel
