#include "support/Deployment.h"
#include "support/FakeBackend.h"
#include "support/FakeStore.h"
#include "support/RequestHarness.h"

#include <doctest/doctest.h>
#include <mutex>
#include <random>

using namespace sequoiakeel;
using std::chrono::milliseconds;

namespace {

/** One entry with one backend server. */
struct Fixture
{
  explicit Fixture(FakeBackend::Behaviour aBehaviour)
    : backend(this->threads.Context(), std::move(aBehaviour))
    , entry(this->threads.Context(), this->store, this->Options())
  {
  }
  ~Fixture() { this->threads.Stop(); }

  TestEntryOptions Options()
  {
    TestEntryOptions options;
    options.ports = { this->backend.Port() };
    return options;
  }

  TestThreads threads;
  FakeStore store;
  FakeBackend backend;
  TestEntry entry;
};

HttpHeaders
NonIdempotentHeaders()
{
  return MakeHeaders({ { "Sequoiakeel-Idempotent", "false" } });
}

Reaction
RawReaction(std::string aBytes, bool aClose = false)
{
  Reaction reaction;
  reaction.bytes = std::move(aBytes);
  reaction.close = aClose;
  return reaction;
}

} // namespace

// Guards against returning the answer to another request when the backend
// server mixes up its answers.
TEST_CASE("an answer with another request's id is not returned to any caller")
{
  std::mutex mutex;
  std::string previousId = "none";
  Fixture fixture([&](const BackendRequest& aRequest) {
    const std::lock_guard lock(mutex);
    const std::string id = std::exchange(previousId, aRequest.id);
    return RawReaction(RawResponse(200, id, "answer to " + aRequest.body));
  });
  const HttpResponse first = fixture.entry.Call("one", NonIdempotentHeaders());
  CHECK(OutcomeOf(first) == "unknown response-mismatched");
  CHECK(first.body.find("answer to") == std::string::npos);
  CHECK(OutcomeOf(fixture.entry.Call("two", NonIdempotentHeaders())) ==
        "unknown response-mismatched");
}

