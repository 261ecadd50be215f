#include "CellMachine.h"

#include "Log.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

constexpr std::chrono::milliseconds kPlacementInterval{ 100 };
constexpr std::chrono::seconds kReliefInterval{ 1 };
constexpr std::size_t kMaxPlacementsPerRound = 64;
/** Waiting tasks shown to the policy, in all and of one job. */
constexpr std::size_t kMaxQueueView = 2000;
constexpr std::size_t kMaxQueueViewPerJob = 64;

bool
IsValidAmount(const Resources& aAmount)
{
  return aAmount.cpuMillis >= 0 && aAmount.memoryMb >= 0 &&
         aAmount.accelerators >= 0;
}

const std::string&
KindOf(const JobSpec& aSpec)
{
  return aSpec.kind.empty() ? aSpec.taskClass : aSpec.kind;
}

std::string
StateOf(const Job& aJob, std::uint32_t aRunning, bool aUnplaceable)
{
  if (!aJob.row.movedTo.empty()) {
    return "moved";
  }
  if (aJob.row.cancelled) {
    return aJob.row.ended ? "cancelled" : "cancelling";
  }
  if (aJob.row.ended) {
    return aJob.row.failed > 0 ? "failed" : "finished";
  }
  if (aRunning > 0) {
    return "running";
  }
  return aUnplaceable ? "unplaceable" : "queued";
}

} // namespace

void
CellMachine::Answer(std::uint64_t aToken,
                    SubmitOutcome aOutcome,
                    std::string aReason)
{
  this->waitingTokens.erase(aToken);
  ClientReply reply;
  reply.token = aToken;
  reply.reply.outcome = aOutcome;
  reply.reply.reason = std::move(aReason);
  this->outbox.replies.push_back(std::move(reply));
}

void
CellMachine::AnswerWhenDurable(std::uint64_t aToken)
{
  this->waitingTokens.insert(aToken);
  if (this->proposed == this->durable) {
    this->Answer(aToken, SubmitOutcome::Accepted, "");
    return;
  }
  this->effects.emplace_back(this->proposed, [this, aToken](TimePoint) {
    this->Answer(aToken, SubmitOutcome::Accepted, "");
  });
}

std::string
CellMachine::RefusalOf(const SubmitJob& aJob, TimePoint aNow) const
{
  const JobSpec& spec = aJob.spec;
  if (aJob.jobId.empty() || spec.taskCount < 1 ||
      !IsValidAmount(spec.resources)) {
    return "invalid-job";
  }
  if (!this->rules.classes.empty() &&
      !this->rules.classes.contains(spec.taskClass)) {
    return "unknown-task-class";
  }
  if (!this->rules.shares.empty() && !this->rules.shares.contains(spec.team)) {
    return "unknown-team";
  }
  if (this->phase != CellPhase::Active || this->drainWanted) {
    return "leaving";
  }
  if (!this->OwnsWithValidLease(aNow)) {
    return "store-unavailable";
  }
  if (this->log.Uncommitted() >= this->limits.uncommittedEntries) {
    return "log-full";
  }
  const auto count = static_cast<std::uint64_t>(spec.taskCount);
  if (this->working.OpenJobs() >= this->limits.openJobs ||
      this->working.QueuedTasks() + count > this->limits.queuedTasks) {
    return "queue-full";
  }
  if (this->working.Jobs().size() >= this->limits.knownJobs) {
    return "job-table-full";
  }
  if (this->working.PayloadBytes() + spec.payload.size() >
      this->limits.payloadBytes) {
    return "payloads-full";
  }
  return "";
}

