#include "CellOwnershipSession.h"

#include "StoreRecords.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

/** Longest wait of a watch of the inbox. A watch that was waiting when the
 * store failed gets no further events, although its connection stays open, and
 * cancellations must be noticed within 3 s. */
constexpr std::chrono::milliseconds kWatchWait{ 1000 };

/** How long workers that are missing from the registry after an outage of the
 * store still count as listed. Entries that expired during the outage are back
 * within about 2 s of the store's recovery. */
constexpr std::chrono::milliseconds kRegistryGrace{ 2500 };

/** Interval at which the closed zones are read. Two reads in a row may fail
 * before the last one is too old for starts, with the shortest time in use of 5
 * s within which a zone has to be closed. */
constexpr std::chrono::milliseconds kClosedZonesInterval{ 1000 };

} // namespace

asio::awaitable<std::optional<StoreRangeReply>>
CellOwnershipSession::ReadAll(std::string aPrefix, OwnerDuty aDuty)
{
  RangeCursor cursor;
  bool failing = false;
  this->ownerProgress.Begin(aDuty, this->dependencies.clock.Now());
  while (!this->ended && !cursor.complete) {
    const StoreResult result = co_await this->dependencies.store.ReadNextPage(
      cursor, aPrefix, ReadFreshness::Linearizable, kSessionStoreTimeout);
    if (result == StoreResult::Ok) {
      this->ownerProgress.Advance(aDuty, this->dependencies.clock.Now());
      failing = false;
      continue;
    }
    if (!std::exchange(failing, true)) {
      Event("page_not_read", LogLevel::Warning)
        .Add("cell", this->claim.cell)
        .Add("prefix", aPrefix)
        .Add("after", cursor.next)
        .Add("items", static_cast<std::uint64_t>(cursor.items.size()));
    }
    co_await SleepFor(this->dependencies.strand, kSessionStoreRetryDelay);
  }
  if (!cursor.complete) {
    co_return std::nullopt;
  }
  StoreRangeReply reply;
  reply.result = StoreResult::Ok;
  reply.items = std::move(cursor.items);
  reply.revision = cursor.revision;
  co_return reply;
}

asio::awaitable<bool>
CellOwnershipSession::Load()
{
  // The inbox is read before the progress records, so that a job whose end is
  // written between the two reads is recognized as ended.
  const auto inbox =
    co_await this->ReadAll(this->keys.InboxPrefix(), OwnerDuty::LoadState);
  if (!inbox) {
    co_return false;
  }
  const auto progress =
    co_await this->ReadAll(this->keys.ProgressPrefix(), OwnerDuty::LoadState);
  if (!progress) {
    co_return false;
  }
  const auto roster =
    co_await this->ReadAll(this->keys.Roster(), OwnerDuty::LoadState);
  if (!roster) {
    co_return false;
  }
  std::map<std::string, WorkflowProgress> known;
  std::set<std::string> endedJobs;
  for (const StoreItem& item : progress->items) {
    const auto record = DecodeRecord<WorkflowProgress>(item);
    if (!record) {
      continue;
    }
    this->progressRevisions[record->id] = item.revision;
    if (record->endedUnixMs > 0) {
      this->scheduler.RestoreEnded(*record);
      endedJobs.insert(record->id);
      continue;
    }
    known[record->id] = *record;
  }
  for (const StoreItem& item : inbox->items) {
    if (!item.key.starts_with(this->keys.JobsPrefix())) {
      continue;
    }
    const auto submission = DecodeSubmission(item);
    if (!submission) {
      continue;
    }
    this->jobRevisions[submission->id] = item.revision;
    if (endedJobs.contains(submission->id)) {
      this->jobsToClear.insert(submission->id);
      continue;
    }
    if (item.created > this->claim.fencingToken) {
      this->scheduler.Accept(*submission);
      continue;
    }
    this->scheduler.Restore(*submission, known[submission->id]);
  }
  for (const StoreItem& item : inbox->items) {
    if (item.key.starts_with(this->keys.CancellationsPrefix())) {
      this->scheduler.Cancel(
        IdOfKey(item.key, this->keys.CancellationsPrefix()));
    }
  }
  this->inboxRevision = inbox->revision;
  WorkerRoster older;
  for (const StoreItem& item : roster->items) {
    if (item.key != this->keys.Roster()) {
      continue;
    }
    this->rosterRevision = item.revision;
    if (const auto record = DecodeRecord<WorkerRoster>(item)) {
      older = *record;
    }
  }
  this->scheduler.SetRoster(older);
  this->ownerProgress.Finish(OwnerDuty::LoadState);
  co_return !this->ended;
}

std::optional<WorkflowSubmission>
CellOwnershipSession::NewerSubmission(const StoreItem& aItem)
{
  auto submission = DecodeSubmission(aItem);
  if (!submission) {
    return std::nullopt;
  }
  std::uint64_t& handled = this->jobRevisions[submission->id];
  if (aItem.revision <= handled) {
    return std::nullopt;
  }
  handled = aItem.revision;
  return submission;
}

