#include "CellMachine.h"

#include "CellKeys.h"
#include "Log.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

constexpr std::chrono::seconds kStatusInterval{ 3 };
/** A worker that has not answered for this long gets no new task and is
 * silent. */
constexpr std::chrono::seconds kSilentAfter{ 10 };
constexpr std::chrono::seconds kClaimRetry{ 10 };
constexpr std::chrono::seconds kReleaseRetry{ 1 };
/** A worker is removed once the host list has not named it for this long. */
constexpr std::chrono::seconds kRemoveAfterUnlisted{ 60 };

bool
Lists(const WorkerStatus& aStatus, const std::string& aLease)
{
  return std::ranges::any_of(aStatus.leases, [&](const WorkerLease& aEntry) {
    return aEntry.id == aLease;
  });
}

const WorkerTask*
FindListed(const WorkerStatus& aStatus,
           const std::string& aTaskId,
           std::uint64_t aAttempt)
{
  const auto found =
    std::ranges::find_if(aStatus.tasks, [&](const WorkerTask& aTask) {
      return aTask.taskId == aTaskId && aTask.attempt == aAttempt;
    });
  return found == aStatus.tasks.end() ? nullptr : &*found;
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

std::string
CellMachine::LeaseOf(const WorkerLink& aLink) const
{
  return WorkerLeaseName(
    this->options.cell, this->working.Epoch(), aLink.grant);
}

bool
CellMachine::IsResponsive(const WorkerLink& aLink, TimePoint aNow) const
{
  return aLink.lastReply && aNow - *aLink.lastReply < kSilentAfter;
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
    this->LoseSilentWorker(name, link, aNow);
    if (this->fleetKnown && !this->fleet.contains(name) &&
        aNow - link.lastListed >= kRemoveAfterUnlisted) {
      this->RemoveWorker(name, aNow);
    }
  }
}

