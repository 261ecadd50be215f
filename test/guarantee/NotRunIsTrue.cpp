#include "RequestOutcome.h"
#include "support/Deployment.h"
#include "support/FakeBackend.h"
#include "support/FakeStore.h"
#include "support/RequestHarness.h"

#include <atomic>
#include <doctest/doctest.h>
#include <set>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>

using namespace sequoiakeel;
using std::chrono::milliseconds;

namespace {

/** Provides one backend server. A request with the body "hold" occupies the
 * server for the time in the member hold; requests with the body "busy" or
 * "leaving" are refused explicitly. */
struct Fixture
{
  Fixture()
    : backend(this->threads.Context(), [this](const BackendRequest& aRequest) {
      return this->React(aRequest);
    })
  {
  }
  ~Fixture() { this->threads.Stop(); }

  Reaction React(const BackendRequest& aRequest) const
  {
    if (aRequest.body == "busy" || aRequest.body == "leaving") {
      return RefuseExplicitly(aRequest, aRequest.body);
    }
    Reaction reaction = AnswerNormally(aRequest);
    if (aRequest.body == "hold") {
      reaction.delay = this->hold;
    }
    return reaction;
  }

  TestEntryOptions Options()
  {
    TestEntryOptions options;
    options.ports = { this->backend.Port() };
    // With this limit per worker, the share of one entry is a single
    // connection, so that one request occupies the server.
    options.limits.connectionsPerWorker = 10;
    options.service.queueLimit = 1;
    return options;
  }

  std::unique_ptr<TestEntry> MakeEntry(TestEntryOptions aOptions)
  {
    return std::make_unique<TestEntry>(
      this->threads.Context(), this->store, std::move(aOptions));
  }

  /** Waits until the backend server has begun to execute aCount requests. */
  bool AwaitExecutions(std::size_t aCount) const
  {
    return WaitUntil([&] { return this->backend.Executions() >= aCount; });
  }

  TestThreads threads;
  FakeStore store;
  milliseconds hold{ 500 };
  FakeBackend backend;
};

using Headers = std::vector<HttpHeader>;

/** Sends a request and checks that it was reported as not run and did not run.
 * Returns the reason. */
std::string
CallExpectingRefusal(Fixture& aFixture, TestEntry& aEntry, HttpHeaders aHeaders)
{
  const std::string body = "must not run";
  const HttpResponse response = aEntry.Call(body, std::move(aHeaders));
  CHECK(response.headers.Get("Sequoiakeel-Outcome") == "not-run");
  CHECK(response.status >= 400);
  CHECK(aFixture.backend.ExecutionsOf(body) == 0);
  return std::string(response.headers.Get("Sequoiakeel-Reason"));
}

HttpHeaders
OneHeader(const std::string& aName, const std::string& aValue)
{
  return MakeHeaders({ { aName, aValue } });
}

/** Waits until at least aCount requests are in the queue. */
bool
AwaitQueued(TestEntry& aEntry, std::size_t aCount)
{
  return WaitUntil([&] {
    return aEntry.Catalog().Find("quote")->router->QueueDepth() >= aCount;
  });
}

std::uint16_t
ClosedPort(Fixture& aFixture)
{
  boost::asio::ip::tcp::acceptor acceptor(
    aFixture.threads.Context(), { boost::asio::ip::address_v4::loopback(), 0 });
  return acceptor.local_endpoint().port();
}

/** Reasons that the tests in this file provoke. */
const std::set<std::string_view> kProvokedHere{ "bad-request",
                                                "unknown-service",
                                                "unknown-team",
                                                "bad-deadline",
                                                "bad-flag",
                                                "bad-idempotency-key",
                                                "idempotency-key-reused",
                                                "stopping",
                                                "entry-overloaded",
                                                "store-unavailable",
                                                "queue-full",
                                                "team-share-full",
                                                "deadline-unreachable",
                                                "deadline-passed",
                                                "no-servers",
                                                "all-leaving",
                                                "all-at-limit",
                                                "servers-busy",
                                                "servers-leaving",
                                                "connect-failed" };

/** Refusal reasons that the entry's HTTP layer reports. The tests in
 * test/path/EntryRequests.cpp provoke them. */
const std::set<std::string_view> kProvokedElsewhere{ "unknown-path",
                                                     "starting" };

} // namespace

