#include "CellScheduler.h"

#include "Log.h"

#include <algorithm>
#include <utility>

namespace sequoiakeel {

void
CellScheduler::HandleReport(const std::string& aWorker,
                            TimePoint aSentAt,
                            std::uint64_t aWorkerMs,
                            const WorkerReport& aReport)
{
  ScheduledWorker* const worker = this->Worker(aWorker);
  if (worker == nullptr) {
    return;
  }
  const TimePoint now = this->clock.Now();
  if (aReport.incarnation < worker->reportedIncarnation) {
    return;
  }
  worker->openRenewalAt.reset();
  if (!worker->reported) {
    Event("worker_reported")
      .Add("worker", aWorker)
      .Add("incarnation", aReport.incarnation)
      .Add("running", static_cast<std::uint64_t>(aReport.running.size()))
      .Add("ended", static_cast<std::uint64_t>(aReport.ended.size()));
    worker->reportedIncarnation = aReport.incarnation;
    if (this->MayHaveRestarted(aWorker, aReport.incarnation)) {
      // It rejects the commands of earlier owners from now on.
      worker->staleLeasesExpiredBy = this->LongestLeaseExpiresBy(now);
    }
    const LostWorker* const loss = this->crashes.FindLoss(aWorker);
    if (loss != nullptr && aReport.incarnation > loss->incarnation) {
      this->HandleCrash(aWorker, "restarted under its id");
    }
  } else if (aReport.incarnation > worker->reportedIncarnation) {
    this->BeginIncarnation(*worker, aReport.incarnation);
  }
  this->crashes.RecordReturn(aWorker);
  worker->fillerSpare.reset();
  worker->unresponsive = false;
  worker->reported = true;
  worker->lastReportAt = now;
  if (worker->clockReadingMs == 0) {
    Event("worker_clock_read")
      .Add("worker", aWorker)
      .Add("incarnation", aReport.incarnation)
      .Add("clock_ms", aWorkerMs);
  }
  worker->clockReadingMs = aWorkerMs;
  worker->clockReadAt = now;
  worker->clockRequestedAt = aSentAt;
  this->UpdateRosterAge({ aWorker, aReport.incarnation, aWorkerMs });
  for (const EndedRun& row : aReport.ended) {
    if (row.sequence > worker->handledEnds) {
      worker->handledEnds = row.sequence;
      this->HandleRunEnd(*worker, row);
      this->KeepEndOfOpenStart(*worker, row);
      worker->handledEndsChange = this->change;
      worker->endsToRecord[row.task] = this->change;
    }
  }
  worker->foreignRuns = false;
  for (const RunningRun& row : aReport.running) {
    this->HandleRunning(*worker, aSentAt, row);
  }
  if (!aReport.endsTruncated) {
    this->MarkMissingRunsLost(*worker, aSentAt, aReport);
    this->awaitedWorkers.erase(aWorker);
    this->tasksOnUnresponsive.erase(aWorker);
  }
  this->AdjustFillers(*worker);
  this->CheckRecovered();
}

void
CellScheduler::HandleRunEnd(ScheduledWorker& aWorker, const EndedRun& aRow)
{
  const Commitment* const commitment = aWorker.Find(aRow.task);
  if (commitment != nullptr && commitment->run <= aRow.run) {
    aWorker.NoteFillerEnd(*commitment, this->clock.Now());
    aWorker.Release(aRow.task);
  }
  // A worker can list the end of a run that it was told to stop and that never
  // began there.
  if (aRow.end != RunEnd::Stopped) {
    this->openStarts.NoteCarriedOut(
      aRow.task, aWorker.description.id, aRow.run);
  }
  this->policies.observer.RunEnded(aRow.end);
  const std::optional<TaskName> name = ParseTaskName(aRow.task);
  Entry* const entry = name ? this->FindJob(name->job) : nullptr;
  Event("task_ended")
    .Add("task", aRow.task)
    .Add("run", aRow.run)
    .Add("worker", aWorker.description.id)
    .Add("incarnation", aWorker.reportedIncarnation)
    .Add("end", ToString(aRow.end));
  if (entry == nullptr || entry->job.Find(*name) == nullptr) {
    return;
  }
  this->ApplyRunEnd(aWorker.description.id, *name, *entry, aRow);
}

void
CellScheduler::KeepEndOfOpenStart(ScheduledWorker& aWorker,
                                  const EndedRun& aRow)
{
  if (!this->openStarts.MayBeCarriedOut(aRow.task, this->clock.Now())) {
    return;
  }
  aWorker.endsToKeep[aRow.sequence] = aRow.task;
  Event("end_kept")
    .Add("task", aRow.task)
    .Add("run", aRow.run)
    .Add("worker", aWorker.description.id)
    .Add("sequence", aRow.sequence);
}

void
CellScheduler::ApplyRunEnd(const std::string& aWorker,
                           const TaskName& aName,
                           Entry& aEntry,
                           const EndedRun& aRow)
{
  WorkflowJob& job = aEntry.job;
  WorkflowTask& task = *job.Find(aName);
  const WorkflowStep& step = job.StepOf(aName);
  job.MarkStarted();
  job.MarkRun(aName);
  const bool current = aRow.run >= task.run;
  task.run = std::max(task.run, aRow.run);
  if (!aRow.checkpoint.empty()) {
    task.checkpoint = aRow.checkpoint;
  }
  const bool elsewhere =
    task.status == TaskStatus::Assigned && task.worker != aWorker;
  if (elsewhere || task.status == TaskStatus::Done) {
    // The task is done or was assigned to another worker, since this worker's
    // lease had expired or an earlier owner restarted the task. Of the reported
    // end, only a failure still counts.
    if (aRow.end == RunEnd::Failed && elsewhere) {
      this->CountFailure(aWorker, aName, aEntry, aRow);
    }
    return;
  }
  if (aRow.end == RunEnd::Done || aRow.end == RunEnd::Failed) {
    const ScheduledWorker* const worker = this->FindWorker(aWorker);
    const TimePoint now = this->clock.Now();
    const bool before = this->quarantine.IsQuarantined(now, aWorker);
    this->quarantine.Report(now,
                            aWorker,
                            worker != nullptr ? worker->description.rack : "",
                            aName.job,
                            aRow.end == RunEnd::Failed);
    const bool after = this->quarantine.IsQuarantined(now, aWorker);
    if (after != before) {
      Event(after ? "worker_quarantined" : "worker_readmitted")
        .Add("worker", aWorker)
        .Add("job", aName.job);
    }
  }
  if (aRow.end == RunEnd::Done && !step.longRunning) {
    if (step.gang) {
      for (std::uint32_t i = 0; i < step.count; ++i) {
        TaskName member = aName;
        member.index = i;
        job.MarkDone(member);
      }
    } else {
      job.MarkDone(aName);
    }
    this->MarkDirty(aName.job);
    if (job.AllDone()) {
      this->EndJob(aName.job, WorkflowState::Completed, "all tasks done");
    }
    return;
  }
  // The end of an earlier run says nothing about the one in progress.
  if (task.status == TaskStatus::Assigned && current) {
    job.Unassign(aName, this->clock.Now());
    this->NoteAssignmentChange(job, aName);
  }
  if (aRow.end == RunEnd::Failed) {
    this->CountFailure(aWorker, aName, aEntry, aRow);
  }
}

void
CellScheduler::CountFailure(const std::string& aWorker,
                            const TaskName& aName,
                            Entry& aEntry,
                            const EndedRun& aRow)
{
  WorkflowJob& job = aEntry.job;
  TaskName counted = aName;
  if (job.StepOf(aName).gang) {
    counted.index = 0;
  }
  if (!job.MarkFailed(counted, aRow.run)) {
    return;
  }
  Event("task_failed")
    .Add("task", aRow.task)
    .Add("run", aRow.run)
    .Add("worker", aWorker)
    .Add("failures",
         static_cast<std::uint64_t>(job.Find(counted)->failedRuns.size()))
    .Add("limit", job.Submission().maxAttempts);
  this->MarkDirty(aName.job);
  if (job.AttemptsExhausted()) {
    this->EndJob(aName.job, WorkflowState::Failed, "attempt limit reached");
  }
}

void
CellScheduler::HandleRunning(ScheduledWorker& aWorker,
                             TimePoint aSentAt,
                             const RunningRun& aRow)
{
  Commitment* const commitment = aWorker.Find(aRow.task);
  const std::optional<TaskName> name = ParseTaskName(aRow.task);
  this->openStarts.NoteCarriedOut(aRow.task, aWorker.description.id, aRow.run);
  if (commitment != nullptr && commitment->run == aRow.run) {
    if (commitment->phase == CommitmentPhase::Starting) {
      commitment->phase = CommitmentPhase::Running;
      commitment->confirmedAt = this->clock.Now();
    }
    commitment->NoteUsage(aRow.usage, aSentAt);
    commitment->progressPercent = aRow.percent;
    Entry* const entry = name ? this->FindJob(name->job) : nullptr;
    WorkflowTask* const task = entry ? entry->job.Find(*name) : nullptr;
    if (entry != nullptr) {
      entry->job.MarkStarted();
    }
    if (task != nullptr &&
        (!task->crashedRuns.empty() || !task->bystanderRuns.empty()) &&
        commitment->confirmedAt != TimePoint() && !commitment->awaitsStop &&
        this->clock.Now() - commitment->confirmedAt >
          CrashAttribution::kAcquittedAfter &&
        entry->job.ClearCrashes(*name)) {
      this->MarkDirty(name->job);
    }
    if (task != nullptr && !aRow.checkpoint.empty() && task->run == aRow.run) {
      task->checkpoint = aRow.checkpoint;
    }
    return;
  }
  if (commitment != nullptr) {
    // The row belongs to an earlier run of a task that has been started again
    // on this worker; the end of that run is about to be listed.
    return;
  }
  if (!name) {
    aWorker.foreignRuns = true;
    return;
  }
  this->Adopt(aWorker, *name, aRow);
}

void
CellScheduler::Adopt(ScheduledWorker& aWorker,
                     const TaskName& aName,
                     const RunningRun& aRow)
{
  Entry* const entry = this->FindJob(aName.job);
  WorkflowTask* const task = entry ? entry->job.Find(aName) : nullptr;
  Commitment commitment;
  commitment.run = aRow.run;
  commitment.phase = CommitmentPhase::Running;
  commitment.adopted = true;
  commitment.speed = RunSpeed::Unknown();
  commitment.confirmedAt = this->clock.Now();
  commitment.startedAt = this->clock.Now();
  commitment.stepKey = FormatStepKey(aName);
  commitment.usage = aRow.usage;
  commitment.progressPercent = aRow.percent;
  if (task == nullptr) {
    // No task is started on this worker until the end of this run of unknown
    // size is known.
    commitment.sizeKnown = false;
    aWorker.Commit(aRow.task, commitment);
    this->StopRun(aWorker, aRow.task, "job has ended");
    return;
  }
  commitment.step = entry->job.StepOf(aName);
  // An earlier run of a pending task is kept, since it is the only one. For a
  // member of a gang it is of no use, since the other members have ended.
  const bool wanted = task->status == TaskStatus::Pending &&
                      (aRow.run >= task->run || !commitment.step.gang);
  aWorker.Commit(aRow.task, commitment);
  Event("task_found")
    .Add("task", aRow.task)
    .Add("run", aRow.run)
    .Add("worker", aWorker.description.id)
    .Add("incarnation", aWorker.reportedIncarnation)
    .Add("adopted", wanted);
  if (!wanted) {
    this->StopRun(aWorker, aRow.task, "run is no longer needed");
    return;
  }
  const bool recorded =
    task->mayRunOn == aWorker.description.id && task->run == aRow.run;
  entry->job.Assign(aName, aWorker.description.id, aRow.run);
  entry->job.MarkStarted();
  if (!recorded) {
    this->NoteAssignmentChange(entry->job, aName);
  }
  if (!aRow.checkpoint.empty()) {
    task->checkpoint = aRow.checkpoint;
  }
}

void
CellScheduler::MarkMissingRunsLost(ScheduledWorker& aWorker,
                                   TimePoint aSentAt,
                                   const WorkerReport& aReport)
{
  std::set<std::string_view> present;
  for (const RunningRun& row : aReport.running) {
    present.insert(row.task);
  }
  std::vector<std::string> missing;
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    if (present.contains(task)) {
      continue;
    }
    if (commitment.awaitsStop) {
      continue;
    }
    // A report proves that a run does not exist only if it was requested after
    // the start was confirmed or could no longer take effect.
    const bool settled = commitment.confirmedAt != TimePoint()
                           ? aSentAt > commitment.confirmedAt
                           : aSentAt > commitment.startExpiresAt;
    if (settled) {
      missing.push_back(task);
    }
  }
  for (const std::string& task : missing) {
    this->MarkRunLost(aWorker, task, "not listed");
  }
}