void
CellMachine::TickClaim(const std::string& aName,
                       WorkerLink& aLink,
                       TimePoint aNow)
{
  if (!this->fleet.contains(aName) && !aLink.claim.Busy()) {
    this->links.erase(aName);
    return;
  }
  aLink.claim.Tick(this->outbox, aNow);
  switch (aLink.claim.Current()) {
    case CasWrite::State::Applied:
      aLink.claimed = true;
      return;
    case CasWrite::State::Superseded:
      Event("worker_in_other_cell", LogLevel::Warning)
        .Add("worker", aName)
        .Add("cell", aLink.claim.Other().value);
      aLink.claim.Reset();
      aLink.claimAgainAt = aNow + kClaimRetry;
      return;
    default:
      break;
  }
  const bool releasing = this->keyReleases.contains(aName);
  if (!aLink.claim.Busy() && aNow >= aLink.claimAgainAt && !releasing) {
    aLink.claim.Start(
      this->outbox, WorkerKey(aName), this->options.cell, kAbsentVersion);
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
  this->ClearOrphans(aName, link, aNumber);
  this->EvictOverflow(aName, aNow);
  this->MaintainLease(aName, link, aNow);
  this->policies.ObserveWorker(aNow, this->ViewOf(aName, aNow));
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
  if (!changed) {
    return true;
  }
  if (replaced) {
    this->policies.WorkerLost(aNow, this->ViewOf(aName, aNow));
    for (const TaskRef& task : this->working.TasksOn(aName)) {
      this->runtimes.erase(task);
      this->startsDue.erase(task);
      this->attention.erase(task);
    }
    aLink.granted = false;
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
  // The usage is of the attempt that holds the commitment.
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
                               const WorkerLink& aLink,
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
  if (!this->rules.trustWorkerLeases || Lists(aLink.report, lease)) {
    return;
  }
  this->ReleaseUnfinished(aTask, "start-lease-expired", aNow);
}

bool
CellMachine::IsOver(const TaskRef& aTask, std::uint64_t aAttempt) const
{
  const Job* job = this->committed.FindJob(aTask.job);
  if (job == nullptr) {
    return false;
  }
  const TaskRow* row = this->committed.FindTask(aTask);
  if (row == nullptr) {
    return aTask.task < job->row.nextTask;
  }
  return row->attempt > aAttempt ||
         (row->attempt == aAttempt && row->phase == TaskPhase::Queued);
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
    // Only what the log says is over: a newer owner may have started the rest.
    if (!ref || !this->IsOver(*ref, task.attempt)) {
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
CellMachine::MaintainLease(const std::string& aName,
                           WorkerLink& aLink,
                           TimePoint aNow)
{
  if (!this->gate.MayRenew(aNow, this->OwnsWithValidLease(aNow), true)) {
    return;
  }
  if (!aLink.granted) {
    this->SendGrant(aName, aLink, aNow);
    return;
  }
  this->SendRenewal(aName, aLink, aNow);
  this->MoveTasks(aName, aLink, aNow);
}

void
CellMachine::SendGrant(const std::string& aName,
                       WorkerLink& aLink,
                       TimePoint aNow)
{
  if (aLink.grantPending) {
    return;
  }
  aLink.grantPending = true;
  aLink.lastRenewal = aNow;
  const std::uint32_t grant = ++aLink.grant;
  WorkerCommand command = this->CommandTo(WorkerVerb::GrantLease, aName);
  command.lease = this->LeaseOf(aLink);
  this->SendWorker(
    std::move(command),
    [this, aName, grant](const WorkerReply& aReply, TimePoint aThen) {
      const auto link = this->links.find(aName);
      if (link == this->links.end()) {
        return;
      }
      link->second.grantPending = false;
      link->second.granted =
        aReply.result == AgentResult::Ok && link->second.grant == grant;
      if (link->second.granted) {
        this->MoveTasks(aName, link->second, aThen);
      }
    });
}

void
CellMachine::SendRenewal(const std::string& aName,
                         WorkerLink& aLink,
                         TimePoint aNow)
{
  if (aLink.renewPending) {
    return;
  }
  aLink.renewPending = true;
  aLink.lastRenewal = aNow;
  const std::uint32_t grant = aLink.grant;
  WorkerCommand command = this->CommandTo(WorkerVerb::RenewLease, aName);
  command.lease = this->LeaseOf(aLink);
  this->SendWorker(std::move(command),
                   [this, aName, grant](const WorkerReply& aReply, TimePoint) {
                     const auto link = this->links.find(aName);
                     if (link == this->links.end()) {
                       return;
                     }
                     link->second.renewPending = false;
                     if (aReply.result == AgentResult::NotFound &&
                         link->second.grant == grant) {
                       link->second.granted = false;
                     }
                   });
}

void
CellMachine::MoveTasks(const std::string& aName,
                       WorkerLink& aLink,
                       TimePoint aNow)
{
  const std::string lease = this->LeaseOf(aLink);
  for (const TaskRef& task : this->working.TasksOn(aName)) {
    const TaskRow& row = *this->working.FindTask(task);
    const WorkerTask* listed =
      FindListed(aLink.report, TaskId(task), row.attempt);
    if (listed == nullptr || listed->lease == lease ||
        listed->state != WorkerTaskState::Running) {
      continue;
    }
    aLink.lastRenewal = aNow;
    WorkerCommand command = this->CommandTo(WorkerVerb::MoveLease, aName);
    command.taskId = TaskId(task);
    command.lease = lease;
    this->SendWorker(std::move(command), [](const WorkerReply&, TimePoint) {});
  }
}

void
CellMachine::LoseSilentWorker(const std::string& aName,
                              WorkerLink& aLink,
                              TimePoint aNow)
{
  if (this->IsResponsive(aLink, aNow) || this->working.TasksOn(aName).empty() ||
      !this->gate.SurelyExpired(aNow, aLink.lastRenewal)) {
    return;
  }
  Event("worker_lost", LogLevel::Warning)
    .Add("cell", this->options.cell)
    .Add("worker", aName)
    .Add("reason", "silent");
  this->policies.WorkerLost(aNow, this->ViewOf(aName, aNow));
  for (const TaskRef& task : std::set<TaskRef>(this->working.TasksOn(aName))) {
    const bool starting =
      this->working.FindTask(task)->phase == TaskPhase::Starting;
    if (starting && !this->rules.trustWorkerLeases) {
      continue;
    }
    this->ReleaseUnfinished(task, "worker-silent", aNow);
  }
  aLink.granted = false;
}

void
CellMachine::RemoveWorker(const std::string& aName, TimePoint aNow)
{
  if (!this->working.TasksOn(aName).empty() ||
      !this->OwnsWithValidLease(aNow)) {
    return;
  }
  if (this->working.Workers().contains(aName)) {
    Event("worker_removed")
      .Add("cell", this->options.cell)
      .Add("worker", aName);
    LogEntry entry;
    entry.kind = LogEntryKind::WorkerRemoved;
    entry.worker = aName;
    this->keyReleases.insert(aName);
    this->Propose(std::move(entry),
                  [this, aName](TimePoint) { this->ReleaseWorkerKey(aName); });
  }
  this->links.erase(aName);
}

void
CellMachine::TickKeyReleases(TimePoint aNow)
{
  for (auto& [name, nextTry] : this->keyReleases) {
    if (aNow < nextTry) {
      continue;
    }
    nextTry = aNow + kReleaseRetry;
    this->ReleaseWorkerKey(name);
  }
}

void
CellMachine::ReleaseWorkerKey(const std::string& aName)
{
  StoreCommand get;
  get.verb = StoreVerb::Get;
  get.key = WorkerKey(aName);
  this->SendStore(
    std::move(get), [this, aName](const StoreReply& aReply, TimePoint) {
      if (aReply.result != StoreResult::Ok) {
        return;
      }
      const bool mine =
        !aReply.rows.empty() && aReply.rows.front().value == this->options.cell;
      if (!mine) {
        this->keyReleases.erase(aName);
        return;
      }
      StoreCommand remove;
      remove.verb = StoreVerb::Delete;
      remove.key = WorkerKey(aName);
      remove.expectedVersion = aReply.rows.front().version;
      // The next read tells whether the key is gone.
      this->SendStore(std::move(remove), [](const StoreReply&, TimePoint) {});
    });
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
