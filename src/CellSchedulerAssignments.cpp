#include "CellScheduler.h"

#include "Log.h"

#include <algorithm>
#include <utility>

namespace sequoiakeel {

namespace {

/** Workers that are up report to a new owner within this time. Before, nearly
 * every restored task waits for its worker, so that a reservation for each
 * would cover the whole cell. */
constexpr std::chrono::milliseconds kFirstReports{ 500 };

/** Limits the tasks for which a planning pass reserves capacity while they wait
 * for their recorded worker. */
constexpr std::size_t kMaxAwaitedReservations = 64;

} // namespace

void
CellScheduler::PlanStart(Entry& aEntry,
                         const TaskName& aName,
                         std::uint64_t aRun,
                         ScheduledWorker& aWorker,
                         const std::string& aStepKey,
                         PlannedCommands& aOrders)
{
  const WorkflowStep& step = aEntry.job.StepOf(aName);
  Commitment commitment;
  commitment.run = aRun;
  commitment.step = step;
  commitment.stepKey = aStepKey;
  commitment.startedAt = this->clock.Now();
  commitment.backfill = !step.longRunning && !aWorker.Fits(step);
  commitment.held = step.longRunning;
  commitment.suspect = this->IsSuspect(aName, *aEntry.job.Find(aName));
  commitment.trial =
    !step.longRunning && this->quarantine.IsQuarantined(commitment.startedAt,
                                                        aWorker.description.id);
  if (commitment.trial) {
    this->quarantine.BeginTrial(
      commitment.startedAt, aWorker.description.id, aName.job);
    Event("worker_tried")
      .Add("worker", aWorker.description.id)
      .Add("task", FormatTaskName(aName))
      .Add("run", aRun);
  }
  // A held start is not in flight, so a report without it proves nothing.
  commitment.startExpiresAt = TimePoint::max();
  aWorker.Commit(FormatTaskName(aName), std::move(commitment));
  aEntry.job.Assign(aName, aWorker.description.id, aRun);
  aEntry.activity.NoteStart(std::chrono::milliseconds(step.estimateMs),
                            this->clock.Now());
  if (!step.longRunning) {
    aOrders.starts.push_back(this->IssueStart(aEntry, aName, aWorker));
    return;
  }
  this->NoteAssignmentChange(aEntry.job, aName);
  this->heldStarts.push_back(HeldStart{ aWorker.description.id,
                                        aWorker.reportedIncarnation,
                                        aName,
                                        aRun,
                                        this->change });
  ++aOrders.heldStarts;
  Event("task_assigned")
    .Add("task", FormatTaskName(aName))
    .Add("run", aRun)
    .Add("worker", aWorker.description.id)
    .Add("rack", aWorker.description.rack);
}

PlannedStart
CellScheduler::IssueStart(Entry& aEntry,
                          const TaskName& aName,
                          ScheduledWorker& aWorker)
{
  const TimePoint now = this->clock.Now();
  const WorkflowTask& task = *aEntry.job.Find(aName);
  const WorkflowStep& step = aEntry.job.StepOf(aName);
  PlannedStart start;
  start.worker = aWorker.description.id;
  start.endpoint = aWorker.description.endpoint;
  start.command.task = FormatTaskName(aName);
  start.command.payload = aEntry.job.Submission().payload;
  start.command.checkpoint = task.checkpoint;
  start.command.validUntilWorkerMs =
    aWorker.ClockAt(now) +
    static_cast<std::uint64_t>(SchedulerTimings::kStartValidity.count());
  this->ExtendLease(aWorker, start.command.validUntilWorkerMs);
  Commitment& commitment = *aWorker.Find(start.command.task);
  start.command.run = commitment.run;
  commitment.held = false;
  commitment.startedAt = now;
  commitment.startExpiresAt = now + SchedulerTimings::kLongestStart;
  const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
    now - task.pendingSince);
  const std::int64_t own = step.filler ? 0 : step.cpuMilli;
  Event("task_start")
    .Add("task", start.command.task)
    .Add("run", start.command.run)
    .Add("worker", start.worker)
    .Add("incarnation", aWorker.reportedIncarnation)
    .Add("rack", aWorker.description.rack)
    .Add("image", step.image)
    .Add("waited_ms", static_cast<std::int64_t>(waited.count()))
    .Add("free_cpu_milli",
         aWorker.description.capacity.cpuMilli - aWorker.Committed().cpuMilli +
           own)
    .Add("report_age_ms",
         static_cast<std::int64_t>(
           std::chrono::duration_cast<std::chrono::milliseconds>(
             now - aWorker.lastReportAt)
             .count()));
  this->policies.observer.TaskStarted(waited);
  return start;
}

