#include "CellCodec.h"
#include "support/ReadyCell.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

std::string
JobName(int aNumber)
{
  return "cell-1.n" + std::to_string(aNumber);
}

bool
IsLogWrite(const StoreCommand& aCommand)
{
  return aCommand.verb == StoreVerb::Put &&
         aCommand.key.starts_with(LogPrefix("cell-1"));
}

} // namespace

// Guards against accepting a job before its log record is durable, and against
// treating an append whose reply was lost as failed and writing a second
// record.
TEST_CASE("what was accepted is known to the next owner")
{
  for (std::uint64_t seed = 100; seed < 130; ++seed) {
    ReadyCell world(seed);
    world.AddPlanner("p2");
    world.storeFate = [&](const StoreCommand& aCommand) {
      const bool lose = IsLogWrite(aCommand) && world.random() % 3 == 0;
      return lose ? DeliveryFault::LoseReply : DeliveryFault::Deliver;
    };
    std::map<std::uint64_t, std::string> tokens;
    for (int number = 0; number < 20; ++number) {
      tokens[world.SubmitOne(JobName(number), 0)] = JobName(number);
      world.Run(milliseconds(seed % 7 * 50));
    }
    world.Run(milliseconds(50 * (seed % 40)));
    const auto replies = world.planners["p1"]->replies;
    world.Kill("p1");
    world.storeFate = nullptr;
    REQUIRE(world.RunUntil([&] { return world.Owner() != nullptr; }));
    for (const auto& [token, reply] : replies) {
      if (reply.outcome == SubmitOutcome::Accepted) {
        CHECK(!world.StateOf(tokens[token]).empty());
      }
    }
    CHECK(world.violations.empty());
  }
}

// Guards against a delayed append of the previous owner that overwrites a slot
// of the log's ring buffer that the new owner has already written.
TEST_CASE("an append that arrives after a takeover does not take effect")
{
  for (std::uint64_t seed = 200; seed < 230; ++seed) {
    ReadyCell world(seed);
    world.AddPlanner("p2");
    world.storeFate = [&](const StoreCommand& aCommand) {
      return IsLogWrite(aCommand) ? DeliveryFault::DelayRequest
                                  : DeliveryFault::Deliver;
    };
    const auto token = world.SubmitOne(JobName(1), 0);
    world.Run(milliseconds(400));
    world.storeFate = nullptr;
    world.Pause("p1");
    REQUIRE(world.RunUntil([&] { return world.Owner() != nullptr; }));
    const bool known = !world.StateOf(JobName(1)).empty();
    world.Run(minutes(1));
    CHECK(!world.StateOf(JobName(1)).empty() == known);
    world.Resume("p1");
    world.Run(minutes(1));
    const auto& replies = world.planners["p1"]->replies;
    const auto reply = replies.find(token);
    REQUIRE(reply != replies.end());
    CHECK((reply->second.outcome == SubmitOutcome::Accepted) <= known);
    CHECK(world.Machine("p1").Phase() == CellPhase::Idle);
  }
}

// Guards against overwriting log records in the ring buffer before a snapshot
// covers them.
TEST_CASE("appends wait while the snapshot that must cover them fails")
{
  ReadyCell world(1);
  world.AddPlanner("p2");
  world.storeFate = [](const StoreCommand& aCommand) {
    const bool snapshot = aCommand.verb == StoreVerb::Put &&
                          aCommand.key.starts_with(SnapshotKey("cell-1"));
    return snapshot ? DeliveryFault::LoseRequest : DeliveryFault::Deliver;
  };
  std::map<std::uint64_t, std::string> tokens;
  for (int number = 0; number < 90; ++number) {
    tokens[world.SubmitOne(JobName(number), 0, 1, kWorkerSize)] =
      JobName(number);
    world.Run(seconds(1));
  }
  CHECK(world.Machine("p1").Log().Uncommitted() > 0);
  const auto replies = world.planners["p1"]->replies;
  world.storeFate = nullptr;
  world.Kill("p1");
  REQUIRE(world.RunUntil([&] { return world.Owner() != nullptr; }));
  int accepted = 0;
  for (const auto& [token, reply] : replies) {
    if (reply.outcome == SubmitOutcome::Accepted) {
      ++accepted;
      CHECK(!world.StateOf(tokens[token]).empty());
    }
  }
  CHECK(accepted > 40);
}

// Guards against a snapshot that exceeds the store's limit on the size of a
// value, and against a recovery that combines parts of two snapshots.
TEST_CASE("a snapshot in parts is found whole by the next owner")
{
  for (std::uint64_t seed = 300; seed < 306; ++seed) {
    ReadyCell world(seed);
    world.AddPlanner("p2");
    world.faultPercent = 10;
    SubmitJob request;
    request.cell = "cell-1";
    request.spec.team = "planning";
    request.spec.taskClass = "batch-order";
    request.spec.resources = Resources{ 1000000, 0, 0 };
    request.spec.payload = std::string(60000, 'x');
    for (int number = 0; number < 45; ++number) {
      request.jobId = JobName(number);
      world.Machine("p1").Submit(
        static_cast<std::uint64_t>(number) + 1000, request, world.clock.Now());
      world.Run(seconds(1));
    }
    world.Run(seconds(seed % 10));
    const CellSnapshot before = world.Machine("p1").Committed().Snapshot();
    world.Kill("p1");
    REQUIRE(world.RunUntil([&] { return world.Owner() != nullptr; }));
    CHECK(world.Owner()->machine->Committed().Jobs().size() >=
          before.jobs.size());
    CHECK(world.store.largestValue <= 1'000'000);
    CHECK(world.store.largestValue > 100'000);
  }
}

// Guards against cell state that grows without bound because jobs that have
// finished, failed or been cancelled are never removed.
TEST_CASE("ended jobs are dropped after their retention over changes of owner")
{
  ReadyCell world(2);
  world.SubmitOne(JobName(0), 1000);
  CHECK(world.RunUntilFinished(JobName(0)));
  CellSnapshot snapshot = world.Machine("p1").Committed().Snapshot();
  CellState state(snapshot);
  LogRecord record;
  record.sequence = snapshot.sequence + 1;
  record.elapsedMs =
    static_cast<std::uint64_t>(milliseconds(kJobRetention).count() / 2);
  CHECK(state.ApplyRecord(record).empty());
  // The retention time continues to count in the next owner's state.
  CellState next(state.Snapshot());
  ++record.sequence;
  CHECK(next.ApplyRecord(record).size() == 1);
  CHECK(next.Jobs().empty());
}

// Guards against a snapshot that omits a field of the cell state.
TEST_CASE("a snapshot restores the state that it was taken from")
{
  ReadyCell world(3);
  world.faultPercent = 10;
  for (int number = 0; number < 12; ++number) {
    world.SubmitOne(JobName(number), 5000 * number, 3);
    world.Run(seconds(2));
    world.Cancel(*world.planners["p1"], JobName(number / 2));
    const CellSnapshot taken = world.Machine("p1").Committed().Snapshot();
    const auto bytes = EncodeBinary(taken);
    const CellState restored(DecodeBinary<CellSnapshot>(bytes));
    CHECK(restored.Snapshot() == taken);
    const CellState& committed = world.Machine("p1").Committed();
    CHECK(restored.OpenJobs() == committed.OpenJobs());
    CHECK(restored.QueuedTasks() == committed.QueuedTasks());
    CHECK(restored.Commitments().Committed("w1") ==
          committed.Commitments().Committed("w1"));
  }
}