void
CellMachine::Submit(std::uint64_t aToken, const SubmitJob& aJob, TimePoint aNow)
{
  if (!this->Serving()) {
    this->Answer(aToken, SubmitOutcome::NotOwner, ToString(this->phase).data());
    return;
  }
  if (this->working.FindJob(aJob.jobId) != nullptr) {
    this->AnswerWhenDurable(aToken);
    return;
  }
  const std::string refusal = this->RefusalOf(aJob, aNow);
  if (!refusal.empty()) {
    Event("job_refused").Add("job", aJob.jobId).Add("reason", refusal);
    this->Answer(aToken, SubmitOutcome::Refused, refusal);
    return;
  }
  LogEntry entry;
  entry.kind = LogEntryKind::JobAccepted;
  entry.job = aJob.jobId;
  entry.spec.push_back(aJob.spec);
  this->Propose(std::move(entry));
  this->queuedSince[aJob.jobId] = aNow;
  this->AnswerWhenDurable(aToken);
}

void
CellMachine::Cancel(std::uint64_t aToken,
                    const CancelJob& aJob,
                    [[maybe_unused]] TimePoint aNow)
{
  if (!this->Serving()) {
    this->Answer(aToken, SubmitOutcome::NotOwner, ToString(this->phase).data());
    return;
  }
  const Job* job = this->working.FindJob(aJob.jobId);
  if (job == nullptr) {
    this->Answer(aToken, SubmitOutcome::Refused, "unknown-job");
    return;
  }
  if (!job->row.ended && !job->row.cancelled) {
    LogEntry entry;
    entry.kind = LogEntryKind::JobCancelled;
    entry.job = aJob.jobId;
    const std::string id = aJob.jobId;
    this->Propose(std::move(entry),
                  [this, id](TimePoint) { this->CancelTasks(id); });
    this->unplaceable.erase(id);
  }
  this->AnswerWhenDurable(aToken);
}

void
CellMachine::CancelTasks(const std::string& aJob)
{
  const Job* job = this->working.FindJob(aJob);
  if (job == nullptr) {
    return;
  }
  for (const auto& [index, task] : job->tasks) {
    this->attention.insert(TaskRef{ aJob, index });
  }
}

bool
CellMachine::Move(const std::string& aJob,
                  const std::string& aCell,
                  TimePoint aNow)
{
  const Job* job = this->working.FindJob(aJob);
  if (!this->OwnsWithValidLease(aNow) || job == nullptr || job->row.ended ||
      job->row.nextTask > 0) {
    return false;
  }
  LogEntry entry;
  entry.kind = LogEntryKind::JobMoved;
  entry.job = aJob;
  entry.text = aCell;
  this->Propose(std::move(entry));
  this->unplaceable.erase(aJob);
  return true;
}

JobStatus
CellMachine::Query(const std::string& aJob) const
{
  JobStatus result;
  const Job* job = this->committed.FindJob(aJob);
  if (job == nullptr) {
    return result;
  }
  result.found = true;
  result.tasksQueued = job->QueuedTasks();
  result.tasksRunning = static_cast<std::uint32_t>(
    std::ranges::count_if(job->tasks, [](const auto& aTask) {
      return aTask.second.phase != TaskPhase::Queued;
    }));
  result.tasksFinished = job->row.finished;
  result.evictions = job->row.evictions;
  result.movedTo = job->row.movedTo;
  const auto reason = this->unplaceable.find(aJob);
  const bool isUnplaceable = reason != this->unplaceable.end();
  result.state = StateOf(*job, result.tasksRunning, isUnplaceable);
  if (isUnplaceable) {
    result.reason = reason->second;
  }
  return result;
}

TaskView
CellMachine::ViewOf(const Job& aJob,
                    std::uint32_t aTask,
                    const TaskRow* aRow,
                    TimePoint aNow) const
{
  const JobSpec& spec = aJob.row.spec;
  TaskView view;
  view.task = TaskId(TaskRef{ aJob.row.job, aTask });
  view.job = aJob.row.job;
  view.team = spec.team;
  view.taskClass = spec.taskClass;
  view.kind = KindOf(spec);
  view.resources = spec.resources;
  view.runTime = std::chrono::milliseconds(spec.runTimeMs);
  const auto since = this->queuedSince.find(view.job);
  view.queuedSince = since == this->queuedSince.end() ? aNow : since->second;
  if (spec.deadlineMs > 0) {
    view.deadline =
      view.queuedSince + std::chrono::milliseconds(spec.deadlineMs);
  }
  const auto found = this->rules.classes.find(spec.taskClass);
  if (found != this->rules.classes.end()) {
    view.priority = found->second.priority;
    view.urgent = found->second.urgent;
    view.latencyCritical = found->second.latencyCritical;
    view.longRunning = found->second.longRunning;
    view.evictable = found->second.evictable;
  }
  view.evictions = aJob.row.evictions;
  if (aRow != nullptr) {
    view.failedOn = aRow->failedOn;
  }
  return view;
}