void
CellScheduler::ReleaseHeldStarts(PlannedCommands& aOrders)
{
  // No start of a long-running task is sent unless its assignment is durable
  // and was written while this owner held the cell's key. A new owner can
  // therefore conclude from the stored assignments on which one worker a
  // long-running task can be running.
  const TimePoint now = this->clock.Now();
  const auto isHeld = [this](const HeldStart& aHeld) {
    const ScheduledWorker* const worker = this->FindWorker(aHeld.worker);
    if (worker == nullptr) {
      return false;
    }
    const auto found = worker->Commitments().find(FormatTaskName(aHeld.name));
    return found != worker->Commitments().end() && found->second.held &&
           found->second.run == aHeld.run;
  };
  const auto takesStarts = [&](const HeldStart& aHeld) {
    const ScheduledWorker& worker = *this->FindWorker(aHeld.worker);
    const WorkflowStep& step =
      worker.Commitments().at(FormatTaskName(aHeld.name)).step;
    return this->registryFreshness.IsFresh(now) &&
           AcceptsNewTasks(worker, now) &&
           this->roster.contains(aHeld.worker) &&
           worker.reportedIncarnation == aHeld.incarnation &&
           !worker.IsExceededFor(step);
  };
  std::vector<HeldStart> held = std::exchange(this->heldStarts, {});
  std::erase_if(held, [&](const HeldStart& aHeld) { return !isHeld(aHeld); });
  std::set<std::string> incompleteGangs;
  for (const HeldStart& start : held) {
    const WorkflowJob& job = this->jobs.at(start.name.job).job;
    if (job.StepOf(start.name).gang && !takesStarts(start)) {
      incompleteGangs.insert(FormatStepKey(start.name));
    }
  }
  for (HeldStart& start : held) {
    ScheduledWorker& worker = *this->Worker(start.worker);
    if (!takesStarts(start) ||
        incompleteGangs.contains(FormatStepKey(start.name))) {
      this->CancelHeldStart(
        worker, FormatTaskName(start.name), "worker takes no starts");
      continue;
    }
    if (start.change > this->durableChange) {
      this->heldStarts.push_back(std::move(start));
      continue;
    }
    aOrders.starts.push_back(
      this->IssueStart(this->jobs.at(start.name.job), start.name, worker));
  }
}

void
CellScheduler::CancelHeldStart(ScheduledWorker& aWorker,
                               const std::string& aTask,
                               const char* aReason)
{
  Event("start_not_sent")
    .Add("task", aTask)
    .Add("run", aWorker.Find(aTask)->run)
    .Add("worker", aWorker.description.id)
    .Add("reason", aReason);
  this->openStarts.EndFurtherStart(aTask, aWorker.description.id);
  aWorker.Release(aTask);
  const std::optional<TaskName> name = ParseTaskName(aTask);
  Entry* const entry = name ? this->FindJob(name->job) : nullptr;
  WorkflowTask* const task = entry ? entry->job.Find(*name) : nullptr;
  if (task != nullptr && task->status == TaskStatus::Assigned &&
      task->worker == aWorker.description.id) {
    entry->job.RevokeAssignment(*name);
    this->NoteAssignmentChange(entry->job, *name);
  }
}

void
CellScheduler::NoteAssignmentChange(const WorkflowJob& aJob,
                                    const TaskName& aName)
{
  if (aJob.StepOf(aName).longRunning) {
    this->MarkDirty(aName.job);
  }
}

bool
CellScheduler::MayStillRun(const WorkflowJob& aJob,
                           const TaskName& aName,
                           const WorkflowTask& aTask) const
{
  if (!aTask.mayRunOn.empty()) {
    return true;
  }
  if (this->restoredRecorded && aJob.StepOf(aName).longRunning) {
    return false;
  }
  return !this->tasksOnUnresponsive.empty() &&
         this->MayRunOnUnresponsive(FormatTaskName(aName));
}

void
CellScheduler::ResolveRestoredAssignments()
{
  std::erase_if(this->restoredAssignments, [this](const auto& aItem) {
    const auto& [worker, tasks] = aItem;
    if (this->awaitedWorkers.contains(worker) ||
        this->AwaitsUnresponsive(worker)) {
      return false;
    }
    for (const TaskName& name : tasks) {
      Entry* const entry = this->FindJob(name.job);
      WorkflowTask* const task = entry ? entry->job.Find(name) : nullptr;
      if (task == nullptr || task->mayRunOn != worker) {
        continue;
      }
      // The record has to follow, so that the next owner does not wait for a
      // worker that no longer runs the task.
      task->mayRunOn.clear();
      this->NoteAssignmentChange(entry->job, name);
    }
    return true;
  });
}

void
CellScheduler::CheckAssignmentsRecorded()
{
  // Progress that a build without assignments wrote does not tell where tasks
  // run. After such data was loaded, the roster may state that assignments are
  // recorded only when every worker has reported its runs and the assignments
  // of the runs found are durable. Until then the next owner has to wait for
  // all workers.
  if (this->assignmentsRecorded || !this->recovered ||
      !this->tasksOnUnresponsive.empty()) {
    return;
  }
  if (!this->recordingChange) {
    this->recordingChange = this->change;
  }
  this->assignmentsRecorded = this->durableChange >= *this->recordingChange;
}

void
CellScheduler::ReserveForAwaitedTasks()
{
  if (this->DelaysFirstStarts()) {
    return;
  }
  const std::size_t count =
    std::min(this->awaitedTasks.size(), kMaxAwaitedReservations);
  for (std::size_t i = 0; i < count; ++i) {
    const TaskName& name = this->awaitedTasks[i];
    const Entry& entry = this->jobs.at(name.job);
    const WorkflowStep& step = entry.job.StepOf(name);
    const std::string key = FormatStepKey(name);
    const TaskToPlace placed{ entry.job.Submission(), step, key, "" };
    if (ScheduledWorker* const worker = this->ChooseWorker(placed)) {
      worker->Reserve(step);
    } else {
      this->ReserveCapacity(FormatTaskName(name), placed);
    }
  }
}

bool
CellScheduler::DelaysFirstStarts() const
{
  return !this->awaitedTasks.empty() &&
         this->clock.Now() - this->createdAt < kFirstReports;
}

} // namespace sequoiakeel
