#pragma once

#include "CasWrite.h"
#include "generated/Cell.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Maximum size of a value that is written to the store, whose own limit is
 * 1 MB. */
constexpr std::size_t kMaxStoredBytes = 900'000;

/** Joins the rows of a range read of the snapshot's prefix. Returns an empty
 * snapshot if there is none. Throws UserError if the rows do not form a whole
 * snapshot. Thread safe. */
CellSnapshot
ReadSnapshot(const std::string& aCell, std::span<const StoreValue> aRows);

/**
 * Writes snapshots of one cell. A snapshot over kMaxStoredBytes is split into
 * parts, which are written before the head that refers to them. The keys of
 * parts contain the epoch, so owners never write to each other's parts. Not
 * thread safe.
 */
class CellSnapshotWriter
{
public:
  CellSnapshotWriter(std::string aCell, std::string aWriter);

  /** Loads the rows that a recovery has read. Abandons a write in progress. */
  void Restart(std::span<const StoreValue> aRows, std::uint64_t aSequence);

  /** Starts to write aSnapshot. No write may be in progress. */
  void Start(Outbox& aOutbox, const CellSnapshot& aSnapshot);

  /** Handles a reply of the store; returns whether it answers a command of this
   * writer. */
  bool OnResult(Outbox& aOutbox, const StoreReply& aResult, TimePoint aNow);

  /** Retries a write whose retry is due. */
  void Tick(Outbox& aOutbox, TimePoint aNow);

  bool Busy() const { return this->busy; }
  /** Whether an owner with a later epoch has written a snapshot. */
  bool Fenced() const { return this->fenced; }
  /** Sequence number of the last record that is contained in the newest
   * snapshot known to be stored. */
  std::uint64_t Covered() const { return this->covered; }

private:
  std::string PartKey(std::size_t aPart) const;
  void Proceed(Outbox& aOutbox);
  void WriteHead(Outbox& aOutbox);
  void OnHeadApplied(Outbox& aOutbox);
  void OnSuperseded(Outbox& aOutbox);

  std::string cell;
  std::string writer;
  CasWrite write;
  std::map<std::string, std::uint64_t> versions;
  std::vector<std::string> obsoleteParts;
  SnapshotHead head;
  std::string body;
  std::size_t partsWritten = 0;
  std::uint32_t partSet = 0;
  std::uint64_t covered = 0;
  std::uint64_t writes = 0;
  bool busy = false;
  bool fenced = false;
};

} // namespace sequoiakeel
