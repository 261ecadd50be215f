#include "FakePlatform.h"

#include "AsyncSignal.h"

#include <algorithm>

namespace sequoiakeel {

namespace asio = boost::asio;

namespace {

/** Interval at which waiting calls check for changes. */
constexpr std::chrono::milliseconds kStep{ 2 };

/** Delay of a store call, so that concurrent calls overlap. */
constexpr std::chrono::milliseconds kCallDelay{ 1 };

} // namespace

FakeTransactionalStore::FakeTransactionalStore(asio::any_io_executor aExecutor)
  : executor(std::move(aExecutor))
{
}

void
FakeTransactionalStore::ExpireLeases()
{
  std::vector<std::uint64_t> expired;
  for (const auto& [lease, state] : this->leases) {
    if (this->clock.Now() > state.second) {
      expired.push_back(lease);
    }
  }
  for (const std::uint64_t lease : expired) {
    this->leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
      if (item.lease == lease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      this->Delete(key);
    }
  }
}

void
FakeTransactionalStore::Put(const StorePut& aPut)
{
  StoreItem& item = this->items[aPut.key];
  item.key = aPut.key;
  item.value = aPut.value;
  item.lease = aPut.lease;
  item.revision = this->revision;
  item.created = item.created == 0 ? this->revision : item.created;
  this->history.push_back(Change{ this->revision, item });
}

void
FakeTransactionalStore::Delete(const std::string& aKey)
{
  if (this->items.erase(aKey) == 0) {
    return;
  }
  ++this->revision;
  StoreItem item;
  item.key = aKey;
  item.revision = this->revision;
  item.deleted = true;
  this->history.push_back(Change{ this->revision, item });
}

bool
FakeTransactionalStore::Holds(const StoreExpectation& aExpectation) const
{
  const auto found = this->items.find(aExpectation.key);
  const std::uint64_t present =
    found == this->items.end() ? kAbsentVersion : found->second.revision;
  return present == aExpectation.revision;
}

asio::awaitable<StoreRangeReply>
FakeTransactionalStore::Get(std::string aKey, TransferTimeout /*aTimeout*/)
{
  co_await SleepFor(this->executor, kCallDelay);
  const std::lock_guard lock(this->mutex);
  this->ExpireLeases();
  StoreRangeReply reply;
  if (this->down) {
    co_return reply;
  }
  reply.result = StoreResult::Ok;
  reply.revision = this->revision;
  const auto found = this->items.find(aKey);
  if (found != this->items.end()) {
    reply.items.push_back(found->second);
  }
  co_return reply;
}

asio::awaitable<StorePage>
FakeTransactionalStore::ReadPage(std::string aPrefix,
                                 std::string aAfter,
                                 ReadFreshness /*aFreshness*/,
                                 TransferTimeout /*aTimeout*/)
{
  co_await SleepFor(this->executor, kCallDelay);
  const std::lock_guard lock(this->mutex);
  this->ExpireLeases();
  ++this->pagesRead;
  StorePage page;
  const bool fails =
    this->failingPage > 0 && this->pagesRead % this->failingPage == 0;
  if (this->down || fails) {
    co_return page;
  }
  page.result = StoreResult::Ok;
  page.revision = this->revision;
  for (auto item = this->items.upper_bound(aAfter); item != this->items.end();
       ++item) {
    if (!item->first.starts_with(aPrefix)) {
      continue;
    }
    if (page.items.size() == this->pageItems) {
      page.next = page.items.back().key;
      break;
    }
    page.items.push_back(item->second);
  }
  co_return page;
}

asio::awaitable<StoreWatchReply>
FakeTransactionalStore::Watch(std::string aPrefix,
                              std::uint64_t aAfter,
                              Duration aWait)
{
  const TimePoint deadline = this->clock.Now() + aWait;
  while (true) {
    {
      const std::lock_guard lock(this->mutex);
      this->ExpireLeases();
      StoreWatchReply reply;
      if (this->down) {
        co_return reply;
      }
      reply.result = StoreResult::Ok;
      reply.revision = this->revision;
      if (aAfter < this->compacted) {
        reply.compacted = true;
        co_return reply;
      }
      for (const Change& change : this->history) {
        if (this->watchesBlocked && aPrefix.starts_with(this->blockedPrefix)) {
          break;
        }
        if (change.revision > aAfter && change.item.key.starts_with(aPrefix)) {
          reply.events.push_back(change.item);
        }
      }
      if (!reply.events.empty() || this->clock.Now() >= deadline) {
        co_return reply;
      }
    }
    co_await SleepFor(this->executor, kStep);
  }
}

asio::awaitable<StoreTransactionReply>
FakeTransactionalStore::Commit(StoreTransaction aTransaction,
                               TransferTimeout /*aTimeout*/)
{
  co_await SleepFor(this->executor, kCallDelay);
  const std::lock_guard lock(this->mutex);
  this->ExpireLeases();
  StoreTransactionReply reply;
  ++this->commits;
  if (this->down || aTransaction.Size() > kMaxTransactionEntries) {
    co_return reply;
  }
  const bool holds = std::all_of(
    aTransaction.expect.begin(),
    aTransaction.expect.end(),
    [this](const StoreExpectation& aOne) { return this->Holds(aOne); });
  if (!holds) {
    reply.result = StoreResult::Conflict;
    for (const StoreExpectation& expectation : aTransaction.expect) {
      const auto found = this->items.find(expectation.key);
      if (found != this->items.end()) {
        reply.current.push_back(found->second);
      }
    }
    co_return reply;
  }
  ++this->revision;
  const std::uint64_t committed = this->revision;
  for (const StorePut& put : aTransaction.puts) {
    this->Put(put);
  }
  for (const std::string& key : aTransaction.removes) {
    this->Delete(key);
  }
  reply.result = StoreResult::Ok;
  reply.revision = committed;
  const bool concerned =
    this->answersToLosePrefix.empty() ||
    std::any_of(aTransaction.puts.begin(),
                aTransaction.puts.end(),
                [this](const StorePut& aPut) {
                  return aPut.key.starts_with(this->answersToLosePrefix);
                });
  if (this->answersToLose > 0 && concerned) {
    --this->answersToLose;
    reply = StoreTransactionReply{};
    reply.result = StoreResult::Unknown;
  }
  co_return reply;
}

asio::awaitable<StoreLeaseReply>
FakeTransactionalStore::GrantLease(std::chrono::milliseconds aTtl,
                                   TransferTimeout /*aTimeout*/)
{
  const std::lock_guard lock(this->mutex);
  StoreLeaseReply reply;
  if (this->down) {
    co_return reply;
  }
  reply.result = StoreResult::Ok;
  reply.lease = this->nextLease++;
  reply.ttl = aTtl;
  this->leases[reply.lease] = { aTtl, this->clock.Now() + aTtl };
  co_return reply;
}

asio::awaitable<StoreLeaseReply>
FakeTransactionalStore::RenewLease(std::uint64_t aLease,
                                   TransferTimeout /*aTimeout*/)
{
  const std::lock_guard lock(this->mutex);
  this->ExpireLeases();
  StoreLeaseReply reply;
  if (this->down) {
    co_return reply;
  }
  const auto found = this->leases.find(aLease);
  reply.result = StoreResult::Conflict;
  if (found != this->leases.end()) {
    found->second.second = this->clock.Now() + found->second.first;
    reply.result = StoreResult::Ok;
    reply.lease = aLease;
    reply.ttl = found->second.first;
  }
  co_return reply;
}

asio::awaitable<StoreLeaseReply>
FakeTransactionalStore::EndLease(std::uint64_t aLease,
                                 TransferTimeout /*aTimeout*/)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->leases.find(aLease);
  if (found != this->leases.end()) {
    found->second.second = TimePoint();
  }
  this->ExpireLeases();
  StoreLeaseReply reply;
  reply.result = StoreResult::Ok;
  co_return reply;
}

