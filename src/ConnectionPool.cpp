#include "ConnectionPool.h"

#include "Log.h"

#include <algorithm>
#include <functional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sequoiakeel {

namespace asio = boost::asio;
using asio::use_awaitable;

namespace {

constexpr std::size_t kShards = 16;

using WorkerKey = std::pair<std::string, std::uint32_t>;

WorkerKey
KeyOf(const Endpoint& aWorker)
{
  return { aWorker.address, aWorker.port };
}

} // namespace

struct ConnectionPool::Worker
{
  /** Number of connections, including those in use and being probed. */
  std::uint32_t open = 0;
  /** Number of connections that are being probed. */
  std::uint32_t probing = 0;
  /** Idle connections, the most recently used last. */
  std::vector<std::unique_ptr<Slot>> idle;
};

struct ConnectionPool::Shard
{
  mutable std::mutex mutex;
  std::map<WorkerKey, Worker> workers;
};

/** One of the limited number of connections to a worker, with its state. Counts
 * towards the limit until it is destroyed. */
class ConnectionPool::Slot
{
public:
  Slot(std::shared_ptr<std::vector<Shard>> aShards,
       Shard& aShard,
       Endpoint aWorker,
       asio::any_io_executor aStrand)
    : shards(std::move(aShards))
    , shard(&aShard)
    , worker(std::move(aWorker))
    , strand(std::move(aStrand))
  {
  }
  Slot(const Slot&) = delete;
  Slot& operator=(const Slot&) = delete;
  ~Slot()
  {
    this->connection.reset();
    const std::lock_guard lock(this->shard->mutex);
    Worker& state = this->shard->workers[KeyOf(this->worker)];
    this->EndProbe(state);
    --state.open;
  }

  /** Precondition: the shard's lock is held. */
  void EndProbe(Worker& aState)
  {
    if (std::exchange(this->probing, false)) {
      --aState.probing;
    }
  }

  /** Keeps the shard alive. */
  std::shared_ptr<std::vector<Shard>> shards;
  Shard* shard;
  Endpoint worker;
  asio::any_io_executor strand;
  std::unique_ptr<HttpConnection> connection;
  /** Time of the last complete response, also to a probe. */
  TimePoint lastResponse;
  /** Time of the last complete response to a caller's request. */
  TimePoint lastUse;
  bool probing = false;
};

ConnectionPool::ConnectionPool(asio::any_io_executor aExecutor,
                               const Clock& aClock,
                               PoolOptions aOptions)
  : executor(std::move(aExecutor))
  , clock(&aClock)
  , options(aOptions)
  , shards(std::make_shared<std::vector<Shard>>(kShards))
{
}

ConnectionPool::Shard&
ConnectionPool::ShardOf(const Endpoint& aWorker) const
{
  const std::size_t hash =
    std::hash<std::string>()(aWorker.address) * 31 + aWorker.port;
  return (*this->shards)[hash % kShards];
}

bool
ConnectionPool::Usable(const Worker& aWorker,
                       Slot& aSlot,
                       bool aRequireRecent) const
{
  if (aWorker.open > this->limit) {
    return false;
  }
  const Duration age = this->clock->Now() - aSlot.lastResponse;
  const bool tooOld = aRequireRecent && age > this->options.recentResponseAge;
  return !tooOld && aSlot.connection->Reusable();
}

