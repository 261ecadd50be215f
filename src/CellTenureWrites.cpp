#include "CellTenure.h"

#include "TenureRecords.h"

#include <algorithm>
#include <iterator>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

/** Ends of runs are written together in this window: a call to the store for
 * each would cost more than the delay, and workers keep ends until they are
 * acknowledged. A job's end is written at once. */
constexpr std::chrono::milliseconds kWriteWindow{ 100 };

/** Records of one transaction: the owner's key, and for each record an
 * expectation and a write. */
constexpr std::size_t kRecordsPerTransaction = (kMaxTransactionEntries - 1) / 2;

/** Interval at which submissions of ended jobs are removed together. Each
 * removal on its own would cost a call, and another one for the own watch that
 * sees it. */
constexpr std::chrono::seconds kClearInterval{ 1 };

/** Ended jobs of one transaction: the owner's key, and for each job the
 * submission and the cancellation. */
constexpr std::size_t kClearedPerTransaction = (kMaxTransactionEntries - 1) / 2;

/** Records that are removed in one transaction after their retention. */
constexpr std::size_t kExpiredPerTransaction = kMaxTransactionEntries - 1;

constexpr std::chrono::seconds kExpiryInterval{ 5 };

/** Interval at which owners tell each other what they have learnt of
 * interference. Alone a cell of 120 workers needs 20 s to tell most harmless
 * pairs of images from harmful ones, four together less than 10 s. */
constexpr std::chrono::seconds kEvidenceInterval{ 3 };

} // namespace