std::vector<TaskView>
CellMachine::QueueViews(TimePoint aNow) const
{
  std::vector<std::pair<std::uint64_t, const Job*>> open;
  for (const auto& [id, job] : this->working.Jobs()) {
    const bool waits =
      !job.row.ended && !job.row.cancelled && !this->unplaceable.contains(id);
    if (waits) {
      open.emplace_back(job.row.order, &job);
    }
  }
  std::ranges::sort(open);
  std::vector<TaskView> result;
  for (const auto& [order, job] : open) {
    std::size_t ofJob = 0;
    for (const auto& [index, task] : job->tasks) {
      if (task.phase == TaskPhase::Queued && ofJob < kMaxQueueViewPerJob) {
        result.push_back(this->ViewOf(*job, index, &task, aNow));
        ++ofJob;
      }
    }
    // Tasks that have never been started start in the order of their index.
    const auto count = static_cast<std::uint32_t>(job->row.spec.taskCount);
    for (std::uint32_t index = job->row.nextTask;
         index < count && ofJob < kMaxQueueViewPerJob;
         ++index) {
      result.push_back(this->ViewOf(*job, index, nullptr, aNow));
      ++ofJob;
    }
    if (result.size() >= kMaxQueueView) {
      break;
    }
  }
  return result;
}

std::vector<TeamView>
CellMachine::TeamViews() const
{
  std::vector<TeamView> result;
  for (const auto& [team, share] : this->rules.shares) {
    result.push_back(TeamView{ team, share, this->working.HeldBy(team) });
  }
  return result;
}

bool
CellMachine::WithinShare(const JobSpec& aSpec) const
{
  const auto found = this->rules.shares.find(aSpec.team);
  if (found == this->rules.shares.end() || found->second == Resources{}) {
    return true;
  }
  const Resources held = this->working.HeldBy(aSpec.team);
  return Fits(Plus(held, aSpec.resources), found->second);
}

void
CellMachine::Place(TimePoint aNow)
{
  if (this->phase != CellPhase::Active || !this->OwnsWithValidLease(aNow) ||
      aNow < this->nextPlacement || this->working.QueuedTasks() == 0 ||
      this->log.Uncommitted() >= this->limits.uncommittedEntries) {
    return;
  }
  this->nextPlacement = aNow + kPlacementInterval;
  const std::vector<TaskView> queue = this->QueueViews(aNow);
  if (queue.empty()) {
    return;
  }
  const std::vector<WorkerView> workers = this->WorkerViews(aNow);
  const std::vector<TeamView> teams = this->TeamViews();
  const CellView view{ aNow, workers, teams };
  for (const PlacementDecision& decision :
       this->policies.Place(view, queue, kMaxPlacementsPerRound)) {
    this->ApplyPlacement(decision, aNow);
  }
}

