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

struct Fixture
{
  explicit Fixture(bool aProbe = true)
    : backend(this->threads.Context(), AnswerNormally)
    , entry(this->threads.Context(), this->store, this->Options(aProbe))
  {
  }
  ~Fixture() { this->threads.Stop(); }

  TestEntryOptions Options(bool aProbe)
  {
    TestEntryOptions options;
    options.ports = { this->backend.Port() };
    options.pool.probeAfter =
      aProbe ? Duration(milliseconds(300)) : Duration(std::chrono::hours(1));
    options.pool.probeTimeout = milliseconds(200);
    options.path.minAttemptTimeout = milliseconds(200);
    options.path.defaultAttemptTimeout = milliseconds(200);
    options.limits.retryPercent = 100;
    return options;
  }

  Endpoint Worker() const
  {
    return Endpoint{ "127.0.0.1", this->backend.Port() };
  }

  /** Opens as many connections as the entry may have by sending more concurrent
   * requests than that, and leaves the connections idle. */
  void FillPool()
  {
    this->backend.SetBehaviour([](const BackendRequest& aRequest) {
      Reaction reaction = AnswerNormally(aRequest);
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
    this->backend.SetBehaviour(AnswerNormally);
  }

  TestThreads threads;
  FakeStore store;
  FakeBackend backend;
  TestEntry entry;
};

} // namespace

// Guards against idle connections that stay in the pool after a device on the
// network path lost the state of these connections: without probes, only a
// request sent on such a connection would detect that it is unresponsive.
TEST_CASE("unresponsive idle connections are retired without a request")
{
  Fixture fixture;
  fixture.FillPool();
  fixture.backend.MakeExistingUnresponsive();
  CHECK(WaitUntil([&] { return fixture.backend.Open() == 0; }));
  // Wait for the pool too: the backend server detects that a connection is
  // closed before the pool has updated its count.
  CHECK(WaitUntil([&] {
    return fixture.entry.Pool().OpenConnections(fixture.Worker()) == 0;
  }));
  CHECK(fixture.entry.Pool().Counters().silent > 0);
}

// Guards against retiring connections that are idle but alive.
TEST_CASE("idle connections that answer the probe are kept")
{
  Fixture fixture;
  fixture.FillPool();
  const std::size_t accepted = fixture.backend.Accepted();
  CHECK(
    WaitUntil([&] { return fixture.entry.Pool().Counters().probes >= 10; }));
  CHECK(fixture.entry.Pool().Counters().silent == 0);
  CHECK(fixture.backend.Accepted() == accepted);
}

// Guards against an unknown outcome because a request that may be sent only
// once was sent on a connection that was already unresponsive.
TEST_CASE("a request sent once does not use an unresponsive connection")
{
  Fixture fixture;
  fixture.FillPool();
  fixture.backend.MakeExistingUnresponsive();
  std::this_thread::sleep_for(milliseconds(150));
  for (int order = 0; order < 5; ++order) {
    const std::string body = "order " + std::to_string(order);
    CHECK(OutcomeOf(fixture.entry.Call(body, AtMostOnceHeaders(body))) ==
          "done");
    CHECK(fixture.backend.ExecutionsOf(body) == 1);
  }
}

// Guards against requests that all wait for their deadline on connections that
// became unresponsive together, although new connections work.
TEST_CASE("requests on unresponsive connections are answered over new ones")
{
  Fixture fixture;
  fixture.FillPool();
  for (int request = 0; request < 100; ++request) {
    fixture.entry.Catalog().Find("quote")->router->CountRequest();
  }
  fixture.backend.MakeExistingUnresponsive();
  std::vector<std::future<HttpResponse>> calls;
  for (int call = 0; call < 4; ++call) {
    calls.push_back(fixture.entry.Send("quote"));
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
  Fixture fixture(false);
  fixture.FillPool();
  REQUIRE(fixture.backend.Open() >= 2);
  fixture.backend.MakeExistingUnresponsive();
  const HttpHeaders brief =
    MakeHeaders({ { "Sequoiakeel-Deadline-Ms", "150" } });
  CHECK(OutcomeOf(fixture.entry.Call("first", brief)) ==
        "unknown server-timeout");
  for (int call = 0; call < 5; ++call) {
    CHECK(OutcomeOf(fixture.entry.Call("next", brief)) == "done");
  }
}

// Guards against more connections to a worker than the entry's share while
// connections are replaced and probed under load. The test calls the pool
// directly, so that it does not depend on the limits of the routing.
TEST_CASE("an entry never opens more connections than its share")
{
  Fixture fixture;
  std::atomic<std::uint32_t> most{ 0 };
  fixture.backend.SetBehaviour([&](const BackendRequest& aRequest) {
    const std::uint32_t open =
      fixture.entry.Pool().OpenConnections(fixture.Worker());
    std::uint32_t known = most;
    while (open > known && !most.compare_exchange_weak(known, open)) {
    }
    Reaction reaction = AnswerNormally(aRequest);
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
      ExchangeOptions options;
      options.timeout = milliseconds(300);
      options.requireRecentResponse = call % 3 == 0;
      calls.push_back(
        boost::asio::co_spawn(fixture.threads.Context(),
                              fixture.entry.Pool().Exchange(
                                fixture.Worker(), std::move(request), options),
                              boost::asio::use_future));
    }
    if (round % 3 == 2) {
      fixture.backend.MakeExistingUnresponsive();
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
