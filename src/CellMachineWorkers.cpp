#include "CellMachine.h"

#include "CellKeys.h"
#include "Log.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

constexpr std::chrono::seconds kStatusInterval{ 3 };
/** A worker that has not replied for this long counts as unresponsive and gets
 * no new tasks. */
constexpr std::chrono::seconds kSilentAfter{ 10 };
/** A worker is removed once the host list has not named it for this long. */
constexpr std::chrono::seconds kRemoveAfterUnlisted{ 60 };
/** A task that its worker has survived for this long is not the probable cause
 * of a crash. */
constexpr std::chrono::seconds kCrashWindow{ 10 };

bool
Lists(const WorkerStatus& aStatus, const std::string& aLease)
{
  return std::ranges::any_of(aStatus.leases, [&](const WorkerLease& aEntry) {
    return aEntry.id == aLease;
  });
}

} // namespace

WorkerCommand
CellMachine::CommandTo(WorkerVerb aVerb, const std::string& aWorker) const
{
  WorkerCommand command;
  command.verb = aVerb;
  command.worker = aWorker;
  const auto link = this->links.find(aWorker);
  if (link != this->links.end()) {
    command.endpoint = link->second.endpoint;
  }
  return command;
}

bool
CellMachine::IsResponsive(const WorkerLink& aLink, TimePoint aNow) const
{
  return aLink.lastReply && aNow - *aLink.lastReply < kSilentAfter;
}

bool
CellMachine::IsNew(const TaskRef& aTask,
                   const TaskRow& aRow,
                   TimePoint aLastSeen) const
{
  const auto runtime = this->runtimes.find(aTask);
  const bool known =
    runtime != this->runtimes.end() && runtime->second.attempt == aRow.attempt;
  if (known && runtime->second.startDue) {
    return true;
  }
  // A task whose start this owner has not sent was started before the takeover.
  const TimePoint started = known && runtime->second.since != TimePoint{}
                              ? runtime->second.since
                              : this->activeSince;
  return aLastSeen - started < kCrashWindow;
}

std::string
CellMachine::CrashCandidates(const std::string& aName, TimePoint aLastSeen)
{
  std::string result;
  for (const TaskRef& task : this->working.TasksOn(aName)) {
    const TaskRow& row = *this->working.FindTask(task);
    TaskRuntime& runtime = this->RuntimeOf(task, row.attempt);
    // A task that was started before the takeover may have run for long, so it
    // can become suspected but is not given up for this crash.
    const bool spared =
      row.epoch != this->working.Epoch() && CrashesUnder(row) > 0;
    if (spared || runtime.startDue || runtime.crashed ||
        !this->IsNew(task, row, aLastSeen)) {
      continue;
    }
    runtime.crashed = true;
    result += (result.empty() ? "" : "\n") + TaskId(task);
  }
  return result;
}

bool
CellMachine::IsTryingSuspect(const std::string& aWorker, TimePoint aNow) const
{
  return std::ranges::any_of(
    this->working.TasksOn(aWorker), [&](const TaskRef& aTask) {
      const TaskRow& row = *this->working.FindTask(aTask);
      return CrashesUnder(row) > 0 && this->IsNew(aTask, row, aNow);
    });
}

void
CellMachine::SetFleet(const std::vector<HostRecord>& aHosts,
                      [[maybe_unused]] TimePoint aNow)
{
  std::map<std::string, HostRecord> hosts;
  for (const HostRecord& host : aHosts) {
    hosts[host.host] = host;
  }
  if (!this->fleetKnown || hosts != this->fleet) {
    this->unplaceable.clear();
  }
  this->fleet = std::move(hosts);
  this->fleetKnown = true;
}