void
CellMachine::ApplyPlacement(const PlacementDecision& aDecision, TimePoint aNow)
{
  std::optional<TaskRef> ref = ParseTaskId(aDecision.task);
  const Job* job = ref ? this->working.FindJob(ref->job) : nullptr;
  if (job == nullptr || job->row.ended || job->row.cancelled) {
    return;
  }
  if (aDecision.outcome == PlacementOutcome::Unplaceable) {
    this->unplaceable[ref->job] = aDecision.reason;
    Event("job_unplaceable")
      .Add("job", ref->job)
      .Add("reason", aDecision.reason);
    return;
  }
  const auto link = this->links.find(aDecision.worker);
  if (aDecision.outcome != PlacementOutcome::Placed ||
      link == this->links.end() || !link->second.granted ||
      link->second.leaving || !this->IsResponsive(link->second, aNow)) {
    return;
  }
  const TaskRow* row = this->working.FindTask(*ref);
  if (row == nullptr && ref->task > job->row.nextTask) {
    // Tasks that were never started are equal; they start in order.
    ref->task = job->row.nextTask;
  }
  const bool waits = row == nullptr ? ref->task == job->row.nextTask
                                    : row->phase == TaskPhase::Queued;
  // The ledger, not the policy, decides whether a worker has room.
  const Resources free = this->working.Commitments().Free(aDecision.worker);
  if (!waits || !Fits(job->row.spec.resources, free) ||
      !this->WithinShare(job->row.spec)) {
    return;
  }
  LogEntry entry;
  entry.kind = LogEntryKind::StartIntent;
  entry.job = ref->job;
  entry.task = ref->task;
  entry.attempt = row == nullptr ? 1 : row->attempt + 1;
  entry.worker = aDecision.worker;
  entry.epoch = this->working.Epoch();
  entry.grant = link->second.grant;
  Event("task_placed")
    .Add("task", TaskId(*ref))
    .Add("attempt", entry.attempt)
    .Add("worker", entry.worker)
    .Add("reason", aDecision.reason);
  const std::uint32_t attempt = entry.attempt;
  const TaskRef task = *ref;
  TaskRuntime& runtime = this->RuntimeOf(task, attempt);
  runtime.startDue = true;
  this->Propose(std::move(entry), [this, task, attempt](TimePoint aThen) {
    this->Dispatch(task, attempt, aThen);
  });
}

void
CellMachine::Relieve(TimePoint aNow)
{
  if (this->phase != CellPhase::Active || aNow < this->nextRelief) {
    return;
  }
  this->nextRelief = aNow + kReliefInterval;
  const std::vector<WorkerView> workers = this->WorkerViews(aNow);
  const std::vector<TeamView> teams = this->TeamViews();
  const std::vector<TaskView> queue = this->QueueViews(aNow);
  const CellView view{ aNow, workers, teams };
  EvictionLimits eviction;
  eviction.perMinute = this->rules.evictionsPerMinute;
  eviction.mayStop = this->OwnsWithValidLease(aNow);
  for (const ReliefDecision& decision :
       this->policies.Relieve(view, queue, eviction)) {
    this->ApplyRelief(decision, aNow);
  }
}

void
CellMachine::ApplyRelief(const ReliefDecision& aDecision, TimePoint aNow)
{
  const std::optional<TaskRef> ref = ParseTaskId(aDecision.task);
  const TaskRow* row = ref ? this->working.FindTask(*ref) : nullptr;
  if (row == nullptr || row->phase != TaskPhase::Running ||
      row->worker != aDecision.worker) {
    return;
  }
  Event("task_relief")
    .Add("task", aDecision.task)
    .Add("worker", aDecision.worker)
    .Add("action", ToString(aDecision.action))
    .Add("reason", aDecision.reason);
  switch (aDecision.action) {
    case ReliefAction::Throttle: {
      WorkerCommand command =
        this->CommandTo(WorkerVerb::Throttle, row->worker);
      command.taskId = aDecision.task;
      command.permille = static_cast<std::uint32_t>(aDecision.throttlePermille);
      this->RuntimeOf(*ref, row->attempt).throttlePermille = command.permille;
      this->SendWorker(std::move(command),
                       [](const WorkerReply&, TimePoint) {});
      return;
    }
    case ReliefAction::Checkpoint:
      this->SendCheckpoint(*ref, *row, aNow);
      return;
    case ReliefAction::Move:
    case ReliefAction::Evict:
      this->Evict(*ref, aDecision.reason, aNow);
      return;
  }
}

