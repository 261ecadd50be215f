#include "CellOwnershipSession.h"

#include "HandOverTarget.h"
#include "StoreRecords.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <span>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

/** Interval at which the published capacities are read while tasks wait for
 * another cell. The regular reads are stale and 3 s apart, whereas a task has
 * to start within 3 s of the time at which there is capacity for it. */
constexpr std::chrono::milliseconds kCapacityReadInterval{ 1000 };

/** Interval at which a cell checks whether its capacity grew. */
constexpr std::chrono::milliseconds kCapacityCheckInterval{ 500 };

/** Limits the number of cells that have a part of one job, since a cancellation
 * is written for all of them in one transaction. */
constexpr std::size_t kMaxPartCells = 8;

/** Limits the hand-overs that are written before progress is written again.
 * Each takes up to four calls to the store. */
constexpr int kHandOversPerRound = 4;

/** Interval at which the offers that fit in no other cell are logged. */
constexpr std::chrono::milliseconds kOfferLogInterval{ 1000 };

/** Removes tasks from a list of tasks. */
void
RemoveTasks(std::vector<TaskRun>& aFrom, std::span<const TaskRun> aTasks)
{
  std::erase_if(aFrom, [aTasks](const TaskRun& aRow) {
    return std::any_of(
      aTasks.begin(), aTasks.end(), [&aRow](const TaskRun& aTask) {
        return aTask.step == aRow.step && aTask.index == aRow.index;
      });
  });
}

/** Returns whether all tasks are in a list of tasks. */
bool
HasTasks(std::span<const TaskRun> aRows, std::span<const TaskRun> aTasks)
{
  return std::all_of(
    aTasks.begin(), aTasks.end(), [aRows](const TaskRun& aTask) {
      return std::any_of(
        aRows.begin(), aRows.end(), [&aTask](const TaskRun& aRow) {
          return aTask.step == aRow.step && aTask.index == aRow.index;
        });
    });
}

/** Returns the revision of a key that a transaction expects, or kAbsentVersion
 * if it expects none. */
std::uint64_t
ExpectedRevision(const StoreTransaction& aChange, const std::string& aKey)
{
  for (const StoreExpectation& expectation : aChange.expect) {
    if (expectation.key == aKey) {
      return expectation.revision;
    }
  }
  return kAbsentVersion;
}

} // namespace

asio::awaitable<void>
CellOwnershipSession::LoadCapacities(ReadFreshness aFreshness)
{
  this->capacitiesReadAt = this->dependencies.clock.Now();
  const StoreRangeReply reply = co_await this->dependencies.store.Range(
    RoomsPrefix(), aFreshness, kSessionStoreTimeout);
  if (reply.result != StoreResult::Ok) {
    // Capacities that were read earlier may be outdated, so they are discarded.
    // Without capacities of other cells, no task is handed over.
    this->capacities.clear();
    Event("rooms_not_read", LogLevel::Warning).Add("cell", this->claim.cell);
    co_return;
  }
  for (const StoreItem& item : reply.items) {
    const std::string text = IdOfKey(item.key, RoomsPrefix());
    std::uint32_t cell = 0;
    const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), cell);
    const auto room = DecodeRecord<LongRunningCapacity>(item);
    if (parsed.ec == std::errc() && room && cell != this->claim.cell) {
      this->capacities[cell] = *room;
    }
  }
}

asio::awaitable<void>
CellOwnershipSession::PublishCapacity()
{
  while (!this->ended) {
    co_await SleepFor(this->dependencies.strand, kCapacityCheckInterval);
    const LongRunningCapacity capacity =
      this->scheduler.CapacityForLongRunning();
    if (!this->CanSendCommands() ||
        !HasLargerPiece(capacity, this->publishedCapacity)) {
      continue;
    }
    StoreTransaction change;
    change.expect = { { this->keys.Owner(), this->claim.fencingToken } };
    change.puts = { { this->keys.Room(), nlohmann::json(capacity).dump() } };
    const StoreTransactionReply reply =
      co_await this->dependencies.store.Commit(change, kSessionStoreTimeout);
    if (reply.result == StoreResult::Ok) {
      this->publishedCapacity = capacity;
    }
  }
}