// Guards against accepting an answer without a request id, which may belong to
// any request.
TEST_CASE("an answer that does not echo the request id is not returned")
{
  Fixture fixture([](const BackendRequest&) {
    return RawReaction("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  CHECK(OutcomeOf(fixture.entry.Call("one", NonIdempotentHeaders())) ==
        "unknown response-mismatched");
}

// Guards against returning a part of an answer as a complete answer.
TEST_CASE("a truncated answer is not returned")
{
  Fixture fixture([](const BackendRequest& aRequest) {
    std::string whole = RawResponse(200, aRequest.id, "answer to one");
    whole.resize(whole.size() - 4);
    return RawReaction(std::move(whole), true);
  });
  CHECK(OutcomeOf(fixture.entry.Call("one", NonIdempotentHeaders())) ==
        "unknown connection-lost");
}

// Guards against returning a part of a chunked body after the backend server
// crashed while it sent the body.
TEST_CASE("a chunked answer without its last chunk is not returned")
{
  Fixture fixture([](const BackendRequest& aRequest) {
    return RawReaction(
      "HTTP/1.1 200 OK\r\nSequoiakeel-Request-Id: " + aRequest.id +
        "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nanswe\r\n",
      true);
  });
  CHECK(OutcomeOf(fixture.entry.Call("one", NonIdempotentHeaders())) ==
        "unknown connection-lost");
}

// Guards against accepting an answer without an explicit length: if the server
// crashes, a truncated answer looks like a complete one that ends when the
// connection closes.
TEST_CASE("an answer that ends when the connection closes is not returned")
{
  Fixture fixture([](const BackendRequest& aRequest) {
    return RawReaction("HTTP/1.1 200 OK\r\nSequoiakeel-Request-Id: " +
                         aRequest.id + "\r\n\r\nanswer to",
                       true);
  });
  CHECK(OutcomeOf(fixture.entry.Call("one", NonIdempotentHeaders())) ==
        "unknown response-mismatched");
}

// Guards against mistaking the second copy of an answer for the answer to the
// next request on the same connection.
TEST_CASE("a duplicated answer does not reach the next caller")
{
  milliseconds later{ 0 };
  SUBCASE("together with the first copy") {}
  SUBCASE("while the connection is idle")
  {
    later = milliseconds(30);
  }
  Fixture fixture([&](const BackendRequest& aRequest) {
    Reaction reaction = AnswerNormally(aRequest);
    if (later == milliseconds(0)) {
      // Send both copies of the answer in one write: with two writes, the
      // second copy may arrive after the next request was sent.
      reaction.bytes += reaction.bytes;
      return reaction;
    }
    reaction.laterDelay = later;
    reaction.laterBytes = reaction.bytes;
    return reaction;
  });
  for (int round = 0; round < 10; ++round) {
    // Use non-idempotent requests: if the second copy of the previous answer
    // were detected only by its request id, this request would fail, since it
    // cannot be sent again.
    const std::string body = "request " + std::to_string(round);
    CHECK(fixture.entry.Call(body, NonIdempotentHeaders()).body ==
          "answer to " + body);
    if (later > milliseconds(0)) {
      // A second copy that arrives after the next request is another case.
      const auto expected = static_cast<std::size_t>(round) + 1;
      REQUIRE(
        WaitUntil([&] { return fixture.backend.LaterWrites() >= expected; }));
      std::this_thread::sleep_for(later);
    }
  }
}

// Guards against reusing a connection on which left-over bytes, valid HTTP or
// not, have arrived.
TEST_CASE("a connection with left-over bytes is not reused")
{
  Fixture fixture([](const BackendRequest& aRequest) {
    Reaction reaction = AnswerNormally(aRequest);
    reaction.bytes += "left over";
    return reaction;
  });
  CHECK(fixture.entry.Call("one", NonIdempotentHeaders()).body ==
        "answer to one");
  CHECK(fixture.entry.Call("two", NonIdempotentHeaders()).body ==
        "answer to two");
  CHECK(fixture.backend.Accepted() == 2);
}

// Guards against an answer that arrives after its caller got an unknown
// outcome, and is mistaken for the answer to the next request.
TEST_CASE("an answer after the deadline is not returned to any caller")
{
  Fixture fixture([](const BackendRequest& aRequest) {
    Reaction reaction = AnswerNormally(aRequest);
    if (aRequest.body == "late") {
      reaction.delay = milliseconds(300);
    }
    return reaction;
  });
  HttpHeaders headers = NonIdempotentHeaders();
  headers.Set("Sequoiakeel-Deadline-Ms", "100");
  CHECK(OutcomeOf(fixture.entry.Call("late", headers)) ==
        "unknown server-timeout");
  for (int round = 0; round < 8; ++round) {
    const std::string body = "next " + std::to_string(round);
    CHECK(fixture.entry.Call(body).body == "answer to " + body);
    std::this_thread::sleep_for(milliseconds(60));
  }
}

// Guards against failing an idempotent request because its first attempt
// failed, and against mixing the answer of the first attempt with that of the
// second.
TEST_CASE("an idempotent request is answered by a later attempt")
{
  Fixture fixture([](const BackendRequest& aRequest) {
    if (aRequest.number == 1) {
      std::string whole = RawResponse(200, aRequest.id, "answer to one");
      whole.resize(whole.size() - 4);
      return RawReaction(std::move(whole), true);
    }
    return AnswerNormally(aRequest);
  });
  // Earlier requests have added to the retry budget.
  for (int request = 0; request < 20; ++request) {
    fixture.entry.Catalog().Find("quote")->router->CountRequest();
  }
  const HttpResponse response = fixture.entry.Call("one");
  CHECK(OutcomeOf(response) == "done");
  CHECK(response.body == "answer to one");
  CHECK(fixture.backend.Executions() == 2);
}

// Guards against combinations of faults: many concurrent callers while the
// server answers late, twice, with wrong ids or in part, or closes the
// connection, in random order.
TEST_CASE("with random faults every answer is whole and the caller's own")
{
  constexpr std::uint64_t kSeed = 20240611;
  std::mutex mutex;
  std::mt19937_64 random(kSeed);
  std::string previousId;
  Fixture fixture([&](const BackendRequest& aRequest) {
    const std::lock_guard lock(mutex);
    Reaction reaction = AnswerNormally(aRequest);
    const std::uint64_t fault = random() % 12;
    if (fault == 0) {
      reaction.bytes = RawResponse(200, previousId, "crossed");
    } else if (fault == 1) {
      reaction.bytes.resize(reaction.bytes.size() / 2);
      reaction.close = true;
    } else if (fault == 2) {
      reaction.bytes += reaction.bytes;
    } else if (fault == 3) {
      reaction.delay = milliseconds(80);
    } else if (fault == 4) {
      reaction.laterDelay = milliseconds(random() % 5);
      reaction.laterBytes = reaction.bytes;
    } else if (fault == 5) {
      reaction.bytes.clear();
      reaction.close = true;
    }
    previousId = aRequest.id;
    return reaction;
  });
  int done = 0;
  for (int round = 0; round < 40; ++round) {
    std::vector<std::pair<std::string, std::future<HttpResponse>>> calls;
    for (int caller = 0; caller < 10; ++caller) {
      const std::string body =
        std::to_string(round) + "/" + std::to_string(caller);
      HttpHeaders headers;
      headers.Set("Sequoiakeel-Deadline-Ms", caller % 2 == 0 ? "60" : "2000");
      calls.emplace_back(body, fixture.entry.Send(body, headers));
    }
    for (auto& [body, call] : calls) {
      const HttpResponse response = call.get();
      if (OutcomeOf(response) != "done") {
        CHECK(response.body.find("answer to") == std::string::npos);
        continue;
      }
      ++done;
      CHECK(response.body == "answer to " + body);
    }
  }
  MESSAGE("seed " << kSeed << ", answered " << done << " of 400");
  CHECK(done > 0);
}