void
FakeTransactionalStore::LoseAnswers(int aCount, const std::string& aPrefix)
{
  const std::lock_guard lock(this->mutex);
  this->answersToLose = aCount;
  this->answersToLosePrefix = aPrefix;
}

void
FakeTransactionalStore::SetDown(bool aDown)
{
  const std::lock_guard lock(this->mutex);
  this->down = aDown;
}

void
FakeTransactionalStore::SetWatchesBlocked(bool aBlocked,
                                          const std::string& aPrefix)
{
  const std::lock_guard lock(this->mutex);
  if (this->watchesBlocked && !aBlocked) {
    this->history.clear();
    this->compacted = this->revision;
  }
  this->watchesBlocked = aBlocked;
  this->blockedPrefix = aPrefix;
}

void
FakeTransactionalStore::Remove(const std::string& aKey)
{
  const std::lock_guard lock(this->mutex);
  this->Delete(aKey);
}

void
FakeTransactionalStore::SetPages(std::size_t aItems, int aFailing)
{
  const std::lock_guard lock(this->mutex);
  this->pageItems = aItems;
  this->failingPage = aFailing;
}

int
FakeTransactionalStore::PagesRead()
{
  const std::lock_guard lock(this->mutex);
  return this->pagesRead;
}

int
FakeTransactionalStore::Commits()
{
  const std::lock_guard lock(this->mutex);
  return this->commits;
}

