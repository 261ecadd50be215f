#include "CellScheduler.h"

#include "Log.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace sequoiakeel {

namespace {

/** Longest time after its decision at which a start command can be carried out:
 * it is sent for up to 1.5 s, and a command without an answer can arrive up to
 * 12 s after it was sent. */
constexpr std::chrono::milliseconds kMaxStartDelay{ 13500 };

/** A worker that rejected a start command gets no further ones for this long;
 * the worker's free capacity and health rarely change faster than its reports
 * arrive. */
constexpr std::chrono::milliseconds kStartRejectedBackoff{ 300 };

/** Workers report latencies over the last 500 ms, so the speed of best-effort
 * tasks is adjusted at most once in that time. */
constexpr std::chrono::milliseconds kLatencyWindow{ 500 };

/** The effect of a run on the measurements of its worker is visible only after
 * this time. */
constexpr std::chrono::milliseconds kSettleTime{ 700 };

constexpr std::chrono::milliseconds kInterferenceInterval{ 1000 };

/** Interval at which the estimated effects of best-effort tasks on tail
 * latencies are logged. They change within seconds, but the log needs only
 * their approximate size. */
constexpr std::chrono::seconds kInterferenceLogInterval{ 10 };

/** Smallest change of a best-effort task's speed that is worth a command, in
 * percent. */
constexpr int kSpeedStep = 10;

/** After this many consecutive readings above a latency target all best-effort
 * tasks are slowed, since the learned effects no longer explain the latency.
 * Best-effort tasks may cause a missed target for four seconds at most. */
constexpr int kSuspectAllAfter = 3;

/** All fillers of a worker are paused when a latency target has been missed for
 * this long. Fillers may cause a missed target for four seconds at most; a
 * pause and its effect on the reported latency take about one second, and
 * another one passes between two reports. */
constexpr std::chrono::milliseconds kPauseAllAfter{ 1500 };

/** Ratio of latency to target below which a target counts as kept again.
 * Reported latencies are rounded and vary around the actual ones. */
constexpr double kKeptRatio = 0.95;

} // namespace

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
  if (!worker->reported) {
    Event("worker_reported")
      .Add("worker", aWorker)
      .Add("incarnation", aReport.incarnation)
      .Add("running", static_cast<std::uint64_t>(aReport.running.size()))
      .Add("ended", static_cast<std::uint64_t>(aReport.ended.size()));
    worker->reportedIncarnation = aReport.incarnation;
  } else if (aReport.incarnation > worker->reportedIncarnation) {
    this->BeginIncarnation(*worker, aReport.incarnation);
  }
  worker->fillerSpare.reset();
  worker->unresponsive = false;
  worker->reported = true;
  worker->lastReportAt = now;
  worker->clockReadingMs = aWorkerMs;
  worker->clockReadAt = now;
  for (const EndedRun& row : aReport.ended) {
    if (row.sequence > worker->handledEnds) {
      worker->handledEnds = row.sequence;
      this->HandleRunEnd(*worker, row);
      worker->handledEndsChange = this->change;
    }
  }
  worker->foreignRuns = false;
  for (const RunningRun& row : aReport.running) {
    this->HandleRunning(*worker, row);
  }
  this->MarkMissingRunsLost(*worker, aSentAt, aReport);
  this->AdjustFillers(*worker);
  this->awaitedWorkers.erase(aWorker);
  this->tasksOnUnresponsive.erase(aWorker);
  this->CheckRecovered();
}

void
CellScheduler::ObserveTailLatencies(const ScheduledWorker& aWorker)
{
  const TimePoint now = this->clock.Now();
  const auto isSettled = [now](const Commitment& aCommitment) {
    return aCommitment.phase == CommitmentPhase::Running &&
           now - aCommitment.confirmedAt > kSettleTime;
  };
  std::vector<FillerLoad> fillers;
  for (const auto& [image, share] : aWorker.FillerShares(now, kLatencyWindow)) {
    fillers.push_back(FillerLoad{ image, share });
  }
  if (this->FillersContend(aWorker)) {
    // Ignores the readings: with all processors in use every tail latency
    // grows, so that the readings do not show the effect of single images.
    return;
  }
  struct Tails
  {
    std::string_view image;
    double sumMs = 0;
    int tasks = 0;
  };
  std::map<std::string, Tails> tails;
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    if (commitment.HasLatencyTarget() && isSettled(commitment) &&
        commitment.usage > 0) {
      // The tasks of one job share its load, so their mean latency is used.
      Tails& group = tails[aWorker.description.id + "/" + commitment.stepKey];
      group.image = commitment.step.image;
      group.sumMs += static_cast<double>(commitment.usage);
      ++group.tasks;
    }
  }
  for (const auto& [group, tail] : tails) {
    this->interference.Observe(
      { group, tail.image, tail.sumMs / tail.tasks, fillers, now });
  }
}