void
CellMachine::TickWorkers(TimePoint aNow)
{
  for (const auto& [name, host] : this->fleet) {
    WorkerLink& link = this->links[name];
    link.endpoint.address = host.address;
    link.endpoint.port = host.agentPort;
    link.zone = host.zone;
    link.rack = host.rack;
    link.lastListed = aNow;
    if (host.state == HostState::Leaving) {
      link.leaving = true;
    }
  }
  this->TickKeyReleases(aNow);
  std::vector<std::string> names;
  for (const auto& [name, link] : this->links) {
    names.push_back(name);
  }
  for (const std::string& name : names) {
    WorkerLink& link = this->links[name];
    if (!link.claimed) {
      this->TickClaim(name, link, aNow);
      continue;
    }
    if (!link.statusPending && aNow >= link.nextStatus) {
      this->SendStatus(name, link, aNow);
    }
    this->DeclareUnresponsiveWorkerLost(name, link, aNow);
    if (this->fleetKnown && !this->fleet.contains(name) &&
        aNow - link.lastListed >= kRemoveAfterUnlisted) {
      this->RemoveWorker(name, aNow);
    }
  }
}

void
CellMachine::SendStatus(const std::string& aName,
                        WorkerLink& aLink,
                        TimePoint aNow)
{
  aLink.statusPending = true;
  aLink.nextStatus = aNow + kStatusInterval;
  const std::uint64_t number = ++aLink.statusSent;
  const bool expired = this->gate.LeasesKnownExpired(aNow, aLink.lastRenewal);
  aLink.finalQueries = expired ? aLink.finalQueries + 1 : 0;
  this->SendWorker(
    this->CommandTo(WorkerVerb::Status, aName),
    [this, aName, number](const WorkerReply& aReply, TimePoint aThen) {
      this->OnStatus(aName, number, aReply, aThen);
    });
}

void
CellMachine::OnStatus(const std::string& aName,
                      std::uint64_t aNumber,
                      const WorkerReply& aReply,
                      TimePoint aNow)
{
  const auto found = this->links.find(aName);
  if (found == this->links.end() || found->second.statusSent != aNumber) {
    return;
  }
  WorkerLink& link = found->second;
  link.statusPending = false;
  if (aReply.result != AgentResult::Ok) {
    return;
  }
  link.lastReply = aNow;
  link.report = aReply.status;
  const auto host = this->fleet.find(aName);
  link.leaving =
    aReply.status.leaving ||
    (host != this->fleet.end() && host->second.state == HostState::Leaving);
  if (!this->UpdateWorker(aName, link, aReply.status, aNow)) {
    return;
  }
  for (const TaskRef& task : std::set<TaskRef>(this->working.TasksOn(aName))) {
    this->ReconcileTask(task, link, aNumber, aNow);
  }
  this->AcceptLateCompletions(link);
  this->ClearOrphans(aName, link, aNumber);
  this->EvictOverflow(aName, aNow);
  this->MaintainLease(aName, link, aNow);
  this->policies.ObserveWorker(aNow, this->ViewOf(aName, aNow));
  this->UpdateQuarantine(aName, link, aNow);
}

void
CellMachine::UpdateQuarantine(const std::string& aName,
                              WorkerLink& aLink,
                              TimePoint aNow)
{
  const QuarantineState state = this->policies.StateOf(aNow, aName);
  if (state == aLink.quarantine) {
    return;
  }
  aLink.quarantine = state;
  Event("worker_health", LogLevel::Warning)
    .Add("cell", this->options.cell)
    .Add("worker", aName)
    .Add("state", ToString(state));
  this->history.Count("worker_" + std::string(ToString(state)));
}

