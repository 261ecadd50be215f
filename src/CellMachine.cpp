#include "CellMachine.h"

#include "CellCodec.h"
#include "CellKeys.h"
#include "Log.h"

namespace sequoiakeel {

namespace {

constexpr std::chrono::milliseconds kClaimInterval{ 1000 };

/** While worker keys are still to be released, a snapshot is deferred until the
 * log is this many records ahead of the last one: a new owner learns from the
 * log records, not from the snapshot, which keys it has to release. */
constexpr std::uint64_t kLatestSnapshot = 48;

} // namespace

std::string_view
ToString(CellPhase aPhase)
{
  constexpr std::string_view kNames[] = { "idle",    "reading",  "announcing",
                                          "active",  "draining", "releasing",
                                          "released" };
  return kNames[static_cast<std::size_t>(aPhase)];
}

CellMachine::CellMachine(CellOptions aOptions, CellPolicies& aPolicies)
  : options(std::move(aOptions))
  , policies(aPolicies)
  , log(this->options.cell, this->options.writer, this->options.groupWindow)
{
}

void
CellMachine::SetRules(CellRules aRules)
{
  this->rules = std::move(aRules);
  this->unplaceable.clear();
}

void
CellMachine::OnStoreReports(TimePoint aNow,
                            bool aMajorityReachable,
                            bool aMajorityUnreachable)
{
  this->gate.OnStoreReports(aNow, aMajorityReachable, aMajorityUnreachable);
}

void
CellMachine::OnStoreLease(std::uint64_t aLease, TimePoint aValidUntil)
{
  if (aLease != this->storeLease) {
    // The owner key was attached to the old lease and is deleted with it.
    this->ownerHeld = false;
    this->ownerWrite.Reset();
  }
  this->storeLease = aLease;
  this->leaseValidUntil = aValidUntil;
}

bool
CellMachine::Serving() const
{
  return this->phase == CellPhase::Active || this->phase == CellPhase::Draining;
}

bool
CellMachine::OwnsWithValidLease(TimePoint aNow) const
{
  return this->Serving() && this->ownerHeld && aNow < this->leaseValidUntil;
}

void
CellMachine::Drain()
{
  this->drainWanted = true;
}

void
CellMachine::Tick(TimePoint aNow)
{
  this->gate.Observe(aNow, this->OwnsWithValidLease(aNow));
  this->TickOwnership(aNow);
  if (this->phase == CellPhase::Idle || this->phase == CellPhase::Released) {
    return;
  }
  if (this->Serving()) {
    this->TickWorkers(aNow);
    this->TickTasks(aNow);
    this->Place(aNow);
    this->Relieve(aNow);
  }
  this->MaybeSnapshot();
  this->log.Tick(this->outbox, aNow);
  this->TickDraining();
}

void
CellMachine::TickOwnership(TimePoint aNow)
{
  if (this->phase == CellPhase::Releasing ||
      this->phase == CellPhase::Released) {
    return;
  }
  if (this->drainWanted && this->phase == CellPhase::Idle) {
    this->ReleaseOwnership();
    return;
  }
  this->ownerWrite.Tick(this->outbox, aNow);
  const bool leaseValid = this->storeLease != 0 && aNow < this->leaseValidUntil;
  const bool wanted = this->candidate || this->phase != CellPhase::Idle;
  if (!this->ownerHeld && wanted && leaseValid && !this->ownerWrite.Busy() &&
      aNow >= this->claimAgainAt) {
    OwnerRecord record;
    record.owner = this->options.planner;
    // All claims under one store lease have the same write id, so that a claim
    // that took effect late is recognized as this planner's own.
    record.writeId =
      this->options.writer + "/claim/" + std::to_string(this->storeLease);
    record.address = this->options.peer.address;
    record.port = this->options.peer.port;
    this->ownerWrite.Start(this->outbox,
                           OwnerKey(this->options.cell),
                           EncodeBinary(record),
                           kAbsentVersion,
                           this->storeLease);
  }
  if (this->phase == CellPhase::Idle && this->ownerHeld) {
    this->phase = CellPhase::Reading;
    this->log.Recover(this->outbox, aNow);
  }
}

void
CellMachine::OnOwnerWrite(TimePoint aNow)
{
  if (this->ownerWrite.Current() == CasWrite::State::Applied) {
    this->ownerHeld = true;
    this->ownerVersion = this->ownerWrite.Version();
    return;
  }
  if (this->ownerWrite.Current() != CasWrite::State::Superseded) {
    return;
  }
  this->claimAgainAt = aNow + kClaimInterval;
  const StoreValue& other = this->ownerWrite.Other();
  if (this->phase == CellPhase::Idle || other.version == kAbsentVersion) {
    return;
  }
  const auto record = DecodeBinary<OwnerRecord>(other.value);
  if (!record.writeId.starts_with(this->options.writer + "/")) {
    this->StepDown("another planner holds the owner key");
  }
}

void
CellMachine::OnStoreReply(const StoreReply& aReply, TimePoint aNow)
{
  if (this->ownerWrite.OnResult(this->outbox, aReply, aNow)) {
    this->OnOwnerWrite(aNow);
    return;
  }
  if (this->log.OnResult(this->outbox, aReply, aNow)) {
    if (this->log.Fenced()) {
      this->StepDown("fenced");
      return;
    }
    if (auto recovered = this->log.TakeRecovered()) {
      this->OnRecovered(*recovered, aNow);
    }
    this->OnCommitted(aNow);
    return;
  }
  const auto handler = this->storeHandlers.extract(aReply.id);
  if (!handler.empty()) {
    handler.mapped()(aReply, aNow);
    return;
  }
  for (auto& [name, link] : this->links) {
    if (link.claim.OnResult(this->outbox, aReply, aNow)) {
      return;
    }
  }
}

void
CellMachine::OnWorkerReply(const WorkerReply& aReply, TimePoint aNow)
{
  const auto handler = this->workerHandlers.extract(aReply.id);
  if (handler.empty() || !this->Serving()) {
    ++this->staleReplies;
    return;
  }
  handler.mapped()(aReply, aNow);
}

void
CellMachine::SendStore(StoreCommand aCommand, StoreHandler aHandler)
{
  const std::uint64_t id = this->outbox.Send(std::move(aCommand));
  this->storeHandlers.emplace(id, std::move(aHandler));
}

void
CellMachine::SendWorker(WorkerCommand aCommand, WorkerHandler aHandler)
{
  const std::uint64_t id = this->outbox.Send(std::move(aCommand));
  this->workerHandlers.emplace(id, std::move(aHandler));
}

void
CellMachine::Propose(LogEntry aEntry, Effect aEffect)
{
  this->working.Apply(aEntry);
  this->log.Append(std::move(aEntry));
  ++this->proposed;
  if (aEffect) {
    this->effects.emplace_back(this->proposed, std::move(aEffect));
  }
}

void
CellMachine::OnRecovered(const RecoveredLog& aLog, TimePoint aNow)
{
  this->committed = CellState(aLog.snapshot);
  for (const LogRecord& record : aLog.records) {
    this->committed.ApplyRecord(record);
    for (const LogEntry& entry : record.entries) {
      if (entry.kind == LogEntryKind::WorkerRemoved) {
        this->keyReleases[entry.worker] = aNow;
      }
      if (entry.kind == LogEntryKind::WorkerAdded) {
        this->keyReleases.erase(entry.worker);
      }
    }
  }
  this->working = this->committed;
  this->phase = CellPhase::Announcing;
  const std::uint64_t epoch = this->committed.Epoch() + 1;
  this->log.SetOwner(epoch, this->options.planner);
  LogEntry entry;
  entry.kind = LogEntryKind::OwnerChanged;
  entry.epoch = epoch;
  entry.text = this->options.planner;
  this->Propose(std::move(entry),
                [this](TimePoint aThen) { this->BecomeActive(aThen); });
  this->log.Tick(this->outbox, aNow);
}

void
CellMachine::BecomeActive(TimePoint aNow)
{
  this->phase = CellPhase::Active;
  this->activeSince = aNow;
  this->history.Count("cell_owned");
  Event("cell_owned")
    .Add("cell", this->options.cell)
    .Add("epoch", this->working.Epoch())
    .Add("jobs", static_cast<std::uint64_t>(this->working.OpenJobs()))
    .Add("workers", static_cast<std::uint64_t>(this->working.Workers().size()));
  for (const auto& [name, row] : this->working.Workers()) {
    WorkerLink& link = this->links[name];
    link.endpoint.address = row.address;
    link.endpoint.port = row.port;
    link.rack = row.rack;
    link.claimed = true;
    link.lastListed = aNow;
    link.lastRenewal = aNow;
  }
  for (const auto& [id, job] : this->working.Jobs()) {
    if (job.row.ended) {
      continue;
    }
    this->queuedSince[id] = aNow;
    for (const auto& [index, task] : job.tasks) {
      const bool toStop =
        job.row.cancelled || task.phase == TaskPhase::Evicting;
      if (toStop && task.phase != TaskPhase::Queued) {
        this->attention.insert(TaskRef{ id, index });
      }
    }
  }
}

void
CellMachine::StepDown(const char* aReason)
{
  if (this->phase == CellPhase::Idle) {
    return;
  }
  this->history.Count("cell_lost");
  Event("cell_lost", LogLevel::Warning)
    .Add("cell", this->options.cell)
    .Add("phase", ToString(this->phase))
    .Add("reason", aReason);
  this->phase = CellPhase::Idle;
  this->log.Reset();
  this->working = CellState();
  this->committed = CellState();
  this->proposed = 0;
  this->durable = 0;
  this->effects.clear();
  this->workerHandlers.clear();
  this->storeHandlers.clear();
  this->links.clear();
  this->keyReleases.clear();
  this->runtimes.clear();
  this->attention.clear();
  this->startsDue.clear();
  this->unplaceable.clear();
  this->queuedSince.clear();
  for (const std::uint64_t token : std::exchange(this->waitingTokens, {})) {
    this->Answer(token, SubmitOutcome::Unknown, "owner-changed");
  }
}

void
CellMachine::OnCommitted(TimePoint aNow)
{
  for (const LogRecord& record : this->log.TakeCommitted()) {
    for (const std::string& job : this->committed.ApplyRecord(record)) {
      this->working.RemoveJob(job);
    }
    this->durable += record.entries.size();
  }
  while (!this->effects.empty() &&
         this->effects.front().first <= this->durable) {
    const Effect effect = std::move(this->effects.front().second);
    this->effects.pop_front();
    effect(aNow);
  }
}

void
CellMachine::MaybeSnapshot()
{
  if (!this->log.WantsSnapshot() || this->phase == CellPhase::Reading) {
    return;
  }
  const std::uint64_t behind =
    this->committed.Sequence() - this->log.SnapshotCovers();
  if (this->phase == CellPhase::Announcing && behind < kLogSlots) {
    // The first record of a new owner (OwnerChanged) needs a snapshot before it
    // only if all log slots hold records that the last snapshot lacks.
    return;
  }
  if (!this->keyReleases.empty() && behind < kLatestSnapshot) {
    return;
  }
  this->log.WriteSnapshot(this->outbox, this->committed.Snapshot());
}

void
CellMachine::TickDraining()
{
  if (this->drainWanted && this->phase == CellPhase::Active) {
    this->phase = CellPhase::Draining;
  }
  if (this->phase != CellPhase::Draining || !this->startsDue.empty()) {
    return;
  }
  for (const auto& [task, runtime] : this->runtimes) {
    if (runtime.startInFlight) {
      return;
    }
  }
  if (this->log.Uncommitted() > 0 || this->log.SnapshotBusy()) {
    return;
  }
  if (this->log.SnapshotCovers() < this->committed.Sequence()) {
    this->log.WriteSnapshot(this->outbox, this->committed.Snapshot());
    return;
  }
  this->ReleaseOwnership();
}

void
CellMachine::ReleaseOwnership()
{
  if (!this->ownerHeld) {
    this->StepDown("released");
    this->phase = CellPhase::Released;
    return;
  }
  this->phase = CellPhase::Releasing;
  StoreCommand remove;
  remove.verb = StoreVerb::Delete;
  remove.key = OwnerKey(this->options.cell);
  remove.expectedVersion = this->ownerVersion;
  // The result is ignored: if the delete is lost, the store deletes the key
  // when the planner's store lease ends.
  this->SendStore(std::move(remove), [this](const StoreReply&, TimePoint) {
    this->ownerHeld = false;
    this->StepDown("released");
    this->phase = CellPhase::Released;
  });
}

} // namespace sequoiakeel
