#include "CellScheduler.h"

#include "Log.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

/** Wait after which a suspected task is started on any worker. A long-running
 * task that is in fact harmless has to run again within six seconds; other
 * tasks may wait for workers that constantly get new runs. */
constexpr std::chrono::milliseconds kIsolationWait{ 12000 };
constexpr std::chrono::milliseconds kLongRunningIsolationWait{ 6000 };

/** Crashes of which other runs are suspected after which a task is kept apart
 * as well. Otherwise tasks that are placed together could not be told apart. */
constexpr std::size_t kSuspectBystander = 2;

/** Returns how long a run had been up at a time at which its worker was up. */
Duration
AgeAt(const Commitment& aCommitment, TimePoint aTime)
{
  const bool confirmed = aCommitment.confirmedAt != TimePoint();
  const Duration age = confirmed && aCommitment.confirmedAt <= aTime
                         ? aTime - aCommitment.confirmedAt
                         : Duration::zero();
  // A run that was found on its worker began earlier.
  return aCommitment.adopted
           ? std::max<Duration>(age, CrashAttribution::kProvenAfter)
           : age;
}

} // namespace

void
CellScheduler::RecordLoss(const ScheduledWorker& aWorker,
                          std::optional<TimePoint> aContactUntil)
{
  if (aWorker.description.draining) {
    return;
  }
  LostWorker loss;
  loss.id = aWorker.description.id;
  loss.incarnation = aWorker.reportedIncarnation;
  loss.endpoint = aWorker.description.endpoint;
  loss.rack = aWorker.description.rack;
  loss.service = aWorker.description.service;
  loss.lostAt = aContactUntil.value_or(aWorker.lastReportAt);
  loss.approximate = !aContactUntil.has_value();
  if (aContactUntil) {
    loss.lastReportAt = aWorker.lastReportAt;
  }
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    // A run that awaits a stop is that of an incarnation that is gone.
    if (commitment.held || commitment.awaitsStop) {
      continue;
    }
    loss.runs.push_back(RunAtLoss{ task,
                                   commitment.run,
                                   AgeAt(commitment, loss.lostAt),
                                   commitment.suspect,
                                   commitment.confirmedAt == TimePoint(),
                                   AgeAt(commitment, aWorker.lastReportAt) });
  }
  this->crashes.RecordLoss(std::move(loss));
}

void
CellScheduler::HandleFailedRetry(const std::string& aWorker)
{
  this->crashes.RecordFailedRetry(aWorker);
}

void
CellScheduler::RestoreLosses(const WorkerRoster& aRoster)
{
  this->crashes.Restore(this->clock.Now(), aRoster.silent);
  for (const UnresponsiveWorker& worker : aRoster.silent) {
    for (const SuspectedRun& run : worker.suspects) {
      // Crashes are told apart by run numbers, so a number must not be used
      // again.
      if (const auto known = this->FindTask(run.task)) {
        known->task->run = std::max(known->task->run, run.run);
      }
    }
  }
}

void
CellScheduler::AddLosses(std::vector<UnresponsiveWorker>& aWorkers) const
{
  for (const auto& [id, loss] : this->crashes.Losses()) {
    auto found =
      std::find_if(aWorkers.begin(),
                   aWorkers.end(),
                   [&worker = loss.id](const UnresponsiveWorker& aWorker) {
                     return aWorker.worker == worker;
                   });
    if (found == aWorkers.end()) {
      if (loss.runs.empty()) {
        continue;
      }
      found = aWorkers.insert(found, UnresponsiveWorker());
      found->worker = id;
    }
    found->incarnation = loss.incarnation;
    found->address = loss.endpoint.address;
    found->port = loss.endpoint.port;
    found->suspects = CrashAttribution::SuspectsOf(loss);
  }
}

void
CellScheduler::HandleCrash(const std::string& aWorker, const char* aEvidence)
{
  const std::optional<WorkerCrash> crash =
    this->crashes.RecordCrash(this->clock.Now(), aWorker, this->workers.size());
  if (!crash) {
    return;
  }
  Event("worker_crashed", LogLevel::Warning)
    .Add("worker", aWorker)
    .Add("evidence", aEvidence)
    .Add("runs", static_cast<std::uint64_t>(crash->runs))
    .Add("suspects", static_cast<std::uint64_t>(crash->suspects.size()))
    .Add("crash_limit", static_cast<std::uint64_t>(crash->crashLimit));
  this->policies.observer.WorkerCrashed();
  // A suspect that is given up clears the bystanders, so these are counted
  // before and judged after.
  for (const SuspectedRun& run : crash->bystanders) {
    this->CountBystander(run);
  }
  for (const SuspectedRun& run : crash->suspects) {
    this->CountCrash(
      run, crash->crashLimit, !crash->unconfirmed.contains(run.task));
  }
  for (const SuspectedRun& run : crash->bystanders) {
    const auto known = this->FindTask(run.task);
    if (known && !known->task->withheld && HasMostCrashes(*known->task)) {
      this->GiveUp(known->name);
    }
  }
}

