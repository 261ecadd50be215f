#include "CellOwnershipSession.h"

#include "StoreRecords.h"

#include <algorithm>
#include <iterator>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

/** Window in which ends of runs are collected for one write. A call to the
 * store for each end would cost more than the delay, and workers keep ends
 * until they are acknowledged. The end of a job is written at once. */
constexpr std::chrono::milliseconds kWriteWindow{ 100 };

/** Interval at which submissions of ended jobs are removed together. Each
 * separate removal would cost one call, and another one for this owner's watch,
 * which sees the removal. */
constexpr std::chrono::seconds kClearInterval{ 1 };

/** Ended jobs per transaction. The owner's key takes one entry; each job takes
 * the removals of its submission and its cancellation. */
constexpr std::size_t kClearedPerTransaction = (kMaxTransactionEntries - 1) / 2;

/** Progress records that are removed per transaction when their retention is
 * over. The owner's key takes one entry. */
constexpr std::size_t kExpiredPerTransaction = kMaxTransactionEntries - 1;

constexpr std::chrono::seconds kExpiryInterval{ 5 };

/** Interval at which owners exchange what they have learned about interference.
 * A single cell of 120 workers needs 20 s to distinguish most harmless pairs of
 * images from harmful ones; four cells together need less than 10 s. */
constexpr std::chrono::seconds kEvidenceInterval{ 3 };

/** Shortest time between two writes of the roster. */
constexpr std::chrono::milliseconds kRosterWriteInterval{ 100 };

} // namespace

asio::awaitable<void>
CellOwnershipSession::KeepRoster()
{
  while (!this->ended) {
    co_await this->rosterSignal.Wait(std::chrono::hours(1));
    if (this->ended || !this->scheduler.RosterIsStale()) {
      continue;
    }
    co_await this->WriteRoster();
    this->planSignal.Notify();
    // Changes of several workers within this time share a write.
    co_await SleepFor(this->dependencies.strand, kRosterWriteInterval);
  }
}

asio::awaitable<void>
CellOwnershipSession::WriteRoster()
{
  const WorkerRoster roster = this->scheduler.RosterToWrite();
  StoreTransaction change;
  change.expect = { { this->keys.Owner(), this->claim.fencingToken },
                    { this->keys.Roster(), this->rosterRevision } };
  change.puts = { { this->keys.Roster(), nlohmann::json(roster).dump() } };
  this->scheduler.BeginRosterWrite(roster);
  const StoreTransactionReply reply =
    co_await this->dependencies.store.Commit(change, kSessionStoreTimeout);
  if (reply.result == StoreResult::Ok) {
    this->rosterRevision = reply.revision;
    this->scheduler.RosterWritten(roster);
    this->scheduler.AssignFencingTokens(reply.revision);
    co_return;
  }
  // The roster is written again after the next read of the registry.
  Event("roster_not_written", LogLevel::Warning)
    .Add("cell", this->claim.cell)
    .Add("conflict", reply.result == StoreResult::Conflict);
  if (reply.result != StoreResult::Conflict) {
    co_return;
  }
  bool owned = false;
  this->rosterRevision = kAbsentVersion;
  for (const StoreItem& item : reply.current) {
    owned = owned || (item.key == this->keys.Owner() &&
                      item.revision == this->claim.fencingToken);
    if (item.key == this->keys.Roster()) {
      this->rosterRevision = item.revision;
    }
  }
  if (!owned) {
    this->End("owner key replaced");
  }
}

StoreTransaction
CellOwnershipSession::TransactionFor(
  std::span<const ProgressRecord> aRecords) const
{
  StoreTransaction change;
  change.expect.push_back({ this->keys.Owner(), this->claim.fencingToken });
  for (const ProgressRecord& record : aRecords) {
    const std::string& id = record.progress.id;
    std::string value = nlohmann::json(record.progress).dump();
    if (!change.HasRoomFor(value.size())) {
      break;
    }
    const auto revision = this->progressRevisions.find(id);
    // Expects the revision that this owner knows. Without this expectation, an
    // earlier write that the store applies late would overwrite a newer one.
    change.expect.push_back({ this->keys.Progress(id),
                              revision == this->progressRevisions.end()
                                ? kAbsentVersion
                                : revision->second });
    change.puts.push_back({ this->keys.Progress(id), std::move(value) });
  }
  return change;
}

