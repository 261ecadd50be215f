#pragma once

#include "ConnectionPool.h"
#include "IdempotencyRecords.h"
#include "KeyValueStore.h"
#include "Metrics.h"
#include "RequestPath.h"
#include "ServiceCatalog.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sequoiakeel {

/** An io_context with threads that run it. Declare it before the objects that
 * use it and call Stop() before they are destroyed. */
class TestThreads
{
public:
  explicit TestThreads(int aCount = 3);
  TestThreads(const TestThreads&) = delete;
  TestThreads& operator=(const TestThreads&) = delete;
  ~TestThreads();

  boost::asio::io_context& Context() { return this->context; }

  /** Stops the io_context and joins the threads. */
  void Stop();

private:
  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    guard;
  std::vector<std::thread> threads;
};

/** Parameters of an entry under test. */
struct TestEntryOptions
{
  std::string name = "entry-1";
  std::uint64_t incarnation = 1;
  /** Ports of the backend servers, named worker-1 and so on. */
  std::vector<std::uint16_t> ports;
  PoolOptions pool;
  RequestPathOptions path;
  Service service;
  Limits limits;
  /** Returns whether the entry with a name and incarnation counts as alive. */
  std::function<bool(std::string_view, std::uint64_t)> isAlive;

  TestEntryOptions();
};

/** The request path of one entry without its HTTP server, with a given store.
 * Thread safe. */
class TestEntry
{
public:
  TestEntry(boost::asio::io_context& aContext,
            KeyValueStore& aStore,
            TestEntryOptions aOptions);
  TestEntry(const TestEntry&) = delete;
  TestEntry& operator=(const TestEntry&) = delete;
  /** Waits until the periodic work has ended, so that the entry may be
   * destroyed before the threads that run it. */
  ~TestEntry();

  /** Starts a request to the service "quote". */
  std::future<HttpResponse> Send(const std::string& aBody,
                                 HttpHeaders aHeaders = {});

  /** Sends a request and waits for the response. */
  HttpResponse Call(const std::string& aBody, HttpHeaders aHeaders = {});

  RequestPath& Path() { return *this->path; }
  ConnectionPool& Pool() { return *this->pool; }
  ServiceCatalog& Catalog() { return this->catalog; }
  IdempotencyRecords& Records() { return *this->records; }

  /** Returns the workers that refused a request because they are leaving. */
  std::vector<std::string> ReportedLeaving();

  /** Replaces the host list by workers with these request ports. */
  void SetPorts(const std::vector<std::uint16_t>& aPorts);

private:
  boost::asio::awaitable<void> RunPeriodicWork();

  boost::asio::io_context& context;
  /** The clock is static, so that it outlives requests that are destroyed with
   * the io_context. */
  static inline const SystemClock kClock{};
  Metrics metrics;
  ServiceCatalog catalog;
  std::shared_ptr<ConnectionPool> pool;
  std::shared_ptr<IdempotencyRecords> records;
  std::unique_ptr<RequestPath> path;
  std::uint64_t hostRevision = 0;
  std::mutex mutex;
  std::vector<std::string> leaving;
  std::atomic<bool> stopping = false;
  std::future<void> periodicWork;
};

/** Returns headers from pairs of name and value. */
HttpHeaders
MakeHeaders(std::initializer_list<HttpHeader> aFields);

/** Returns the headers of a non-idempotent request with an idempotency key,
 * which runs at most once. */
HttpHeaders
AtMostOnceHeaders(const std::string& aKey);

/** Returns outcome and reason, such as "not-run queue-full". */
std::string
OutcomeOf(const HttpResponse& aResponse);

} // namespace sequoiakeel
