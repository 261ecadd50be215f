#include "support/Deployment.h"
#include "support/FakeBackend.h"
#include "support/FakeStore.h"
#include "support/ManualClock.h"
#include "support/RequestHarness.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

using namespace sequoiakeel;
using std::chrono::milliseconds;

namespace {

/** Two entries that share a store and two backend servers. */
struct Fixture
{
  explicit Fixture(FakeBackend::Behaviour aBehaviour = AnswerNormally)
    : firstBackend(this->threads.Context(), aBehaviour)
    , secondBackend(this->threads.Context(), aBehaviour)
    , firstEntry(this->threads.Context(), this->store, this->Options("entry-1"))
    , secondEntry(this->threads.Context(),
                  this->store,
                  this->Options("entry-2"))
  {
  }
  ~Fixture() { this->threads.Stop(); }

  TestEntryOptions Options(const std::string& aName)
  {
    TestEntryOptions options;
    options.name = aName;
    options.ports = { this->firstBackend.Port(), this->secondBackend.Port() };
    options.isAlive = [this](std::string_view aEntry, std::uint64_t) {
      return aEntry != "entry-1" || this->firstAlive;
    };
    return options;
  }

  std::size_t Runs(const std::string& aBody) const
  {
    return this->firstBackend.ExecutionsOf(aBody) +
           this->secondBackend.ExecutionsOf(aBody);
  }

  /** Waits until the outcomes are recorded; false if that takes too long. */
  bool AwaitRecordedOutcomes()
  {
    return WaitUntil([&] {
      return this->firstEntry.Records().Pending() == 0 &&
             this->secondEntry.Records().Pending() == 0;
    });
  }

  TestThreads threads;
  FakeStore store;
  std::atomic<bool> firstAlive{ true };
  FakeBackend firstBackend;
  FakeBackend secondBackend;
  TestEntry firstEntry;
  TestEntry secondEntry;
};

Reaction
CloseWithoutAnswer(const BackendRequest&)
{
  Reaction reaction;
  reaction.close = true;
  return reaction;
}

} // namespace

// Guards against running a request again on a retry, by the entry or by the
// caller, after the connection to the worker broke when the request had already
// been sent.
TEST_CASE("a request whose answer was lost is not sent again")
{
  Fixture fixture(CloseWithoutAnswer);
  CHECK(OutcomeOf(fixture.firstEntry.Call("order", AtMostOnceHeaders("k"))) ==
        "unknown connection-lost");
  REQUIRE(fixture.AwaitRecordedOutcomes());
  for (TestEntry* entry : { &fixture.firstEntry, &fixture.secondEntry }) {
    CHECK(OutcomeOf(entry->Call("order", AtMostOnceHeaders("k"))) ==
          "unknown earlier-attempt-unresolved");
  }
  CHECK(fixture.Runs("order") == 1);
}

// Guards against a retry by the entry of a request without an idempotency key
// whose connection broke after the request was sent.
TEST_CASE("a request without a key is sent once by its entry")
{
  Fixture fixture(CloseWithoutAnswer);
  const HttpHeaders headers =
    MakeHeaders({ { "Sequoiakeel-Idempotent", "false" } });
  CHECK(OutcomeOf(fixture.firstEntry.Call("order", headers)) ==
        "unknown connection-lost");
  CHECK(fixture.Runs("order") == 1);
}

// Guards against sending a request again after its connection became
// unresponsive: the request may have arrived.
TEST_CASE("a request on an unresponsive connection is not sent again")
{
  Fixture fixture([](const BackendRequest& aRequest) {
    Reaction reaction = AnswerNormally(aRequest);
    reaction.delay = std::chrono::hours(1);
    return reaction;
  });
  HttpHeaders headers = AtMostOnceHeaders("k");
  headers.Set("Sequoiakeel-Deadline-Ms", "200");
  CHECK(OutcomeOf(fixture.firstEntry.Call("order", headers)) ==
        "unknown server-timeout");
  REQUIRE(fixture.AwaitRecordedOutcomes());
  CHECK(OutcomeOf(fixture.secondEntry.Call("order", headers)) ==
        "unknown earlier-attempt-unresolved");
  CHECK(fixture.Runs("order") == 1);
}

// Guards against two entries that both find the key unclaimed and send the
// request.
TEST_CASE("retries through both entries at the same time run once")
{
  Fixture fixture([](const BackendRequest& aRequest) {
    Reaction reaction = AnswerNormally(aRequest);
    reaction.delay = milliseconds(20);
    return reaction;
  });
  for (int round = 0; round < 50; ++round) {
    const std::string body = "order " + std::to_string(round);
    const std::string key = "k" + std::to_string(round);
    std::vector<std::future<HttpResponse>> calls;
    for (int copy = 0; copy < 6; ++copy) {
      TestEntry& entry =
        copy % 2 == 0 ? fixture.firstEntry : fixture.secondEntry;
      calls.push_back(entry.Send(body, AtMostOnceHeaders(key)));
    }
    int answered = 0;
    for (std::future<HttpResponse>& call : calls) {
      const HttpResponse response = call.get();
      if (OutcomeOf(response) == "done") {
        ++answered;
        CHECK(response.body == "answer to " + body);
        continue;
      }
      CHECK(response.status == 409);
      CHECK(OutcomeOf(response) == "unknown in-progress");
    }
    CHECK(answered >= 1);
    CHECK(fixture.Runs(body) == 1);
  }
}

