#include "CellMachine.h"

#include "CellKeys.h"
#include "Log.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

/** Number of status queries, sent after a worker's leases are known to have
 * expired, that must stay unanswered before the worker counts as lost. It is
 * more than one because a single message may be lost. */
constexpr int kFinalQueries = 2;

} // namespace

std::string
CellMachine::LeaseOf(const WorkerLink& aLink) const
{
  return WorkerLeaseName(
    this->options.cell, this->working.Epoch(), aLink.grant);
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
        link->second.nextStatus = aThen;
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
CellMachine::DeclareUnresponsiveWorkerLost(const std::string& aName,
                                           WorkerLink& aLink,
                                           TimePoint aNow)
{
  if (this->IsResponsive(aLink, aNow) || this->working.TasksOn(aName).empty() ||
      !this->gate.LeasesKnownExpired(aNow, aLink.lastRenewal)) {
    return;
  }
  // A worker that has become reachable again may report the result of a task
  // that ended in the meantime, so its status is queried again before its tasks
  // are started on other workers.
  if (aLink.statusPending || aLink.finalQueries < kFinalQueries) {
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

} // namespace sequoiakeel
