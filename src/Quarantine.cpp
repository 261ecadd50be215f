#include "Quarantine.h"

#include <algorithm>
#include <utility>

namespace sequoiakeel {

namespace {

/** Evidence from which a worker is quarantined. */
constexpr int kEvidenceThreshold = 3;
/** Evidence from which a worker in a failing rack is quarantined. */
constexpr int kEvidenceThresholdInFailingRack = 2;
/** Number of other failing workers from which a rack counts as failing. */
constexpr std::size_t kFailingRackWorkers = 2;
/** Maximum number of failures of one job that count against a worker, for a job
 * that succeeded on other workers. Failures of any other job count once. */
constexpr int kMaxFailuresPerProvenJob = 3;
/** Number of workers on which a job must have succeeded for repeated failures
 * to count. */
constexpr std::size_t kProvenJobWorkers = 2;
/** Number of healthy workers on which a job must fail to be suspected. */
constexpr std::size_t kSuspectedJobFailures = 3;
/** Number of workers that must be lost while running a job for the job to be
 * suspected. */
constexpr std::size_t kSuspectedJobLosses = 2;
/** Number of successful tasks that end probation. */
constexpr int kProbationSuccesses = 2;
/** Failures older than this are not counted. */
constexpr Duration kEvidenceLifetime = std::chrono::minutes(30);
/** Length of the first quarantine; it doubles each time up to
 * kLongestQuarantine. */
constexpr Duration kFirstQuarantine = std::chrono::minutes(1);
constexpr Duration kLongestQuarantine = std::chrono::hours(1);
/** Interval between tasks that are tried on a quarantined worker; it doubles
 * with each up to kLongestTrialPause. Each failure uses up one of a task's
 * attempts. A worker that is sound again has to be found before its tasks have
 * waited for 14 s, which is when callers take them for lost. */
constexpr Duration kFirstTrialPause = std::chrono::seconds(2);
constexpr Duration kLongestTrialPause = std::chrono::seconds(8);
/** Number of tasks in a row that have to succeed there to end a quarantine. */
constexpr int kTrialSuccesses = 2;
/** Losses within this time of each other may have a common cause. */
constexpr Duration kLossWindow = std::chrono::seconds(30);
/** Minimum number of losses of workers in one rack within kLossWindow that are
 * attributed to the loss of the rack, not to the jobs on the workers. */
constexpr std::size_t kRackLossWorkers = 3;
/** At most one in this many workers may be in quarantine. */
constexpr std::size_t kWorkersPerQuarantined = 5;
/** If at least this many jobs are recorded, expired records are removed before
 * another job is added, to bound memory. */
constexpr std::size_t kMaxJobs = 20000;

} // namespace

Quarantine::Job&
Quarantine::GetJob(TimePoint aNow, const std::string& aJob)
{
  if (this->jobs.size() >= kMaxJobs && !this->jobs.contains(aJob)) {
    std::erase_if(this->jobs, [&](const auto& aEntry) {
      return aNow - aEntry.second.updated > kEvidenceLifetime;
    });
    const auto isGone = [&](const std::string& aName) {
      return !this->jobs.contains(aName);
    };
    std::erase_if(this->suspected, isGone);
    std::erase_if(this->suspectedOfLosses, isGone);
  }
  Job& job = this->jobs[aJob];
  job.updated = aNow;
  return job;
}

void
Quarantine::Report(TimePoint aNow,
                   const std::string& aWorker,
                   const std::string& aRack,
                   const std::string& aJob,
                   bool aFailed)
{
  this->AttributeLosses(aNow);
  Worker& worker = this->workers[aWorker];
  worker.rack = aRack;
  Job& job = this->GetJob(aNow, aJob);
  if (!aFailed) {
    job.succeededOn.insert(aWorker);
    job.failedOn.erase(aWorker);
    this->UpdateSuspicion(aJob);
    this->RecordSuccess(aNow, worker, aJob);
    return;
  }
  // A failure counts against the job only on a healthy worker where some task
  // has succeeded; elsewhere the failure may be the worker's fault.
  if (worker.hasSucceeded && worker.state == QuarantineState::Healthy) {
    job.failedOn.insert(aWorker);
    this->UpdateSuspicion(aJob);
  }
  this->RecordFailure(aNow, worker, aJob);
}

void
Quarantine::RecordSuccess(TimePoint aNow,
                          Worker& aWorker,
                          const std::string& aJob)
{
  aWorker.hasSucceeded = true;
  aWorker.failures.clear();
  if (aWorker.state == QuarantineState::Quarantined &&
      aWorker.trialJob == aJob) {
    if (++aWorker.trialSuccesses >= kTrialSuccesses) {
      Release(aWorker);
      return;
    }
    aWorker.nextTrialAt = aNow;
    return;
  }
  if (aWorker.state != QuarantineState::Probation) {
    return;
  }
  ++aWorker.probationSuccesses;
  if (aWorker.probationSuccesses < kProbationSuccesses) {
    return;
  }
  Release(aWorker);
}

void
Quarantine::Release(Worker& aWorker)
{
  aWorker.state = QuarantineState::Healthy;
  aWorker.timesQuarantined = 0;
  aWorker.trialPause = Duration::zero();
}

void
Quarantine::RecordFailure(TimePoint aNow,
                          Worker& aWorker,
                          const std::string& aJob)
{
  if (aNow - aWorker.lastFailure > kEvidenceLifetime) {
    aWorker.failures.clear();
  }
  aWorker.lastFailure = aNow;
  ++aWorker.failures[aJob];
  if (aWorker.state == QuarantineState::Quarantined) {
    aWorker.trialJob.clear();
    aWorker.trialSuccesses = 0;
    return;
  }
  const int evidence = this->Evidence(aNow, aWorker);
  const bool failedProbation =
    aWorker.state == QuarantineState::Probation && evidence > 0;
  if (failedProbation || evidence >= this->Threshold(aNow, aWorker)) {
    this->StartQuarantine(aNow, aWorker);
  }
}

void
Quarantine::StartQuarantine(TimePoint aNow, Worker& aWorker)
{
  const std::size_t allowed =
    std::max<std::size_t>(1, this->fleetSize / kWorkersPerQuarantined);
  if (this->QuarantinedWorkers() >= allowed) {
    return;
  }
  Duration length = kFirstQuarantine;
  for (int i = 0; i < aWorker.timesQuarantined && length < kLongestQuarantine;
       ++i) {
    length *= 2;
  }
  ++aWorker.timesQuarantined;
  aWorker.state = QuarantineState::Quarantined;
  aWorker.quarantinedUntil = aNow + std::min(length, kLongestQuarantine);
  aWorker.probationSuccesses = 0;
  aWorker.trialJob.clear();
  aWorker.trialSuccesses = 0;
  aWorker.trialPause = std::max(aWorker.trialPause, kFirstTrialPause);
  aWorker.nextTrialAt = aNow + aWorker.trialPause;
}

int
Quarantine::Evidence(TimePoint aNow, const Worker& aWorker) const
{
  if (aNow - aWorker.lastFailure > kEvidenceLifetime) {
    return 0;
  }
  int evidence = 0;
  for (const auto& [name, count] : aWorker.failures) {
    if (this->IsSuspectedJob(name)) {
      continue;
    }
    const auto job = this->jobs.find(name);
    const bool proven = job != this->jobs.end() &&
                        job->second.succeededOn.size() >= kProvenJobWorkers;
    evidence += proven ? std::min(count, kMaxFailuresPerProvenJob) : 1;
  }
  return evidence;
}

int
Quarantine::Threshold(TimePoint aNow, const Worker& aWorker) const
{
  std::size_t failing = 0;
  for (const auto& [name, other] : this->workers) {
    if (&other == &aWorker || other.rack != aWorker.rack) {
      continue;
    }
    if (other.state != QuarantineState::Healthy ||
        this->Evidence(aNow, other) >= kEvidenceThresholdInFailingRack) {
      ++failing;
    }
  }
  return failing >= kFailingRackWorkers ? kEvidenceThresholdInFailingRack
                                        : kEvidenceThreshold;
}

std::size_t
Quarantine::QuarantinedWorkers() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->workers, [](const auto& aEntry) {
      return aEntry.second.state == QuarantineState::Quarantined;
    }));
}

