#include "CellOwnershipSession.h"

#include "CellBalance.h"
#include "StoreRecords.h"

#include <algorithm>
#include <charconv>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

/** Free capacity that another cell must have for each task that is handed over,
 * as a multiple of the task's size. The free capacity is spread over several
 * workers, and the cell's own tasks need part of it. */
constexpr std::uint64_t kCapacityFactor = 2;

} // namespace

asio::awaitable<void>
CellOwnershipSession::LoadCapacities()
{
  const StoreRangeReply reply = co_await this->dependencies.store.Range(
    RoomsPrefix(), ReadFreshness::Stale, kSessionStoreTimeout);
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

std::optional<std::uint32_t>
CellOwnershipSession::FindCellWithCapacity(const HandOver& aHandOver) const
{
  for (const std::uint32_t cell :
       CandidateCells(aHandOver.submission.id, this->dependencies.cells)) {
    const auto room = this->capacities.find(cell);
    if (cell == this->claim.cell || room == this->capacities.end()) {
      continue;
    }
    const LongRunningCapacity& size = aHandOver.size;
    const bool fits = room->second.cpuMilli >= size.cpuMilli &&
                      room->second.memoryMb >= size.memoryMb;
    const std::uint64_t wanted =
      kCapacityFactor * aHandOver.tasks.size() * size.cpuMilli;
    if (fits && room->second.freeCpuMilli >= wanted) {
      return cell;
    }
  }
  return std::nullopt;
}

asio::awaitable<void>
CellOwnershipSession::WriteHandOvers()
{
  if (this->dependencies.cells == 1 || !this->CanSendCommands()) {
    co_return;
  }
  for (const HandOver& handOver : this->scheduler.HandOvers()) {
    const std::optional<std::uint32_t> cell =
      this->FindCellWithCapacity(handOver);
    if (!cell) {
      continue;
    }
    LongRunningCapacity& room = this->capacities[*cell];
    room.freeCpuMilli -= handOver.tasks.size() * handOver.size.cpuMilli;
    co_await this->WriteHandOver(handOver, *cell);
    if (this->ended) {
      co_return;
    }
  }
}

asio::awaitable<void>
CellOwnershipSession::WriteHandOver(HandOver aHandOver, std::uint32_t aCell)
{
  const std::string id = aHandOver.submission.id;
  const WorkflowKeys other(aCell);
  const StoreRangeReply read =
    co_await this->dependencies.store.Get(other.Job(id), kSessionStoreTimeout);
  if (read.result != StoreResult::Ok || this->ended) {
    co_return;
  }
  // The other cell writes progress for a part that it already has. If that part
  // has ended, so has the job.
  const StoreRangeReply ran = co_await this->dependencies.store.Get(
    other.Progress(id), kSessionStoreTimeout);
  if (ran.result != StoreResult::Ok || this->ended) {
    co_return;
  }
  std::uint64_t partRevision = kAbsentVersion;
  if (!ran.items.empty()) {
    const auto record = DecodeRecord<WorkflowProgress>(ran.items.front());
    if (!record || record->endedUnixMs > 0) {
      co_return;
    }
    partRevision = ran.items.front().revision;
  }
  WorkflowSubmission part = aHandOver.submission;
  part.part.clear();
  std::uint64_t revision = kAbsentVersion;
  if (!read.items.empty()) {
    const auto earlier = DecodeRecord<WorkflowSubmission>(read.items.front());
    if (!earlier) {
      co_return;
    }
    part.part = earlier->part;
    revision = read.items.front().revision;
  }
  part.part.insert(
    part.part.end(), aHandOver.tasks.begin(), aHandOver.tasks.end());
  const auto progress = this->scheduler.BeginHandOver(aHandOver);
  if (!progress) {
    co_return;
  }
  const std::string value = nlohmann::json(part).dump();
  const auto known = this->progressRevisions.find(id);
  StoreTransaction change;
  change.expect = {
    { this->keys.Owner(), this->claim.fencingToken },
    { this->keys.Progress(id),
      known == this->progressRevisions.end() ? kAbsentVersion : known->second },
    { this->keys.Cancellation(id), kAbsentVersion },
    { other.Job(id), revision },
    { other.Progress(id), partRevision },
  };
  change.puts = { { this->keys.Progress(id), nlohmann::json(*progress).dump() },
                  { other.Job(id), value } };
  bool mayBeApplied = false;
  while (!this->ended) {
    const StoreTransactionReply reply =
      co_await this->dependencies.store.Commit(change, kSessionStoreTimeout);
    std::optional<std::uint64_t> written;
    if (reply.result == StoreResult::Ok) {
      written = reply.revision;
    }
    for (const StoreItem& item : reply.current) {
      // If the outcome of an earlier attempt is unknown, that attempt may have
      // been applied, and the conflict may be with this owner's own write.
      if (mayBeApplied && item.key == other.Job(id) && item.value == value) {
        written = item.revision;
      }
    }
    if (written) {
      this->progressRevisions[id] = *written;
      Event("tasks_handed_over")
        .Add("job", id)
        .Add("tasks", static_cast<std::uint64_t>(aHandOver.tasks.size()))
        .Add("from_cell", this->claim.cell)
        .Add("to_cell", aCell)
        .Add("cpu_milli", aHandOver.size.cpuMilli);
      co_return;
    }
    mayBeApplied = mayBeApplied || reply.result == StoreResult::Unknown;
    const bool settled =
      reply.result == StoreResult::Conflict ||
      (reply.result == StoreResult::Unavailable && !mayBeApplied);
    if (settled) {
      break;
    }
    co_await SleepFor(this->dependencies.strand, kSessionStoreRetryDelay);
  }
  if (this->ended) {
    // The next owner reads the outcome of the hand-over from the store.
    co_return;
  }
  Event("tasks_not_handed_over", LogLevel::Warning)
    .Add("job", id)
    .Add("to_cell", aCell);
  this->scheduler.CancelHandOver(aHandOver);
}

} // namespace sequoiakeel