asio::awaitable<void>
CellOwnershipSession::WriteHandOvers()
{
  if (this->dependencies.cells == 1 || !this->CanSendCommands() ||
      this->scheduler.HandOvers().empty()) {
    co_return;
  }
  if (this->dependencies.clock.Now() - this->capacitiesReadAt >
      kCapacityReadInterval) {
    co_await this->LoadCapacities(ReadFreshness::Linearizable);
  }
  int written = 0;
  std::uint64_t smallestWithoutTarget = UINT64_MAX;
  for (HandOver& handOver : this->scheduler.HandOvers()) {
    const auto target = ChooseHandOverTarget(this->capacities, handOver.demand);
    if (this->ended || written == kHandOversPerRound) {
      co_return;
    }
    if (!target) {
      smallestWithoutTarget =
        std::min(smallestWithoutTarget, handOver.demand.size.cpuMilli);
      continue;
    }
    ++written;
    handOver.tasks.resize(target->tasks);
    SubtractTasks(
      this->capacities[target->cell], handOver.demand, target->tasks);
    co_await this->WriteHandOver(handOver, target->cell);
  }
  this->LogOffersWithoutTarget(smallestWithoutTarget);
}

void
CellOwnershipSession::LogOffersWithoutTarget(std::uint64_t aSmallest)
{
  const TimePoint now = this->dependencies.clock.Now();
  if (aSmallest == UINT64_MAX ||
      now - this->offersLoggedAt < kOfferLogInterval) {
    return;
  }
  this->offersLoggedAt = now;
  std::uint64_t largestPiece = 0;
  for (const auto& [cell, capacity] : this->capacities) {
    for (const WorkerGroupCapacity& group : capacity.groups) {
      for (const FreePiece& piece : group.pieces) {
        largestPiece = std::max(largestPiece, piece.cpuMilli);
      }
    }
  }
  Event("offers_without_target", LogLevel::Warning)
    .Add("cell", this->claim.cell)
    .Add("smallest_milli", aSmallest)
    .Add("cells", static_cast<std::uint64_t>(this->capacities.size()))
    .Add("largest_piece_milli", largestPiece);
}

asio::awaitable<std::optional<CellOwnershipSession::HandOverRecords>>
CellOwnershipSession::ReadHandOverRecords(std::string aJob,
                                          std::uint32_t aOwnCell,
                                          std::uint32_t aCell)
{
  std::map<std::uint32_t, StoreItem> items;
  for (const std::uint32_t cell : { this->claim.cell, aOwnCell, aCell }) {
    if (items.contains(cell)) {
      continue;
    }
    const std::string key = WorkflowKeys(cell).Job(aJob);
    const StoreRangeReply read =
      co_await this->dependencies.store.Get(key, kSessionStoreTimeout);
    const bool required = cell != aCell || cell == aOwnCell;
    if (read.result != StoreResult::Ok || this->ended ||
        (required && read.items.empty())) {
      co_return std::nullopt;
    }
    items[cell].key = key;
    if (!read.items.empty()) {
      items[cell] = read.items.front();
    }
  }
  const HandOverRecords records{
    aOwnCell, items[this->claim.cell], items[aOwnCell], items[aCell]
  };
  co_return records;
}

StoreTransaction
CellOwnershipSession::HandOverTransaction(const HandOver& aHandOver,
                                          const WorkflowProgress& aProgress,
                                          HandOverRecords aRecords,
                                          std::uint32_t aCell) const
{
  const std::string& id = aHandOver.submission.id;
  const WorkflowKeys ownKeys(aRecords.ownCell);
  const bool fromOwn = aRecords.ownCell == this->claim.cell;
  const bool toOwn = aRecords.ownCell == aCell;
  const auto known = this->progressRevisions.find(id);
  StoreTransaction change;
  change.expect = {
    { this->keys.Owner(), this->claim.fencingToken },
    { this->keys.Progress(id),
      known == this->progressRevisions.end() ? kAbsentVersion : known->second },
    { this->keys.Cancellation(id), kAbsentVersion },
    { aRecords.own.key, aRecords.own.revision },
  };
  auto own = DecodeRecord<WorkflowSubmission>(aRecords.own);
  auto here = DecodeRecord<WorkflowSubmission>(aRecords.here);
  if (!own || !here) {
    return StoreTransaction{};
  }
  const WorkflowSubmission ownBefore = *own;
  if (fromOwn) {
    RemoveTasks(own->returned, aHandOver.tasks);
    change.puts.push_back(
      { this->keys.Progress(id), nlohmann::json(aProgress).dump() });
  } else {
    RemoveTasks(here->part, aHandOver.tasks);
    change.expect.push_back({ ownKeys.Cancellation(id), kAbsentVersion });
    change.expect.push_back({ aRecords.here.key, aRecords.here.revision });
    change.puts.push_back({ aRecords.here.key, nlohmann::json(*here).dump() });
  }
  if (toOwn) {
    own->returned.insert(
      own->returned.end(), aHandOver.tasks.begin(), aHandOver.tasks.end());
  } else {
    std::vector<std::uint32_t>& cells = own->partCells;
    if (std::find(cells.begin(), cells.end(), aCell) == cells.end()) {
      cells.push_back(aCell);
    }
    WorkflowSubmission part = aHandOver.submission;
    part.partial = true;
    part.ownCell = aRecords.ownCell;
    part.part.clear();
    part.partCells.clear();
    part.returned.clear();
    if (aRecords.target.revision == kAbsentVersion) {
      // A record of progress without a submission is that of an ended job.
      change.expect.push_back(
        { WorkflowKeys(aCell).Progress(id), kAbsentVersion });
    } else if (auto earlier =
                 DecodeRecord<WorkflowSubmission>(aRecords.target)) {
      part.part = std::move(earlier->part);
    } else {
      return StoreTransaction{};
    }
    part.part.insert(
      part.part.end(), aHandOver.tasks.begin(), aHandOver.tasks.end());
    change.expect.push_back({ aRecords.target.key, aRecords.target.revision });
    change.puts.push_back({ aRecords.target.key, nlohmann::json(part).dump() });
    if (cells.size() > kMaxPartCells) {
      return StoreTransaction{};
    }
  }
  if (!(*own == ownBefore)) {
    change.puts.push_back({ aRecords.own.key, nlohmann::json(*own).dump() });
  }
  return change;
}

