#include "CellLog.h"

#include "CellCodec.h"

#include <algorithm>
#include <map>

namespace sequoiakeel {

namespace {

constexpr std::chrono::milliseconds kReadRetry{ 300 };

/** Upper bound of the encoded size of an entry without its strings. */
constexpr std::size_t kEntryBytes = 300;

std::size_t
SizeOf(const LogEntry& aEntry)
{
  std::size_t result = kEntryBytes + aEntry.job.size() + aEntry.worker.size() +
                       aEntry.rack.size() + aEntry.text.size();
  for (const JobSpec& spec : aEntry.spec) {
    result += spec.payload.size() + spec.team.size() + spec.taskClass.size() +
              spec.kind.size();
  }
  return result;
}

} // namespace

CellLog::CellLog(std::string aCell, std::string aWriter, Duration aGroupWindow)
  : cell(std::move(aCell))
  , writer(std::move(aWriter))
  , groupWindow(aGroupWindow)
  , snapshots(this->cell, this->writer)
{
}

void
CellLog::Reset()
{
  this->step = ReadStep::None;
  this->readId = 0;
  this->snapshotRows.clear();
  this->recovered.reset();
  this->slotVersions.fill(0);
  this->pending.clear();
  this->inFlight.reset();
  this->append.Reset();
  this->committed.clear();
  this->elapsedFrom.reset();
  this->ready = false;
  this->fenced = false;
  this->snapshots.Restart({}, 0);
}

void
CellLog::Recover(Outbox& aOutbox, [[maybe_unused]] TimePoint aNow)
{
  this->Reset();
  // The snapshot is read before the ring: if the snapshot is replaced between
  // the two reads, the ring has a gap after the old one, and both are read
  // again.
  this->ReadNext(aOutbox, ReadStep::Snapshot);
}

void
CellLog::ReadNext(Outbox& aOutbox, ReadStep aStep)
{
  this->step = aStep;
  StoreCommand range;
  range.verb = StoreVerb::Range;
  range.key = aStep == ReadStep::Snapshot ? SnapshotKey(this->cell)
                                          : LogPrefix(this->cell);
  this->readId = aOutbox.Send(std::move(range));
}

void
CellLog::RetryRead(TimePoint aNow)
{
  this->step = ReadStep::Waiting;
  this->readAgainAt = aNow + kReadRetry;
}

bool
CellLog::OnReadResult(Outbox& aOutbox,
                      const StoreReply& aResult,
                      TimePoint aNow)
{
  const bool reading =
    this->step == ReadStep::Snapshot || this->step == ReadStep::Ring;
  if (!reading || aResult.id != this->readId) {
    return false;
  }
  if (aResult.result != StoreResult::Ok) {
    this->RetryRead(aNow);
    return true;
  }
  if (this->step == ReadStep::Snapshot) {
    this->snapshotRows = aResult.rows;
    this->ReadNext(aOutbox, ReadStep::Ring);
    return true;
  }
  if (!this->AcceptRing(aResult.rows)) {
    this->RetryRead(aNow);
    return true;
  }
  this->step = ReadStep::None;
  return true;
}

bool
CellLog::AcceptRing(const std::vector<StoreValue>& aRows)
{
  RecoveredLog result;
  result.snapshot = ReadSnapshot(this->cell, this->snapshotRows);
  std::map<std::uint64_t, LogRecord> later;
  this->slotVersions.fill(0);
  for (const StoreValue& row : aRows) {
    auto record = DecodeBinary<LogRecord>(row.value);
    InternalAssert(LogKey(this->cell, record.sequence) == row.key,
                   "a log record is in the wrong slot");
    this->slotVersions[record.sequence % kLogSlots] = row.version;
    if (record.sequence > result.snapshot.sequence) {
      later.emplace(record.sequence, std::move(record));
    }
  }
  this->lastSequence = result.snapshot.sequence;
  for (auto& [sequence, record] : later) {
    if (sequence != this->lastSequence + 1) {
      return false;
    }
    this->lastSequence = sequence;
    result.records.push_back(std::move(record));
  }
  this->snapshots.Restart(this->snapshotRows, result.snapshot.sequence);
  this->snapshotRows.clear();
  this->recovered = std::move(result);
  this->ready = true;
  return true;
}

std::optional<RecoveredLog>
CellLog::TakeRecovered()
{
  std::optional<RecoveredLog> result = std::move(this->recovered);
  this->recovered.reset();
  return result;
}

void
CellLog::SetOwner(std::uint64_t aEpoch, std::string aOwner)
{
  this->epoch = aEpoch;
  this->owner = std::move(aOwner);
}

void
CellLog::Append(LogEntry aEntry)
{
  InternalAssert(this->ready, "the log has not been read");
  this->pending.push_back(std::move(aEntry));
}

bool
CellLog::SlotIsFree() const
{
  // The slot's old record may be overwritten only once a snapshot covers it.
  return this->lastSequence + 1 <= this->snapshots.Covered() + kLogSlots;
}

LogRecord
CellLog::BuildRecord(TimePoint aNow)
{
  LogRecord record;
  record.sequence = this->lastSequence + 1;
  record.epoch = this->epoch;
  record.owner = this->owner;
  record.writeId = this->writer + "/" + std::to_string(++this->writes);
  const Duration elapsed =
    this->elapsedFrom ? aNow - *this->elapsedFrom : Duration{};
  record.elapsedMs = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count());
  this->elapsedFrom = aNow;
  std::size_t bytes = 0;
  while (!this->pending.empty()) {
    bytes += SizeOf(this->pending.front());
    if (bytes > kMaxStoredBytes && !record.entries.empty()) {
      break;
    }
    record.entries.push_back(std::move(this->pending.front()));
    this->pending.pop_front();
  }
  return record;
}

