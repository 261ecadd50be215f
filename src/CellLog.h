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

/** What a recovery has read. */
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
 * bytes are never changed. Not thread safe.
 */
class CellLog
{
public:
  /** aWriter is unique over all processes and their restarts. */
  CellLog(std::string aCell, std::string aWriter, Duration aGroupWindow);

  /** Forgets everything, then reads the snapshot and the ring. */
  void Recover(Outbox& aOutbox, TimePoint aNow);

  /** Forgets everything. */
  void Reset();

  /** Returns once what a recovery has read. */
  std::optional<RecoveredLog> TakeRecovered();

  /** Sets what the next records carry. Call after a recovery, before the first
   * Append. */
  void SetOwner(std::uint64_t aEpoch, std::string aOwner);

  /** Adds an entry to the next record. A recovery must have ended. */
  void Append(LogEntry aEntry);

  /** Sends what is due. */
  void Tick(Outbox& aOutbox, TimePoint aNow);

  /** Takes a result; returns whether it belonged to the log. */
  bool OnResult(Outbox& aOutbox, const StoreReply& aResult, TimePoint aNow);

  /** Returns the records known to have taken effect since the last call. */
  std::vector<LogRecord> TakeCommitted();

  /** Whether another owner has written to the log. Nothing is sent any more. */
  bool Fenced() const { return this->fenced; }

  /** Whether a snapshot should be offered. */
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
  LogRecord CutRecord(TimePoint aNow);

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
  TimePoint lastCut;
  std::optional<TimePoint> elapsedFrom;
  std::size_t lastRecordBytes = 0;
  bool ready = false;
  bool fenced = false;
  CellSnapshotWriter snapshots;
};

} // namespace sequoiakeel