void
CellScheduler::ObserveInterference(const ScheduledWorker& aWorker)
{
  this->ObserveTailLatencies(aWorker);
  const TimePoint now = this->clock.Now();
  if (now - this->interferenceUpdatedAt > kInterferenceInterval) {
    this->interferenceUpdatedAt = now;
    this->interference.Update(now);
  }
  if (now - this->interferenceLoggedAt > kInterferenceLogInterval) {
    this->interferenceLoggedAt = now;
    for (const auto& [image, effects] : this->interference.Summary()) {
      Event("interference").Add("image", image).Add("effects", effects);
    }
  }
}

bool
CellScheduler::FillersContend(const ScheduledWorker& aWorker) const
{
  std::int64_t inUse = 0;
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    inUse += commitment.step.filler ? commitment.usage : 0;
  }
  return static_cast<double>(inUse) >
         CpuAvailableToFillers(aWorker, this->interference);
}

int
CellScheduler::UncontendedPercent(const ScheduledWorker& aWorker) const
{
  const auto wanted = static_cast<double>(aWorker.Committed().fillerCpuMilli);
  const double spare = CpuAvailableToFillers(aWorker, this->interference);
  if (wanted <= spare) {
    return 100;
  }
  const int percent = static_cast<int>(100 * std::max(spare, 0.0) / wanted);
  return percent / kSpeedStep * kSpeedStep;
}

double
CellScheduler::LatencyRatioFor(const ScheduledWorker& aWorker,
                               const std::string& aFillerImage) const
{
  const bool suspectAll = aWorker.readingsOverTarget >= kSuspectAllAfter;
  double worst = 0;
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    if (!commitment.HasLatencyTarget() ||
        commitment.phase != CommitmentPhase::Running) {
      continue;
    }
    const double effect =
      this->interference.Effect(commitment.step.image, aFillerImage);
    if (!suspectAll && effect <= FillerInterference::kHarmlessEffect) {
      continue;
    }
    worst = std::max(worst, commitment.LatencyRatio());
  }
  return worst;
}

void
CellScheduler::LogMissedTarget(const ScheduledWorker& aWorker) const
{
  const Commitment* worst = nullptr;
  int over = 0;
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    if (!commitment.HasLatencyTarget() ||
        commitment.phase != CommitmentPhase::Running ||
        commitment.LatencyRatio() <= 1) {
      continue;
    }
    ++over;
    if (worst == nullptr || commitment.LatencyRatio() > worst->LatencyRatio()) {
      worst = &commitment;
    }
  }
  if (worst == nullptr) {
    return;
  }
  const TimePoint now = this->clock.Now();
  std::ostringstream fillers;
  fillers << std::fixed << std::setprecision(2);
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    if (!commitment.step.filler) {
      continue;
    }
    fillers << commitment.step.image << ":effect="
            << this->interference.Effect(worst->step.image,
                                         commitment.step.image)
            << ",cpu_milli=" << commitment.usage
            << ",percent=" << commitment.speedPercent << ",age_ms="
            << std::chrono::duration_cast<std::chrono::milliseconds>(
                 now - commitment.startedAt)
                 .count()
            << ";";
  }
  Event("target_missed")
    .Add("worker", aWorker.description.id)
    .Add("job", worst->stepKey)
    .Add("image", worst->step.image)
    .Add("tasks_over", over)
    .Add("worst_ratio", worst->LatencyRatio())
    .Add("readings_over", aWorker.readingsOverTarget)
    .Add("contended", this->FillersContend(aWorker))
    .Add("fillers", fillers.str());
}