asio::awaitable<void>
CellTenure::WriteRoster()
{
  const WorkerRoster roster = this->scheduler.RosterToWrite();
  StoreTransaction change;
  change.expect = { { this->keys.Owner(), this->claim.fencingToken },
                    { this->keys.Roster(), this->rosterRevision } };
  change.puts = { { this->keys.Roster(), nlohmann::json(roster).dump() } };
  const StoreTransactionReply reply =
    co_await this->parts.store.Commit(change, kTenureStoreTimeout);
  if (reply.result == StoreResult::Ok) {
    this->rosterRevision = reply.revision;
    this->scheduler.RosterWritten(roster);
    co_return;
  }
  // The next round of the registry tries again.
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
CellTenure::TransactionFor(const std::vector<ProgressRecord>& aRecords) const
{
  StoreTransaction change;
  change.expect.push_back({ this->keys.Owner(), this->claim.fencingToken });
  for (const ProgressRecord& record : aRecords) {
    const std::string& id = record.progress.id;
    const auto revision = this->progressRevisions.find(id);
    // Without this expectation, an older write that is carried out late would
    // undo a newer one.
    change.expect.push_back({ this->keys.Progress(id),
                              revision == this->progressRevisions.end()
                                ? kAbsentVersion
                                : revision->second });
    change.puts.push_back(
      { this->keys.Progress(id), nlohmann::json(record.progress).dump() });
  }
  return change;
}

asio::awaitable<bool>
CellTenure::WriteRecords(const std::vector<ProgressRecord>& aRecords)
{
  while (!this->ended) {
    const StoreTransactionReply reply = co_await this->parts.store.Commit(
      this->TransactionFor(aRecords), kTenureStoreTimeout);
    if (reply.result == StoreResult::Ok) {
      for (const ProgressRecord& record : aRecords) {
        this->progressRevisions[record.progress.id] = reply.revision;
        this->scheduler.ProgressWritten(record);
        if (record.final) {
          this->toClear.insert(record.progress.id);
        }
      }
      co_return true;
    }
    if (reply.result != StoreResult::Conflict) {
      co_await SleepFor(this->parts.strand, kTenureStoreRetry);
      continue;
    }
    bool owned = false;
    for (const ProgressRecord& record : aRecords) {
      this->progressRevisions.erase(record.progress.id);
    }
    for (const StoreItem& item : reply.current) {
      owned = owned || (item.key == this->keys.Owner() &&
                        item.revision == this->claim.fencingToken);
      if (item.key.starts_with(this->keys.ProgressOfAll())) {
        // Only the owner writes progress, so this is an own write whose answer
        // was lost.
        this->progressRevisions[IdOfKey(item.key, this->keys.ProgressOfAll())] =
          item.revision;
      }
    }
    if (!owned) {
      this->End("owner key replaced");
    }
  }
  co_return false;
}

asio::awaitable<void>
CellTenure::GatherProgress()
{
  const TimePoint until = this->parts.clock.Now() + kWriteWindow;
  // Each report with progress ends a wait, so one wait is not the window.
  while (!this->scheduler.HasFinalProgress() && !this->releasing &&
         !this->ended && this->parts.clock.Now() < until) {
    co_await this->writeSignal.Wait(until - this->parts.clock.Now());
  }
}

asio::awaitable<void>
CellTenure::WriteProgress()
{
  while (!this->ended) {
    if (!this->scheduler.HasProgress()) {
      co_await this->writeSignal.Wait(std::chrono::seconds(1));
    }
    // Both write records of progress, so one after the other.
    co_await this->WriteHandOvers();
    if (this->ended) {
      co_return;
    }
    if (!this->scheduler.HasProgress()) {
      continue;
    }
    co_await this->GatherProgress();
    const ProgressBatch batch = this->scheduler.TakeProgress();
    for (std::size_t i = 0; i < batch.records.size();
         i += kRecordsPerTransaction) {
      const std::size_t end =
        std::min(batch.records.size(), i + kRecordsPerTransaction);
      const std::vector<ProgressRecord> part(batch.records.begin() + i,
                                             batch.records.begin() + end);
      const bool written = co_await this->WriteRecords(part);
      if (!written) {
        co_return;
      }
    }
    this->scheduler.SettleBatch(batch.change);
    for (const auto& [id, loop] : this->workerLoops) {
      loop->wake.Notify();
    }
  }
}

asio::awaitable<void>
CellTenure::TakeEvidence(ReadFreshness aFreshness)
{
  const StoreRangeReply reply = co_await this->parts.store.Range(
    InterferencePrefix(), aFreshness, kTenureStoreTimeout);
  if (reply.result != StoreResult::Ok) {
    Event("evidence_not_read", LogLevel::Warning).Add("cell", this->claim.cell);
    co_return;
  }
  for (const StoreItem& item : reply.items) {
    // The own record is read only once, as an earlier owner left it.
    if (item.key == this->keys.Interference() &&
        aFreshness == ReadFreshness::Stale) {
      continue;
    }
    if (auto evidence = DecodeRecord<InterferenceEvidence>(item)) {
      this->scheduler.SetOutsideEvidence(item.key, std::move(*evidence));
    }
  }
}

asio::awaitable<void>
CellTenure::ExchangeEvidence()
{
  co_await this->TakeEvidence(ReadFreshness::Linearizable);
  while (!this->ended) {
    co_await SleepFor(this->parts.strand, kEvidenceInterval);
    const InterferenceEvidence evidence = this->scheduler.Evidence();
    StoreTransaction change;
    change.expect = { { this->keys.Owner(), this->claim.fencingToken } };
    if (!evidence.effects.empty()) {
      change.puts.push_back(
        { this->keys.Interference(), nlohmann::json(evidence).dump() });
    }
    if (this->parts.cells > 1) {
      change.puts.push_back(
        { this->keys.Room(),
          nlohmann::json(this->scheduler.LargestRoom()).dump() });
    }
    if (this->ended || change.puts.empty()) {
      continue;
    }
    const StoreTransactionReply reply =
      co_await this->parts.store.Commit(change, kTenureStoreTimeout);
    if (reply.result != StoreResult::Ok) {
      // It is written anew in the next round.
      Event("evidence_not_written", LogLevel::Warning)
        .Add("cell", this->claim.cell);
    }
    co_await this->TakeEvidence(ReadFreshness::Stale);
    if (this->parts.cells > 1) {
      co_await this->TakeRooms();
    }
  }
}

asio::awaitable<void>
CellTenure::ClearInbox()
{
  while (!this->ended) {
    co_await SleepFor(this->parts.strand, kClearInterval);
    while (!this->toClear.empty() && !this->ended) {
      const std::size_t count =
        std::min(this->toClear.size(), kClearedPerTransaction);
      const std::vector<std::string> cleared(
        this->toClear.begin(),
        std::next(this->toClear.begin(), static_cast<std::ptrdiff_t>(count)));
      StoreTransaction change;
      change.expect.push_back({ this->keys.Owner(), this->claim.fencingToken });
      for (const std::string& id : cleared) {
        change.removes.push_back(this->keys.Job(id));
        change.removes.push_back(this->keys.Cancellation(id));
      }
      const StoreTransactionReply reply =
        co_await this->parts.store.Commit(change, kTenureStoreTimeout);
      if (reply.result != StoreResult::Ok) {
        Event("inbox_not_cleared", LogLevel::Warning)
          .Add("cell", this->claim.cell)
          .Add("jobs", static_cast<std::uint64_t>(this->toClear.size()));
        break;
      }
      for (const std::string& id : cleared) {
        this->toClear.erase(id);
      }
    }
  }
}

asio::awaitable<void>
CellTenure::RemoveExpired()
{
  while (!this->ended) {
    co_await SleepFor(this->parts.strand, kExpiryInterval);
    const std::vector<std::string> expired =
      this->scheduler.TakeExpired(kExpiredPerTransaction, this->toClear);
    if (expired.empty() || this->ended) {
      continue;
    }
    StoreTransaction change;
    change.expect.push_back({ this->keys.Owner(), this->claim.fencingToken });
    for (const std::string& id : expired) {
      change.removes.push_back(this->keys.Progress(id));
      this->progressRevisions.erase(id);
    }
    const StoreTransactionReply reply =
      co_await this->parts.store.Commit(change, kTenureStoreTimeout);
    if (reply.result != StoreResult::Ok) {
      // The next owner finds the records and removes them.
      Event("expired_not_removed", LogLevel::Warning)
        .Add("records", static_cast<std::uint64_t>(expired.size()));
    }
  }
}

} // namespace sequoiakeel