std::unique_ptr<ConnectionPool::Slot>
ConnectionPool::Take(const Endpoint& aWorker, bool aRequireRecent)
{
  // The vector is declared before the lock, so that its slots are destroyed
  // after the lock is released: the destructor of a slot acquires the same
  // lock.
  std::vector<std::unique_ptr<Slot>> dropped;
  Shard& shard = this->ShardOf(aWorker);
  const std::lock_guard lock(shard.mutex);
  Worker& worker = shard.workers[KeyOf(aWorker)];
  while (!worker.idle.empty()) {
    std::unique_ptr<Slot> slot = std::move(worker.idle.back());
    worker.idle.pop_back();
    if (this->Usable(worker, *slot, aRequireRecent)) {
      return slot;
    }
    if (!aRequireRecent || worker.open > this->limit) {
      dropped.push_back(std::move(slot));
      continue;
    }
    // Close the connection of the slot, which may be unresponsive, so that a
    // request that may be sent only once is sent over a new connection.
    slot->connection.reset();
    return slot;
  }
  const auto droppedCount = static_cast<std::uint32_t>(dropped.size());
  if (worker.open - droppedCount >= this->limit) {
    return nullptr;
  }
  for (const std::unique_ptr<Slot>& slot : dropped) {
    slot->connection.reset();
  }
  if (!dropped.empty()) {
    std::unique_ptr<Slot> slot = std::move(dropped.back());
    dropped.pop_back();
    return slot;
  }
  ++worker.open;
  return std::make_unique<Slot>(
    this->shards, shard, aWorker, asio::make_strand(this->executor));
}

void
ConnectionPool::Put(std::unique_ptr<Slot> aSlot)
{
  std::unique_ptr<Slot> dropped;
  Shard& shard = *aSlot->shard;
  const std::lock_guard lock(shard.mutex);
  Worker& worker = shard.workers[KeyOf(aSlot->worker)];
  aSlot->EndProbe(worker);
  if (this->closed || worker.open > this->limit) {
    dropped = std::move(aSlot);
    return;
  }
  worker.idle.push_back(std::move(aSlot));
}

void
ConnectionPool::DropIdle(const Endpoint& aWorker)
{
  std::vector<std::unique_ptr<Slot>> dropped;
  Shard& shard = this->ShardOf(aWorker);
  const std::lock_guard lock(shard.mutex);
  dropped.swap(shard.workers[KeyOf(aWorker)].idle);
}

asio::awaitable<ExchangeResult>
ConnectionPool::Exchange(Endpoint aWorker,
                         HttpRequest aRequest,
                         ExchangeOptions aOptions)
{
  std::unique_ptr<Slot> slot =
    this->Take(aWorker, aOptions.requireRecentResponse);
  if (!slot) {
    ExchangeResult refused;
    refused.error = kLimitError;
    co_return refused;
  }
  const asio::any_io_executor strand = slot->strand;
  asio::awaitable<ExchangeResult> run =
    this->RunExchange(std::move(slot), std::move(aRequest), aOptions);
  ExchangeResult result =
    co_await asio::co_spawn(strand, std::move(run), use_awaitable);
  co_return result;
}

asio::awaitable<ExchangeResult>
ConnectionPool::RunExchange(std::unique_ptr<Slot> aSlot,
                            HttpRequest aRequest,
                            ExchangeOptions aOptions)
{
  const std::shared_ptr<ConnectionPool> self = this->shared_from_this();
  const TimePoint start = this->clock->Now();
  if (!aSlot->connection) {
    ++this->opened;
    aSlot->connection = std::make_unique<HttpConnection>(aSlot->strand);
    const Duration timeout =
      std::min(this->options.connectTimeout, aOptions.timeout);
    const std::string error =
      co_await aSlot->connection->Connect(aSlot->worker, timeout);
    if (!error.empty()) {
      ExchangeResult failed;
      failed.error = error;
      co_return failed;
    }
  }
  const Duration left = aOptions.timeout - (this->clock->Now() - start);
  if (left <= Duration::zero()) {
    ExchangeResult late;
    late.error = "deadline passed while connecting";
    co_return late;
  }
  aRequest.headers.Set("Host", aSlot->worker.address);
  const std::string requestId(aRequest.headers.Get("Sequoiakeel-Request-Id"));
  ExchangeResult result =
    co_await aSlot->connection->Exchange(std::move(aRequest), left);
  if (result.timedOut) {
    ++this->silent;
    // Close the worker's other idle connections too, since they may have become
    // unresponsive for the same reason, such as lost connection state on the
    // network path.
    this->DropIdle(aSlot->worker);
  }
  const bool matched =
    result.Complete() &&
    result.response.headers.Get("Sequoiakeel-Request-Id") == requestId;
  if (matched && aSlot->connection->Reusable()) {
    aSlot->lastResponse = this->clock->Now();
    aSlot->lastUse = aSlot->lastResponse;
    this->Put(std::move(aSlot));
  }
  co_return result;
}