void
CellScheduler::AdjustFillers(ScheduledWorker& aWorker)
{
  const TimePoint now = this->clock.Now();
  if (now - aWorker.fillersAdjustedAt < kLatencyWindow) {
    return;
  }
  aWorker.fillersAdjustedAt = now;
  this->ObserveInterference(aWorker);
  const double ratio = aWorker.WorstLatencyRatio();
  aWorker.readingsOverTarget = ratio > 1 ? aWorker.readingsOverTarget + 1 : 0;
  if (ratio >= 1 && !aWorker.overTargetSince) {
    aWorker.overTargetSince = now;
  } else if (ratio < kKeptRatio) {
    aWorker.overTargetSince.reset();
  }
  const bool pauseAll =
    aWorker.overTargetSince && now - *aWorker.overTargetSince >= kPauseAllAfter;
  if (ratio > 1) {
    this->LogMissedTarget(aWorker);
  }
  std::set<std::string> images;
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    if (commitment.step.filler) {
      images.insert(commitment.step.image);
    }
  }
  std::erase_if(aWorker.fillerPercents, [&images](const auto& aItem) {
    return !images.contains(aItem.first);
  });
  const int uncontended = this->UncontendedPercent(aWorker);
  for (const std::string& image : images) {
    const int before = aWorker.FillerPercent(image);
    const double own = this->LatencyRatioFor(aWorker, image);
    const int percent =
      pauseAll ? 0
               : std::min(this->policies.throttle.NextPercent(before, own),
                          uncontended);
    if (percent == before) {
      continue;
    }
    aWorker.fillerPercents[image] = percent;
    this->policies.observer.FillersAdjusted();
    Event("filler_speed")
      .Add("worker", aWorker.description.id)
      .Add("image", image)
      .Add("from_percent", before)
      .Add("percent", percent)
      .Add("uncontended_percent", uncontended)
      .Add("latency_ratio", own)
      .Add("worst_ratio", ratio)
      .Add("over_target", aWorker.readingsOverTarget);
  }
}

