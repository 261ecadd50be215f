#include "CellOwnershipSession.h"

#include "StoreRecords.h"

#include <algorithm>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

/** An owner sends commands for this long after it sent its last successful
 * renewal, well within the store lease. A new owner waits for this time and for
 * the workers' leases to expire before it restarts tasks of unresponsive
 * workers. Together this takes at most 9 s, after which a long-running task
 * counts as lost. */
constexpr std::chrono::milliseconds kCommandValidity{ 2500 };

/** Interval at which the ownership is renewed. A renewal is billed as a tenth
 * of a store call. */
constexpr std::chrono::milliseconds kRenewInterval{ 500 };

TimePoint
EarlierLeasesExpireAt(const OwnershipSessionDependencies& aDependencies)
{
  // An owner whose key was removed may not have noticed the removal yet and may
  // still grant worker leases until its command validity ends.
  return aDependencies.clock.Now() + kCommandValidity +
         aDependencies.bounds.workerLease * 103 / 100 +
         std::chrono::milliseconds(200);
}

} // namespace

CellOwnershipSession::CellOwnershipSession(
  OwnershipSessionDependencies aDependencies,
  OwnershipClaim aClaim)
  : dependencies(std::move(aDependencies))
  , claim(aClaim)
  , keys(aClaim.cell)
  , scheduler(dependencies.bounds,
              dependencies.policies,
              dependencies.clock,
              dependencies.wallClock,
              EarlierLeasesExpireAt(dependencies))
  , renewedAt(dependencies.clock.Now())
  , planSignal(dependencies.strand)
  , rosterSignal(dependencies.strand)
  , writeSignal(dependencies.strand)
  , endSignal(dependencies.strand)
{
}

bool
CellOwnershipSession::CanSendCommands() const
{
  return !this->ended && !this->releasing &&
         this->dependencies.clock.Now() < this->claim.validUntil;
}

void
CellOwnershipSession::End(const char* aReason)
{
  if (this->ended) {
    return;
  }
  this->ended = true;
  this->dependencies.metrics.OwnershipChanged(this->releasing ? "released"
                                                              : "lost");
  Event("ownership_lost", LogLevel::Warning)
    .Add("cell", this->claim.cell)
    .Add("token", this->claim.fencingToken)
    .Add("reason", aReason);
  this->endSignal.Notify();
  this->planSignal.Notify();
  this->rosterSignal.Notify();
  this->writeSignal.Notify();
}

asio::awaitable<void>
CellOwnershipSession::Run()
{
  this->Spawn(
    [](CellOwnershipSession& aSelf) { return aSelf.RenewOwnership(); });
  const bool ready = co_await this->Load();
  if (!ready) {
    this->End("state not loaded");
    co_return;
  }
  this->loaded = true;
  Event("ownership_ready")
    .Add("cell", this->claim.cell)
    .Add("token", this->claim.fencingToken)
    .Add("jobs", static_cast<std::uint64_t>(this->scheduler.Jobs()))
    .Add("workers", static_cast<std::uint64_t>(this->scheduler.Workers()));
  this->Spawn([](CellOwnershipSession& aSelf) { return aSelf.WatchInbox(); });
  this->Spawn([](CellOwnershipSession& aSelf) { return aSelf.KeepRoster(); });
  this->Spawn([](CellOwnershipSession& aSelf) { return aSelf.PollRegistry(); });
  if (this->dependencies.closedZones != nullptr) {
    this->Spawn(
      [](CellOwnershipSession& aSelf) { return aSelf.PollClosedZones(); });
  }
  this->Spawn(
    [](CellOwnershipSession& aSelf) { return aSelf.WriteProgress(); });
  this->Spawn(
    [](CellOwnershipSession& aSelf) { return aSelf.ExchangeEvidence(); });
  this->Spawn([](CellOwnershipSession& aSelf) { return aSelf.ClearInbox(); });
  this->Spawn(
    [](CellOwnershipSession& aSelf) { return aSelf.RemoveExpired(); });
  if (this->dependencies.cells > 1) {
    this->Spawn(
      [](CellOwnershipSession& aSelf) { return aSelf.PublishCapacity(); });
  }
  this->Spawn([](CellOwnershipSession& aSelf) { return aSelf.PlanLoop(); });
  while (!this->ended) {
    co_await this->endSignal.Wait(std::chrono::hours(1));
  }
}

asio::awaitable<void>
CellOwnershipSession::RenewOwnership()
{
  bool lost = false;
  while (!this->ended) {
    co_await SleepFor(this->dependencies.strand, kRenewInterval);
    if (this->ended) {
      co_return;
    }
    const TimePoint sentAt = this->dependencies.clock.Now();
    const StoreLeaseReply reply = co_await this->dependencies.store.RenewLease(
      this->claim.lease, kSessionStoreTimeout);
    if (reply.result == StoreResult::Conflict) {
      this->End("store lease expired");
      co_return;
    }
    if (reply.result == StoreResult::Ok) {
      this->renewedAt = sentAt;
      this->claim.validUntil =
        sentAt + std::min<Duration>(kCommandValidity, reply.ttl);
      if (lost) {
        Event("store_regained").Add("cell", this->claim.cell);
        this->planSignal.Notify();
      }
      lost = false;
      continue;
    }
    if (!lost) {
      Event("store_lost", LogLevel::Warning).Add("cell", this->claim.cell);
    }
    lost = true;
  }
}

WorkerCommandTarget
CellOwnershipSession::Target(const std::string& aWorker,
                             const Endpoint& aEndpoint) const
{
  const std::uint64_t token =
    std::max(this->claim.fencingToken, this->scheduler.FencingToken(aWorker));
  return WorkerCommandTarget{ aWorker, aEndpoint, token };
}

bool
CellOwnershipSession::EndIfFenced(const WorkerCommandTarget& aTarget,
                                  WorkerCommandResult aResult)
{
  // The worker may have seen a newer token of this owner since the command was
  // sent.
  const bool current =
    aTarget.fencingToken >=
    this->Target(aTarget.worker, aTarget.endpoint).fencingToken;
  if (aResult != WorkerCommandResult::Fenced || !current) {
    return false;
  }
  this->End("fenced: a worker has received commands of a newer owner");
  return true;
}

asio::awaitable<void>
CellOwnershipSession::Release(Duration aTimeout)
{
  if (this->ended) {
    co_return;
  }
  this->releasing = true;
  const TimePoint deadline = this->dependencies.clock.Now() + aTimeout;
  StoreTransaction change;
  change.expect = { { this->keys.Owner(), this->claim.fencingToken } };
  change.removes = { this->keys.Owner(), this->keys.OwnerCopy() };
  while (!this->ended && this->dependencies.clock.Now() < deadline) {
    const StoreTransactionReply reply =
      co_await this->dependencies.store.Commit(change,
                                               std::chrono::milliseconds(500));
    if (reply.result == StoreResult::Ok ||
        reply.result == StoreResult::Conflict) {
      break;
    }
    co_await SleepFor(this->dependencies.strand, kSessionStoreRetryDelay);
  }
  this->End("released");
}

} // namespace sequoiakeel
