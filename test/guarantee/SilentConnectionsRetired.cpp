#include "support/Deployment.h"
#include "support/FakeBackend.h"
#include "support/FakeStore.h"
#include "support/RequestHarness.h"

#include <atomic>
#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

using namespace sequoiakeel;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t kShare = 6;

struct Bench
{
  explicit Bench(bool aProbe = true)
    : backend(this->threads.Context(), AnswerWell)
    , entry(this->threads.Context(), this->store, this->Options(aProbe))
  {
  }
  ~Bench() { this->threads.Stop(); }

  TestEntryOptions Options(bool aProbe)
  {
    TestEntryOptions options;
    options.ports = { this->backend.Port() };
    options.pool.probeAfter =
      aProbe ? Duration(milliseconds(300)) : Duration(std::chrono::hours(1));
    options.pool.probeTimeout = milliseconds(200);
    options.path.minProgress = milliseconds(200);
    options.path.unknownProgress = milliseconds(200);
    options.limits.retryPercent = 100;
    return options;
  }

  Endpoint Worker() const
  {
    return Endpoint{ "127.0.0.1", this->backend.Port() };
  }

  /** Opens connections by concurrent requests, more than the entry may have
   * connections, and leaves them idle. */
  void FillPool()
  {
    this->backend.SetBehaviour([](const BackendRequest& aRequest) {
      Reaction reaction = AnswerWell(aRequest);
      reaction.delay = milliseconds(100);
      return reaction;
    });
    CHECK(WaitUntil([&] {
      std::vector<std::future<HttpResponse>> calls;
      for (std::uint32_t call = 0; call < 2 * kShare; ++call) {
        calls.push_back(this->entry.Send("fill"));
      }
      for (std::future<HttpResponse>& call : calls) {
        CHECK(OutcomeOf(call.get()) == "done");
      }
      return this->backend.Open() >= 2;
    }));
    this->backend.SetBehaviour(AnswerWell);
  }

  TestThreads threads;
  FakeStore store;
  FakeBackend backend;
  TestEntry entry;
};

} // namespace

// Guards against idle connections that stay in the pool after a device on the
// network path lost their state: without probes, only a request would detect
// this.
TEST_CASE("unresponsive idle connections are retired without a request")
{
  Bench bench;
  bench.FillPool();
  bench.backend.SilenceExisting();
  CHECK(WaitUntil([&] { return bench.backend.Open() == 0; }));
  // The backend server sees that a connection is closed before the pool has
  // updated its count.
  CHECK(
    WaitUntil([&] { return bench.entry.Pool().OpenTo(bench.Worker()) == 0; }));
  CHECK(bench.entry.Pool().Counters().silent > 0);
}

// Guards against retiring connections that are idle but alive.
TEST_CASE("idle connections that answer the probe are kept")
{
  Bench bench;
  bench.FillPool();
  const std::size_t accepted = bench.backend.Accepted();
  CHECK(WaitUntil([&] { return bench.entry.Pool().Counters().probes >= 10; }));
  CHECK(bench.entry.Pool().Counters().silent == 0);
  CHECK(bench.backend.Accepted() == accepted);
}

// Guards against an unknown outcome because a request that may be sent only
// once was sent on a connection that was already unresponsive.
TEST_CASE("a request sent once does not use an unresponsive connection")
{
  Bench bench;
  bench.FillPool();
  bench.backend.SilenceExisting();
  std::this_thread::sleep_for(milliseconds(150));
  for (int order = 0; order < 5; ++order) {
    const std::string body = "order " + std::to_string(order);
    CHECK(OutcomeOf(bench.entry.Call(body, OnceHeaders(body))) == "done");
    CHECK(bench.backend.ExecutionsOf(body) == 1);
  }
}

// Guards against requests that all wait for their deadline on connections that
// became unresponsive together, although new connections work.
TEST_CASE("requests on unresponsive connections are answered over new ones")
{
  Bench bench;
  bench.FillPool();
  for (int request = 0; request < 100; ++request) {
    bench.entry.Catalog().Find("quote")->router->CountRequest();
  }
  bench.backend.SilenceExisting();
  std::vector<std::future<HttpResponse>> calls;
  for (int call = 0; call < 4; ++call) {
    calls.push_back(bench.entry.Send("quote"));
  }
  for (std::future<HttpResponse>& call : calls) {
    const HttpResponse response = call.get();
    CHECK(OutcomeOf(response) == "done");
    CHECK(response.body == "answer to quote");
  }
}

// Guards against losing one request on each connection of a worker when all of
// them became unresponsive together: the first time-out must close the others.
TEST_CASE("after one time-out the worker's other idle connections are closed")
{
  Bench bench(false);
  bench.FillPool();
  REQUIRE(bench.backend.Open() >= 2);
  bench.backend.SilenceExisting();
  const HttpHeaders brief =
    MakeHeaders({ { "Sequoiakeel-Deadline-Ms", "150" } });
  CHECK(OutcomeOf(bench.entry.Call("first", brief)) ==
        "unknown server-timeout");
  for (int call = 0; call < 5; ++call) {
    CHECK(OutcomeOf(bench.entry.Call("next", brief)) == "done");
  }
}

// Guards against more connections to a worker than the entry's share while
// connections are replaced and probed under load. The test calls the pool
// directly, so that it does not depend on the limits of the routing.
TEST_CASE("an entry never opens more connections than its share")
{
  Bench bench;
  std::atomic<std::uint32_t> most{ 0 };
  bench.backend.SetBehaviour([&](const BackendRequest& aRequest) {
    const std::uint32_t open = bench.entry.Pool().OpenTo(bench.Worker());
    std::uint32_t known = most;
    while (open > known && !most.compare_exchange_weak(known, open)) {
    }
    Reaction reaction = AnswerWell(aRequest);
    reaction.delay = milliseconds(5);
    return reaction;
  });
  int refused = 0;
  for (int round = 0; round < 10; ++round) {
    std::vector<std::future<ExchangeResult>> calls;
    for (int call = 0; call < 40; ++call) {
      HttpRequest request;
      request.method = "POST";
      request.target = "/services/quote";
      request.headers.Set("Sequoiakeel-Request-Id", std::to_string(call));
      ExchangeNeeds needs;
      needs.timeout = milliseconds(300);
      needs.proven = call % 3 == 0;
      calls.push_back(boost::asio::co_spawn(
        bench.threads.Context(),
        bench.entry.Pool().Exchange(bench.Worker(), std::move(request), needs),
        boost::asio::use_future));
    }
    if (round % 3 == 2) {
      bench.backend.SilenceExisting();
    }
    for (std::future<ExchangeResult>& call : calls) {
      const ExchangeResult result = call.get();
      if (result.error == ConnectionPool::kLimitError) {
        CHECK(result.progress == ExchangeProgress::NotSent);
        ++refused;
      }
    }
  }
  CHECK(refused > 0);
  CHECK(most == kShare);
}
