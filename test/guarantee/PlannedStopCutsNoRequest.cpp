#include "HttpServer.h"
#include "support/Deployment.h"
#include "support/RequestHarness.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

using namespace sequoiakeel;
using std::chrono::milliseconds;

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

/** Results of the callers' requests. */
struct CallResults
{
  std::atomic<int> answered{ 0 };
  std::atomic<int> refusedToConnect{ 0 };
  std::atomic<int> interrupted{ 0 };
};

/** Sends requests one after the other, over one connection as long as the
 * server keeps it open, until the entry accepts no more connections. */
asio::awaitable<void>
CallUntilClosed(Endpoint aEntry, CallResults& aResults)
{
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  constexpr std::chrono::seconds kTimeout{ 60 };
  while (true) {
    HttpConnection connection(executor);
    const std::string error = co_await connection.Connect(aEntry, kTimeout);
    if (!error.empty()) {
      ++aResults.refusedToConnect;
      co_return;
    }
    do {
      HttpRequest request;
      request.method = "POST";
      request.target = "/v1/services/quote";
      request.headers.Set("Host", "entry");
      request.body = "quote";
      const ExchangeResult result =
        co_await connection.Exchange(std::move(request), kTimeout);
      const bool whole =
        result.Complete() &&
        result.response.headers.Get("Sequoiakeel-Outcome") == "done";
      ++(whole ? aResults.answered : aResults.interrupted);
      if (!result.Complete()) {
        co_return;
      }
    } while (connection.Reusable());
  }
}

void
RunCallers(Endpoint aEntry, CallResults& aResults, int aCount)
{
  asio::io_context context(1);
  for (int caller = 0; caller < aCount; ++caller) {
    asio::co_spawn(context, CallUntilClosed(aEntry, aResults), asio::detached);
  }
  context.run();
}

std::string
RawRequest(const std::string& aTarget)
{
  return "POST " + aTarget +
         " HTTP/1.1\r\nHost: entry\r\nContent-Length: 0\r\n\r\n";
}

/** Reads until the server closes the connection. */
std::string
ReadAll(Tcp::socket& aSocket)
{
  std::string text;
  boost::system::error_code error;
  asio::read(aSocket, asio::dynamic_buffer(text), error);
  CHECK(error == asio::error::eof);
  return text;
}

} // namespace

// Guards against a stop that interrupts requests in progress, loses requests
// that arrive on open connections during the stop, or loses the records of
// their outcomes.
TEST_CASE("an entry stopped under load answers every request it accepted")
{
  Deployment deployment;
  deployment.StartWorker("worker-1", "zone-1", { "--service-ms", "50" });
  deployment.StartWorker("worker-2", "zone-1", { "--service-ms", "50" });
  deployment.PutConfiguration(SmallConfiguration({ "zone-1" }));
  deployment.StartEntry("entry-1", "zone-1");
  deployment.StartEntry("entry-2", "zone-1");
  CallResults results;
  std::thread callers(
    [&] { RunCallers(deployment.EndpointOf("entry-1"), results, 12); });
  CHECK(WaitUntil([&] { return results.answered >= 50; }));
  std::thread once([&] {
    const HttpResponse order = deployment.Call(
      "entry-1", "POST", "/v1/services/quote", "order", AtMostOnceHeaders("k"));
    CHECK(OutcomeOf(order) == "done");
  });
  CHECK(WaitUntil([&] {
    return deployment.LogOf("entry-1").find("event=claim") != std::string::npos;
  }));
  deployment.Process("entry-1").Signal(SIGTERM);
  once.join();
  callers.join();
  CHECK(deployment.Process("entry-1").Wait() == 0);
  CHECK(results.interrupted == 0);
  CHECK(results.refusedToConnect == 12);
  // The outcome of the order was recorded before the entry ended.
  const HttpResponse again = deployment.Call(
    "entry-2", "POST", "/v1/services/quote", "order", AtMostOnceHeaders("k"));
  CHECK(OutcomeOf(again) == "done");
  MESSAGE("answered " << results.answered.load());
}

// Guards against an entry that exits before the outcome of its last request is
// in the store: a retry would get an unknown outcome.
TEST_CASE("an entry records the outcome of its last request before it ends")
{
  Deployment deployment;
  deployment.StartWorker("worker-1", "zone-1", { "--service-ms", "300" });
  deployment.PutConfiguration(SmallConfiguration({ "zone-1" }));
  deployment.StartEntry("entry-1", "zone-1");
  deployment.StartEntry("entry-2", "zone-1");
  deployment.Call("store", "POST", "/standin/faults", R"({"delay_ms": 500})");
  std::thread once([&] {
    const HttpResponse order = deployment.Call(
      "entry-1", "POST", "/v1/services/quote", "order", AtMostOnceHeaders("k"));
    CHECK(OutcomeOf(order) == "done");
  });
  CHECK(WaitUntil([&] {
    return deployment.LogOf("entry-1").find("event=route") != std::string::npos;
  }));
  deployment.Process("entry-1").Signal(SIGTERM);
  once.join();
  CHECK(deployment.Process("entry-1").Wait() == 0);
  const HttpResponse again = deployment.Call(
    "entry-2", "POST", "/v1/services/quote", "order", AtMostOnceHeaders("k"));
  CHECK(OutcomeOf(again) == "done");
}