std::size_t
FakeTransactionalStore::Count(const std::string& aPrefix)
{
  const std::lock_guard lock(this->mutex);
  std::size_t count = 0;
  for (const auto& [key, item] : this->items) {
    count += key.starts_with(aPrefix) ? 1 : 0;
  }
  return count;
}

FakeWorkers::FakeWorkers(asio::any_io_executor aExecutor,
                         std::vector<std::string> aIds)
  : executor(std::move(aExecutor))
{
  for (const std::string& id : aIds) {
    this->workers[id];
  }
}

std::uint64_t
FakeWorkers::NowMs() const
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      this->clock.Now().time_since_epoch())
      .count());
}

asio::awaitable<std::optional<std::vector<WorkerDescription>>>
FakeWorkers::List()
{
  const std::lock_guard lock(this->mutex);
  std::vector<WorkerDescription> result;
  for (const auto& [id, worker] : this->workers) {
    WorkerDescription description;
    description.id = id;
    description.incarnation = worker.listedIncarnation;
    description.service = "desk";
    description.endpoint = Endpoint{ "127.0.0.1", 1 };
    description.rack = "r1";
    description.capacity = WorkerCapacity{ 32000, 128000, 0 };
    description.draining = worker.draining;
    result.push_back(std::move(description));
  }
  co_return result;
}

asio::awaitable<WorkerCommandReply>
FakeWorkers::Start(WorkerCommandTarget aTarget,
                   StartCommand aCommand,
                   Duration aTimeout)
{
  bool lost = false;
  WorkerCommandReply reply;
  {
    const std::lock_guard lock(this->mutex);
    Worker& worker = this->workers.at(aTarget.worker);
    if (worker.crashed) {
      co_return WorkerCommandReply{ WorkerCommandResult::Unknown, 0 };
    }
    lost = worker.restartAtNextStart;
    if (worker.restartAtNextStart) {
      const std::uint64_t before = worker.incarnation;
      worker = Worker{};
      worker.incarnation = before + 1;
      worker.listedIncarnation = before;
      worker.awaitsStart = true;
    }
  }
  if (lost) {
    co_await SleepFor(this->executor, aTimeout);
    co_return WorkerCommandReply{ WorkerCommandResult::Unknown, 0 };
  }
  {
    const std::lock_guard lock(this->mutex);
    Worker& worker = this->workers.at(aTarget.worker);
    reply.workerMs = this->NowMs();
    if (aTarget.fencingToken < worker.token) {
      reply.result = WorkerCommandResult::Fenced;
      co_return reply;
    }
    worker.token = aTarget.fencingToken;
    const auto running = worker.running.find(aCommand.task);
    if (running != worker.running.end() && running->second == aCommand.run) {
      reply.result = WorkerCommandResult::Done;
      co_return reply;
    }
    const auto ended = worker.highestEnded.find(aCommand.task);
    if (ended != worker.highestEnded.end() && aCommand.run <= ended->second) {
      reply.result = WorkerCommandResult::OldRun;
      co_return reply;
    }
    if (aCommand.validUntilWorkerMs < this->NowMs()) {
      reply.result = WorkerCommandResult::Expired;
      co_return reply;
    }
    for (const auto& [id, other] : this->workers) {
      this->ranTwice = this->ranTwice || other.running.contains(aCommand.task);
    }
    this->ranTwice = this->ranTwice || this->doneTasks.contains(aCommand.task);
    worker.running[aCommand.task] = aCommand.run;
    ++this->starts[aCommand.task];
    reply.result = WorkerCommandResult::Done;
    if (worker.awaitsStart) {
      worker.awaitsStart = false;
      FinishRuns(worker);
    }
    if (this->answersToLose > 0) {
      --this->answersToLose;
      lost = true;
    }
  }
  if (lost) {
    co_await SleepFor(this->executor, aTimeout);
    reply = WorkerCommandReply{ WorkerCommandResult::Unknown, 0 };
  }
  co_return reply;
}

asio::awaitable<WorkerCommandReply>
FakeWorkers::Stop(WorkerCommandTarget aTarget,
                  std::string aTask,
                  std::uint64_t aRun,
                  Duration /*aTimeout*/)
{
  const std::lock_guard lock(this->mutex);
  Worker& worker = this->workers.at(aTarget.worker);
  if (worker.running.erase(aTask) > 0) {
    worker.ended.push_back(
      EndedRun{ worker.nextEnd++, aTask, aRun, RunEnd::Stopped, "" });
    worker.highestEnded[aTask] = aRun;
  }
  co_return WorkerCommandReply{ WorkerCommandResult::Done, this->NowMs() };
}

