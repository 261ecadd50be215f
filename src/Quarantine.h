#pragma once

#include "Clock.h"
#include "PlacementViews.h"

#include <cstddef>
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
                  const std::set<std::string>& aJobs);

  /** State of a worker now; moves an expired quarantine to probation. */
  QuarantineState StateOf(TimePoint aNow, const std::string& aWorker);

  /** Whether the job is suspected of failing on, or killing, its workers. */
  bool IsSuspectedJob(const std::string& aJob) const;

  /** Sets the number of workers in the cell, for the limit. */
  void SetFleetSize(std::size_t aWorkers) { this->fleetSize = aWorkers; }

private:
  struct Worker
  {
    std::string rack;
    /** Jobs that failed here since the last success, each counted once. */
    std::set<std::string> failedJobs;
    int probationSuccesses = 0;
    int timesQuarantined = 0;
    QuarantineState state = QuarantineState::Healthy;
    TimePoint until;
    TimePoint lastFailure;
  };
  struct Job
  {
    std::set<std::string> failedOn;
    std::set<std::string> succeededOn;
    std::set<std::string> killed;
  };

  std::size_t FailingInRack(TimePoint aNow, const std::string& aRack) const;
  std::size_t Quarantined() const;
  std::size_t CountingFailures(const Worker& aWorker) const;
  void Reconsider(TimePoint aNow, Worker& aWorker);

  std::map<std::string, Worker> workers;
  std::map<std::string, Job> jobs;
  std::size_t fleetSize = 0;
};

} // namespace sequoiakeel