RunningTaskView
CellMachine::RunningViewOf(const TaskRef& aTask)
{
  const Job& job = *this->working.FindJob(aTask.job);
  const TaskRow& row = *this->working.FindTask(aTask);
  const TaskRuntime& runtime = this->RuntimeOf(aTask, row.attempt);
  const TaskView task = this->ViewOf(job, aTask.task, &row, runtime.since);
  RunningTaskView view;
  view.task = task.task;
  view.job = task.job;
  view.team = task.team;
  view.taskClass = task.taskClass;
  view.kind = task.kind;
  view.committed = task.resources;
  view.priority = task.priority;
  view.urgent = task.urgent;
  view.latencyCritical = task.latencyCritical;
  view.longRunning = task.longRunning;
  view.evictable = task.evictable && row.phase == TaskPhase::Running;
  view.evicting = row.phase == TaskPhase::Evicting;
  view.deadline = task.deadline;
  view.startedAt = runtime.since;
  view.runTime = task.runTime;
  view.lastCheckpoint = runtime.lastCheckpoint;
  view.checkpointPermille = runtime.checkpointPermille;
  view.throttlePermille = runtime.throttlePermille;
  view.evictions = task.evictions;
  return view;
}

WorkerView
CellMachine::ViewOf(const std::string& aWorker, TimePoint aNow)
{
  const WorkerRow& row = this->working.Workers().at(aWorker);
  const WorkerLink& link = this->links[aWorker];
  WorkerView view;
  view.name = aWorker;
  view.zone = link.zone;
  view.rack = row.rack;
  view.capacity = row.capacity;
  view.committed = this->working.Commitments().Committed(aWorker);
  view.leaving = link.leaving;
  view.unreachable = !link.granted || !this->IsResponsive(link, aNow);
  view.quarantine = this->policies.StateOf(aNow, aWorker);
  view.observedAge = link.lastReply ? aNow - *link.lastReply : Duration{};
  std::map<std::string_view, const WorkerTask*> reported;
  for (const WorkerTask& task : link.report.tasks) {
    if (task.state == WorkerTaskState::Running) {
      reported[task.taskId] = &task;
      view.observed = Plus(view.observed, task.usage);
    }
  }
  for (const TaskRef& task : this->working.TasksOn(aWorker)) {
    RunningTaskView running = this->RunningViewOf(task);
    const auto found = reported.find(running.task);
    // A late report may speak of an older attempt.
    if (found != reported.end() &&
        found->second->attempt == this->working.FindTask(task)->attempt) {
      running.usage = found->second->usage;
      running.progressPermille = found->second->progressPermille;
      running.slowdownPermille = found->second->slowdownPermille;
    }
    view.tasks.push_back(std::move(running));
  }
  return view;
}

std::vector<WorkerView>
CellMachine::WorkerViews(TimePoint aNow)
{
  std::vector<WorkerView> result;
  for (const auto& [name, row] : this->working.Workers()) {
    result.push_back(this->ViewOf(name, aNow));
  }
  return result;
}

CellStatus
CellMachine::Status() const
{
  CellStatus result;
  result.cell = this->options.cell;
  result.epoch = this->committed.Epoch();
  result.workers = static_cast<std::uint32_t>(this->committed.Workers().size());
  result.tasksQueued = static_cast<std::uint32_t>(this->working.QueuedTasks());
  for (const auto& [name, row] : this->working.Workers()) {
    const Resources free = this->working.Commitments().Free(name);
    result.free = Plus(result.free, free);
    result.largestFree.cpuMillis =
      std::max(result.largestFree.cpuMillis, free.cpuMillis);
    result.largestFree.memoryMb =
      std::max(result.largestFree.memoryMb, free.memoryMb);
    result.largestFree.accelerators =
      std::max(result.largestFree.accelerators, free.accelerators);
    result.tasksRunning +=
      static_cast<std::uint32_t>(this->working.TasksOn(name).size());
  }
  return result;
}

} // namespace sequoiakeel