bool
CellMachine::UpdateWorker(const std::string& aName,
                          WorkerLink& aLink,
                          const WorkerStatus& aStatus,
                          TimePoint aNow)
{
  const auto known = this->working.Workers().find(aName);
  const bool isNew = known == this->working.Workers().end();
  if (isNew && !this->OwnsWithValidLease(aNow)) {
    return false;
  }
  const bool replaced =
    !isNew && known->second.incarnation != aStatus.incarnation;
  const bool changed = isNew || replaced ||
                       known->second.capacity != aStatus.capacity ||
                       known->second.address != aLink.endpoint.address ||
                       known->second.port != aLink.endpoint.port;
  const TimePoint lastContact =
    std::exchange(aLink.lastContact, aNow).value_or(this->activeSince);
  if (!changed) {
    return true;
  }
  if (replaced) {
    this->policies.WorkerLost(aNow, this->ViewOf(aName, aNow));
    // The lease stays granted if the new incarnation lists it: a grant in
    // flight during the restart may have reached the new incarnation.
    aLink.granted = aLink.granted && Lists(aStatus, this->LeaseOf(aLink));
    aLink.releaseFloor = aLink.statusSent;
  }
  Event(isNew ? "worker_added" : "worker_changed")
    .Add("cell", this->options.cell)
    .Add("worker", aName)
    .Add("replaced", replaced)
    .Add("cpu_millis", aStatus.capacity.cpuMillis)
    .Add("memory_mb", aStatus.capacity.memoryMb);
  LogEntry entry;
  entry.kind =
    replaced ? LogEntryKind::WorkerReplaced : LogEntryKind::WorkerAdded;
  entry.worker = aName;
  entry.rack = aLink.rack;
  entry.address = aLink.endpoint.address;
  entry.port = aLink.endpoint.port;
  entry.incarnation = aStatus.incarnation;
  entry.capacity.push_back(aStatus.capacity);
  if (replaced) {
    entry.text = this->CrashCandidates(aName, lastContact);
  }
  this->Propose(std::move(entry));
  this->unplaceable.clear();
  return true;
}

void
CellMachine::ReconcileTask(const TaskRef& aTask,
                           WorkerLink& aLink,
                           std::uint64_t aNumber,
                           TimePoint aNow)
{
  const TaskRow& row = *this->working.FindTask(aTask);
  const WorkerTask* listed =
    FindListed(aLink.report, TaskId(aTask), row.attempt);
  if (listed != nullptr) {
    this->ReconcileListed(aTask, *listed, aNumber, aNow);
    return;
  }
  this->ReconcileUnlisted(aTask, row, aLink, aNumber, aNow);
}

void
CellMachine::ReconcileListed(const TaskRef& aTask,
                             const WorkerTask& aListed,
                             std::uint64_t aNumber,
                             TimePoint aNow)
{
  const TaskRow& row = *this->working.FindTask(aTask);
  if (aListed.state != WorkerTaskState::Running) {
    this->EndByState(aTask, aListed.state, aNow);
    return;
  }
  TaskRuntime& runtime = this->RuntimeOf(aTask, row.attempt);
  runtime.floor = std::max(runtime.floor, aNumber);
  // The listed attempt is the one that holds the commitment, so its usage may
  // raise the commitment.
  this->working.Observe(aTask, aListed.usage);
  if (row.phase != TaskPhase::Starting) {
    return;
  }
  runtime.startDue = false;
  LogEntry entry;
  entry.kind = LogEntryKind::TaskRunning;
  entry.job = aTask.job;
  entry.task = aTask.task;
  entry.attempt = row.attempt;
  this->Propose(std::move(entry));
}

void
CellMachine::ReconcileUnlisted(const TaskRef& aTask,
                               const TaskRow& aRow,
                               WorkerLink& aLink,
                               std::uint64_t aNumber,
                               TimePoint aNow)
{
  const TaskRuntime& runtime = this->RuntimeOf(aTask, aRow.attempt);
  if (aNumber <= runtime.floor || runtime.startDue || runtime.startInFlight) {
    return;
  }
  if (aRow.phase != TaskPhase::Starting) {
    this->ReleaseUnfinished(aTask, "not-listed", aNow);
    return;
  }
  const std::string lease =
    WorkerLeaseName(this->options.cell, aRow.epoch, aRow.grant);
  if (aLink.granted && lease == this->LeaseOf(aLink)) {
    // Whether the task can still start is known only after its lease has ended,
    // so the lease is no longer renewed.
    aLink.granted = false;
  }
  if (!this->rules.trustWorkerLeases || Lists(aLink.report, lease)) {
    return;
  }
  this->ReleaseUnfinished(aTask, "start-lease-expired", aNow);
}