void
CellScheduler::MarkRunLost(ScheduledWorker& aWorker,
                           const std::string& aTask,
                           const char* aReason,
                           bool aRejected)
{
  const Commitment* const commitment = aWorker.Find(aTask);
  if (commitment == nullptr) {
    return;
  }
  Event("run_lost")
    .Add("task", aTask)
    .Add("run", commitment->run)
    .Add("worker", aWorker.description.id)
    .Add("incarnation", aWorker.reportedIncarnation)
    .Add("confirmed", commitment->confirmedAt != TimePoint())
    .Add("reason", aReason);
  this->policies.observer.RunLost();
  // A start that was rejected or not carried out does not end the wait of the
  // task, otherwise a worker that rejects every start would keep renewing it.
  const bool began = commitment->confirmedAt != TimePoint();
  const bool awaitsAnswer =
    !began && !commitment->awaitsStop &&
    !this->openStarts.Contains(aTask, aWorker.description.id, commitment->run);
  if (awaitsAnswer && !aRejected) {
    this->AddOpenStart(aWorker.description.id,
                       aTask,
                       *commitment,
                       commitment->startedAt +
                         OpenStarts::kLongestDelayFromDecision);
  }
  if (aRejected) {
    this->openStarts.EndFurtherStart(aTask, aWorker.description.id);
  }
  aWorker.Release(aTask);
  const std::optional<TaskName> name = ParseTaskName(aTask);
  Entry* const entry = name ? this->FindJob(name->job) : nullptr;
  const WorkflowTask* const task = entry ? entry->job.Find(*name) : nullptr;
  if (task != nullptr && task->status == TaskStatus::Assigned &&
      task->worker == aWorker.description.id) {
    if (began) {
      entry->job.Unassign(*name, aWorker.lastReportAt);
    } else {
      entry->job.RevokeAssignment(*name);
    }
    this->NoteAssignmentChange(entry->job, *name);
  }
}

