#include "CellMachine.h"

#include "CellKeys.h"
#include "Log.h"

namespace sequoiakeel {

namespace {

constexpr std::chrono::seconds kClaimRetry{ 10 };
constexpr std::chrono::seconds kReleaseRetry{ 1 };

} // namespace

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
    // The worker key is released only once the removal is durable; until then
    // the next try is never due.
    this->keyReleases[aName] = TimePoint::max();
    this->Propose(std::move(entry), [this, aName](TimePoint aThen) {
      this->keyReleases[aName] = aThen;
    });
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
      // The result is ignored: the next try reads the key again and ends the
      // release if the key no longer names this cell.
      this->SendStore(std::move(remove), [](const StoreReply&, TimePoint) {});
    });
}

} // namespace sequoiakeel