void
CellOwnershipSession::HandleInboxItem(const StoreItem& aItem)
{
  if (aItem.key == this->keys.Owner()) {
    if (aItem.deleted || aItem.revision > this->claim.fencingToken) {
      this->End("owner key changed");
    }
    return;
  }
  if (aItem.deleted) {
    return;
  }
  if (aItem.key.starts_with(this->keys.JobsPrefix())) {
    if (auto submission = this->NewerSubmission(aItem)) {
      this->scheduler.Accept(std::move(*submission));
      this->planSignal.Notify();
    }
    return;
  }
  if (aItem.key.starts_with(this->keys.CancellationsPrefix())) {
    this->scheduler.Cancel(
      IdOfKey(aItem.key, this->keys.CancellationsPrefix()));
    this->planSignal.Notify();
    this->writeSignal.Notify();
  }
}

asio::awaitable<void>
CellOwnershipSession::WatchInbox()
{
  this->ownerProgress.Begin(OwnerDuty::ReadInbox,
                            this->dependencies.clock.Now());
  while (!this->ended) {
    StoreWatchReply reply = co_await this->dependencies.store.Watch(
      this->keys.InboxPrefix(), this->inboxRevision, kWatchWait);
    if (this->ended) {
      co_return;
    }
    if (reply.result == StoreResult::Ok && !reply.compacted) {
      this->ownerProgress.Advance(OwnerDuty::ReadInbox,
                                  this->dependencies.clock.Now());
      for (const StoreItem& event : reply.events) {
        this->HandleInboxItem(event);
      }
      // An empty reply does not prove that nothing changed, since a watch can
      // miss events. The next watch continues from the same revision.
      if (!reply.events.empty()) {
        this->inboxRevision = std::max(this->inboxRevision, reply.revision);
      }
      continue;
    }
    if (!reply.compacted) {
      co_await SleepFor(this->dependencies.strand, kSessionStoreRetryDelay);
      continue;
    }
    Event("inbox_read_again", LogLevel::Warning)
      .Add("cell", this->claim.cell)
      .Add("revision", this->inboxRevision);
    const auto inbox =
      co_await this->ReadAll(this->keys.InboxPrefix(), OwnerDuty::ReadInbox);
    if (!inbox) {
      co_return;
    }
    bool owned = false;
    for (const StoreItem& item : inbox->items) {
      owned = owned || (item.key == this->keys.Owner() &&
                        item.created == this->claim.fencingToken);
    }
    if (!owned) {
      this->End("owner key missing or replaced");
      co_return;
    }
    this->HandleInboxSnapshot(inbox->items);
    this->inboxRevision = inbox->revision;
  }
}

void
CellOwnershipSession::HandleInboxSnapshot(const std::vector<StoreItem>& aItems)
{
  // A job must be known before it can be cancelled, but items are sorted by
  // key, so that cancellations precede jobs. Handles the jobs first.
  const auto isCancellation = [this](const StoreItem& aItem) {
    return aItem.key.starts_with(this->keys.CancellationsPrefix());
  };
  for (const StoreItem& item : aItems) {
    if (!isCancellation(item)) {
      this->HandleInboxItem(item);
    }
  }
  for (const StoreItem& item : aItems) {
    if (isCancellation(item)) {
      this->HandleInboxItem(item);
    }
  }
}

asio::awaitable<void>
CellOwnershipSession::PollClosedZones()
{
  bool known = true;
  while (!this->ended) {
    const TimePoint readAt = this->dependencies.clock.Now();
    auto zones = co_await this->dependencies.closedZones->List();
    if (this->ended) {
      co_return;
    }
    if (zones) {
      this->scheduler.UpdateClosedZones(std::move(*zones), readAt);
      this->planSignal.Notify();
    }
    if (this->scheduler.KnowsClosedZones() != known) {
      known = !known;
      Event(known ? "closed_zones_known" : "closed_zones_unknown",
            LogLevel::Warning)
        .Add("cell", this->claim.cell);
    }
    const Duration pause =
      zones ? Duration(kClosedZonesInterval) : kSessionStoreRetryDelay;
    co_await SleepFor(this->dependencies.strand, pause);
  }
}

asio::awaitable<void>
CellOwnershipSession::PollRegistry()
{
  const Duration interval = this->dependencies.bounds.RegistryInterval();
  TimePoint lastAnswer = this->dependencies.clock.Now();
  this->ownerProgress.Begin(OwnerDuty::ReadRegistry, lastAnswer);
  while (!this->ended) {
    const TimePoint readAt = this->dependencies.clock.Now();
    auto listed = co_await this->dependencies.registry.List();
    if (this->ended) {
      co_return;
    }
    const TimePoint now = this->dependencies.clock.Now();
    if (!listed) {
      co_await SleepFor(this->dependencies.strand, kSessionStoreRetryDelay);
      continue;
    }
    this->ownerProgress.Advance(OwnerDuty::ReadRegistry, now);
    if (now - lastAnswer > 2 * interval) {
      this->registryGraceUntil = now + kRegistryGrace;
    }
    lastAnswer = now;
    std::erase_if(*listed, [this](const WorkerDescription& aWorker) {
      return !this->dependencies.isOwnWorker(aWorker);
    });
    if (now < this->registryGraceUntil) {
      for (const WorkerDescription& earlier : this->lastListed) {
        const bool present = std::any_of(
          listed->begin(), listed->end(), [&](const WorkerDescription& aOne) {
            return aOne.id == earlier.id;
          });
        if (!present) {
          listed->push_back(earlier);
        }
      }
    }
    this->lastListed = *listed;
    this->scheduler.UpdateWorkers(*listed, readAt);
    this->StartWorkerLoops();
    this->rosterSignal.Notify();
    this->planSignal.Notify();
    co_await SleepFor(this->dependencies.strand, interval);
  }
}

} // namespace sequoiakeel
