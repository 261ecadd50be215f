#include "Scenario.h"

#include "HttpClient.h"
#include "HttpServer.h"
#include "Log.h"
#include "RequestPath.h"

#include <algorithm>
#include <ctime>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sequoiakeel {

namespace {

namespace asio = boost::asio;
using asio::use_awaitable;

/** Runs an io_context on one thread and measures its processor time. */
class BusyThread
{
public:
  BusyThread()
    : guard(asio::make_work_guard(this->context))
    , thread([this] { this->context.run(); })
  {
    ::pthread_getcpuclockid(this->thread.native_handle(), &this->cpuClock);
  }
  BusyThread(const BusyThread&) = delete;
  BusyThread& operator=(const BusyThread&) = delete;
  ~BusyThread() { this->Stop(); }

  void Stop()
  {
    this->context.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  asio::io_context& Context() { return this->context; }

  /** Returns the processor time used so far, in microseconds. */
  double CpuMicroseconds() const
  {
    timespec time{};
    ::clock_gettime(this->cpuClock, &time);
    return static_cast<double>(time.tv_sec) * 1e6 +
           static_cast<double>(time.tv_nsec) / 1e3;
  }

private:
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> guard;
  std::thread thread;
  clockid_t cpuClock{};
};

/** Returns the body and id of the request without delay. */
asio::awaitable<HttpResponse>
Echo(HttpRequest aRequest)
{
  HttpResponse response;
  response.status = aRequest.method == "GET" ? 204 : 200;
  response.headers.Set("Sequoiakeel-Request-Id",
                       aRequest.headers.Get("Sequoiakeel-Request-Id"));
  response.body = std::move(aRequest.body);
  co_return response;
}

/** The request path of one entry behind its HTTP server. */
struct LoopbackEntry
{
  LoopbackEntry(asio::io_context& aContext, std::uint16_t aWorkerPort)
    : catalog("entry", "zone-1", this->clock, 1)
    , pool(
        std::make_shared<ConnectionPool>(aContext.get_executor(), this->clock))
    , path(this->catalog,
           this->pool,
           nullptr,
           this->metrics,
           this->clock,
           [](std::string_view) {})
    , server(aContext,
             Endpoint{ "127.0.0.1", 0 },
             HttpServerLimits{},
             [this](HttpRequest aRequest) {
               return this->path.Handle("quote", std::move(aRequest));
             })
  {
    Configuration configuration;
    configuration.services.emplace_back().name = "quote";
    this->catalog.Activate(configuration);
    this->pool->SetLimit(this->catalog.ConnectionLimit());
    HostListing listing;
    // Lists one server under eight addresses, so that the connection limit
    // of a single worker does not limit the rate.
    for (int worker = 0; worker < 8; ++worker) {
      HostRecord& host = listing.hosts.emplace_back();
      host.host = "worker-" + std::to_string(worker);
      host.address = "127.0.0." + std::to_string(worker + 1);
      host.requestPort = aWorkerPort;
      host.zone = "zone-1";
    }
    this->catalog.SetHosts(listing);
    this->server.Start();
  }

  SystemClock clock;
  Metrics metrics;
  ServiceCatalog catalog;
  std::shared_ptr<ConnectionPool> pool;
  RequestPath path;
  HttpServer server;
};

/** Open-loop load generator: sends requests at a fixed rate, independent of the
 * responses. */
class OpenLoop
{
public:
  OpenLoop(asio::io_context& aContext, Endpoint aTarget, std::size_t aBytes)
    : context(aContext)
    , target(std::move(aTarget))
    , body(aBytes, 'q')
  {
  }

  /** Sends aCount requests and returns their latencies in microseconds, each
   * measured from the intended send time. Failed requests are omitted. */
  std::vector<double> Run(double aRate, std::size_t aCount)
  {
    this->latencies.clear();
    this->open = aCount;
    std::future<void> finished = this->done.get_future();
    asio::co_spawn(
      this->context, this->Schedule(aRate, aCount), asio::detached);
    finished.get();
    this->done = std::promise<void>();
    std::sort(this->latencies.begin(), this->latencies.end());
    return this->latencies;
  }

private:
  asio::awaitable<void> Schedule(double aRate, std::size_t aCount)
  {
    const auto interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1.0 / aRate));
    const TimePoint start = std::chrono::steady_clock::now();
    asio::steady_timer timer(this->context);
    for (std::size_t index = 0; index < aCount; ++index) {
      const TimePoint intended = start + interval * index;
      timer.expires_at(intended);
      co_await timer.async_wait(use_awaitable);
      asio::co_spawn(this->context, this->Send(intended), asio::detached);
    }
  }