void
CellMachine::AcceptLateCompletions(const WorkerLink& aLink)
{
  for (const WorkerTask& task : aLink.report.tasks) {
    const std::optional<TaskRef> ref = ParseTaskId(task.taskId);
    const TaskRow* row = ref ? this->working.FindTask(*ref) : nullptr;
    if (row == nullptr || row->phase != TaskPhase::Queued ||
        row->attempt != task.attempt ||
        task.state != WorkerTaskState::Finished) {
      continue;
    }
    Event("late_completion")
      .Add("task", task.taskId)
      .Add("attempt", task.attempt);
    LogEntry entry;
    entry.kind = LogEntryKind::TaskFinished;
    entry.job = ref->job;
    entry.task = ref->task;
    entry.attempt = row->attempt;
    this->Propose(std::move(entry));
  }
}

bool
CellMachine::IsReleased(const TaskRef& aTask, std::uint64_t aAttempt) const
{
  const TaskRow* row = this->committed.FindTask(aTask);
  return row != nullptr && row->attempt == aAttempt &&
         row->phase == TaskPhase::Queued;
}

bool
CellMachine::IsSuperseded(const TaskRef& aTask, std::uint64_t aAttempt) const
{
  const Job* job = this->committed.FindJob(aTask.job);
  if (job == nullptr) {
    return false;
  }
  const TaskRow* row = this->committed.FindTask(aTask);
  if (row == nullptr) {
    return aTask.task < job->row.nextTask;
  }
  return row->attempt > aAttempt;
}

void
CellMachine::ClearOrphans(const std::string& aName,
                          const WorkerLink& aLink,
                          std::uint64_t aNumber)
{
  if (!this->ownerHeld || aNumber <= aLink.releaseFloor) {
    return;
  }
  for (const WorkerTask& task : aLink.report.tasks) {
    const std::optional<TaskRef> ref = ParseTaskId(task.taskId);
    // Only attempts that have ended according to the log are stopped or
    // acknowledged: others may have been started by a newer owner.
    const bool released = ref && this->IsReleased(*ref, task.attempt) &&
                          task.state != WorkerTaskState::Finished;
    if (!ref || (!released && !this->IsSuperseded(*ref, task.attempt))) {
      continue;
    }
    if (task.state != WorkerTaskState::Running) {
      this->SendAcknowledge(aName, task.taskId);
      continue;
    }
    Event("orphan_stopped", LogLevel::Warning)
      .Add("task", task.taskId)
      .Add("attempt", task.attempt)
      .Add("worker", aName);
    WorkerCommand command = this->CommandTo(WorkerVerb::Stop, aName);
    command.taskId = task.taskId;
    this->SendWorker(std::move(command), [](const WorkerReply&, TimePoint) {});
  }
}

void
CellMachine::EvictOverflow(const std::string& aName, TimePoint aNow)
{
  const Resources capacity = this->working.Workers().at(aName).capacity;
  const std::set<TaskRef> tasks = this->working.TasksOn(aName);
  Resources staying;
  for (const TaskRef& task : tasks) {
    const bool leaves =
      this->working.FindTask(task)->phase == TaskPhase::Evicting;
    const Resources size = this->working.FindJob(task.job)->row.spec.resources;
    staying = leaves ? staying : Plus(staying, size);
  }
  for (const TaskRef& task : tasks) {
    if (Fits(staying, capacity)) {
      return;
    }
    if (this->Evict(task, "capacity-reduced", aNow)) {
      staying =
        Minus(staying, this->working.FindJob(task.job)->row.spec.resources);
    }
  }
}

} // namespace sequoiakeel
