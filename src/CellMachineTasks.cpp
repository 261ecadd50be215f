#include "CellMachine.h"

#include "Log.h"

namespace sequoiakeel {

namespace {

/** Returns the memory usage of a task in a worker's last report; 0 if the
 * report does not list the task. */
std::int64_t
ReportedMemory(const WorkerStatus& aReport, std::string_view aTaskId)
{
  for (const WorkerTask& task : aReport.tasks) {
    if (task.taskId == aTaskId) {
      return task.usage.memoryMb;
    }
  }
  return 0;
}

constexpr std::chrono::seconds kActionRetry{ 2 };
/** Number of failed checkpoint attempts after which a task is evicted without a
 * new checkpoint. */
constexpr int kMaxCheckpointTries = 3;

bool
IsConfirmed(TaskPhase aPhase)
{
  return aPhase == TaskPhase::Running || aPhase == TaskPhase::Evicting;
}

} // namespace

CellMachine::TaskRuntime&
CellMachine::RuntimeOf(const TaskRef& aTask, std::uint32_t aAttempt)
{
  TaskRuntime& runtime = this->runtimes[aTask];
  if (runtime.attempt != aAttempt) {
    runtime = TaskRuntime{};
    runtime.attempt = aAttempt;
  }
  return runtime;
}

const TaskRow*
CellMachine::ActiveRow(const TaskRef& aTask, std::uint32_t aAttempt) const
{
  const TaskRow* row = this->working.FindTask(aTask);
  if (row == nullptr || row->attempt != aAttempt ||
      row->phase == TaskPhase::Queued) {
    return nullptr;
  }
  return row;
}

void
CellMachine::Dispatch(const TaskRef& aTask,
                      std::uint32_t aAttempt,
                      TimePoint aNow)
{
  const TaskRow* row = this->ActiveRow(aTask, aAttempt);
  if (row == nullptr) {
    // The attempt was ended before the intent to start it was durable.
    return;
  }
  TaskRuntime& runtime = this->RuntimeOf(aTask, aAttempt);
  if (row->phase != TaskPhase::Starting || !runtime.startDue) {
    this->startsDue.erase(aTask);
    return;
  }
  const Job& job = *this->working.FindJob(aTask.job);
  if (job.row.cancelled) {
    this->ReleaseUnfinished(aTask, "cancelled-before-start", aNow);
    return;
  }
  if (!Fits({}, this->working.Commitments().Free(row->worker))) {
    this->ReleaseUnfinished(aTask, "capacity-reduced", aNow);
    return;
  }
  if (!this->OwnsWithValidLease(aNow)) {
    this->startsDue.insert(aTask);
    return;
  }
  this->startsDue.erase(aTask);
  runtime.startDue = false;
  runtime.startInFlight = true;
  runtime.since = aNow;
  runtime.floor = this->links[row->worker].statusSent;
  const JobSpec& spec = job.row.spec;
  WorkerCommand command = this->CommandTo(WorkerVerb::Start, row->worker);
  command.notAfter = this->leaseValidUntil;
  command.taskId = TaskId(aTask);
  command.start.taskId = command.taskId;
  command.start.attempt = aAttempt;
  command.start.lease =
    WorkerLeaseName(this->options.cell, row->epoch, row->grant);
  command.start.resources = spec.resources;
  command.start.kind = KindOf(spec);
  command.start.runTimeMs = spec.runTimeMs;
  command.start.checkpoint = row->checkpoint;
  command.start.payload = spec.payload;
  this->SendWorker(
    std::move(command),
    [this, aTask, aAttempt](const WorkerReply& aReply, TimePoint aThen) {
      this->OnStartReply(aTask, aAttempt, aReply, aThen);
    });
}

void
CellMachine::OnStartReply(const TaskRef& aTask,
                          std::uint32_t aAttempt,
                          const WorkerReply& aReply,
                          TimePoint aNow)
{
  const TaskRow* row = this->ActiveRow(aTask, aAttempt);
  if (row == nullptr) {
    return;
  }
  TaskRuntime& runtime = this->RuntimeOf(aTask, aAttempt);
  runtime.startInFlight = false;
  if (row->phase != TaskPhase::Starting) {
    return;
  }
  WorkerLink& link = this->links[row->worker];
  switch (aReply.result) {
    case AgentResult::Ok: {
      runtime.floor = link.statusSent;
      LogEntry entry;
      entry.kind = LogEntryKind::TaskRunning;
      entry.job = aTask.job;
      entry.task = aTask.task;
      entry.attempt = aAttempt;
      this->Propose(std::move(entry));
      return;
    }
    case AgentResult::NotSent:
    case AgentResult::Refused:
      // A start is sent at most once per attempt, so the task cannot start
      // after this reply.
      this->ReleaseUnfinished(aTask, "start-refused", aNow);
      return;
    case AgentResult::NotFound:
    case AgentResult::Exists:
    case AgentResult::Unknown:
      // The start may still take effect while its lease is valid. The lease is
      // no longer renewed; once a status report lists neither the lease nor the
      // task, the task is known not to run.
      Event("start_unresolved", LogLevel::Warning)
        .Add("task", TaskId(aTask))
        .Add("worker", row->worker);
      if (link.grant == row->grant && row->epoch == this->working.Epoch()) {
        link.granted = false;
      }
      return;
  }
}

void
CellMachine::EndTask(const TaskRef& aTask,
                     LogEntryKind aKind,
                     const std::string& aReason,
                     TimePoint aNow)
{
  const TaskRow row = *this->working.FindTask(aTask);
  const Job& job = *this->working.FindJob(aTask.job);
  WorkerLink& link = this->links[row.worker];
  link.releaseFloor = link.statusSent;
  const bool ended =
    aKind == LogEntryKind::TaskFinished || aKind == LogEntryKind::TaskFailed;
  if (ended) {
    TaskEnd end;
    end.job = aTask.job;
    end.kind = KindOf(job.row.spec);
    end.worker = row.worker;
    end.rack = link.rack;
    end.failed = aKind == LogEntryKind::TaskFailed;
    const auto taskClass = this->rules.classes.find(job.row.spec.taskClass);
    end.longRunning =
      taskClass != this->rules.classes.end() && taskClass->second.longRunning;
    end.exceededMemory = ReportedMemory(link.report, TaskId(aTask)) >
                         job.row.spec.resources.memoryMb;
    end.ranFor = aNow - this->RuntimeOf(aTask, row.attempt).since;
    this->policies.TaskEnded(aNow, end);
  }
  Event("task_released")
    .Add("task", TaskId(aTask))
    .Add("attempt", row.attempt)
    .Add("worker", row.worker)
    .Add("kind", ToString(aKind))
    .Add("reason", aReason);
  this->history.Add(aTask.job,
                    std::string(ToString(aKind)),
                    "task " + std::to_string(aTask.task) + " on " + row.worker +
                      ": " + aReason,
                    aNow);
  this->runtimes.erase(aTask);
  this->startsDue.erase(aTask);
  this->attention.erase(aTask);
  LogEntry entry;
  entry.kind = aKind;
  entry.job = aTask.job;
  entry.task = aTask.task;
  entry.attempt = row.attempt;
  entry.text = aReason;
  Effect effect;
  if (ended) {
    // The worker deletes its record of the end on acknowledgement. That record
    // is the only other copy, so the end has to be durable in the log first.
    effect = [this, worker = row.worker, id = TaskId(aTask)](TimePoint) {
      this->SendAcknowledge(worker, id);
    };
  }
  this->Propose(std::move(entry), std::move(effect));
  if (!ended && !job.row.cancelled &&
      this->working.FindTask(aTask) == nullptr) {
    this->history.Add(aTask.job,
                      "given_up",
                      "task " + std::to_string(aTask.task) +
                        ": it crashes its workers",
                      aNow);
    Event("task_given_up", LogLevel::Warning)
      .Add("task", TaskId(aTask))
      .Add("attempt", row.attempt)
      .Add("crashes", static_cast<std::uint64_t>(CrashesUnder(row)));
  }
  const Job* after = this->working.FindJob(aTask.job);
  if (after == nullptr || after->row.ended) {
    this->queuedSince.erase(aTask.job);
  }
}

void
CellMachine::ReleaseUnfinished(const TaskRef& aTask,
                               const std::string& aReason,
                               TimePoint aNow)
{
  const TaskRow& row = *this->working.FindTask(aTask);
  const bool evicting = row.phase == TaskPhase::Evicting;
  this->EndTask(aTask,
                evicting ? LogEntryKind::TaskEvicted
                         : LogEntryKind::TaskRequeued,
                aReason,
                aNow);
}

void
CellMachine::EndByState(const TaskRef& aTask,
                        WorkerTaskState aState,
                        TimePoint aNow)
{
  switch (aState) {
    case WorkerTaskState::Running:
      return;
    case WorkerTaskState::Finished:
      this->EndTask(aTask, LogEntryKind::TaskFinished, "finished", aNow);
      return;
    case WorkerTaskState::Failed:
      this->EndTask(aTask, LogEntryKind::TaskFailed, "failed", aNow);
      return;
    case WorkerTaskState::Stopped:
      this->ReleaseUnfinished(aTask, "stopped", aNow);
      return;
  }
}

bool
CellMachine::Evict(const TaskRef& aTask,
                   const std::string& aReason,
                   TimePoint aNow)
{
  const TaskRow* row = this->working.FindTask(aTask);
  if (!this->OwnsWithValidLease(aNow) || row == nullptr ||
      row->phase != TaskPhase::Running) {
    return false;
  }
  LogEntry entry;
  entry.kind = LogEntryKind::EvictionBegun;
  entry.job = aTask.job;
  entry.task = aTask.task;
  entry.attempt = row->attempt;
  entry.text = aReason;
  this->Propose(std::move(entry),
                [this, aTask](TimePoint) { this->attention.insert(aTask); });
  return true;
}

void
CellMachine::TickTasks(TimePoint aNow)
{
  for (const TaskRef& task : std::set<TaskRef>(this->startsDue)) {
    const TaskRow* row = this->working.FindTask(task);
    if (row == nullptr || row->phase != TaskPhase::Starting) {
      this->startsDue.erase(task);
      continue;
    }
    this->Dispatch(task, row->attempt, aNow);
  }
  if (!this->OwnsWithValidLease(aNow)) {
    return;
  }
  for (const TaskRef& task : std::set<TaskRef>(this->attention)) {
    const TaskRow* row = this->working.FindTask(task);
    if (row == nullptr || row->phase == TaskPhase::Queued) {
      this->attention.erase(task);
      continue;
    }
    this->AdvanceStop(task, *row, aNow);
  }
}

void
CellMachine::AdvanceStop(const TaskRef& aTask,
                         const TaskRow& aRow,
                         TimePoint aNow)
{
  const TaskRuntime& runtime = this->RuntimeOf(aTask, aRow.attempt);
  // While a start is unconfirmed, nothing else is sent for the task: a stop
  // could reach the worker before the start.
  if (!IsConfirmed(aRow.phase) || runtime.actionInFlight ||
      aNow < runtime.nextAction) {
    return;
  }
  const bool cancelled = this->working.FindJob(aTask.job)->row.cancelled;
  if (cancelled || runtime.mayStop) {
    this->SendStop(aTask, aRow, aNow);
    return;
  }
  if (aRow.phase == TaskPhase::Evicting) {
    this->SendCheckpoint(aTask, aRow, aNow);
  }
}

void
CellMachine::SendCheckpoint(const TaskRef& aTask,
                            const TaskRow& aRow,
                            TimePoint aNow)
{
  TaskRuntime& runtime = this->RuntimeOf(aTask, aRow.attempt);
  runtime.actionInFlight = true;
  runtime.nextAction = aNow + kActionRetry;
  WorkerCommand command = this->CommandTo(WorkerVerb::Checkpoint, aRow.worker);
  command.taskId = TaskId(aTask);
  const std::uint32_t attempt = aRow.attempt;
  this->SendWorker(
    std::move(command),
    [this, aTask, attempt](const WorkerReply& aReply, TimePoint aThen) {
      this->OnCheckpointReply(aTask, attempt, aReply, aThen);
    });
}

void
CellMachine::OnCheckpointReply(const TaskRef& aTask,
                               std::uint32_t aAttempt,
                               const WorkerReply& aReply,
                               TimePoint aNow)
{
  const TaskRow* row = this->ActiveRow(aTask, aAttempt);
  if (row == nullptr) {
    return;
  }
  TaskRuntime& runtime = this->RuntimeOf(aTask, aAttempt);
  runtime.actionInFlight = false;
  if (aReply.result != AgentResult::Ok || aReply.checkpoint.empty()) {
    ++runtime.checkpointTries;
    runtime.mayStop = row->phase == TaskPhase::Evicting &&
                      runtime.checkpointTries >= kMaxCheckpointTries;
    return;
  }
  runtime.lastCheckpoint = aNow;
  LogEntry entry;
  entry.kind = LogEntryKind::TaskCheckpointed;
  entry.job = aTask.job;
  entry.task = aTask.task;
  entry.attempt = aAttempt;
  entry.text = aReply.checkpoint;
  // An evicted task is stopped only once its checkpoint is durable.
  this->Propose(std::move(entry), [this, aTask, aAttempt](TimePoint aThen) {
    const TaskRow* row = this->ActiveRow(aTask, aAttempt);
    if (row != nullptr && row->phase == TaskPhase::Evicting) {
      TaskRuntime& runtime = this->RuntimeOf(aTask, aAttempt);
      runtime.mayStop = true;
      runtime.nextAction = aThen;
    }
  });
}

void
CellMachine::SendStop(const TaskRef& aTask, const TaskRow& aRow, TimePoint aNow)
{
  TaskRuntime& runtime = this->RuntimeOf(aTask, aRow.attempt);
  runtime.actionInFlight = true;
  runtime.nextAction = aNow + kActionRetry;
  WorkerCommand command = this->CommandTo(WorkerVerb::Stop, aRow.worker);
  command.taskId = TaskId(aTask);
  const std::uint32_t attempt = aRow.attempt;
  this->SendWorker(
    std::move(command),
    [this, aTask, attempt](const WorkerReply& aReply, TimePoint aThen) {
      this->OnStopReply(aTask, attempt, aReply, aThen);
    });
}

void
CellMachine::OnStopReply(const TaskRef& aTask,
                         std::uint32_t aAttempt,
                         const WorkerReply& aReply,
                         TimePoint aNow)
{
  if (this->ActiveRow(aTask, aAttempt) == nullptr) {
    return;
  }
  this->RuntimeOf(aTask, aAttempt).actionInFlight = false;
  if (aReply.result == AgentResult::Ok) {
    this->EndByState(aTask, aReply.state, aNow);
    return;
  }
  if (aReply.result == AgentResult::NotFound) {
    // The task was confirmed as running earlier and the worker no longer lists
    // it, so this attempt cannot be running.
    this->ReleaseUnfinished(aTask, "stop-not-found", aNow);
  }
}

void
CellMachine::SendAcknowledge(const std::string& aWorker,
                             const std::string& aTaskId)
{
  WorkerCommand command = this->CommandTo(WorkerVerb::Acknowledge, aWorker);
  command.taskId = aTaskId;
  this->SendWorker(std::move(command), [](const WorkerReply&, TimePoint) {});
}

} // namespace sequoiakeel
