#pragma once

#include "CasWrite.h"
#include "CellKeys.h"
#include "CellSnapshotWriter.h"
#include "generated/Cell.h"

#include <array>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace sequoiakeel {

/** A snapshot is due after this many records. */
constexpr std::uint64_t kSnapshotInterval = 32;

/** Contents of the store that a recovery has read. */
struct RecoveredLog
{
  CellSnapshot snapshot;
  /** Records after the snapshot, in order, without a gap. */
  std::vector<LogRecord> records;
};

/**
 * The cell log: a ring of slots in the store, one record a slot, written by
 * compare-and-swap on the version last seen in that slot. Entries that arrive
 * within the group window share a record. At most one record is in flight; its
 * bytes stay the same when the write is retried. Not thread safe.
 */
class CellLog
{
public:
  /** aWriter must be unique among all processes, across their restarts. */
  CellLog(std::string aCell, std::string aWriter, Duration aGroupWindow);

  /** Discards all state in memory, then starts to read the snapshot and the
   * ring from the store. */
  void Recover(Outbox& aOutbox, TimePoint aNow);

  /** Discards all state in memory. */
  void Reset();

  /** Returns the result of a completed recovery, once; afterwards nullopt. */
  std::optional<RecoveredLog> TakeRecovered();

  /** Sets the epoch and owner that the following records contain. Call after a
   * recovery, before the first Append. */
  void SetOwner(std::uint64_t aEpoch, std::string aOwner);

  /** Adds an entry to the next record. A recovery must have completed. */
  void Append(LogEntry aEntry);

  /** Sends the reads and writes that are due. */
  void Tick(Outbox& aOutbox, TimePoint aNow);

  /** Handles a reply of the store; returns whether it answers a command of this
   * log. */
  bool OnResult(Outbox& aOutbox, const StoreReply& aResult, TimePoint aNow);

  /** Returns the records known to have taken effect since the last call. */
  std::vector<LogRecord> TakeCommitted();

  /** Whether another owner has written to the log. If so, this object writes
   * nothing more. */
  bool Fenced() const { return this->fenced; }

  /** Whether the caller should call WriteSnapshot now. */
  bool WantsSnapshot() const;

  /** Writes a snapshot of the committed state. No write may be in progress. */
  void WriteSnapshot(Outbox& aOutbox, const CellSnapshot& aSnapshot);

  bool SnapshotBusy() const { return this->snapshots.Busy(); }
  std::uint64_t SnapshotCovers() const { return this->snapshots.Covered(); }

  /** Entries that are not yet known to have taken effect. */
  std::size_t Uncommitted() const;

  /** Bytes of the last record sent. */
  std::size_t LastRecordBytes() const { return this->lastRecordBytes; }

private:
  enum class ReadStep : std::uint8_t
  {
    None,
    Snapshot,
    Ring,
    Waiting,
  };

  void ReadNext(Outbox& aOutbox, ReadStep aStep);
  void RetryRead(TimePoint aNow);
  bool OnReadResult(Outbox& aOutbox, const StoreReply& aResult, TimePoint aNow);
  bool AcceptRing(const std::vector<StoreValue>& aRows);
  void OnAppendResolved();
  bool SlotIsFree() const;
  void Flush(Outbox& aOutbox, TimePoint aNow);
  LogRecord BuildRecord(TimePoint aNow);

  std::string cell;
  std::string writer;
  Duration groupWindow;

  ReadStep step = ReadStep::None;
  std::uint64_t readId = 0;
  TimePoint readAgainAt;
  std::vector<StoreValue> snapshotRows;
  std::optional<RecoveredLog> recovered;

  std::array<std::uint64_t, kLogSlots> slotVersions{};
  std::uint64_t lastSequence = 0;
  std::uint64_t epoch = 0;
  std::string owner;
  std::uint64_t writes = 0;

  std::deque<LogEntry> pending;
  std::optional<LogRecord> inFlight;
  CasWrite append;
  std::vector<LogRecord> committed;
  TimePoint lastBuilt;
  std::optional<TimePoint> elapsedFrom;
  std::size_t lastRecordBytes = 0;
  bool ready = false;
  bool fenced = false;
  CellSnapshotWriter snapshots;
};

} // namespace sequoiakeel