// Guards against a second run when the responses of the store are lost although
// the writes took effect, for the claim as well as for the outcome.
TEST_CASE("lost answers of the store do not cause a second run")
{
  Fixture fixture;
  fixture.firstEntry.Call("warm up", AtMostOnceHeaders("warm up"));
  REQUIRE(fixture.AwaitRecordedOutcomes());
  int lost = 0;
  SUBCASE("of the claim")
  {
    lost = 1;
  }
  SUBCASE("of the claim and the outcome")
  {
    lost = 2;
  }
  SUBCASE("of several tries")
  {
    lost = 4;
  }
  fixture.store.LoseAnswers(lost);
  CHECK(OutcomeOf(fixture.firstEntry.Call("order", AtMostOnceHeaders("k"))) ==
        "done");
  REQUIRE(fixture.AwaitRecordedOutcomes());
  const HttpResponse again =
    fixture.secondEntry.Call("order", AtMostOnceHeaders("k"));
  CHECK(OutcomeOf(again) == "done");
  CHECK(again.body == "answer to order");
  CHECK(fixture.Runs("order") == 1);
}

// Guards against a delayed claim that takes effect after another entry ran the
// request, and against a withdrawal that deletes the other entry's record.
TEST_CASE("a claim that takes effect late does not free the key")
{
  Fixture fixture;
  fixture.store.DelayWrites(1000);
  HttpHeaders headers = AtMostOnceHeaders("k");
  headers.Set("Sequoiakeel-Deadline-Ms", "200");
  CHECK(OutcomeOf(fixture.firstEntry.Call("order", headers)) ==
        "not-run store-unavailable");
  fixture.store.DelayWrites(0);
  CHECK(OutcomeOf(fixture.secondEntry.Call("order", AtMostOnceHeaders("k"))) ==
        "done");
  fixture.store.ApplyDelayed();
  REQUIRE(fixture.AwaitRecordedOutcomes());
  CHECK(OutcomeOf(fixture.firstEntry.Call("order", AtMostOnceHeaders("k"))) ==
        "done");
  CHECK(fixture.Runs("order") == 1);
}

// Guards against claiming under a lease that the store has lost: the write must
// fail, and the failure must not be mistaken for a claim by another request.
TEST_CASE("a claim under a lost lease is made under a new one")
{
  Fixture fixture;
  CHECK(OutcomeOf(fixture.firstEntry.Call("order 1", AtMostOnceHeaders("1"))) ==
        "done");
  REQUIRE(fixture.AwaitRecordedOutcomes());
  fixture.store.ExpireLeases();
  CHECK(OutcomeOf(fixture.firstEntry.Call("order 2", AtMostOnceHeaders("2"))) ==
        "done");
  CHECK(fixture.Runs("order 2") == 1);
}

// Guards against losing a request that a worker refused, and against running it
// on two workers.
TEST_CASE("a request that one worker refused runs once on another")
{
  Fixture fixture;
  fixture.firstBackend.SetBehaviour([](const BackendRequest& aRequest) {
    return RefuseExplicitly(aRequest, "busy");
  });
  for (int order = 0; order < 20; ++order) {
    const std::string body = "order " + std::to_string(order);
    CHECK(OutcomeOf(fixture.firstEntry.Call(body, AtMostOnceHeaders(body))) ==
          "done");
    CHECK(fixture.Runs(body) == 1);
  }
}

// Guards against replaying an empty, partial or altered answer if the answer is
// too large to keep or contains arbitrary bytes.
TEST_CASE("a retry gets the kept answer or the reason response-not-kept")
{
  std::string answer;
  SUBCASE("any bytes")
  {
    answer = std::string("\0\xff\r\n\"", 5);
  }
  SUBCASE("the largest kept")
  {
    answer = std::string(256 * 1024, 'a');
  }
  SUBCASE("too large")
  {
    answer = std::string(256 * 1024 + 1, 'a');
  }
  Fixture fixture([&](const BackendRequest& aRequest) {
    Reaction reaction;
    reaction.bytes = RawResponse(
      201, aRequest.id, answer, "Content-Type: application/x-plan\r\n");
    return reaction;
  });
  const HttpResponse first =
    fixture.firstEntry.Call("order", AtMostOnceHeaders("k"));
  CHECK(first.status == 201);
  CHECK(first.body == answer);
  REQUIRE(fixture.AwaitRecordedOutcomes());
  const HttpResponse again =
    fixture.secondEntry.Call("order", AtMostOnceHeaders("k"));
  CHECK(fixture.Runs("order") == 1);
  if (answer.size() > kMaxKeptResponseBytes) {
    CHECK(OutcomeOf(again) == "unknown response-not-kept");
    return;
  }
  CHECK(OutcomeOf(again) == "done");
  CHECK(again.status == 201);
  CHECK(again.body == answer);
  CHECK(again.headers.Get("Content-Type") == "application/x-plan");
}