asio::awaitable<std::size_t>
CellOwnershipSession::WriteRecords(std::span<const ProgressRecord> aRecords)
{
  while (!this->ended) {
    StoreTransaction change = this->TransactionFor(aRecords);
    const auto records = aRecords.first(change.puts.size());
    const StoreTransactionReply reply =
      co_await this->dependencies.store.Commit(std::move(change),
                                               kSessionStoreTimeout);
    if (reply.result == StoreResult::Ok) {
      for (const ProgressRecord& record : records) {
        this->progressRevisions[record.progress.id] = reply.revision;
        this->scheduler.ProgressWritten(record);
        if (record.final) {
          this->jobsToClear.insert(record.progress.id);
        }
      }
      co_return records.size();
    }
    if (reply.result != StoreResult::Conflict) {
      co_await SleepFor(this->dependencies.strand, kSessionStoreRetryDelay);
      continue;
    }
    bool owned = false;
    for (const ProgressRecord& record : records) {
      this->progressRevisions.erase(record.progress.id);
    }
    for (const StoreItem& item : reply.current) {
      owned = owned || (item.key == this->keys.Owner() &&
                        item.revision == this->claim.fencingToken);
      if (item.key.starts_with(this->keys.ProgressPrefix())) {
        // Only the owner writes progress, so the conflicting record is an
        // earlier write of this owner whose answer was lost. The next attempt
        // expects the revision of that record.
        this
          ->progressRevisions[IdOfKey(item.key, this->keys.ProgressPrefix())] =
          item.revision;
      }
    }
    if (!owned) {
      this->End("owner key replaced");
    }
  }
  co_return 0;
}

asio::awaitable<void>
CellOwnershipSession::AwaitWriteWindow()
{
  const TimePoint until = this->dependencies.clock.Now() + kWriteWindow;
  // Each report with progress wakes this coroutine, so a single wait may be
  // shorter than the window.
  while (!this->scheduler.HasFinalProgress() &&
         !this->scheduler.HasHeldStarts() && !this->releasing && !this->ended &&
         this->dependencies.clock.Now() < until) {
    co_await this->writeSignal.Wait(until - this->dependencies.clock.Now());
  }
}

asio::awaitable<void>
CellOwnershipSession::WriteProgress()
{
  while (!this->ended) {
    if (!this->scheduler.HasProgress()) {
      co_await this->writeSignal.Wait(std::chrono::seconds(1));
    }
    // Hand-overs and progress write the same records, so they are not written
    // concurrently.
    co_await this->WriteHandOvers();
    if (this->ended) {
      co_return;
    }
    if (!this->scheduler.HasProgress()) {
      continue;
    }
    co_await this->AwaitWriteWindow();
    const ProgressBatch batch = this->scheduler.TakeProgress();
    this->ownerProgress.Begin(OwnerDuty::WriteProgress,
                              this->dependencies.clock.Now());
    std::span<const ProgressRecord> left(batch.records);
    while (!left.empty()) {
      const std::size_t written = co_await this->WriteRecords(left);
      if (written == 0) {
        co_return;
      }
      left = left.subspan(written);
      this->ownerProgress.Advance(OwnerDuty::WriteProgress,
                                  this->dependencies.clock.Now());
    }
    this->ownerProgress.Finish(OwnerDuty::WriteProgress);
    this->scheduler.BatchWritten(batch.change);
    if (this->scheduler.HasHeldStarts()) {
      this->planSignal.Notify();
    }
    for (const auto& [id, loop] : this->workerLoops) {
      loop->wake.Notify();
    }
  }
}

asio::awaitable<void>
CellOwnershipSession::LoadEvidence(ReadFreshness aFreshness)
{
  const StoreRangeReply reply = co_await this->dependencies.store.Range(
    InterferencePrefix(), aFreshness, kSessionStoreTimeout);
  if (reply.result != StoreResult::Ok) {
    Event("evidence_not_read", LogLevel::Warning).Add("cell", this->claim.cell);
    co_return;
  }
  for (const StoreItem& item : reply.items) {
    // The cell's own record is loaded only once, by the linearizable read, as
    // the previous owner left it. Later reads are stale and skip this owner's
    // own writes.
    if (item.key == this->keys.Interference() &&
        aFreshness == ReadFreshness::Stale) {
      continue;
    }
    if (auto evidence = DecodeRecord<InterferenceEvidence>(item)) {
      this->scheduler.SetPeerEvidence(item.key, std::move(*evidence));
    }
  }
}