void
CellLog::Flush(Outbox& aOutbox, TimePoint aNow)
{
  if (!this->ready || this->fenced || this->inFlight || this->pending.empty()) {
    return;
  }
  if (aNow - this->lastBuilt < this->groupWindow || !this->SlotIsFree()) {
    return;
  }
  this->lastBuilt = aNow;
  this->inFlight = this->BuildRecord(aNow);
  const std::uint64_t sequence = this->inFlight->sequence;
  std::string bytes = EncodeBinary(*this->inFlight);
  this->lastRecordBytes = bytes.size();
  this->append.Start(aOutbox,
                     LogKey(this->cell, sequence),
                     std::move(bytes),
                     this->slotVersions[sequence % kLogSlots]);
}

void
CellLog::Tick(Outbox& aOutbox, TimePoint aNow)
{
  if (this->step == ReadStep::Waiting && aNow >= this->readAgainAt) {
    this->ReadNext(aOutbox, ReadStep::Snapshot);
  }
  this->append.Tick(aOutbox, aNow);
  this->snapshots.Tick(aOutbox, aNow);
  this->Flush(aOutbox, aNow);
}

bool
CellLog::OnResult(Outbox& aOutbox, const StoreReply& aResult, TimePoint aNow)
{
  if (this->OnReadResult(aOutbox, aResult, aNow)) {
    return true;
  }
  if (this->append.OnResult(aOutbox, aResult, aNow)) {
    this->OnAppendResolved();
    return true;
  }
  if (this->snapshots.OnResult(aOutbox, aResult, aNow)) {
    this->fenced = this->fenced || this->snapshots.Fenced();
    return true;
  }
  return false;
}

void
CellLog::OnAppendResolved()
{
  if (this->append.Current() == CasWrite::State::Superseded) {
    this->fenced = true;
    return;
  }
  if (this->append.Current() != CasWrite::State::Applied) {
    return;
  }
  this->lastSequence = this->inFlight->sequence;
  this->slotVersions[this->lastSequence % kLogSlots] = this->append.Version();
  this->committed.push_back(std::move(*this->inFlight));
  this->inFlight.reset();
}

std::vector<LogRecord>
CellLog::TakeCommitted()
{
  return std::exchange(this->committed, {});
}

bool
CellLog::WantsSnapshot() const
{
  return this->ready && !this->fenced && !this->snapshots.Busy() &&
         this->lastSequence >= this->snapshots.Covered() + kSnapshotInterval;
}

void
CellLog::WriteSnapshot(Outbox& aOutbox, const CellSnapshot& aSnapshot)
{
  this->snapshots.Start(aOutbox, aSnapshot);
}

std::size_t
CellLog::Uncommitted() const
{
  return this->pending.size() +
         (this->inFlight ? this->inFlight->entries.size() : 0);
}

} // namespace sequoiakeel
