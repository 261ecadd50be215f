#include "CellSnapshotWriter.h"

#include "CellCodec.h"
#include "CellKeys.h"

namespace sequoiakeel {

namespace {

/** Leaves 1000 bytes for the other fields of a head or part. */
constexpr std::size_t kMaxBodyBytes = kMaxStoredBytes - 1000;

std::size_t
PartCount(std::size_t aBytes)
{
  return aBytes <= kMaxBodyBytes ? 0
                                 : (aBytes + kMaxBodyBytes - 1) / kMaxBodyBytes;
}

} // namespace

CellSnapshot
ReadSnapshot(const std::string& aCell, std::span<const StoreValue> aRows)
{
  std::map<std::string_view, const StoreValue*> byKey;
  for (const StoreValue& row : aRows) {
    byKey[row.key] = &row;
  }
  const std::string headKey = SnapshotKey(aCell);
  const auto headRow = byKey.find(headKey);
  if (headRow == byKey.end()) {
    return {};
  }
  const auto head = DecodeBinary<SnapshotHead>(headRow->second->value);
  if (head.parts == 0) {
    return DecodeBinary<CellSnapshot>(head.body);
  }
  std::string body;
  for (std::uint32_t index = 0; index < head.parts; ++index) {
    const std::string key = head.partPrefix + std::to_string(index);
    const auto found = byKey.find(key);
    UserAssert(found != byKey.end(), "a part of the snapshot is missing");
    const auto part = DecodeBinary<SnapshotPart>(found->second->value);
    UserAssert(part.writeId == head.writeId,
               "a part of the snapshot belongs to another snapshot");
    body += part.body;
  }
  return DecodeBinary<CellSnapshot>(body);
}

CellSnapshotWriter::CellSnapshotWriter(std::string aCell, std::string aWriter)
  : cell(std::move(aCell))
  , writer(std::move(aWriter))
{
}

void
CellSnapshotWriter::Restart(std::span<const StoreValue> aRows,
                            std::uint64_t aSequence)
{
  this->write.Reset();
  this->busy = false;
  this->fenced = false;
  this->covered = aSequence;
  this->versions.clear();
  this->obsoleteParts.clear();
  for (const StoreValue& row : aRows) {
    this->versions[row.key] = row.version;
    if (row.key != SnapshotKey(this->cell)) {
      this->obsoleteParts.push_back(row.key);
    }
  }
}

std::string
CellSnapshotWriter::PartKey(std::size_t aPart) const
{
  return this->head.partPrefix + std::to_string(aPart);
}

void
CellSnapshotWriter::Start(Outbox& aOutbox, const CellSnapshot& aSnapshot)
{
  InternalAssert(!this->busy, "a snapshot is being written");
  this->busy = true;
  this->body = EncodeBinary(aSnapshot);
  this->partsWritten = 0;
  this->head = SnapshotHead{};
  this->head.sequence = aSnapshot.sequence;
  this->head.epoch = aSnapshot.epoch;
  this->head.writeId = this->writer + "/" + std::to_string(++this->writes);
  this->head.parts = static_cast<std::uint32_t>(PartCount(this->body.size()));
  if (this->head.parts > 0) {
    this->partSet = 1 - this->partSet;
    this->head.partPrefix = SnapshotKey(this->cell) + "/" +
                            std::to_string(aSnapshot.epoch) + "-" +
                            std::to_string(this->partSet) + "/";
  }
  this->Proceed(aOutbox);
}

void
CellSnapshotWriter::Proceed(Outbox& aOutbox)
{
  if (this->partsWritten >= this->head.parts) {
    this->WriteHead(aOutbox);
    return;
  }
  SnapshotPart part;
  part.writeId = this->head.writeId;
  part.body =
    this->body.substr(this->partsWritten * kMaxBodyBytes, kMaxBodyBytes);
  const std::string key = this->PartKey(this->partsWritten);
  this->write.Start(aOutbox, key, EncodeBinary(part), this->versions[key]);
}

void
CellSnapshotWriter::WriteHead(Outbox& aOutbox)
{
  if (this->head.parts == 0) {
    this->head.body = this->body;
  }
  const std::string key = SnapshotKey(this->cell);
  this->write.Start(
    aOutbox, key, EncodeBinary(this->head), this->versions[key]);
}

bool
CellSnapshotWriter::OnResult(Outbox& aOutbox,
                             const StoreReply& aResult,
                             TimePoint aNow)
{
  if (!this->write.OnResult(aOutbox, aResult, aNow)) {
    return false;
  }
  if (this->write.Current() == CasWrite::State::Superseded) {
    this->OnSuperseded(aOutbox);
    return true;
  }
  if (this->write.Current() != CasWrite::State::Applied) {
    return true;
  }
  this->versions[this->write.Key()] = this->write.Version();
  if (this->write.Key() == SnapshotKey(this->cell)) {
    this->OnHeadApplied(aOutbox);
    return true;
  }
  ++this->partsWritten;
  this->Proceed(aOutbox);
  return true;
}

void
CellSnapshotWriter::OnHeadApplied(Outbox& aOutbox)
{
  this->busy = false;
  this->covered = this->head.sequence;
  this->body.clear();
  this->head.body.clear();
  // The obsolete parts can be removed: the new head does not refer to the parts
  // of an earlier owner, and a delayed write of that owner's head can no longer
  // take effect.
  for (const std::string& key : this->obsoleteParts) {
    StoreCommand remove;
    remove.verb = StoreVerb::Delete;
    remove.key = key;
    remove.expectedVersion = this->versions[key];
    aOutbox.Send(std::move(remove));
    this->versions.erase(key);
  }
  this->obsoleteParts.clear();
}

void
CellSnapshotWriter::OnSuperseded(Outbox& aOutbox)
{
  const StoreValue& other = this->write.Other();
  const bool isHead = other.key == SnapshotKey(this->cell);
  if (!isHead || other.version == 0) {
    this->busy = false;
    this->fenced = true;
    return;
  }
  const auto otherHead = DecodeBinary<SnapshotHead>(other.value);
  if (otherHead.epoch >= this->head.epoch) {
    this->busy = false;
    this->fenced = true;
    return;
  }
  // A delayed write of an earlier owner has replaced the head. Its snapshot
  // covers fewer records than this one, so it is overwritten.
  this->versions[other.key] = other.version;
  this->WriteHead(aOutbox);
}

void
CellSnapshotWriter::Tick(Outbox& aOutbox, TimePoint aNow)
{
  this->write.Tick(aOutbox, aNow);
}

} // namespace sequoiakeel
