#include "CellOwnerElector.h"

#include "Log.h"
#include "PeerCodec.h"
#include "Random.h"
#include "generated/WorkflowJson.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <exception>
#include <functional>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

constexpr TransferTimeout kStoreTimeout =
  TransferTimeout::Silence(std::chrono::milliseconds(1000));

/** Time limit of the release of an ownership that was acquired during a stop.
 */
constexpr std::chrono::milliseconds kReleaseTimeout{ 1000 };

/** Candidates with the same claim delay spread their attempts over this time,
 * so that most of them see that another candidate has won before they try. */
constexpr int kClaimSpreadMs = 30;

/** Time-out of a probe. An owner answers within milliseconds. */
constexpr std::chrono::milliseconds kProbeTimeout{ 400 };

/** Delay before a failed probe is repeated. */
constexpr std::chrono::milliseconds kProbeRetryDelay{ 150 };

/** Consecutive failed probes after which an owner is removed. */
constexpr int kProbeFailures = 2;

/** How long an owner must leave probes unanswered before its key is removed.
 * The owner may be running and only unreachable from this process, so this
 * takes longer than for an owner whose process has ended. */
constexpr std::chrono::milliseconds kUnresponsiveLimit{ 1800 };

/** How long an owner may be unable to reach the store before a probe of it
 * counts as failed. The owner cannot accept jobs during that time, while this
 * process may be able to. */
constexpr std::chrono::milliseconds kStoreOutageLimit{ 1300 };

/** Shortest time between two removals of owners by this process. Two processes
 * that can reach the store but not each other must not keep removing one
 * another. */
constexpr std::chrono::seconds kRemovalInterval{ 5 };

/** Stall of an ended session after which this process claims the cell only
 * kClaimHandicap later than otherwise. */
constexpr std::chrono::seconds kStallOfHandicap{ 5 };
constexpr std::chrono::seconds kClaimHandicap{ 2 };

/** Returns the reason for the removal of an owner, for the log. */
const char*
ReasonOf(OwnerHealth aHealth)
{
  switch (aHealth) {
    case OwnerHealth::Unresponsive:
      return "silent";
    case OwnerHealth::Terminated:
      return "dead";
    case OwnerHealth::StoreLost:
      return "store lost";
    case OwnerHealth::Stalled:
      return "stalled";
    case OwnerHealth::Loading:
    case OwnerHealth::Healthy:
      break;
  }
  return "healthy";
}

} // namespace

CellOwnerElector::CellOwnerElector(OwnershipSessionDependencies aDependencies,
                                   std::uint32_t aCell,
                                   CandidateIdentity aIdentity,
                                   PeerClient& aPeers,
                                   OwnerDirectory& aOwners)
  : dependencies(std::move(aDependencies))
  , cell(aCell)
  , keys(aCell)
  , identity(std::move(aIdentity))
  , peers(aPeers)
  , owners(aOwners)
  , ownerSignal(dependencies.strand)
{
}

void
CellOwnerElector::SubscribeToOwner()
{
  this->owners.Subscribe(
    this->cell, [weak = this->weak_from_this()](const OwnerView& aView) {
      const std::shared_ptr<CellOwnerElector> self = weak.lock();
      if (!self) {
        return;
      }
      asio::post(self->dependencies.strand,
                 [self, aView]() { self->UpdateOwner(aView); });
    });
}

void
CellOwnerElector::UpdateOwner(const OwnerView& aView)
{
  // Ignores a view that is older than what this process has itself read from or
  // written to the store, since the directory may be behind.
  if (aView.revision < this->ownerRevision) {
    return;
  }
  if (aView.owner && aView.revision > this->ownerRevision) {
    Event("owner_seen")
      .Add("cell", this->cell)
      .Add("owner", aView.owner->node)
      .Add("token", aView.revision);
  }
  this->owner = aView.owner;
  this->ownerRevision = aView.revision;
  this->ownerSignal.Notify();
}

asio::awaitable<void>
CellOwnerElector::AwaitVacancy()
{
  while (!this->stopped && (this->owner || this->ownerRevision == 0)) {
    co_await this->ownerSignal.Wait(std::chrono::seconds(1));
  }
}

asio::awaitable<void>
CellOwnerElector::DelayClaim(Duration aSpread)
{
  const TimePoint begun = this->dependencies.clock.Now();
  // The claim delay grows while this process wins other cells, so it is
  // determined again after each wait.
  while (!this->stopped) {
    const Duration delay = this->identity.claimDelay
                             ? Duration(this->identity.claimDelay(this->cell))
                             : Duration::zero();
    const Duration left = begun + aSpread + delay + this->claimHandicap -
                          this->dependencies.clock.Now();
    if (left <= Duration::zero()) {
      co_return;
    }
    co_await SleepFor(this->dependencies.strand, left);
  }
}

