#include "RequestQueue.h"

#include "Error.h"

#include <doctest/doctest.h>

#include <map>

using namespace sequoiakeel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

QueuedRequest
MakeRequest(std::uint64_t aId, const char* aTeam, Duration aLeft)
{
  QueuedRequest request;
  request.id = aId;
  request.team = aTeam;
  request.deadline = kStart + aLeft;
  return request;
}

/** Pushes requests and pops one after each aInterval, until the queue knows its
 * drain rate. Returns the time at which the last request was popped. */
TimePoint
LearnRate(RequestQueue& aQueue, Duration aInterval)
{
  TimePoint now = kStart;
  for (std::uint64_t id = 1000; id < 1050; ++id) {
    aQueue.Push(MakeRequest(id, "a", seconds(100)), now);
  }
  for (int departure = 0; departure < 50; ++departure) {
    now += aInterval;
    aQueue.Pop(now);
  }
  return now;
}

} // namespace

// Guards against requests that wait behind others with more time left.
TEST_CASE("within a team urgent requests are first, then by deadline")
{
  const std::unique_ptr<RequestQueue> queue = MakeRequestQueue("current", 10);
  queue->Push(MakeRequest(1, "a", seconds(5)), kStart);
  queue->Push(MakeRequest(2, "a", seconds(2)), kStart);
  QueuedRequest urgent = MakeRequest(3, "a", seconds(9));
  urgent.urgent = true;
  queue->Push(urgent, kStart);
  queue->Push(MakeRequest(4, "a", seconds(2)), kStart);
  for (const std::uint64_t id : { 3, 2, 4, 1 }) {
    CHECK(queue->Front(kStart)->id == id);
    CHECK(queue->Pop(kStart)->id == id);
  }
  CHECK_FALSE(queue->Pop(kStart));
}

// Guards against a team that starves the others, and against urgent requests of
// one team that delay another team.
TEST_CASE("teams are served in proportion to their weights while both wait")
{
  const std::unique_ptr<RequestQueue> queue = MakeRequestQueue("current", 900);
  queue->SetWeight("heavy", 3);
  for (std::uint64_t id = 0; id < 600; id += 2) {
    QueuedRequest light = MakeRequest(id, "light", seconds(1));
    light.urgent = true;
    queue->Push(light, kStart);
    queue->Push(MakeRequest(id + 1, "heavy", seconds(50)), kStart);
  }
  std::map<std::string, int> served;
  for (int turn = 0; turn < 200; ++turn) {
    ++served[queue->Pop(kStart)->team];
  }
  CHECK(served["heavy"] == doctest::Approx(150).epsilon(0.02));
}

// Guards against serving only one team after it was idle, at the expense of the
// others.
TEST_CASE("a team accumulates no credit while it is idle")
{
  const std::unique_ptr<RequestQueue> queue = MakeRequestQueue("current", 900);
  for (std::uint64_t id = 0; id < 200; ++id) {
    queue->Push(MakeRequest(id, "busy", seconds(50)), kStart);
  }
  for (int turn = 0; turn < 100; ++turn) {
    queue->Pop(kStart);
  }
  for (std::uint64_t id = 200; id < 300; ++id) {
    queue->Push(MakeRequest(id, "idle", seconds(50)), kStart);
  }
  int busy = 0;
  for (int turn = 0; turn < 20; ++turn) {
    busy += queue->Pop(kStart)->team == "busy" ? 1 : 0;
  }
  CHECK(busy >= 9);
}

// Guards against an unbounded queue, and against a single team that occupies
// the whole queue.
TEST_CASE("a full queue refuses requests of teams above their share")
{
  const std::unique_ptr<RequestQueue> queue = MakeRequestQueue("current", 4);
  for (std::uint64_t id = 1; id <= 4; ++id) {
    CHECK_FALSE(queue->Push(MakeRequest(id, "a", seconds(id)), kStart));
  }
  CHECK(queue->Push(MakeRequest(5, "a", seconds(1)), kStart) ==
        QueueRefusal::QueueFull);
  CHECK_FALSE(queue->Push(MakeRequest(6, "b", seconds(1)), kStart));
  CHECK(queue->Push(MakeRequest(7, "a", seconds(1)), kStart) ==
        QueueRefusal::TeamShareFull);
  const std::vector<DroppedRequest> dropped = queue->TakeDropped();
  REQUIRE(dropped.size() == 1);
  CHECK(dropped[0].id == 4);
  CHECK(dropped[0].reason == QueueRefusal::TeamShareFull);
  CHECK(queue->Size() == 4);
}

// Guards against callers that wait for a response that cannot arrive in time.
TEST_CASE("a request whose deadline cannot be met is refused early")
{
  const std::unique_ptr<RequestQueue> queue = MakeRequestQueue("current", 100);
  const TimePoint now = LearnRate(*queue, milliseconds(10));
  for (std::uint64_t id = 0; id < 20; ++id) {
    queue->Push(MakeRequest(id, "a", seconds(50)), now);
  }
  const Duration wait = queue->ExpectedWait("a", now);
  CHECK(wait > milliseconds(190));
  CHECK(wait < milliseconds(230));
  QueuedRequest late = MakeRequest(100, "a", now - kStart + milliseconds(30));
  late.expectedLatency = milliseconds(40);
  CHECK(queue->Push(late, now) == QueueRefusal::DeadlineUnreachable);
  late.expectedLatency = milliseconds(10);
  CHECK_FALSE(queue->Push(late, now));
}

// Guards against using server capacity for requests whose deadline has passed.
TEST_CASE("requests whose deadline has passed are dropped without being sent")
{
  for (const char* name : { "naive", "current" }) {
    const std::unique_ptr<RequestQueue> queue = MakeRequestQueue(name, 10);
    CHECK(queue->Push(MakeRequest(9, "a", seconds(0)), kStart) ==
          QueueRefusal::DeadlinePassed);
    queue->Push(MakeRequest(1, "a", seconds(1)), kStart);
    queue->Push(MakeRequest(2, "b", seconds(1)), kStart);
    queue->Push(MakeRequest(3, "a", seconds(5)), kStart);
    CHECK(queue->Remove(2));
    CHECK_FALSE(queue->Remove(2));
    CHECK(queue->Pop(kStart + seconds(1))->id == 3);
    const std::vector<DroppedRequest> dropped = queue->TakeDropped();
    REQUIRE(dropped.size() == 1);
    CHECK(dropped[0].id == 1);
    CHECK(ToText(dropped[0].reason) == "deadline-passed");
    CHECK(queue->Size() == 0);
  }
  CHECK_THROWS_AS(MakeRequestQueue("other", 1), UserError);
}
