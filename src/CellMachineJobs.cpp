#include "CellMachine.h"

#include "Log.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

constexpr std::chrono::milliseconds kPlacementInterval{ 100 };
constexpr std::chrono::seconds kReliefInterval{ 1 };
constexpr std::size_t kMaxPlacementsPerRound = 64;

bool
IsValidAmount(const Resources& aAmount)
{
  return aAmount.cpuMillis >= 0 && aAmount.memoryMb >= 0 &&
         aAmount.accelerators >= 0;
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
  if (!this->rules.teams.empty() && !this->rules.teams.contains(spec.team)) {
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
    result.reason = this->Serving() ? "unknown-job" : "not-owner";
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

bool
CellMachine::WithinShare(const JobSpec& aSpec) const
{
  const auto found = this->rules.shares.find(aSpec.team);
  if (found == this->rules.shares.end()) {
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
  std::vector<WorkerView> workers = this->WorkerViews(aNow);
  for (WorkerView& worker : workers) {
    worker.unreachable =
      worker.unreachable || this->IsTryingSuspect(worker.name, aNow);
  }
  const std::vector<TeamView> teams = this->TeamViews();
  const CellView view{ aNow, workers, teams };
  std::vector<PlacementDecision> decisions =
    this->policies.Place(view, queue, kMaxPlacementsPerRound);
  // Of tasks that are placed together, a suspected one is started first, so
  // that nothing starts beside it.
  std::stable_partition(decisions.begin(),
                        decisions.end(),
                        [this](const PlacementDecision& aDecision) {
                          const std::optional<TaskRef> ref =
                            ParseTaskId(aDecision.task);
                          const TaskRow* row =
                            ref ? this->working.FindTask(*ref) : nullptr;
                          return row != nullptr && CrashesUnder(*row) > 0;
                        });
  for (const PlacementDecision& decision : decisions) {
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
    this->history.Add(ref->job, "unplaceable", aDecision.reason, aNow);
    Event("job_unplaceable")
      .Add("job", ref->job)
      .Add("reason", aDecision.reason);
    return;
  }
  const auto link = this->links.find(aDecision.worker);
  if (aDecision.outcome != PlacementOutcome::Placed ||
      link == this->links.end() || !link->second.granted ||
      link->second.leaving ||
      // The known capacity is that of the incarnation that lists the current
      // lease; without the lease, this may be another incarnation.
      std::ranges::none_of(link->second.report.leases,
                           [&](const WorkerLease& aLease) {
                             return aLease.id == this->LeaseOf(link->second);
                           }) ||
      !this->IsResponsive(link->second, aNow) ||
      this->IsTryingSuspect(aDecision.worker, aNow)) {
    return;
  }
  const TaskRow* row = this->working.FindTask(*ref);
  if (row == nullptr && ref->task > job->row.nextTask) {
    // Tasks of a job that were never started are interchangeable; they start
    // in the order of their index.
    ref->task = job->row.nextTask;
  }
  const bool waits = row == nullptr ? ref->task == job->row.nextTask
                                    : row->phase == TaskPhase::Queued;
  // The ledger, not the policy, is authoritative for a worker's free capacity.
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
  this->history.Add(ref->job,
                    "placed",
                    "task " + std::to_string(ref->task) + " on " +
                      entry.worker + ": " + aDecision.reason,
                    aNow);
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
  this->history.Add(ref->job,
                    std::string(ToString(aDecision.action)),
                    "task " + std::to_string(ref->task) + " on " +
                      aDecision.worker + ": " + aDecision.reason,
                    aNow);
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

} // namespace sequoiakeel
