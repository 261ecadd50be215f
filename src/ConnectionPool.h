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

/** Time-outs of connections and ages that decide on their reuse. */
struct PoolOptions
{
  Duration connectTimeout = std::chrono::seconds(1);
  /** Time since the last response after which an idle connection is probed. */
  Duration probeAfter = std::chrono::seconds(2);
  Duration probeTimeout = std::chrono::seconds(1);
  /** Time without requests after which an idle connection is closed. */
  Duration closeAfter = std::chrono::seconds(15);
  /** A request that may be sent only once is sent on an idle connection only if
   * the last response on this connection is not older than this. */
  Duration recentResponseAge = std::chrono::milliseconds(100);
};

/** Totals since the pool was created. */
struct PoolCounters
{
  std::uint64_t opened = 0;
  /** Connections on which a request timed out or a probe failed. */
  std::uint64_t silent = 0;
  std::uint64_t probes = 0;
};

/** Requirements of an exchange. */
struct ExchangeOptions
{
  /** Time for the whole exchange, including the connection setup. */
  Duration timeout{ 0 };
  /** Use only a new connection or one with a recent response. Set for requests
   * that are sent at most once, since an unresponsive connection would lose
   * them. */
  bool requireRecentResponse = false;
};

/**
 * Connections of one entry to the workers. The number of connections to each
 * worker has a hard limit. A connection carries one request at a time and is
 * not reused after an error, a time-out or unexpected data. Thread safe; the
 * state is sharded by worker.
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

  /** Sets the maximum number of connections to one worker. */
  void SetLimit(std::uint32_t aLimit) { this->limit = aLimit; }

  /** Sends a request once, on an idle or a new connection. The result is
   * NotSent with error kLimitError if all connections are in use. */
  boost::asio::awaitable<ExchangeResult> Exchange(Endpoint aWorker,
                                                  HttpRequest aRequest,
                                                  ExchangeOptions aOptions);

  /** Starts to probe idle connections without a recent response. Closes idle
   * connections that have not been used for PoolOptions::closeAfter, that
   * exceed the limit or that cannot be reused. Must be called a few times per
   * second. */
  void Maintain();

  /** Closes the idle connections; connections in use are closed after their
   * exchange. */
  void Close();

  /** Returns the number of open connections to a worker, including those in
   * use. */
  std::uint32_t OpenConnections(const Endpoint& aWorker) const;

  PoolCounters Counters() const;

  static constexpr const char* kLimitError = "connection-limit";

private:
  struct Worker;
  struct Shard;
  class Slot;

  Shard& ShardOf(const Endpoint& aWorker) const;
  std::unique_ptr<Slot> Take(const Endpoint& aWorker, bool aRequireRecent);
  bool Usable(const Worker& aWorker, Slot& aSlot, bool aRequireRecent) const;
  void Put(std::unique_ptr<Slot> aSlot);
  void DropIdle(const Endpoint& aWorker);
  void CollectDue(Worker& aWorker,
                  std::vector<std::unique_ptr<Slot>>& aProbe,
                  std::vector<std::unique_ptr<Slot>>& aClose);
  boost::asio::awaitable<ExchangeResult> RunExchange(
    std::unique_ptr<Slot> aSlot,
    HttpRequest aRequest,
    ExchangeOptions aOptions);
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
