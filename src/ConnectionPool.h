#pragma once

#include "Clock.h"
#include "HttpClient.h"

#include <array>
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Parameters of the liveness of connections. */
struct PoolOptions
{
  Duration connectTimeout = std::chrono::seconds(1);
  /** Idle time after which a connection is probed. */
  Duration probeAfter = std::chrono::seconds(2);
  Duration probeTimeout = std::chrono::seconds(1);
  /** Time without requests after which a connection is closed. */
  Duration closeAfter = std::chrono::seconds(15);
  /** Age of the last sign of life up to which a connection carries a request
   * that may be sent only once. */
  Duration proven = std::chrono::milliseconds(100);
};

/** Numbers since the start. */
struct PoolCounters
{
  std::uint64_t opened = 0;
  /** Connections that gave no sign of life in time. */
  std::uint64_t silent = 0;
  std::uint64_t probes = 0;
};

/** What an exchange needs of its connection. */
struct ExchangeNeeds
{
  /** Time for the whole exchange, with connecting. */
  Duration timeout{ 0 };
  /** The request is sent at most once: use only a new connection or one that
   * just gave a sign of life, so that a silent one costs no request. */
  bool proven = false;
};

/**
 * Connections of one entry to the workers: a hard limit for each worker, one
 * request at a time on a connection, no connection reused after anything
 * unexpected. Thread safe; the state is sharded by worker.
 */
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
  /** aClock must outlive the pool. Create with std::make_shared. */
  ConnectionPool(boost::asio::any_io_executor aExecutor,
                 const Clock& aClock,
                 PoolOptions aOptions = {});
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  /** Sets the most connections to one worker. */
  void SetLimit(std::uint32_t aLimit) { this->limit = aLimit; }

  /** Sends a request once, on an idle or a new connection. The result is
   * NotSent with error kLimitError if all connections are in use. */
  boost::asio::awaitable<ExchangeResult> Exchange(Endpoint aWorker,
                                                  HttpRequest aRequest,
                                                  ExchangeNeeds aNeeds);

  /** Starts a probe on each connection that was idle for long, and closes
   * those that are unused or above the limit. Call a few times a second. */
  void Maintain();

  /** Closes the idle connections; others close after their exchange. */
  void Close();

  /** Returns the open connections to a worker, with those in use. */
  std::uint32_t OpenTo(const Endpoint& aWorker) const;

  /** Returns the counters so far. */
  PoolCounters Counters() const;

  static constexpr const char* kLimitError = "connection-limit";

private:
  struct Worker;
  struct Shard;
  class Slot;

  Shard& ShardOf(const Endpoint& aWorker) const;
  std::unique_ptr<Slot> Take(const Endpoint& aWorker, bool aProven);
  bool Usable(const Worker& aWorker, Slot& aSlot, bool aProven) const;
  void Put(std::unique_ptr<Slot> aSlot);
  void DropIdle(const Endpoint& aWorker);
  void CollectDue(Worker& aWorker,
                  std::vector<std::unique_ptr<Slot>>& aProbe,
                  std::vector<std::unique_ptr<Slot>>& aClose);
  boost::asio::awaitable<ExchangeResult> Run(std::unique_ptr<Slot> aSlot,
                                             HttpRequest aRequest,
                                             ExchangeNeeds aNeeds);
  boost::asio::awaitable<void> Probe(std::unique_ptr<Slot> aSlot);

  boost::asio::any_io_executor executor;
  const Clock* clock;
  PoolOptions options;
  std::atomic<std::uint32_t> limit{ 6 };
  std::atomic<bool> closed{ false };
  std::atomic<std::uint64_t> opened{ 0 };
  std::atomic<std::uint64_t> silent{ 0 };
  std::atomic<std::uint64_t> probes{ 0 };
  std::shared_ptr<std::vector<Shard>> shards;
};

} // namespace sequoiakeel