// Guards against a crash of the tests in this file: the periodic work of an
// entry under test continued briefly after the entry was destroyed. Without the
// wait in ~TestEntry(), AddressSanitizer reports this access to the destroyed
// entry.
TEST_CASE("an entry under test can be destroyed before its threads end")
{
  Fixture fixture;
  for (int i = 0; i < 3; ++i) {
    fixture.MakeEntry(fixture.Options());
    std::this_thread::sleep_for(milliseconds(45));
  }
  CHECK(fixture.backend.Executions() == 0);
}

// Guards against a new refusal reason that no test provokes.
TEST_CASE("each refusal reason of the table is provoked by a test")
{
  std::set<std::string_view> texts;
  for (const ReasonRule& rule : AllReasonRules()) {
    CHECK(RuleOf(rule.reason).text == rule.text);
    CHECK(texts.insert(rule.text).second);
    const bool provoked = kProvokedHere.contains(rule.text) ||
                          kProvokedElsewhere.contains(rule.text);
    CHECK_MESSAGE(provoked == (rule.outcome == Outcome::NotRun), rule.text);
  }
}

// Guards against reporting "not-run" for a request that was sent: this is
// correct only after an explicit refusal or if nothing was sent.
TEST_CASE("a request that was sent and not refused is unknown")
{
  for (const AttemptEnd end :
       { AttemptEnd::TimedOut, AttemptEnd::Lost, AttemptEnd::Mismatched }) {
    CHECK(MayHaveRun(end));
    CHECK_FALSE(MaySendAgain(end, false));
    CHECK(RuleOf(FinalReason(end, false)).outcome == Outcome::Unknown);
  }
  for (const AttemptEnd end : { AttemptEnd::RefusedBusy,
                                AttemptEnd::RefusedLeaving,
                                AttemptEnd::NotSent }) {
    CHECK_FALSE(MayHaveRun(end));
    CHECK(RuleOf(FinalReason(end, false)).outcome == Outcome::NotRun);
    // A refusal of the second attempt says nothing about the first.
    CHECK(RuleOf(FinalReason(end, true)).outcome == Outcome::Unknown);
  }
  for (const ReasonRule& rule : AllReasonRules()) {
    const OutcomeReason after = AdjustForUnresolved(rule.reason, true);
    CHECK(RuleOf(after).outcome == Outcome::Unknown);
  }
}

// Guards against treating a response as an explicit refusal because of its
// status 503 alone, although its header field Sequoiakeel-Not-Run is missing or
// has another value, or although it refuses another request.
TEST_CASE("only the worker's explicit refusal of this request counts")
{
  ExchangeResult exchange;
  exchange.progress = ExchangeProgress::Complete;
  exchange.response.status = 503;
  exchange.response.headers.Set("Content-Length", "0");
  exchange.response.headers.Set("Sequoiakeel-Request-Id", "a");
  CHECK(ClassifyAttempt(exchange, "a") == AttemptEnd::Answered);
  exchange.response.headers.Set("Sequoiakeel-Not-Run", "perhaps");
  CHECK(ClassifyAttempt(exchange, "a") == AttemptEnd::Answered);
  exchange.response.headers.Set("Sequoiakeel-Not-Run", "busy");
  CHECK(ClassifyAttempt(exchange, "a") == AttemptEnd::RefusedBusy);
  CHECK(ClassifyAttempt(exchange, "b") == AttemptEnd::Mismatched);
  exchange.response.status = 200;
  CHECK(ClassifyAttempt(exchange, "a") == AttemptEnd::Answered);
}