// Guards against an entry that cannot be stopped while a request hangs.
TEST_CASE("a second signal ends the entry at once with exit code 1")
{
  Deployment deployment;
  deployment.StartWorker("worker-1", "zone-1", { "--service-ms", "600000" });
  deployment.PutConfiguration(SmallConfiguration({ "zone-1" }));
  deployment.StartEntry("entry-1", "zone-1");
  std::thread caller([&] {
    CHECK_THROWS(deployment.Call(
      "entry-1",
      "POST",
      "/v1/services/quote",
      "quote",
      MakeHeaders({ { "Sequoiakeel-Idempotent", "false" },
                    { "Sequoiakeel-Deadline-Ms", "600000" } })));
  });
  CHECK(WaitUntil([&] {
    return deployment.LogOf("entry-1").find("event=route") != std::string::npos;
  }));
  deployment.Process("entry-1").Signal(SIGTERM);
  CHECK(WaitUntil([&] {
    return deployment.LogOf("entry-1").find("event=stop_requested") !=
           std::string::npos;
  }));
  CHECK(deployment.Process("entry-1").Running());
  deployment.Process("entry-1").Signal(SIGTERM);
  CHECK(deployment.Process("entry-1").Wait() == 1);
  caller.join();
}

// Guards against closing an open connection as soon as the stop begins: the
// client is informed of the stop only by the next response.
TEST_CASE("an open connection serves one more request after the stop began")
{
  TestThreads threads(1);
  std::atomic<int> handled{ 0 };
  HttpServerLimits limits;
  limits.stopGrace = std::chrono::seconds(60);
  HttpServer server(threads.Context(),
                    Endpoint{ "127.0.0.1", 0 },
                    limits,
                    [&](HttpRequest) -> asio::awaitable<HttpResponse> {
                      ++handled;
                      co_return HttpResponse{};
                    });
  server.Start();
  asio::io_context own;
  const Tcp::endpoint endpoint(asio::ip::address_v4::loopback(), server.Port());
  Tcp::socket open(own);
  open.connect(endpoint);
  asio::write(open, asio::buffer(RawRequest("/before")));
  CHECK(WaitUntil([&] { return handled == 1; }));
  server.StopAccepting();
  // Wait until the listener is closed, which is the first step of a stop.
  CHECK(WaitUntil([&] {
    boost::system::error_code error;
    Tcp::socket late(own);
    late.connect(endpoint, error);
    return static_cast<bool>(error);
  }));
  asio::write(open, asio::buffer(RawRequest("/after")));
  const std::string text = ReadAll(open);
  CHECK(handled == 2);
  CHECK(text.find("Connection: close") != std::string::npos);
  threads.Stop();
}

// Guards against closing a connection whose request is already buffered in the
// kernel. The test covers a connection that waits to be accepted and an idle
// connection.
TEST_CASE("connections that the server has not read yet are served")
{
  TestThreads threads(1);
  std::atomic<int> handled{ 0 };
  HttpServerLimits limits;
  limits.stopGrace = milliseconds(200);
  HttpServer server(threads.Context(),
                    Endpoint{ "127.0.0.1", 0 },
                    limits,
                    [&](HttpRequest) -> asio::awaitable<HttpResponse> {
                      ++handled;
                      co_return HttpResponse{};
                    });
  server.Start();
  asio::io_context own;
  const Tcp::endpoint endpoint(asio::ip::address_v4::loopback(), server.Port());
  Tcp::socket idle(own);
  idle.connect(endpoint);
  asio::write(idle, asio::buffer(RawRequest("/first")));
  CHECK(WaitUntil([&] { return handled == 1; }));
  std::atomic<bool> blocked{ false };
  std::atomic<bool> release{ false };
  // Keeps the only thread busy while the requests arrive and the stop begins.
  asio::post(threads.Context(), [&] {
    blocked = true;
    while (!release) {
      std::this_thread::yield();
    }
  });
  CHECK(WaitUntil([&] { return blocked.load(); }));
  Tcp::socket waiting(own);
  waiting.connect(endpoint);
  asio::write(waiting, asio::buffer(RawRequest("/second")));
  asio::write(idle, asio::buffer(RawRequest("/third")));
  server.StopAccepting();
  release = true;
  CHECK(ReadAll(waiting).find("200 OK") != std::string::npos);
  CHECK(ReadAll(idle).find("200 OK") != std::string::npos);
  CHECK(handled == 3);
  std::future<bool> drained = asio::co_spawn(
    threads.Context(),
    server.Drain(std::chrono::steady_clock::now() + std::chrono::seconds(60)),
    asio::use_future);
  idle.close();
  waiting.close();
  CHECK(drained.get());
  threads.Stop();
}