asio::awaitable<std::optional<OwnershipClaim>>
CellOwnerElector::Claim()
{
  const TimePoint sentAt = this->dependencies.clock.Now();
  const StoreLeaseReply lease = co_await this->dependencies.store.GrantLease(
    this->identity.leaseTtl, kStoreTimeout);
  if (lease.result != StoreResult::Ok) {
    co_return std::nullopt;
  }
  const CellOwnerRecord record{ this->identity.node,
                                this->identity.boot,
                                this->identity.peer.address,
                                this->identity.peer.port };
  const std::string value = nlohmann::json(record).dump();
  StoreTransaction change;
  change.expect = { { this->keys.Owner(), kAbsentVersion } };
  change.puts = { { this->keys.Owner(), value, lease.lease },
                  { this->keys.OwnerCopy(), value, lease.lease } };
  const StoreTransactionReply reply =
    co_await this->dependencies.store.Commit(change, kStoreTimeout);
  OwnershipClaim claim;
  claim.cell = this->cell;
  claim.lease = lease.lease;
  claim.leaseTtl = lease.ttl;
  claim.validUntil = sentAt + lease.ttl / 2;
  claim.fencingToken = reply.revision;
  if (reply.result == StoreResult::Ok) {
    co_return claim;
  }
  if (reply.result != StoreResult::Conflict) {
    const StoreRangeReply read =
      co_await this->dependencies.store.Get(this->keys.Owner(), kStoreTimeout);
    const bool own = read.result == StoreResult::Ok && !read.items.empty() &&
                     read.items.front().lease == lease.lease;
    if (own) {
      claim.fencingToken = read.items.front().created;
      co_return claim;
    }
  }
  co_await this->dependencies.store.EndLease(lease.lease, kStoreTimeout);
  co_return std::nullopt;
}

asio::awaitable<OwnerHealth>
CellOwnerElector::CheckOwner(Duration aStallLimit)
{
  const CellOwnerRecord checked = *this->owner;
  const Endpoint endpoint{ checked.address, checked.port };
  const WorkflowQuery query{ this->cell, "", "" };
  const TimePoint sentAt = this->dependencies.clock.Now();
  const PeerReply bytes = co_await this->peers.Call(
    endpoint, PeerMessage::QueryWorkflow, EncodeMessage(query), kProbeTimeout);
  const auto reply =
    bytes ? DecodeMessage<WorkflowReply>(*bytes) : std::nullopt;
  if (!reply) {
    const bool early =
      this->dependencies.clock.Now() - sentAt < kProbeTimeout / 2;
    co_return early ? OwnerHealth::Terminated : OwnerHealth::Unresponsive;
  }
  if (reply->boot != checked.boot) {
    co_return OwnerHealth::Terminated;
  }
  const std::chrono::milliseconds silence(reply->storeSilenceMs);
  if (reply->isOwner && silence > kStoreOutageLimit) {
    co_return OwnerHealth::StoreLost;
  }
  if (std::chrono::milliseconds(reply->stalledMs) > aStallLimit) {
    co_return OwnerHealth::Stalled;
  }
  co_return reply->isOwner ? OwnerHealth::Healthy : OwnerHealth::Loading;
}

asio::awaitable<void>
CellOwnerElector::RemoveOwner(std::uint64_t aRevision, const char* aReason)
{
  this->dependencies.metrics.OwnershipChanged("deposed_other");
  Event("owner_deposed", LogLevel::Warning)
    .Add("cell", this->cell)
    .Add("revision", aRevision)
    .Add("reason", aReason);
  const StoreRangeReply read =
    co_await this->dependencies.store.Get(this->keys.Owner(), kStoreTimeout);
  const bool present = read.result == StoreResult::Ok && !read.items.empty() &&
                       read.items.front().revision == aRevision;
  // Ending the lease removes the owner's key and its copy. If only the keys
  // were removed, the owner could renew the lease, and with it its permission
  // to send commands, until its watch shows the removal. Each claim has a lease
  // of its own, so a newer owner is not affected.
  StoreLeaseReply ended;
  if (present) {
    ended = co_await this->dependencies.store.EndLease(read.items.front().lease,
                                                       kStoreTimeout);
  }
  if (ended.result != StoreResult::Ok) {
    Event("owner_not_deposed", LogLevel::Warning)
      .Add("cell", this->cell)
      .Add("key_present", present);
  }
}