asio::awaitable<std::optional<bool>>
CellOwnershipSession::CommitHandOver(HandOver aHandOver,
                                     StoreTransaction aChange)
{
  const std::string id = aHandOver.submission.id;
  const bool part = aHandOver.submission.partial;
  bool mayBeApplied = false;
  while (!this->ended) {
    const StoreTransactionReply reply =
      co_await this->dependencies.store.Commit(aChange, kSessionStoreTimeout);
    if (reply.result == StoreResult::Ok) {
      if (!part) {
        this->progressRevisions[id] = reply.revision;
      }
      co_return true;
    }
    if (reply.result == StoreResult::Conflict && !mayBeApplied) {
      co_return false;
    }
    if (reply.result == StoreResult::Conflict) {
      // An earlier attempt whose outcome is unknown may have been applied, so
      // that the conflict is with this owner's own write. The attempt moved all
      // tasks or none, and other cells may have returned some of them since.
      // Only this owner writes the progress of its cell and removes tasks from
      // its part, so these records tell.
      bool applied = false;
      for (const StoreItem& item : reply.current) {
        if (!part && item.key == this->keys.Progress(id)) {
          this->progressRevisions[id] = item.revision;
          applied = item.revision != ExpectedRevision(aChange, item.key);
        }
        if (item.key != this->keys.Job(id)) {
          continue;
        }
        const auto record = DecodeRecord<WorkflowSubmission>(item);
        applied =
          part ? record && !HasTasks(record->part, aHandOver.tasks) : applied;
        // Tasks that were returned become pending with their run numbers.
        this->HandleInboxItem(item);
      }
      co_return applied;
    }
    mayBeApplied = mayBeApplied || reply.result == StoreResult::Unknown;
    if (reply.result == StoreResult::Unavailable && !mayBeApplied) {
      co_return false;
    }
    co_await SleepFor(this->dependencies.strand, kSessionStoreRetryDelay);
  }
  // The next owner reads the outcome of the hand-over from the store.
  co_return std::nullopt;
}

asio::awaitable<void>
CellOwnershipSession::WriteHandOver(HandOver aHandOver, std::uint32_t aCell)
{
  const WorkflowSubmission& submission = aHandOver.submission;
  const std::uint32_t ownCell =
    submission.partial ? submission.ownCell : this->claim.cell;
  const auto records =
    co_await this->ReadHandOverRecords(submission.id, ownCell, aCell);
  if (!records) {
    co_return;
  }
  // Handles the record before tasks are removed from it, so that the watch,
  // which may deliver it later, does not add these tasks again.
  this->HandleInboxItem(records->here);
  const auto progress = this->scheduler.BeginHandOver(aHandOver);
  if (!progress) {
    co_return;
  }
  StoreTransaction change =
    this->HandOverTransaction(aHandOver, *progress, *records, aCell);
  std::optional<bool> written = false;
  if (!change.puts.empty()) {
    written = co_await this->CommitHandOver(aHandOver, std::move(change));
  }
  if (!written) {
    co_return;
  }
  if (!*written) {
    this->scheduler.CancelHandOver(aHandOver);
  }
  Event(*written ? "tasks_handed_over" : "tasks_not_handed_over",
        *written ? LogLevel::Info : LogLevel::Warning)
    .Add("job", submission.id)
    .Add("tasks", static_cast<std::uint64_t>(aHandOver.tasks.size()))
    .Add("from_cell", this->claim.cell)
    .Add("to_cell", aCell)
    .Add("own_cell", ownCell)
    .Add("cpu_milli", aHandOver.demand.size.cpuMilli);
}

} // namespace sequoiakeel