std::vector<std::string>
CellScheduler::RunsThatMayBeLost(const ScheduledWorker& aWorker) const
{
  const TimePoint now = this->clock.Now();
  std::vector<std::string> tasks;
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    if (commitment.held ||
        (commitment.awaitsStop &&
         now <=
           this->NoCopyRunsAfter(aWorker.description.id, task, commitment))) {
      continue;
    }
    tasks.push_back(task);
  }
  return tasks;
}

void
CellScheduler::MarkAllRunsLost(ScheduledWorker& aWorker, const char* aReason)
{
  for (const std::string& task : this->RunsThatMayBeLost(aWorker)) {
    this->MarkRunLost(aWorker, task, aReason);
    // An unconfirmed start may have been carried out.
    const std::optional<TaskName> name = ParseTaskName(task);
    Entry* const entry = name ? this->FindJob(name->job) : nullptr;
    if (entry != nullptr && entry->job.Find(*name) != nullptr) {
      entry->job.MarkRun(*name);
    }
  }
}

void
CellScheduler::BeginIncarnation(ScheduledWorker& aWorker,
                                std::uint64_t aIncarnation)
{
  Event("worker_restarted")
    .Add("worker", aWorker.description.id)
    .Add("from_incarnation", aWorker.reportedIncarnation)
    .Add("incarnation", aIncarnation);
  this->RecordLoss(aWorker, std::nullopt);
  this->HandleCrash(aWorker.description.id, "restarted under its id");
  this->BoundStaleLeases(aWorker);
  std::vector<std::string> inFlight;
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    // A start that was confirmed after the last report may have been carried
    // out by the new incarnation. A held start was never sent.
    const bool unreported = commitment.confirmedAt == TimePoint() ||
                            commitment.confirmedAt > aWorker.lastReportAt;
    // The stop also rejects the starts of earlier runs of the task.
    const bool open =
      this->openStarts.CommandsOverAt(task, aWorker.description.id).has_value();
    if (!commitment.held && (open || unreported)) {
      inFlight.push_back(task);
    }
  }
  for (const std::string& task : inFlight) {
    // The new incarnation does not know earlier run numbers and has a new
    // clock, to which the validity of the command does not apply, so it would
    // carry out a copy that arrives late. A stop makes it reject the run.
    this->StopRun(aWorker, task, "worker restarted with the start in flight");
    Commitment& commitment = *aWorker.Find(task);
    commitment.awaitsStop = true;
    commitment.stopSentAt = TimePoint();
    if (commitment.confirmedAt == TimePoint()) {
      this->AddOpenStart(aWorker.description.id,
                         task,
                         commitment,
                         commitment.startedAt +
                           OpenStarts::kLongestDelayFromDecision);
    }
  }
  this->MarkAllRunsLost(aWorker, "worker restarted");
  aWorker.reportedIncarnation = aIncarnation;
  aWorker.backoffUntil = TimePoint();
  aWorker.handledEnds = 0;
  aWorker.endsToRecord.clear();
  aWorker.endsToKeep.clear();
  aWorker.durableEnds = 0;
  // The new incarnation's clock is unknown until it reports.
  aWorker.clockReadingMs = 0;
}