asio::awaitable<WorkerCommandReply>
FakeWorkers::Throttle(WorkerCommandTarget /*aTarget*/,
                      std::string /*aTask*/,
                      std::uint64_t /*aRun*/,
                      int /*aPercent*/,
                      Duration /*aTimeout*/)
{
  co_return WorkerCommandReply{ WorkerCommandResult::Done, this->NowMs() };
}

asio::awaitable<RenewReply>
FakeWorkers::Renew(WorkerCommandTarget aTarget,
                   std::uint64_t /*aUntilWorkerMs*/,
                   EndsAcknowledgement aEnds,
                   Duration aWait,
                   Duration aTimeout)
{
  const TimePoint deadline = this->clock.Now() + aWait;
  const TimePoint timeout = this->clock.Now() + aTimeout;
  while (true) {
    if (auto reply =
          this->TryRenew(aTarget, aEnds, this->clock.Now() >= deadline)) {
      co_return std::move(*reply);
    }
    if (this->clock.Now() >= timeout) {
      RenewReply reply;
      reply.outcome.result = WorkerCommandResult::Unknown;
      co_return reply;
    }
    co_await SleepFor(this->executor, kStep);
  }
}

std::optional<RenewReply>
FakeWorkers::TryRenew(const WorkerCommandTarget& aTarget,
                      EndsAcknowledgement aEnds,
                      bool aWaitIsOver)
{
  const std::lock_guard lock(this->mutex);
  Worker& worker = this->workers.at(aTarget.worker);
  RenewReply reply;
  if (worker.crashed) {
    reply.outcome.result = WorkerCommandResult::Unknown;
    return reply;
  }
  if (worker.awaitsStart) {
    return std::nullopt;
  }
  reply.outcome.workerMs = this->NowMs();
  if (aTarget.fencingToken < worker.token) {
    reply.outcome.result = WorkerCommandResult::Fenced;
    return reply;
  }
  worker.token = aTarget.fencingToken;
  std::erase_if(worker.ended, [&](const EndedRun& aRow) {
    if (aEnds.incarnation != worker.incarnation || aRow.sequence > aEnds.upTo) {
      return false;
    }
    if (aRow.end == RunEnd::Done) {
      this->doneTasks.insert(aRow.task);
    }
    return true;
  });
  if (worker.ended.empty() && !aWaitIsOver) {
    return std::nullopt;
  }
  reply.outcome.result = WorkerCommandResult::Done;
  worker.listedIncarnation = worker.incarnation;
  reply.report.incarnation = worker.incarnation;
  reply.report.ended = worker.ended;
  for (const auto& [task, run] : worker.running) {
    reply.report.running.push_back(RunningRun{ task, run, "", 10, 0 });
  }
  return reply;
}

void
FakeWorkers::FinishAll()
{
  const std::lock_guard lock(this->mutex);
  for (auto& [id, worker] : this->workers) {
    FinishRuns(worker);
  }
}

void
FakeWorkers::FinishRuns(Worker& aWorker)
{
  for (const auto& [task, run] : aWorker.running) {
    aWorker.ended.push_back(
      EndedRun{ aWorker.nextEnd++, task, run, RunEnd::Done, "" });
    aWorker.highestEnded[task] = run;
  }
  aWorker.running.clear();
}

void
FakeWorkers::RestartAtNextStart(const std::string& aWorker)
{
  const std::lock_guard lock(this->mutex);
  this->workers.at(aWorker).restartAtNextStart = true;
}

void
FakeWorkers::Drain(const std::string& aWorker)
{
  const std::lock_guard lock(this->mutex);
  this->workers.at(aWorker).draining = true;
}

void
FakeWorkers::LoseStartAnswers(int aCount)
{
  const std::lock_guard lock(this->mutex);
  this->answersToLose = aCount;
}

void
FakeWorkers::Crash(const std::string& aWorker)
{
  const std::lock_guard lock(this->mutex);
  Worker& worker = this->workers.at(aWorker);
  worker.crashed = true;
  worker.running.clear();
}

void
FakeWorkers::LoseRuns(const std::string& aWorker)
{
  const std::lock_guard lock(this->mutex);
  this->workers.at(aWorker).running.clear();
}

int
FakeWorkers::StartsOf(const std::string& aTask)
{
  const std::lock_guard lock(this->mutex);
  return this->starts[aTask];
}

std::size_t
FakeWorkers::Running()
{
  const std::lock_guard lock(this->mutex);
  std::size_t count = 0;
  for (const auto& [id, worker] : this->workers) {
    count += worker.running.size();
  }
  return count;
}

bool
FakeWorkers::RanTwice()
{
  const std::lock_guard lock(this->mutex);
  return this->ranTwice;
}

} // namespace sequoiakeel
