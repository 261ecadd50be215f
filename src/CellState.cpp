#include "CellState.h"

#include "Error.h"

#include <algorithm>
#include <sstream>

namespace sequoiakeel {

namespace {

bool
HoldsResources(TaskPhase aPhase)
{
  return aPhase != TaskPhase::Queued;
}

TaskRef
RefOf(const LogEntry& aEntry)
{
  return TaskRef{ aEntry.job, aEntry.task };
}

} // namespace

std::size_t
CrashesUnder(const TaskRow& aRow)
{
  return aRow.failedOn.size() - aRow.failures;
}

std::uint32_t
Job::QueuedTasks() const
{
  if (this->row.ended) {
    return 0;
  }
  const auto requeued =
    std::ranges::count_if(this->tasks, [](const auto& aTask) {
      return aTask.second.phase == TaskPhase::Queued;
    });
  return static_cast<std::uint32_t>(this->row.spec.taskCount) -
         this->row.nextTask + static_cast<std::uint32_t>(requeued);
}

CellState::CellState(const CellSnapshot& aSnapshot)
  : sequence(aSnapshot.sequence)
  , epoch(aSnapshot.epoch)
  , owner(aSnapshot.owner)
  , timeMs(aSnapshot.timeMs)
  , nextOrder(aSnapshot.nextOrder)
{
  for (const WorkerRow& worker : aSnapshot.workers) {
    this->workers[worker.worker] = worker;
    this->ledger.SetCapacity(worker.worker, worker.capacity);
  }
  for (const JobRow& row : aSnapshot.jobs) {
    Job& job = this->jobs[row.job];
    job.row = row;
    job.row.tasks.clear();
    for (const TaskRow& task : row.tasks) {
      job.tasks[task.task] = task;
      this->IndexTask(job, task);
    }
    this->queuedTasks += job.QueuedTasks();
    this->openJobs += row.ended ? 0 : 1;
    this->payloadBytes += row.spec.payload.size();
    if (row.ended) {
      this->ended.emplace(row.endedAtMs, row.job);
    }
  }
}

void
CellState::IndexTask(const Job& aJob, const TaskRow& aRow)
{
  if (!HoldsResources(aRow.phase)) {
    return;
  }
  const TaskRef ref{ aJob.row.job, aRow.task };
  this->ledger.Restore(aRow.worker, TaskId(ref), aJob.row.spec.resources);
  this->tasksOn[aRow.worker].insert(ref);
  auto& held = this->heldByTeam[aJob.row.spec.team];
  held = Plus(held, aJob.row.spec.resources);
}

CellSnapshot
CellState::Snapshot() const
{
  CellSnapshot result;
  result.sequence = this->sequence;
  result.epoch = this->epoch;
  result.owner = this->owner;
  result.timeMs = this->timeMs;
  result.nextOrder = this->nextOrder;
  for (const auto& [name, worker] : this->workers) {
    result.workers.push_back(worker);
  }
  for (const auto& [id, job] : this->jobs) {
    result.jobs.push_back(job.row);
    for (const auto& [index, task] : job.tasks) {
      result.jobs.back().tasks.push_back(task);
    }
  }
  return result;
}

const std::map<LogEntryKind, CellState::Handler>&
CellState::Handlers()
{
  static const std::map<LogEntryKind, Handler> kHandlers = {
    { LogEntryKind::OwnerChanged, &CellState::ApplyOwnerChanged },
    { LogEntryKind::WorkerAdded, &CellState::ApplyWorkerAdded },
    { LogEntryKind::WorkerReplaced, &CellState::ApplyWorkerReplaced },
    { LogEntryKind::WorkerRemoved, &CellState::ApplyWorkerRemoved },
    { LogEntryKind::JobAccepted, &CellState::ApplyJobAccepted },
    { LogEntryKind::JobCancelled, &CellState::ApplyJobCancelled },
    { LogEntryKind::JobMoved, &CellState::ApplyJobMoved },
    { LogEntryKind::StartIntent, &CellState::ApplyStartIntent },
    { LogEntryKind::TaskRunning, &CellState::ApplyTaskRunning },
    { LogEntryKind::TaskFinished, &CellState::ApplyTaskFinished },
    { LogEntryKind::TaskFailed, &CellState::ApplyTaskFailed },
    { LogEntryKind::TaskRequeued, &CellState::ApplyTaskRequeued },
    { LogEntryKind::EvictionBegun, &CellState::ApplyEvictionBegun },
    { LogEntryKind::TaskCheckpointed, &CellState::ApplyTaskCheckpointed },
    { LogEntryKind::TaskEvicted, &CellState::ApplyTaskEvicted },
  };
  return kHandlers;
}

void
CellState::Apply(const LogEntry& aEntry)
{
  const auto handler = Handlers().find(aEntry.kind);
  InternalAssert(handler != Handlers().end(), "unknown kind of log entry");
  (this->*handler->second)(aEntry);
}

std::vector<std::string>
CellState::ApplyRecord(const LogRecord& aRecord)
{
  InternalAssert(aRecord.sequence == this->sequence + 1,
                 "log records are applied out of order");
  this->timeMs += aRecord.elapsedMs;
  for (const LogEntry& entry : aRecord.entries) {
    this->Apply(entry);
  }
  this->sequence = aRecord.sequence;
  const std::vector<std::string> expired = this->ExpiredJobs();
  for (const std::string& job : expired) {
    this->RemoveJob(job);
  }
  return expired;
}

std::vector<std::string>
CellState::ExpiredJobs() const
{
  constexpr auto kRetentionMs = static_cast<std::uint64_t>(
    std::chrono::milliseconds(kJobRetention).count());
  std::vector<std::string> result;
  for (const auto& [endedAtMs, id] : this->ended) {
    if (this->timeMs - endedAtMs < kRetentionMs) {
      break;
    }
    result.push_back(id);
  }
  return result;
}

void
CellState::RemoveJob(const std::string& aJob)
{
  const auto found = this->jobs.find(aJob);
  if (found == this->jobs.end()) {
    return;
  }
  InternalAssert(found->second.row.ended, "an open job cannot be dropped");
  this->ended.erase({ found->second.row.endedAtMs, aJob });
  this->jobs.erase(found);
}

const Job*
CellState::FindJob(const std::string& aJob) const
{
  const auto found = this->jobs.find(aJob);
  return found == this->jobs.end() ? nullptr : &found->second;
}

const TaskRow*
CellState::FindTask(const TaskRef& aTask) const
{
  const Job* job = this->FindJob(aTask.job);
  if (job == nullptr) {
    return nullptr;
  }
  const auto found = job->tasks.find(aTask.task);
  return found == job->tasks.end() ? nullptr : &found->second;
}

const std::set<TaskRef>&
CellState::TasksOn(const std::string& aWorker) const
{
  static const std::set<TaskRef> kNone;
  const auto found = this->tasksOn.find(aWorker);
  return found == this->tasksOn.end() ? kNone : found->second;
}

Resources
CellState::HeldBy(const std::string& aTeam) const
{
  const auto found = this->heldByTeam.find(aTeam);
  return found == this->heldByTeam.end() ? Resources{} : found->second;
}

void
CellState::Observe(const TaskRef& aTask, const Resources& aUsage)
{
  const TaskRow* row = this->FindTask(aTask);
  if (row != nullptr && HoldsResources(row->phase)) {
    this->ledger.Observe(row->worker, TaskId(aTask), aUsage);
  }
}

Job&
CellState::MutableJob(const std::string& aJob)
{
  const auto found = this->jobs.find(aJob);
  InternalAssert(found != this->jobs.end(), "a log entry names an unknown job");
  return found->second;
}

TaskRow&
CellState::ActiveTask(const LogEntry& aEntry)
{
  Job& job = this->MutableJob(aEntry.job);
  const auto found = job.tasks.find(aEntry.task);
  InternalAssert(found != job.tasks.end(), "a log entry names a closed task");
  TaskRow& row = found->second;
  InternalAssert(row.attempt == aEntry.attempt && HoldsResources(row.phase),
                 "a log entry names an attempt that is not active");
  return row;
}

void
CellState::ReleaseTask(const TaskRef& aTask, const TaskRow& aRow)
{
  this->ledger.Release(aRow.worker, TaskId(aTask));
  this->tasksOn[aRow.worker].erase(aTask);
  const Job& job = this->MutableJob(aTask.job);
  auto& held = this->heldByTeam[job.row.spec.team];
  held = Minus(held, job.row.spec.resources);
}

void
CellState::Requeue(const TaskRef& aTask)
{
  Job& job = this->MutableJob(aTask.job);
  TaskRow& row = job.tasks.at(aTask.task);
  this->ReleaseTask(aTask, row);
  const bool givenUp =
    !job.row.cancelled && CrashesUnder(row) >= kMaxTaskCrashes;
  if (job.row.cancelled || givenUp) {
    job.row.failed += givenUp ? 1 : 0;
    job.tasks.erase(aTask.task);
    this->EndIfDone(job);
    return;
  }
  row.phase = TaskPhase::Queued;
  row.worker.clear();
  ++this->queuedTasks;
}

void
CellState::DropTask(const TaskRef& aTask)
{
  Job& job = this->MutableJob(aTask.job);
  this->ReleaseTask(aTask, job.tasks.at(aTask.task));
  job.tasks.erase(aTask.task);
  this->EndIfDone(job);
}

void
CellState::DropUnstarted(Job& aJob)
{
  this->queuedTasks -= aJob.QueuedTasks();
  aJob.row.nextTask = static_cast<std::uint32_t>(aJob.row.spec.taskCount);
  std::erase_if(aJob.tasks, [](const auto& aTask) {
    return aTask.second.phase == TaskPhase::Queued;
  });
  this->EndIfDone(aJob);
}

void
CellState::EndIfDone(Job& aJob)
{
  const auto count = static_cast<std::uint32_t>(aJob.row.spec.taskCount);
  if (aJob.row.ended || !aJob.tasks.empty() || aJob.row.nextTask < count) {
    return;
  }
  aJob.row.ended = true;
  aJob.row.endedAtMs = this->timeMs;
  this->ended.emplace(aJob.row.endedAtMs, aJob.row.job);
  // The payload may be large and is not needed after the job has ended.
  this->payloadBytes -= aJob.row.spec.payload.size();
  aJob.row.spec.payload.clear();
  --this->openJobs;
}

void
CellState::ApplyOwnerChanged(const LogEntry& aEntry)
{
  InternalAssert(aEntry.epoch > this->epoch, "an epoch does not increase");
  this->epoch = aEntry.epoch;
  this->owner = aEntry.text;
}

void
CellState::ApplyWorkerAdded(const LogEntry& aEntry)
{
  InternalAssert(aEntry.capacity.size() == 1, "a worker has no capacity");
  WorkerRow& row = this->workers[aEntry.worker];
  row.worker = aEntry.worker;
  row.rack = aEntry.rack;
  row.address = aEntry.address;
  row.port = aEntry.port;
  row.incarnation = aEntry.incarnation;
  row.capacity = aEntry.capacity.front();
  this->ledger.SetCapacity(aEntry.worker, row.capacity);
}

void
CellState::ApplyWorkerReplaced(const LogEntry& aEntry)
{
  // The worker's tasks are not released here but one by one, by later entries:
  // a start command in flight may have reached the new incarnation.
  this->ApplyWorkerAdded(aEntry);
  this->CountCrash(aEntry.worker, aEntry.text);
}

void
CellState::CountCrash(const std::string& aWorker, const std::string& aTaskIds)
{
  std::vector<TaskRow*> unsuspected;
  std::vector<TaskRow*> suspected;
  std::istringstream lines(aTaskIds);
  for (std::string id; std::getline(lines, id);) {
    const std::optional<TaskRef> ref = ParseTaskId(id);
    if (!ref || !this->TasksOn(aWorker).contains(*ref)) {
      continue;
    }
    TaskRow& row = this->MutableJob(ref->job).tasks.at(ref->task);
    (CrashesUnder(row) == 0 ? unsuspected : suspected).push_back(&row);
  }
  for (TaskRow* row : unsuspected) {
    row->failedOn.push_back(aWorker);
  }
  // Suspected tasks start apart from each other. If several of them were
  // starting nevertheless, none of them is the probable cause.
  if (suspected.size() == 1) {
    suspected.front()->failedOn.push_back(aWorker);
  }
}

void
CellState::ApplyWorkerRemoved(const LogEntry& aEntry)
{
  this->ledger.RemoveWorker(aEntry.worker);
  this->workers.erase(aEntry.worker);
  this->tasksOn.erase(aEntry.worker);
}

void
CellState::ApplyJobAccepted(const LogEntry& aEntry)
{
  InternalAssert(aEntry.spec.size() == 1, "a job has no specification");
  Job job;
  job.row.job = aEntry.job;
  job.row.order = this->nextOrder++;
  job.row.spec = aEntry.spec.front();
  const bool inserted = this->jobs.emplace(aEntry.job, job).second;
  InternalAssert(inserted, "a job is accepted twice");
  this->queuedTasks += static_cast<std::uint64_t>(job.row.spec.taskCount);
  this->payloadBytes += job.row.spec.payload.size();
  ++this->openJobs;
}

void
CellState::ApplyJobCancelled(const LogEntry& aEntry)
{
  Job& job = this->MutableJob(aEntry.job);
  if (job.row.ended) {
    return;
  }
  job.row.cancelled = true;
  this->DropUnstarted(job);
}

void
CellState::ApplyJobMoved(const LogEntry& aEntry)
{
  Job& job = this->MutableJob(aEntry.job);
  InternalAssert(job.row.nextTask == 0 && !job.row.ended,
                 "a started job cannot move");
  job.row.movedTo = aEntry.text;
  this->DropUnstarted(job);
}

TaskRow&
CellState::RowForStart(Job& aJob, const LogEntry& aEntry)
{
  if (aEntry.task == aJob.row.nextTask) {
    ++aJob.row.nextTask;
    TaskRow& row = aJob.tasks[aEntry.task];
    row.task = aEntry.task;
    return row;
  }
  const auto found = aJob.tasks.find(aEntry.task);
  InternalAssert(found != aJob.tasks.end(), "a start names a closed task");
  return found->second;
}

void
CellState::ApplyStartIntent(const LogEntry& aEntry)
{
  Job& job = this->MutableJob(aEntry.job);
  InternalAssert(!job.row.ended && !job.row.cancelled,
                 "a start names a closed job");
  const TaskRef ref = RefOf(aEntry);
  const bool fits =
    this->ledger.Commit(aEntry.worker, TaskId(ref), job.row.spec.resources);
  InternalAssert(fits, "a start exceeds the capacity of its worker");
  TaskRow& row = this->RowForStart(job, aEntry);
  InternalAssert(row.phase == TaskPhase::Queued &&
                   aEntry.attempt == row.attempt + 1,
                 "a start is not the next attempt of a queued task");
  row.phase = TaskPhase::Starting;
  row.attempt = aEntry.attempt;
  row.worker = aEntry.worker;
  row.epoch = aEntry.epoch;
  row.grant = aEntry.grant;
  this->tasksOn[aEntry.worker].insert(ref);
  auto& held = this->heldByTeam[job.row.spec.team];
  held = Plus(held, job.row.spec.resources);
  --this->queuedTasks;
}

void
CellState::ApplyTaskRunning(const LogEntry& aEntry)
{
  TaskRow& row = this->ActiveTask(aEntry);
  if (row.phase == TaskPhase::Starting) {
    row.phase = TaskPhase::Running;
  }
}

void
CellState::ApplyTaskFinished(const LogEntry& aEntry)
{
  Job& job = this->MutableJob(aEntry.job);
  const auto found = job.tasks.find(aEntry.task);
  InternalAssert(found != job.tasks.end() &&
                   found->second.attempt == aEntry.attempt,
                 "a completion is not of the last attempt");
  ++job.row.finished;
  if (found->second.phase != TaskPhase::Queued) {
    this->DropTask(RefOf(aEntry));
    return;
  }
  // The attempt had been abandoned and the task requeued, but its completion
  // was reported before the start of the next attempt was logged.
  --this->queuedTasks;
  job.tasks.erase(found);
  this->EndIfDone(job);
}

void
CellState::ApplyTaskFailed(const LogEntry& aEntry)
{
  TaskRow& row = this->ActiveTask(aEntry);
  ++row.failures;
  row.failedOn.push_back(row.worker);
  if (row.failures < kMaxTaskFailures) {
    this->Requeue(RefOf(aEntry));
    return;
  }
  ++this->MutableJob(aEntry.job).row.failed;
  this->DropTask(RefOf(aEntry));
}

void
CellState::ApplyTaskRequeued(const LogEntry& aEntry)
{
  this->ActiveTask(aEntry);
  this->Requeue(RefOf(aEntry));
}

void
CellState::ApplyEvictionBegun(const LogEntry& aEntry)
{
  TaskRow& row = this->ActiveTask(aEntry);
  InternalAssert(row.phase == TaskPhase::Running,
                 "only a running task can be evicted");
  row.phase = TaskPhase::Evicting;
}

void
CellState::ApplyTaskCheckpointed(const LogEntry& aEntry)
{
  this->ActiveTask(aEntry).checkpoint = aEntry.text;
}

void
CellState::ApplyTaskEvicted(const LogEntry& aEntry)
{
  TaskRow& row = this->ActiveTask(aEntry);
  InternalAssert(row.phase == TaskPhase::Evicting,
                 "an eviction ends that has not begun");
  ++this->MutableJob(aEntry.job).row.evictions;
  this->Requeue(RefOf(aEntry));
}

} // namespace sequoiakeel