asio::awaitable<void>
CellOwnerElector::ProbeOwner()
{
  // Starting with one failure sends the first probe after the short retry
  // delay: after a failure of the whole system, the owner's key can still exist
  // although the owner's process has ended.
  int failures = 1;
  StallLimit stallLimit;
  std::uint64_t suspectedRevision = 0;
  TimePoint unresponsiveSince;
  TimePoint notBefore;
  while (!this->stopped) {
    const Duration pause = failures > 0
                             ? Duration(kProbeRetryDelay)
                             : Duration(this->identity.probeInterval);
    co_await SleepFor(this->dependencies.strand, pause);
    if (this->stopped) {
      co_return;
    }
    const bool shouldProbe = this->owner && !this->session &&
                             this->owner->boot != this->identity.boot &&
                             this->dependencies.clock.Now() >= notBefore;
    if (!shouldProbe) {
      failures = this->owner ? 0 : failures;
      continue;
    }
    const std::uint64_t revision = this->ownerRevision;
    if (revision != suspectedRevision) {
      failures = 0;
      stallLimit.OwnerChanged();
      suspectedRevision = revision;
      unresponsiveSince = this->dependencies.clock.Now();
    }
    const OwnerHealth health = co_await this->CheckOwner(stallLimit.Get());
    if (health == OwnerHealth::Healthy) {
      stallLimit.OwnerServes();
    }
    if (health == OwnerHealth::Healthy || health == OwnerHealth::Loading ||
        revision != this->ownerRevision) {
      failures = 0;
      continue;
    }
    const TimePoint now = this->dependencies.clock.Now();
    unresponsiveSince = failures == 0 ? now : unresponsiveSince;
    ++failures;
    const Duration limit = health == OwnerHealth::Unresponsive
                             ? Duration(kUnresponsiveLimit)
                             : Duration::zero();
    if (failures < kProbeFailures || now - unresponsiveSince < limit) {
      continue;
    }
    notBefore = now + kRemovalInterval;
    failures = 0;
    co_await this->RemoveOwner(revision, ReasonOf(health));
  }
}

asio::awaitable<void>
CellOwnerElector::Run()
{
  Random random(std::hash<std::string>()(this->identity.boot));
  asio::co_spawn(
    this->dependencies.strand,
    [self = this->shared_from_this()]() { return self->ProbeOwner(); },
    asio::detached);
  this->SubscribeToOwner();
  while (!this->stopped) {
    this->isOwnerOrClaiming = false;
    co_await this->AwaitVacancy();
    co_await this->DelayClaim(
      std::chrono::milliseconds(DrawIndex(random, kClaimSpreadMs)));
    if (this->stopped) {
      co_return;
    }
    if (this->owner) {
      continue;
    }
    this->isOwnerOrClaiming = true;
    const StoreRangeReply read =
      co_await this->dependencies.store.Get(this->keys.Owner(), kStoreTimeout);
    if (this->stopped || read.result != StoreResult::Ok) {
      continue;
    }
    if (!read.items.empty()) {
      if (const auto seen = DecodeOwner(read.items.front())) {
        this->UpdateOwner(*seen);
      }
      continue;
    }
    const std::optional<OwnershipClaim> claim = co_await this->Claim();
    if (!claim) {
      continue;
    }
    this->dependencies.metrics.OwnershipChanged("won");
    Event("ownership_won")
      .Add("cell", this->cell)
      .Add("token", claim->fencingToken)
      .Add("lease_ms", static_cast<std::int64_t>(claim->leaseTtl.count()));
    this->owner = CellOwnerRecord{ this->identity.node,
                                   this->identity.boot,
                                   this->identity.peer.address,
                                   this->identity.peer.port };
    this->ownerRevision = claim->fencingToken;
    this->session =
      std::make_shared<CellOwnershipSession>(this->dependencies, *claim);
    if (this->stopped) {
      co_await this->session->Release(kReleaseTimeout);
      co_return;
    }
    co_await this->session->Run();
    this->claimHandicap = this->session->StalledFor() > kStallOfHandicap
                            ? Duration(kClaimHandicap)
                            : Duration::zero();
    this->session.reset();
    // If another process removed the owner's key, the copy of the owner's
    // record, which other processes read, may still exist. Ending the lease
    // deletes the copy.
    const StoreLeaseReply ended =
      co_await this->dependencies.store.EndLease(claim->lease, kStoreTimeout);
    if (ended.result != StoreResult::Ok &&
        ended.result != StoreResult::Conflict) {
      Event("lease_left_to_expire").Add("cell", this->cell);
    }
  }
}

asio::awaitable<void>
CellOwnerElector::Stop(Duration aTimeout)
{
  this->stopped = true;
  this->ownerSignal.Notify();
  const std::shared_ptr<CellOwnershipSession> present = this->session;
  if (present) {
    co_await present->Release(aTimeout);
  }
}

WorkflowReply
CellOwnerElector::Answer(const WorkflowQuery& aQuery) const
{
  WorkflowReply reply;
  reply.boot = this->identity.boot;
  if (this->session) {
    reply.stalledMs = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
        this->session->StalledFor())
        .count());
  }
  if (!this->session || !this->session->Serving()) {
    return reply;
  }
  reply.isOwner = true;
  reply.storeSilenceMs = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      this->session->TimeSinceRenewal())
      .count());
  const CellScheduler& scheduler = this->session->Scheduler();
  if (aQuery.id.empty()) {
    reply.pending = scheduler.CountPendingJobs(aQuery.queue);
    reply.load = scheduler.Load();
    reply.load.maxTasks = this->dependencies.maxTasks;
    return reply;
  }
  reply.state = scheduler.StateOf(aQuery.id);
  reply.queue = scheduler.QueueOf(aQuery.id);
  return reply;
}

} // namespace sequoiakeel