// Guards against invalid input that is forwarded, or refused without an
// outcome.
TEST_CASE("a request with bad headers does not run")
{
  Fixture fixture;
  const auto entry = fixture.MakeEntry(fixture.Options());
  CHECK(
    CallExpectingRefusal(fixture, *entry, OneHeader("Sequoiakeel-Team", "x")) ==
    "unknown-team");
  for (const char* value : { "0",
                             "-1",
                             "1e3",
                             " 5",
                             "",
                             "600001",
                             "99999999999999999999",
                             "soon" }) {
    CHECK(CallExpectingRefusal(
            fixture, *entry, OneHeader("Sequoiakeel-Deadline-Ms", value)) ==
          "bad-deadline");
  }
  for (const char* name : { "Sequoiakeel-Idempotent", "Sequoiakeel-Urgent" }) {
    for (const char* value : { "False", "0", "", "no" }) {
      CHECK(CallExpectingRefusal(fixture, *entry, OneHeader(name, value)) ==
            "bad-flag");
    }
  }
  const std::string longKey(300, 'k');
  CHECK(CallExpectingRefusal(fixture, *entry, AtMostOnceHeaders(longKey)) ==
        "bad-idempotency-key");
  CHECK(CallExpectingRefusal(fixture, *entry, AtMostOnceHeaders("")) ==
        "bad-idempotency-key");

  HttpRequest wrongMethod;
  wrongMethod.method = "PUT";
  const HttpResponse bad =
    boost::asio::co_spawn(fixture.threads.Context(),
                          entry->Path().Handle("quote", wrongMethod),
                          boost::asio::use_future)
      .get();
  CHECK(OutcomeOf(bad) == "not-run bad-request");
  wrongMethod.method = "POST";
  const HttpResponse unknown =
    boost::asio::co_spawn(fixture.threads.Context(),
                          entry->Path().Handle("none", wrongMethod),
                          boost::asio::use_future)
      .get();
  CHECK(OutcomeOf(unknown) == "not-run unknown-service");
  CHECK(fixture.backend.Executions() == 0);
}

// Guards against accepting the same key for two different requests.
TEST_CASE("a request with the key of another request is refused")
{
  Fixture fixture;
  const auto entry = fixture.MakeEntry(fixture.Options());
  CHECK(OutcomeOf(entry->Call("order", AtMostOnceHeaders("k"))) == "done");
  CHECK(CallExpectingRefusal(fixture, *entry, AtMostOnceHeaders("k")) ==
        "idempotency-key-reused");
}

// Guards against running a request that cannot be claimed, and against
// reporting "not-run" for a request whose claim may still take effect while it
// is sent.
TEST_CASE("without the store a request that runs at most once does not run")
{
  Fixture fixture;
  const auto entry = fixture.MakeEntry(fixture.Options());
  HttpHeaders headers = AtMostOnceHeaders("k");
  headers.Set("Sequoiakeel-Deadline-Ms", "300");
  SUBCASE("the store is down")
  {
    fixture.store.SetDown(true);
  }
  SUBCASE("all claims are delayed")
  {
    fixture.store.DelayWrites(1000);
  }
  CHECK(CallExpectingRefusal(fixture, *entry, headers) == "store-unavailable");
  // Wait until the claim, which may take effect only now, has been withdrawn,
  // so that a retry with the same idempotency key can run.
  fixture.store.SetDown(false);
  fixture.store.DelayWrites(0);
  fixture.store.ApplyDelayed();
  CHECK(WaitUntil([&] { return entry->Records().Pending() == 0; }));
  CHECK(fixture.store.Values("requests/").empty());
  CHECK(OutcomeOf(entry->Call("must not run", AtMostOnceHeaders("k"))) ==
        "done");
}

// Guards against sending a request that the queue refused.
TEST_CASE("a request that the full queue refuses does not run")
{
  Fixture fixture;
  TestEntryOptions options = fixture.Options();
  options.service.queueLimit = 2;
  const auto entry = fixture.MakeEntry(options);
  std::future<HttpResponse> running = entry->Send("hold");
  REQUIRE(fixture.AwaitExecutions(1));
  std::future<HttpResponse> first = entry->Send("first");
  REQUIRE(AwaitQueued(*entry, 1));
  std::future<HttpResponse> second = entry->Send("second");
  REQUIRE(AwaitQueued(*entry, 2));
  CHECK(CallExpectingRefusal(fixture, *entry, {}) == "queue-full");
  // A second team of equal weight is entitled to half of the queue.
  std::future<HttpResponse> other =
    entry->Send("other", OneHeader("Sequoiakeel-Team", "planning"));
  CHECK(OutcomeOf(second.get()) == "not-run team-share-full");
  CHECK(OutcomeOf(running.get()) == "done");
  CHECK(OutcomeOf(first.get()) == "done");
  CHECK(OutcomeOf(other.get()) == "done");
  CHECK(fixture.backend.ExecutionsOf("second") == 0);
}