void
CellScheduler::HandleUnansweredStart(const std::string& aWorker,
                                     const std::string& aTask,
                                     std::uint64_t aRun)
{
  ScheduledWorker* const worker = this->Worker(aWorker);
  if (worker == nullptr) {
    return;
  }
  const TimePoint now = this->clock.Now();
  worker->unansweredGrantAt = now;
  const Commitment* const commitment = worker->Find(aTask);
  // Without a commitment, or with a confirmed one, a report has listed the run
  // of the only copy that was sent, unless the start is known to be open.
  const bool awaited = commitment != nullptr && commitment->run == aRun &&
                       commitment->confirmedAt == TimePoint();
  if (awaited) {
    this->AddOpenStart(
      aWorker, aTask, *commitment, now + OpenStarts::kLongestDelay);
  } else if (this->openStarts.Contains(aTask, aWorker, aRun)) {
    this->openStarts.Add(OpenStart{ aTask, aRun, aWorker },
                         now + OpenStarts::kLongestDelay);
  }
}

void
CellScheduler::HandleStart(const std::string& aWorker,
                           const std::string& aTask,
                           std::uint64_t aRun,
                           const WorkerCommandReply& aReply,
                           bool aMayBeInFlight)
{
  ScheduledWorker* const worker = this->Worker(aWorker);
  if (worker != nullptr && aMayBeInFlight) {
    worker->unansweredGrantAt = this->clock.Now();
  }
  Commitment* const commitment = worker ? worker->Find(aTask) : nullptr;
  if (commitment == nullptr || commitment->run != aRun) {
    return;
  }
  this->CheckClock(*worker, commitment->startedAt, aReply.workerMs);
  if (commitment->awaitsStop) {
    return;
  }
  const TimePoint now = this->clock.Now();
  const bool listed = commitment->confirmedAt != TimePoint();
  if (aMayBeInFlight && !listed &&
      !this->openStarts.Contains(aTask, aWorker, aRun)) {
    this->AddOpenStart(
      aWorker, aTask, *commitment, now + OpenStarts::kLongestDelay);
  }
  const bool began = aReply.result == WorkerCommandResult::Done ||
                     aReply.result == WorkerCommandResult::OldRun;
  if (const auto known = this->FindTask(aTask); known && began) {
    known->entry->job.MarkStarted();
  }
  if (aReply.result == WorkerCommandResult::Done) {
    if (commitment->phase == CommitmentPhase::Starting) {
      commitment->phase = CommitmentPhase::Running;
    }
    commitment->confirmedAt = now;
    commitment->allCopiesAnswered =
      !this->openStarts.Contains(aTask, aWorker, aRun);
    if (commitment->allCopiesAnswered) {
      this->openStarts.EndFurtherStart(aTask, aWorker);
    }
    return;
  }
  Event("start_turned_away", LogLevel::Warning)
    .Add("task", aTask)
    .Add("run", aRun)
    .Add("worker", aWorker)
    .Add("result", ToString(aReply.result))
    .Add("in_flight", aMayBeInFlight);
  this->policies.observer.StartRejected(aReply.result);
  worker->backoffUntil = now + ScheduledWorker::kStartRejectedBackoff;
  if (aReply.result == WorkerCommandResult::OldRun) {
    // An earlier copy of the start command was carried out and its run has
    // ended. The next report lists how the run ended.
    commitment->phase = CommitmentPhase::Running;
    commitment->confirmedAt = now;
    return;
  }
  if (aReply.result == WorkerCommandResult::Unknown ||
      aReply.result == WorkerCommandResult::Fenced || aMayBeInFlight) {
    return;
  }
  this->MarkRunLost(*worker, aTask, "start turned away", true);
}

