#include "CellService.h"

#include "Log.h"
#include "Random.h"
#include "generated/WorkflowJson.h"

#include <exception>
#include <functional>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kStoreTimeout{ 1000 };
constexpr std::chrono::milliseconds kStoreRetry{ 150 };

/** Longest wait of the watch of the owner. A watch that was waiting when the
 * store failed hears nothing more; each one that ends counts as a call. */
constexpr std::chrono::milliseconds kWatchWait{ 3000 };

/** Candidates spread their attempts over this time, so that most of them see
 * the winner before they try. */
constexpr int kClaimSpreadMs = 120;

} // namespace

CellService::CellService(TenureParts aParts,
                         std::uint32_t aCell,
                         CandidateIdentity aIdentity)
  : parts(std::move(aParts))
  , cell(aCell)
  , keys(aCell)
  , identity(std::move(aIdentity))
{
}

void
CellService::NoteOwner(const StoreItem& aItem)
{
  try {
    this->owner = nlohmann::json::parse(aItem.value).get<CellOwnerRecord>();
    Event("owner_seen")
      .Add("cell", this->cell)
      .Add("owner", this->owner->node)
      .Add("token", aItem.created);
  } catch (const std::exception& error) {
    Event("record_unreadable", LogLevel::Error)
      .Add("key", aItem.key)
      .Add("error", error.what());
  }
}

asio::awaitable<std::uint64_t>
CellService::AwaitVacancy()
{
  while (!this->stopped) {
    const StoreRangeReply read =
      co_await this->parts.store.Get(this->keys.Owner(), kStoreTimeout);
    if (read.result != StoreResult::Ok) {
      co_await SleepFor(this->parts.strand, kStoreRetry);
      continue;
    }
    if (read.items.empty()) {
      this->owner.reset();
      co_return read.revision;
    }
    this->NoteOwner(read.items.front());
    std::uint64_t revision = read.revision;
    while (!this->stopped) {
      const StoreWatchReply watched = co_await this->parts.store.Watch(
        this->keys.Owner(), revision, kWatchWait);
      if (watched.result != StoreResult::Ok || watched.compacted) {
        co_await SleepFor(this->parts.strand, kStoreRetry);
        break;
      }
      revision = watched.revision;
      bool vacant = false;
      for (const StoreItem& event : watched.events) {
        vacant = event.deleted;
        if (!event.deleted) {
          this->NoteOwner(event);
        }
      }
      if (vacant) {
        this->owner.reset();
        co_return revision;
      }
    }
  }
  co_return 0;
}

asio::awaitable<std::optional<OwnershipClaim>>
CellService::Claim()
{
  const TimePoint sentAt = this->parts.clock.Now();
  const StoreLeaseReply lease = co_await this->parts.store.GrantLease(
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
  change.puts = { { this->keys.Owner(), value, lease.lease } };
  const StoreTransactionReply reply =
    co_await this->parts.store.Commit(change, kStoreTimeout);
  OwnershipClaim claim;
  claim.cell = this->cell;
  claim.lease = lease.lease;
  claim.leaseTtl = lease.ttl;
  claim.validUntil = sentAt + lease.ttl * 95 / 100;
  claim.fencingToken = reply.revision;
  if (reply.result == StoreResult::Ok) {
    co_return claim;
  }
  if (reply.result != StoreResult::Conflict) {
    const StoreRangeReply read =
      co_await this->parts.store.Get(this->keys.Owner(), kStoreTimeout);
    const bool own = read.result == StoreResult::Ok && !read.items.empty() &&
                     read.items.front().lease == lease.lease;
    if (own) {
      claim.fencingToken = read.items.front().created;
      co_return claim;
    }
  }
  co_await this->parts.store.EndLease(lease.lease, kStoreTimeout);
  co_return std::nullopt;
}

asio::awaitable<void>
CellService::Run()
{
  Random random(std::hash<std::string>()(this->identity.boot));
  while (!this->stopped) {
    co_await this->AwaitVacancy();
    co_await SleepFor(
      this->parts.strand,
      std::chrono::milliseconds(DrawIndex(random, kClaimSpreadMs)));
    if (this->stopped) {
      co_return;
    }
    const StoreRangeReply read =
      co_await this->parts.store.Get(this->keys.Owner(), kStoreTimeout);
    if (this->stopped || read.result != StoreResult::Ok ||
        !read.items.empty()) {
      continue;
    }
    const std::optional<OwnershipClaim> claim = co_await this->Claim();
    if (!claim) {
      continue;
    }
    Event("ownership_won")
      .Add("cell", this->cell)
      .Add("token", claim->fencingToken)
      .Add("lease_ms", static_cast<std::int64_t>(claim->leaseTtl.count()));
    this->owner = CellOwnerRecord{ this->identity.node,
                                   this->identity.boot,
                                   this->identity.peer.address,
                                   this->identity.peer.port };
    this->tenure = std::make_shared<CellTenure>(this->parts, *claim);
    if (this->stopped) {
      co_await this->tenure->Release(kStoreTimeout);
      co_return;
    }
    co_await this->tenure->Run();
    this->tenure.reset();
  }
}

asio::awaitable<void>
CellService::Stop(Duration aTimeout)
{
  this->stopped = true;
  const std::shared_ptr<CellTenure> present = this->tenure;
  if (present) {
    co_await present->Release(aTimeout);
  }
}

WorkflowReply
CellService::Answer(const WorkflowQuery& aQuery) const
{
  WorkflowReply reply;
  if (!this->tenure || !this->tenure->Serving()) {
    return reply;
  }
  reply.isOwner = true;
  const CellScheduler& scheduler = this->tenure->Scheduler();
  if (aQuery.id.empty()) {
    reply.pending = scheduler.PendingOf(aQuery.queue);
    return reply;
  }
  reply.state = scheduler.StateOf(aQuery.id);
  return reply;
}

} // namespace sequoiakeel