asio::awaitable<void>
CellOwnershipSession::ExchangeEvidence()
{
  co_await this->LoadEvidence(ReadFreshness::Linearizable);
  while (!this->ended) {
    co_await SleepFor(this->dependencies.strand, kEvidenceInterval);
    const InterferenceEvidence evidence = this->scheduler.Evidence();
    StoreTransaction change;
    change.expect = { { this->keys.Owner(), this->claim.fencingToken } };
    if (!evidence.effects.empty()) {
      change.puts.push_back(
        { this->keys.Interference(), nlohmann::json(evidence).dump() });
    }
    const LongRunningCapacity capacity =
      this->scheduler.CapacityForLongRunning();
    if (this->dependencies.cells > 1) {
      change.puts.push_back(
        { this->keys.Room(), nlohmann::json(capacity).dump() });
    }
    if (this->ended || change.puts.empty()) {
      continue;
    }
    const StoreTransactionReply reply =
      co_await this->dependencies.store.Commit(change, kSessionStoreTimeout);
    if (reply.result != StoreResult::Ok) {
      // The evidence is written again after the next interval.
      Event("evidence_not_written", LogLevel::Warning)
        .Add("cell", this->claim.cell);
    } else {
      this->publishedCapacity = capacity;
    }
    co_await this->LoadEvidence(ReadFreshness::Stale);
    if (this->dependencies.cells > 1) {
      co_await this->LoadCapacities(ReadFreshness::Stale);
    }
  }
}

asio::awaitable<void>
CellOwnershipSession::ClearInbox()
{
  while (!this->ended) {
    co_await SleepFor(this->dependencies.strand, kClearInterval);
    while (!this->jobsToClear.empty() && !this->ended) {
      const std::size_t count =
        std::min(this->jobsToClear.size(), kClearedPerTransaction);
      const std::vector<std::string> cleared(
        this->jobsToClear.begin(),
        std::next(this->jobsToClear.begin(),
                  static_cast<std::ptrdiff_t>(count)));
      StoreTransaction change;
      change.expect.push_back({ this->keys.Owner(), this->claim.fencingToken });
      for (const std::string& id : cleared) {
        change.removes.push_back(this->keys.Job(id));
        change.removes.push_back(this->keys.Cancellation(id));
      }
      const StoreTransactionReply reply =
        co_await this->dependencies.store.Commit(change, kSessionStoreTimeout);
      if (reply.result != StoreResult::Ok) {
        Event("inbox_not_cleared", LogLevel::Warning)
          .Add("cell", this->claim.cell)
          .Add("jobs", static_cast<std::uint64_t>(this->jobsToClear.size()));
        break;
      }
      for (const std::string& id : cleared) {
        this->jobsToClear.erase(id);
      }
    }
  }
}

asio::awaitable<void>
CellOwnershipSession::RemoveExpired()
{
  while (!this->ended) {
    co_await SleepFor(this->dependencies.strand, kExpiryInterval);
    const std::vector<std::string> expired =
      this->scheduler.TakeExpired(kExpiredPerTransaction, this->jobsToClear);
    if (expired.empty() || this->ended) {
      continue;
    }
    StoreTransaction change;
    change.expect.push_back({ this->keys.Owner(), this->claim.fencingToken });
    for (const std::string& id : expired) {
      change.removes.push_back(this->keys.Progress(id));
      this->progressRevisions.erase(id);
      this->jobRevisions.erase(id);
    }
    const StoreTransactionReply reply =
      co_await this->dependencies.store.Commit(change, kSessionStoreTimeout);
    if (reply.result != StoreResult::Ok) {
      // The next owner finds and removes the records.
      Event("expired_not_removed", LogLevel::Warning)
        .Add("records", static_cast<std::uint64_t>(expired.size()));
    }
  }
}

} // namespace sequoiakeel