bool
CellScheduler::BeginRepeatedStart(const std::string& aWorker,
                                  const std::string& aTask,
                                  std::uint64_t aRun)
{
  if (!this->openStarts.IsRecorded(aTask, aWorker, aRun)) {
    return false;
  }
  this->openStarts.NoteRepeated(aTask, aWorker, aRun);
  return true;
}

bool
CellScheduler::AwaitsStart(const std::string& aWorker,
                           const std::string& aTask,
                           std::uint64_t aRun) const
{
  const ScheduledWorker* const worker = this->FindWorker(aWorker);
  if (worker == nullptr) {
    return false;
  }
  const auto found = worker->Commitments().find(aTask);
  return found != worker->Commitments().end() && found->second.run == aRun &&
         found->second.phase == CommitmentPhase::Starting &&
         this->clock.Now() < found->second.startExpiresAt &&
         !worker->IsExceededFor(found->second.step);
}

void
CellScheduler::HandleStop(const std::string& aWorker,
                          const std::string& aTask,
                          std::uint64_t aRun,
                          const WorkerCommandReply& aReply)
{
  ScheduledWorker* const worker = this->Worker(aWorker);
  Commitment* const commitment = worker ? worker->Find(aTask) : nullptr;
  if (commitment == nullptr || commitment->run != aRun ||
      !commitment->awaitsStop || aReply.result != WorkerCommandResult::Done) {
    return;
  }
  // From now on the worker rejects a copy of the start command. If a copy was
  // carried out before, the next report lists the end of that run.
  commitment->awaitsStop = false;
  commitment->confirmedAt = this->clock.Now();
}

