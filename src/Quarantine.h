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
 * Tells workers that fail every task from jobs that fail everywhere. A failure
 * counts against a worker only if its job is not itself suspected; a worker
 * whose rack has other failing workers needs less evidence. At most a fifth of
 * the workers is quarantined at a time, since a fault common to more of them
 * is not cured by avoiding them. Not thread safe.
 */
class Quarantine
{
public:
  /** Takes in the end of one attempt. */
  void Report(TimePoint aNow,
              const std::string& aWorker,
              const std::string& aRack,
              const std::string& aJob,
              bool aFailed);

  /** Takes in the loss of a worker while aJobs ran there. */
  void WorkerLost(TimePoint aNow,
                  const std::string& aWorker,
                  const std::string& aRack,
                  const std::set<std::string>& aJobs);

  /** State of a worker now; moves an expired quarantine to probation. */
  QuarantineState StateOf(TimePoint aNow, const std::string& aWorker);

  /** Evidence against a worker, from 0 to 1; 1 leads to quarantine. */
  double Suspicion(TimePoint aNow, const std::string& aWorker) const;

  /** Whether the job is suspected of failing on, or killing, its workers. */
  bool IsSuspectedJob(const std::string& aJob) const
  {
    return !this->suspected.empty() && this->suspected.contains(aJob);
  }

  /** Whether the job is suspected of killing its workers. */
  bool IsKillerJob(const std::string& aJob) const
  {
    return !this->killers.empty() && this->killers.contains(aJob);
  }

  /** Names the evidence against a job; empty without any. */
  std::string Explain(const std::string& aJob) const;

  /** Sets the number of workers in the cell, for the limits. */
  void SetFleetSize(std::size_t aWorkers) { this->fleetSize = aWorkers; }

private:
  struct Worker
  {
    std::string rack;
    /** Failures since the last success by job. */
    std::map<std::string, int> failures;
    int probationSuccesses = 0;
    int timesQuarantined = 0;
    QuarantineState state = QuarantineState::Healthy;
    TimePoint until;
    TimePoint lastFailure;
    bool hasSucceeded = false;
  };
  struct Job
  {
    std::set<std::string> failedOn;
    std::set<std::string> succeededOn;
    std::set<std::string> killed;
    TimePoint updated;
  };
  struct Loss
  {
    TimePoint at;
    std::string worker;
    std::string rack;
    std::set<std::string> jobs;
  };

  Job& JobOf(TimePoint aNow, const std::string& aJob);
  void Succeeded(Worker& aWorker);
  void Failed(TimePoint aNow, Worker& aWorker, const std::string& aJob);
  void Enter(TimePoint aNow, Worker& aWorker);
  int Evidence(TimePoint aNow, const Worker& aWorker) const;
  int Threshold(TimePoint aNow, const Worker& aWorker) const;
  std::size_t QuarantinedWorkers() const;
  bool IsCommonLoss(const Loss& aLoss) const;
  void CountLosses(TimePoint aNow);
  void Judge(const std::string& aJob);

  std::map<std::string, Worker> workers;
  std::map<std::string, Job> jobs;
  std::set<std::string> suspected;
  std::set<std::string> killers;
  /** Losses too recent to tell whether a rack or the zone was lost. */
  std::deque<Loss> losses;
  std::size_t fleetSize = 0;
};

} // namespace sequoiakeel