asio::awaitable<void>
ConnectionPool::Probe(std::unique_ptr<Slot> aSlot)
{
  const std::shared_ptr<ConnectionPool> self = this->shared_from_this();
  ++this->probes;
  HttpRequest probe;
  probe.target = "/probe";
  probe.headers.Set("Host", aSlot->worker.address);
  ExchangeResult result = co_await aSlot->connection->Exchange(
    std::move(probe), this->options.probeTimeout);
  if (result.Complete() && result.response.status == 204 &&
      aSlot->connection->Reusable()) {
    aSlot->lastResponse = this->clock->Now();
    this->Put(std::move(aSlot));
    co_return;
  }
  ++this->silent;
  Event("connection_retired", LogLevel::Warning)
    .Add("worker", aSlot->worker.address)
    .Add("port", aSlot->worker.port)
    .Add("reason", "probe-failed")
    .Add("error", result.error);
}

void
ConnectionPool::CollectDue(Worker& aWorker,
                           std::vector<std::unique_ptr<Slot>>& aProbe,
                           std::vector<std::unique_ptr<Slot>>& aClose)
{
  const TimePoint now = this->clock->Now();
  // Probe at most half of the connections (but at least one) at a time, so that
  // the others stay available to requests while the probes of unresponsive
  // connections wait for their time-out.
  const std::uint32_t maxProbing = std::max(this->limit / 2, 1U);
  std::vector<std::unique_ptr<Slot>> kept;
  for (std::unique_ptr<Slot>& slot : aWorker.idle) {
    if (this->closed || now - slot->lastUse > this->options.closeAfter ||
        aWorker.open > this->limit || !slot->connection->Reusable()) {
      aClose.push_back(std::move(slot));
      continue;
    }
    if (now - slot->lastResponse >= this->options.probeAfter &&
        aWorker.probing < maxProbing) {
      slot->probing = true;
      ++aWorker.probing;
      aProbe.push_back(std::move(slot));
      continue;
    }
    kept.push_back(std::move(slot));
  }
  aWorker.idle.swap(kept);
}

void
ConnectionPool::Maintain()
{
  std::vector<std::unique_ptr<Slot>> probe;
  std::vector<std::unique_ptr<Slot>> close;
  for (Shard& shard : *this->shards) {
    const std::lock_guard lock(shard.mutex);
    for (auto& [key, worker] : shard.workers) {
      this->CollectDue(worker, probe, close);
    }
    std::erase_if(shard.workers,
                  [](const auto& aItem) { return aItem.second.open == 0; });
  }
  for (std::unique_ptr<Slot>& slot : probe) {
    const asio::any_io_executor strand = slot->strand;
    asio::co_spawn(strand, this->Probe(std::move(slot)), asio::detached);
  }
}

void
ConnectionPool::Close()
{
  this->closed = true;
  this->Maintain();
}

std::uint32_t
ConnectionPool::OpenConnections(const Endpoint& aWorker) const
{
  Shard& shard = this->ShardOf(aWorker);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.workers.find(KeyOf(aWorker));
  return found == shard.workers.end() ? 0 : found->second.open;
}

PoolCounters
ConnectionPool::Counters() const
{
  PoolCounters counters;
  counters.opened = this->opened;
  counters.silent = this->silent;
  counters.probes = this->probes;
  return counters;
}

} // namespace sequoiakeel