std::optional<CellScheduler::KnownTask>
CellScheduler::FindTask(const std::string& aTask)
{
  const std::optional<TaskName> name = ParseTaskName(aTask);
  Entry* const entry = name ? this->FindJob(name->job) : nullptr;
  WorkflowTask* const task = entry ? entry->job.Find(*name) : nullptr;
  if (task == nullptr) {
    return std::nullopt;
  }
  return KnownTask{ *name, entry, task };
}

void
CellScheduler::CountCrash(const SuspectedRun& aRun,
                          std::size_t aLimit,
                          bool aConfirmed)
{
  const auto known = this->FindTask(aRun.task);
  if (!known || !known->entry->job.MarkCrashed(known->name, aRun.run)) {
    return;
  }
  WorkflowTask& task = *known->task;
  if (!aConfirmed) {
    task.unconfirmedCrashes.push_back(aRun.run);
  }
  Event("task_suspected", LogLevel::Warning)
    .Add("task", aRun.task)
    .Add("run", aRun.run)
    .Add("crashes", static_cast<std::uint64_t>(task.crashedRuns.size()))
    .Add("unconfirmed",
         static_cast<std::uint64_t>(task.unconfirmedCrashes.size()))
    .Add("limit", static_cast<std::uint64_t>(aLimit));
  this->MarkDirty(known->name.job);
  // A task that crashes its worker before the answer to its start counts too,
  // but a harmless one whose order was late when a worker crashed must not be
  // given up after one more crash.
  const std::size_t confirmed =
    task.crashedRuns.size() - task.unconfirmedCrashes.size();
  if (confirmed >= aLimit || HasMostCrashes(task)) {
    this->GiveUp(known->name);
  }
}

void
CellScheduler::CountBystander(const SuspectedRun& aRun)
{
  const auto known = this->FindTask(aRun.task);
  if (!known || known->task->status == TaskStatus::Done) {
    return;
  }
  std::vector<std::uint64_t>& runs = known->task->bystanderRuns;
  if (std::find(runs.begin(), runs.end(), aRun.run) == runs.end()) {
    runs.push_back(aRun.run);
  }
}

bool
CellScheduler::HasMostCrashes(const WorkflowTask& aTask)
{
  return aTask.crashedRuns.size() + aTask.bystanderRuns.size() >=
         CrashAttribution::kMaxCrashes;
}

void
CellScheduler::GiveUp(const TaskName& aName)
{
  for (const SuspectedRun& run :
       this->crashes.RecordCulprit(FormatTaskName(aName))) {
    const auto known = this->FindTask(run.task);
    if (known && known->entry->job.ClearCrash(known->name, run.run)) {
      this->MarkDirty(known->name.job);
    }
  }
  if (!this->jobs.at(aName.job).job.IsPart()) {
    this->EndJob(
      aName.job, WorkflowState::Failed, "a task crashes its workers");
    return;
  }
  Event("task_withheld", LogLevel::Warning).Add("task", FormatTaskName(aName));
  this->FindJob(aName.job)->job.Find(aName)->withheld = true;
}

bool
CellScheduler::IsWithheld(const WorkflowTask& aTask)
{
  return aTask.withheld || HasMostCrashes(aTask);
}

bool
CellScheduler::IsSuspect(const TaskName& aName, const WorkflowTask& aTask) const
{
  return !aTask.crashedRuns.empty() ||
         aTask.bystanderRuns.size() >= kSuspectBystander ||
         (this->crashes.HasSuspects() &&
          this->crashes.MayHaveCrashedWorker(FormatTaskName(aName)));
}

bool
CellScheduler::AwaitsIsolation(const TaskToPlace& aTask) const
{
  return aTask.suspect &&
         aTask.waited < (aTask.step.longRunning ? kLongRunningIsolationWait
                                                : kIsolationWait);
}

} // namespace sequoiakeel