// Guards against sending a request whose caller no longer waits.
TEST_CASE("a request that cannot meet its deadline does not run")
{
  Fixture fixture;
  const auto entry = fixture.MakeEntry(fixture.Options());
  std::future<HttpResponse> running = entry->Send("hold");
  REQUIRE(fixture.AwaitExecutions(1));
  CHECK(CallExpectingRefusal(
          fixture, *entry, OneHeader("Sequoiakeel-Deadline-Ms", "50")) ==
        "deadline-passed");
  CHECK(OutcomeOf(running.get()) == "done");
  // The typical latency of 500 ms is now known.
  running = entry->Send("hold");
  REQUIRE(WaitUntil([&] { return fixture.backend.ExecutionsOf("hold") == 2; }));
  CHECK(CallExpectingRefusal(
          fixture, *entry, OneHeader("Sequoiakeel-Deadline-Ms", "50")) ==
        "deadline-unreachable");
  CHECK(OutcomeOf(running.get()) == "done");
}

// Guards against running a request that is refused because of the state of the
// servers.
TEST_CASE("a request without a usable server does not run")
{
  Fixture fixture;
  TestEntryOptions options = fixture.Options();
  SUBCASE("no server")
  {
    options.ports.clear();
    const auto entry = fixture.MakeEntry(options);
    CHECK(CallExpectingRefusal(fixture, *entry, {}) == "no-servers");
  }
  SUBCASE("nothing listens")
  {
    options.ports = { ClosedPort(fixture) };
    const auto entry = fixture.MakeEntry(options);
    CHECK(CallExpectingRefusal(fixture, *entry, {}) == "connect-failed");
  }
  SUBCASE("all leaving")
  {
    const auto entry = fixture.MakeEntry(options);
    entry->Call("leaving");
    // Each tick of the entry under test clears the leaving mark of the worker,
    // so the mark is set immediately before the call.
    std::string reason;
    CHECK(WaitUntil([&] {
      entry->Catalog().MarkLeaving("worker-1");
      const HttpResponse response = entry->Call("may run");
      reason = response.headers.Get("Sequoiakeel-Reason");
      return reason == "all-leaving";
    }));
  }
  SUBCASE("no connection is allowed")
  {
    const auto entry = fixture.MakeEntry(options);
    entry->Pool().SetLimit(0);
    CHECK(CallExpectingRefusal(fixture, *entry, {}) == "all-at-limit");
  }
}

// Guards against returning a worker's refusal to the caller as an answer, and
// against retrying it indefinitely.
TEST_CASE("a request that every worker refuses did not run")
{
  Fixture fixture;
  const auto entry = fixture.MakeEntry(fixture.Options());
  const HttpResponse busy = entry->Call("busy");
  CHECK(OutcomeOf(busy) == "not-run servers-busy");
  const HttpResponse leaving = entry->Call("leaving");
  CHECK(leaving.headers.Get("Sequoiakeel-Outcome") == "not-run");
  CHECK(entry->ReportedLeaving().front() == "worker-1");
  CHECK(fixture.backend.Executions() == 0);
}

// Guards against deriving the outcome from the last refusal only: the first
// attempt was sent and may have run.
TEST_CASE("a refusal after a lost attempt is unknown")
{
  Fixture fixture;
  fixture.backend.SetBehaviour([](const BackendRequest& aRequest) {
    if (aRequest.number > 1) {
      return RefuseExplicitly(aRequest, "busy");
    }
    Reaction dies;
    dies.close = true;
    return dies;
  });
  const auto entry = fixture.MakeEntry(fixture.Options());
  for (int request = 0; request < 100; ++request) {
    entry->Catalog().Find("quote")->router->CountRequest();
  }
  const HttpResponse response = entry->Call("lost");
  CHECK(response.headers.Get("Sequoiakeel-Outcome") == "unknown");
  CHECK(fixture.backend.ExecutionsOf("lost") == 1);
}

// Guards against a stopping or overloaded entry that runs a request it refused,
// or drops a request it accepted.
TEST_CASE("a stopping or overloaded entry runs no new requests")
{
  Fixture fixture;
  TestEntryOptions options = fixture.Options();
  options.path.maxRequests = 1;
  const auto entry = fixture.MakeEntry(options);
  std::future<HttpResponse> running = entry->Send("hold");
  REQUIRE(fixture.AwaitExecutions(1));
  CHECK(CallExpectingRefusal(fixture, *entry, {}) == "entry-overloaded");
  entry->Path().Stop();
  CHECK(CallExpectingRefusal(fixture, *entry, {}) == "stopping");
  CHECK(OutcomeOf(running.get()) == "done");
}