void
CellScheduler::HandleRunEnd(ScheduledWorker& aWorker, const EndedRun& aRow)
{
  const Commitment* const commitment = aWorker.Find(aRow.task);
  if (commitment != nullptr && commitment->run <= aRow.run) {
    aWorker.NoteFillerEnd(*commitment, this->clock.Now());
    aWorker.Release(aRow.task);
  }
  this->policies.observer.RunEnded(aRow.end);
  const std::optional<TaskName> name = ParseTaskName(aRow.task);
  Entry* const entry = name ? this->FindJob(name->job) : nullptr;
  Event("task_ended")
    .Add("task", aRow.task)
    .Add("run", aRow.run)
    .Add("worker", aWorker.description.id)
    .Add("end", ToString(aRow.end));
  if (entry == nullptr || entry->job.Find(*name) == nullptr) {
    return;
  }
  this->ApplyRunEnd(aWorker.description.id, *name, *entry, aRow);
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
    this->quarantine.Report(this->clock.Now(),
                            aWorker,
                            worker != nullptr ? worker->description.rack : "",
                            aName.job,
                            aRow.end == RunEnd::Failed);
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
  if (task.status == TaskStatus::Assigned) {
    job.Unassign(aName, this->clock.Now());
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
CellScheduler::HandleRunning(ScheduledWorker& aWorker, const RunningRun& aRow)
{
  Commitment* const commitment = aWorker.Find(aRow.task);
  const std::optional<TaskName> name = ParseTaskName(aRow.task);
  if (commitment != nullptr && commitment->run == aRow.run) {
    if (commitment->phase == CommitmentPhase::Starting) {
      commitment->phase = CommitmentPhase::Running;
      commitment->confirmedAt = this->clock.Now();
    }
    commitment->usage = aRow.usage;
    commitment->progressPercent = aRow.percent;
    Entry* const entry = name ? this->FindJob(name->job) : nullptr;
    WorkflowTask* const task = entry ? entry->job.Find(*name) : nullptr;
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
  const bool wanted =
    task->status == TaskStatus::Pending && aRow.run >= task->run;
  aWorker.Commit(aRow.task, commitment);
  Event("task_found")
    .Add("task", aRow.task)
    .Add("run", aRow.run)
    .Add("worker", aWorker.description.id)
    .Add("adopted", wanted);
  if (!wanted) {
    this->StopRun(aWorker, aRow.task, "run is no longer needed");
    return;
  }
  entry->job.Assign(aName, aWorker.description.id, aRow.run);
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
                           const char* aReason)
{
  const Commitment* const commitment = aWorker.Find(aTask);
  if (commitment == nullptr) {
    return;
  }
  Event("run_lost")
    .Add("task", aTask)
    .Add("run", commitment->run)
    .Add("worker", aWorker.description.id)
    .Add("reason", aReason);
  this->policies.observer.RunLost();
  aWorker.Release(aTask);
  const std::optional<TaskName> name = ParseTaskName(aTask);
  Entry* const entry = name ? this->FindJob(name->job) : nullptr;
  const WorkflowTask* const task = entry ? entry->job.Find(*name) : nullptr;
  if (task != nullptr && task->status == TaskStatus::Assigned &&
      task->worker == aWorker.description.id) {
    entry->job.Unassign(*name, this->clock.Now());
  }
}

TimePoint
CellScheduler::NoCopyRunsAfter(const Commitment& aCommitment) const
{
  return aCommitment.startedAt + kMaxStartDelay +
         this->bounds.workerLease * 103 / 100;
}

void
CellScheduler::MarkAllRunsLost(ScheduledWorker& aWorker, const char* aReason)
{
  const TimePoint now = this->clock.Now();
  std::vector<std::string> tasks;
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    if (commitment.awaitsStop && now <= this->NoCopyRunsAfter(commitment)) {
      continue;
    }
    tasks.push_back(task);
  }
  for (const std::string& task : tasks) {
    this->MarkRunLost(aWorker, task, aReason);
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
  std::vector<std::string> inFlight;
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    if (commitment.mayBeInFlight || commitment.confirmedAt == TimePoint()) {
      inFlight.push_back(task);
    }
  }
  for (const std::string& task : inFlight) {
    // The new incarnation does not know earlier run numbers and has a new
    // clock, to which the validity of the command does not apply, so it would
    // carry out a copy that arrives late. A stop makes it reject the run.
    this->StopRun(aWorker, task, "worker restarted with the start in flight");
    aWorker.Find(task)->awaitsStop = true;
    aWorker.Find(task)->stopSentAt = TimePoint();
  }
  this->MarkAllRunsLost(aWorker, "worker restarted");
  aWorker.reportedIncarnation = aIncarnation;
  aWorker.handledEnds = 0;
  aWorker.durableEnds = 0;
  // The new incarnation's clock is unknown until it reports.
  aWorker.clockReadingMs = 0;
}

void
CellScheduler::ExpireLeases()
{
  const TimePoint now = this->clock.Now();
  for (auto& [id, worker] : this->workers) {
    if (now > worker.leasesExpiredBy && !worker.Commitments().empty()) {
      this->MarkAllRunsLost(worker, "lease expired");
    }
  }
  this->CheckRecovered();
}

void
CellScheduler::HandleStart(const std::string& aWorker,
                           const std::string& aTask,
                           std::uint64_t aRun,
                           const WorkerCommandReply& aReply,
                           bool aMayBeInFlight)
{
  ScheduledWorker* const worker = this->Worker(aWorker);
  Commitment* const commitment = worker ? worker->Find(aTask) : nullptr;
  if (commitment == nullptr || commitment->run != aRun) {
    return;
  }
  if (commitment->awaitsStop) {
    return;
  }
  commitment->mayBeInFlight = commitment->mayBeInFlight || aMayBeInFlight;
  const TimePoint now = this->clock.Now();
  if (aReply.result == WorkerCommandResult::Done) {
    if (commitment->phase == CommitmentPhase::Starting) {
      commitment->phase = CommitmentPhase::Running;
    }
    commitment->confirmedAt = now;
    return;
  }
  Event("start_turned_away", LogLevel::Warning)
    .Add("task", aTask)
    .Add("run", aRun)
    .Add("worker", aWorker)
    .Add("result", ToString(aReply.result))
    .Add("in_flight", aMayBeInFlight);
  this->policies.observer.StartRejected(aReply.result);
  worker->backoffUntil = now + kStartRejectedBackoff;
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
  this->MarkRunLost(*worker, aTask, "start turned away");
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
         found->second.phase == CommitmentPhase::Starting;
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
CellScheduler::HandleUnresponsive(const std::string& aWorker)
{
  if (ScheduledWorker* const worker = this->Worker(aWorker)) {
    worker->unresponsive = true;
  }
}

void
CellScheduler::HandleWrongWorker(const std::string& aWorker)
{
  ScheduledWorker* const worker = this->Worker(aWorker);
  if (worker != nullptr) {
    worker->backoffUntil = this->clock.Now() + kStartRejectedBackoff;
  }
}

} // namespace sequoiakeel