void
Quarantine::WorkerLost(TimePoint aNow,
                       const std::string& aWorker,
                       const std::string& aRack,
                       const std::set<std::string>& aJobs)
{
  this->AttributeLosses(aNow);
  this->losses.push_back({ aNow, aWorker, aRack, aJobs });
}

bool
Quarantine::HasCommonCause(const Loss& aLoss) const
{
  std::size_t near = 0;
  std::size_t inRack = 0;
  for (const Loss& other : this->losses) {
    const Duration apart =
      other.at > aLoss.at ? other.at - aLoss.at : aLoss.at - other.at;
    if (apart > kLossWindow) {
      continue;
    }
    ++near;
    inRack += other.rack == aLoss.rack ? 1 : 0;
  }
  return inRack >= kRackLossWorkers || near * 2 > this->fleetSize;
}

void
Quarantine::AttributeLosses(TimePoint aNow)
{
  // A loss counts against the jobs only after kLossWindow, when all losses with
  // the same cause are known.
  for (Loss& loss : this->losses) {
    if (loss.jobs.empty() || aNow - loss.at <= kLossWindow) {
      continue;
    }
    const std::set<std::string> ran = std::exchange(loss.jobs, {});
    if (this->HasCommonCause(loss)) {
      continue;
    }
    for (const std::string& job : ran) {
      this->GetJob(aNow, job).lostWorkers.insert(loss.worker);
      this->UpdateSuspicion(job);
    }
  }
  // Counted losses are kept as long as a later loss that is not yet counted may
  // have the same cause.
  while (!this->losses.empty() &&
         aNow - this->losses.front().at > 2 * kLossWindow) {
    this->losses.pop_front();
  }
}