void
CellScheduler::HandleThrottle(const PlannedThrottle& aThrottle,
                              const WorkerCommandReply& aReply)
{
  ScheduledWorker* const worker = this->Worker(aThrottle.worker);
  Commitment* const commitment =
    worker ? worker->Find(aThrottle.task) : nullptr;
  if (commitment == nullptr || commitment->run != aThrottle.run) {
    return;
  }
  commitment->speed.HandleOutcome(aThrottle.order, aReply.result);
}

void
CellScheduler::HandleUnresponsive(const std::string& aWorker,
                                  std::optional<TimePoint> aContactUntil)
{
  ScheduledWorker* const worker = this->Worker(aWorker);
  if (worker == nullptr) {
    return;
  }
  if (!worker->unresponsive && worker->reported) {
    this->RecordLoss(*worker, aContactUntil);
    worker->lostSinceToken = true;
  }
  worker->unansweredGrantAt =
    std::max(worker->unansweredGrantAt,
             std::exchange(worker->openRenewalAt, std::nullopt));
  worker->unresponsive = true;
}

void
CellScheduler::HandleWrongWorker(const std::string& aWorker)
{
  ScheduledWorker* const worker = this->Worker(aWorker);
  if (worker != nullptr) {
    worker->backoffUntil =
      this->clock.Now() + ScheduledWorker::kStartRejectedBackoff;
  }
  this->HandleCrash(aWorker, "address belongs to another worker");
}

} // namespace sequoiakeel