  asio::awaitable<void> Send(TimePoint aIntended)
  {
    std::unique_ptr<HttpConnection> connection;
    if (!this->idle.empty()) {
      connection = std::move(this->idle.back());
      this->idle.pop_back();
    } else {
      connection =
        std::make_unique<HttpConnection>(this->context.get_executor());
      co_await connection->Connect(this->target, std::chrono::seconds(5));
    }
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/services/quote";
    request.headers.Set("Host", "entry");
    request.body = this->body;
    const ExchangeResult result = co_await connection->Exchange(
      std::move(request), std::chrono::seconds(10));
    if (result.Complete() && result.response.status == 200) {
      const Duration latency = std::chrono::steady_clock::now() - aIntended;
      this->latencies.push_back(
        std::chrono::duration<double, std::micro>(latency).count());
    }
    if (connection->Reusable()) {
      this->idle.push_back(std::move(connection));
    }
    if (--this->open == 0) {
      this->done.set_value();
    }
  }

  asio::io_context& context;
  Endpoint target;
  std::string body;
  std::vector<std::unique_ptr<HttpConnection>> idle;
  std::vector<double> latencies;
  std::size_t open = 0;
  std::promise<void> done;
};

double
Quantile(const std::vector<double>& aSorted, double aShare)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<std::size_t>(aShare * last)];
}

/** Option keys: rate (requests per second), seconds (duration), bytes (size of
 * a request body). */
void
RunEntryLoopback(const ScenarioOptions& aOptions, const Report& aReport)
{
  const double rate = std::stod(aOptions.Get("rate", "2000"));
  const double seconds = std::stod(aOptions.Get("seconds", "10"));
  const std::size_t bytes = std::stoul(aOptions.Get("bytes", "1000"));
  const auto count = static_cast<std::size_t>(rate * seconds);
  StartLogging("bench", LogLevel::Error);
  BusyThread workerThread;
  BusyThread entryThread;
  BusyThread loadThread;
  HttpServer worker(
    workerThread.Context(), Endpoint{ "0.0.0.0", 0 }, HttpServerLimits{}, Echo);
  worker.Start();
  LoopbackEntry entry(entryThread.Context(), worker.Port());
  const auto report =
    [&](const std::string& aMeasure, double aValue, const std::string& aUnit) {
      Measurement measurement;
      measurement.scenario = "entry-loopback";
      measurement.measure = aMeasure;
      measurement.value = aValue;
      measurement.unit = aUnit;
      measurement.seed = aOptions.seed;
      measurement.labels["rate"] = aOptions.Get("rate", "2000");
      aReport(measurement);
    };
  OpenLoop direct(
    loadThread.Context(), Endpoint{ "127.0.0.1", worker.Port() }, bytes);
  OpenLoop through(
    loadThread.Context(), Endpoint{ "127.0.0.1", entry.server.Port() }, bytes);
  // Warms up for one second, so that the connections are open before the
  // measurement.
  direct.Run(rate, static_cast<std::size_t>(rate));
  through.Run(rate, static_cast<std::size_t>(rate));
  const std::vector<double> without = direct.Run(rate, count);
  const double cpuBefore = entryThread.CpuMicroseconds();
  const TimePoint start = std::chrono::steady_clock::now();
  const std::vector<double> with = through.Run(rate, count);
  const std::chrono::duration<double> elapsed =
    std::chrono::steady_clock::now() - start;
  const double cpu = entryThread.CpuMicroseconds() - cpuBefore;
  report("answered", static_cast<double>(with.size()), "requests");
  report("not answered", static_cast<double>(count - with.size()), "requests");
  report("answered rate",
         static_cast<double>(with.size()) / elapsed.count(),
         "requests/s");
  report("p50 direct", Quantile(without, 0.5), "us");
  report("p99 direct", Quantile(without, 0.99), "us");
  report("p50 through the entry", Quantile(with, 0.5), "us");
  report("p99 through the entry", Quantile(with, 0.99), "us");
  report("p50 added", Quantile(with, 0.5) - Quantile(without, 0.5), "us");
  report("p99 added", Quantile(with, 0.99) - Quantile(without, 0.99), "us");
  report("processor time of the entry",
         cpu / static_cast<double>(count),
         "us/request");
  loadThread.Stop();
  entryThread.Stop();
  workerThread.Stop();
}

const RegisterScenario kEntryLoopback(
  "entry-loopback",
  "latency and processor time that one entry thread adds on loopback at a "
  "fixed rate",
  RunEntryLoopback);

} // namespace

} // namespace sequoiakeel