QuarantineState
Quarantine::StateOf(TimePoint aNow, const std::string& aWorker)
{
  this->AttributeLosses(aNow);
  const auto found = this->workers.find(aWorker);
  if (found == this->workers.end()) {
    return QuarantineState::Healthy;
  }
  Worker& worker = found->second;
  if (worker.state == QuarantineState::Quarantined &&
      aNow >= worker.quarantinedUntil) {
    worker.state = QuarantineState::Probation;
    worker.failures.clear();
  }
  return worker.state;
}

bool
Quarantine::IsQuarantined(TimePoint aNow, const std::string& aWorker) const
{
  const auto found = this->workers.find(aWorker);
  return found != this->workers.end() &&
         found->second.state == QuarantineState::Quarantined &&
         aNow < found->second.quarantinedUntil;
}

bool
Quarantine::MayTry(TimePoint aNow, const std::string& aWorker) const
{
  const auto found = this->workers.find(aWorker);
  return found != this->workers.end() &&
         found->second.state == QuarantineState::Quarantined &&
         aNow >= found->second.nextTrialAt;
}

void
Quarantine::BeginTrial(TimePoint aNow,
                       const std::string& aWorker,
                       const std::string& aJob)
{
  if (!this->MayTry(aNow, aWorker)) {
    return;
  }
  Worker& worker = this->workers.at(aWorker);
  worker.trialJob = aJob;
  worker.trialPause = std::min(2 * worker.trialPause, kLongestTrialPause);
  worker.nextTrialAt = aNow + worker.trialPause;
}

double
Quarantine::Suspicion(TimePoint aNow, const std::string& aWorker) const
{
  const auto found = this->workers.find(aWorker);
  if (found == this->workers.end() || found->second.failures.empty()) {
    return 0;
  }
  const Worker& worker = found->second;
  return std::min(1.0,
                  static_cast<double>(this->Evidence(aNow, worker)) /
                    this->Threshold(aNow, worker));
}

void
Quarantine::UpdateSuspicion(const std::string& aJob)
{
  const Job& job = this->jobs.at(aJob);
  const bool fails = job.failedOn.size() >= kSuspectedJobFailures &&
                     job.failedOn.size() > job.succeededOn.size();
  const bool kills = job.lostWorkers.size() >= kSuspectedJobLosses &&
                     job.lostWorkers.size() > job.succeededOn.size();
  const auto mark = [&](std::set<std::string>& aSet, bool aIn) {
    if (aIn) {
      aSet.insert(aJob);
    } else {
      aSet.erase(aJob);
    }
  };
  mark(this->suspected, fails || kills);
  mark(this->suspectedOfLosses, kills);
}

std::string
Quarantine::Explain(const std::string& aJob) const
{
  const auto found = this->jobs.find(aJob);
  if (found == this->jobs.end()) {
    return {};
  }
  const Job& job = found->second;
  return "failed on " + std::to_string(job.failedOn.size()) +
         ", may have caused the loss of " +
         std::to_string(job.lostWorkers.size()) + ", succeeded on " +
         std::to_string(job.succeededOn.size()) + " workers";
}

} // namespace sequoiakeel