// Guards against an entry that adopts the claim of a dead entry and sends the
// request: the dead entry may have sent it already.
TEST_CASE("the claim of a dead entry stays unknown")
{
  Fixture fixture([](const BackendRequest& aRequest) {
    Reaction reaction = AnswerNormally(aRequest);
    reaction.delay = std::chrono::hours(1);
    return reaction;
  });
  HttpHeaders headers = AtMostOnceHeaders("k");
  headers.Set("Sequoiakeel-Deadline-Ms", "60000");
  const std::future<HttpResponse> running =
    fixture.firstEntry.Send("order", headers);
  REQUIRE(WaitUntil([&] { return fixture.Runs("order") == 1; }));
  CHECK(OutcomeOf(fixture.secondEntry.Call("order", headers)) ==
        "unknown in-progress");
  fixture.firstAlive = false;
  CHECK(OutcomeOf(fixture.secondEntry.Call("order", headers)) ==
        "unknown earlier-attempt-unresolved");
  CHECK(fixture.Runs("order") == 1);
}

// Guards against records that expire before 24 hours have passed: a retry
// minutes or hours later must find them. The test advances a manual clock.
TEST_CASE("records are kept for at least 24 hours")
{
  TestThreads threads;
  FakeStore store;
  ManualClock clock;
  const auto isAlive = [](std::string_view, std::uint64_t) { return true; };
  const auto records = std::make_shared<IdempotencyRecords>(
    threads.Context().get_executor(), store, clock, "entry-1", 1, isAlive);
  const auto claim = [&](const std::string& aKey, const std::string& aId) {
    ClaimRequest request;
    request.key = { "team", "service", aKey };
    request.requestId = aId;
    request.deadline = clock.Now() + std::chrono::seconds(5);
    return boost::asio::co_spawn(threads.Context(),
                                 records->Acquire(request),
                                 boost::asio::use_future)
      .get();
  };
  const Claim first = claim("k", "a");
  REQUIRE(first.state == ClaimState::Claimed);
  records->Complete(first, HttpResponse{});
  REQUIRE(WaitUntil([&] { return records->Pending() == 0; }));
  for (int passed = 0; passed < 24 * 60; passed += 10) {
    CHECK(claim("k", "b").state == ClaimState::Replay);
    // Claim a new key every ten minutes, to check that no record is attached to
    // a lease that is older than an hour.
    CHECK(claim(std::to_string(passed), "c").state == ClaimState::Claimed);
    clock.Advance(std::chrono::minutes(10));
  }
  const std::vector<std::int64_t> ttls = store.GrantedTtls();
  CHECK(ttls.size() == 24);
  for (const std::int64_t ttl : ttls) {
    CHECK(ttl >= 25 * 3600);
  }
  threads.Stop();
}

// Guards against a retry through another entry that runs the request again
// after the process of the first entry was killed while the request was in
// flight.
TEST_CASE("a request of a killed entry does not run again")
{
  TestThreads threads;
  FakeBackend backend(threads.Context(), [](const BackendRequest& aRequest) {
    Reaction reaction = AnswerNormally(aRequest);
    reaction.delay = std::chrono::hours(1);
    return reaction;
  });
  Deployment deployment;
  const nlohmann::json host{ { "host", "worker-1" },
                             { "address", "127.0.0.1" },
                             { "request_port", backend.Port() },
                             { "zone", "zone-1" },
                             { "state", "live" } };
  deployment.Call("store", "POST", "/standin/hosts", host.dump());
  deployment.PutConfiguration(SmallConfiguration({ "zone-1" }));
  deployment.StartEntry("entry-1", "zone-1");
  deployment.StartEntry("entry-2", "zone-1");
  std::thread caller([&] {
    CHECK_THROWS(deployment.Call("entry-1",
                                 "POST",
                                 "/v1/services/quote",
                                 "order",
                                 AtMostOnceHeaders("k")));
  });
  CHECK(WaitUntil([&] { return backend.ExecutionsOf("order") == 1; }));
  deployment.Process("entry-1").Signal(SIGKILL);
  caller.join();
  std::string outcome;
  // The dead entry counts as a member until its failure is detected.
  CHECK(WaitUntil([&] {
    outcome = OutcomeOf(deployment.Call("entry-2",
                                        "POST",
                                        "/v1/services/quote",
                                        "order",
                                        AtMostOnceHeaders("k")));
    CHECK(outcome.starts_with("unknown"));
    return outcome == "unknown earlier-attempt-unresolved";
  }));
  CHECK(backend.ExecutionsOf("order") == 1);
  threads.Stop();
}
