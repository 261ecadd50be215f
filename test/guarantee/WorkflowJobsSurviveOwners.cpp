#include "CellBalance.h"
#include "CellOwnerElector.h"
#include "NodeDirectory.h"
#include "WorkflowGateway.h"
#include "generated/WorkflowJson.h"
#include "support/SchedulerCluster.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>
#include <memory>
#include <optional>
#include <thread>

using namespace sequoiakeel;
namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The leases that an earlier owner granted last at least this long after its
 * key was removed. */
constexpr seconds kEarlierLeasesLast{ 8 };

} // namespace

// Guards against a submission that becomes several jobs because it is repeated
// at other entries.
TEST_CASE("concurrent submissions of one id at three entries become one job")
{
  TestCluster cluster;
  Node& first = cluster.AddNode("a");
  Node& second = cluster.AddNode("b");
  Node& third = cluster.AddNode("c");
  std::vector<std::future<SubmissionOutcome>> outcomes;
  for (Node* const node : { &first, &second, &third, &first }) {
    outcomes.push_back(asio::co_spawn(
      cluster.context,
      node->gateway.Submit(Job("j"), node->clock.Now() + seconds(5)),
      asio::use_future));
  }
  for (std::future<SubmissionOutcome>& outcome : outcomes) {
    CHECK(outcome.get() == SubmissionOutcome::Accepted);
  }
  REQUIRE(cluster.Until([&] { return cluster.workers.Running() == 2; }));
  cluster.workers.FinishAll();
  REQUIRE(cluster.Until(
    [&] { return cluster.StateAt(second, "j") == WorkflowState::Completed; }));
  CHECK(cluster.workers.StartsOf("j.0.0.0") == 1);
  const SubmissionOutcome late = cluster.Await(
    third.gateway.Submit(Job("j"), third.clock.Now() + seconds(5)));
  CHECK(late == SubmissionOutcome::Accepted);
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(cluster.workers.StartsOf("j.0.0.0") == 1);
  CHECK(!cluster.workers.RanTwice());
}

// Guards against a submission that becomes two jobs because entries prefer
// different cells for it, for example when an owner does not answer one of
// them.
TEST_CASE(
  "an id that is stored in the other candidate cell is not stored again")
{
  TestCluster cluster(2);
  Node& node = cluster.AddNode("a");
  REQUIRE(cluster.Until([&] {
    return cluster.store.Count(WorkflowKeys(0).Owner()) == 1 &&
           cluster.store.Count(WorkflowKeys(1).Owner()) == 1;
  }));
  const auto submit = [&] {
    return cluster.Await(
      node.gateway.Submit(Job("j"), node.clock.Now() + seconds(5)));
  };
  // Both cells are idle, so this entry prefers the first candidate cell.
  const std::vector<std::uint32_t> candidates = CandidateCells("j", 2);
  const WorkflowKeys preferred(candidates[0]);
  StoreTransaction other;
  other.puts.push_back(
    { WorkflowKeys(candidates[1]).Job("j"), nlohmann::json(Job("j")).dump() });
  REQUIRE(cluster.Await(cluster.store.Commit(other, seconds(1))).result ==
          StoreResult::Ok);
  CHECK(submit() == SubmissionOutcome::Accepted);
  CHECK(cluster.store.Count(preferred.Job("j")) == 0);
  REQUIRE(cluster.Until([&] { return cluster.workers.Running() == 2; }));
  cluster.workers.FinishAll();
  REQUIRE(cluster.Until(
    [&] { return cluster.StateAt(node, "j") == WorkflowState::Completed; }));
  CHECK(submit() == SubmissionOutcome::Accepted);
  CHECK(cluster.store.Count(preferred.Job("j")) == 0);
  CHECK(cluster.workers.StartsOf("j.0.0.0") == 1);
}

// Guards against jobs that are not found, cancelled or completed because they
// are in the second of their candidate cells.
TEST_CASE("every entry serves the jobs of both cells")
{
  TestCluster cluster(2);
  Node& first = cluster.AddNode("a");
  Node& second = cluster.AddNode("b");
  constexpr int kJobs = 12;
  std::vector<std::future<SubmissionOutcome>> outcomes;
  for (int i = 0; i < kJobs; ++i) {
    for (Node* const node : { &first, &second }) {
      outcomes.push_back(
        asio::co_spawn(cluster.context,
                       node->gateway.Submit(Job("j" + std::to_string(i)),
                                            node->clock.Now() + seconds(5)),
                       asio::use_future));
    }
  }
  for (std::future<SubmissionOutcome>& outcome : outcomes) {
    CHECK(outcome.get() == SubmissionOutcome::Accepted);
  }
  REQUIRE(
    cluster.Until([&] { return cluster.workers.Running() == 2 * kJobs; }));
  CHECK(cluster.store.Count(WorkflowKeys(0).JobsPrefix()) > 0);
  CHECK(cluster.store.Count(WorkflowKeys(1).JobsPrefix()) > 0);
  CHECK(cluster.Await(second.gateway.Cancel(
          "j0", second.clock.Now() + seconds(5))) == CancelOutcome::Cancelled);
  REQUIRE(cluster.Until(
    [&] { return cluster.workers.Running() == 2 * (kJobs - 1); }));
  cluster.workers.FinishAll();
  for (int i = 1; i < kJobs; ++i) {
    const std::string job = "j" + std::to_string(i);
    REQUIRE(cluster.Until(
      [&] { return cluster.StateAt(first, job) == WorkflowState::Completed; }));
    CHECK(cluster.workers.StartsOf(job + ".0.0.0") == 1);
  }
  CHECK(cluster.StateAt(second, "j0") == WorkflowState::Cancelled);
  CHECK(!cluster.workers.RanTwice());
}

// Guards against an accepted job that is lost with its owner, and against a
// second run of the tasks that the previous owner started. The owner's key is
// removed without notice while its tasks run.
TEST_CASE("no job is lost or run twice when the owner loses its key")
{
  TestCluster cluster;
  Node& first = cluster.AddNode("a");
  Node& second = cluster.AddNode("b");
  const auto submit = [&](const std::string& aId) {
    return cluster.Await(
      second.gateway.Submit(Job(aId), second.clock.Now() + seconds(5)));
  };
  REQUIRE(submit("j") == SubmissionOutcome::Accepted);
  REQUIRE(cluster.Until([&] { return cluster.workers.Running() == 2; }));
  const std::string ownerKey = WorkflowKeys(0).Owner();
  for (int i = 0; i < 3; ++i) {
    cluster.store.Remove(ownerKey);
    REQUIRE(cluster.Until([&] { return cluster.store.Count(ownerKey) == 1; }));
    REQUIRE(submit("k" + std::to_string(i)) == SubmissionOutcome::Accepted);
  }
  REQUIRE(cluster.Until([&] { return cluster.workers.Running() == 8; }));
  cluster.workers.FinishAll();
  for (const char* const job : { "j", "k0", "k1", "k2" }) {
    REQUIRE(cluster.Until(
      [&] { return cluster.StateAt(first, job) == WorkflowState::Completed; }));
  }
  CHECK(cluster.workers.StartsOf("j.0.0.0") == 1);
  CHECK(!cluster.workers.RanTwice());
}

// Guards against a second run of a task whose start command was carried out but
// whose answer was lost.
TEST_CASE("a start whose answer is lost does not cause a second run")
{
  TestCluster cluster;
  Node& node = cluster.AddNode("a");
  cluster.workers.LoseStartAnswers(2);
  const SubmissionOutcome outcome =
    cluster.Await(node.gateway.Submit(Job("j"), node.clock.Now() + seconds(5)));
  REQUIRE(outcome == SubmissionOutcome::Accepted);
  REQUIRE(cluster.Until([&] { return cluster.workers.Running() == 2; }));
  cluster.workers.FinishAll();
  REQUIRE(cluster.Until(
    [&] { return cluster.StateAt(node, "j") == WorkflowState::Completed; }));
  CHECK(cluster.workers.StartsOf("j.0.0.0") == 1);
  CHECK(cluster.workers.StartsOf("j.0.0.1") == 1);
  CHECK(!cluster.workers.RanTwice());
}

// Guards against a second run of a task whose end a restarted worker forgets,
// since the acknowledgement of ends of its earlier incarnation covers it.
TEST_CASE("a restarted worker keeps the ends that it has not reported")
{
  TestCluster cluster;
  Node& node = cluster.AddNode("a");
  cluster.workers.Drain("w2");
  const auto submit = [&](const std::string& aId) {
    WorkflowSubmission job = Job(aId);
    job.steps[0].count = 1;
    return cluster.Await(
      node.gateway.Submit(job, node.clock.Now() + seconds(5)));
  };
  REQUIRE(submit("j") == SubmissionOutcome::Accepted);
  REQUIRE(cluster.Until([&] { return cluster.workers.Running() == 1; }));
  cluster.workers.FinishAll();
  REQUIRE(cluster.Until(
    [&] { return cluster.StateAt(node, "j") == WorkflowState::Completed; }));
  cluster.workers.RestartAtNextStart("w1");
  REQUIRE(submit("k") == SubmissionOutcome::Accepted);
  REQUIRE(cluster.Until([&] {
    cluster.workers.FinishAll();
    return cluster.StateAt(node, "k") == WorkflowState::Completed;
  }));
  CHECK(cluster.workers.StartsOf("k.0.0.0") == 1);
  CHECK(!cluster.workers.RanTwice());
}

// Guards against the end of a run that is lost, or acknowledged to the worker
// too early, because the answer of the store to its write was lost.
TEST_CASE("no end of a run is lost when answers of the store are lost")
{
  TestCluster cluster;
  Node& node = cluster.AddNode("a");
  REQUIRE(cluster.Await(
            node.gateway.Submit(Job("j"), node.clock.Now() + seconds(5))) ==
          SubmissionOutcome::Accepted);
  REQUIRE(cluster.Until([&] { return cluster.workers.Running() == 2; }));
  cluster.store.LoseAnswers(3);
  cluster.workers.FinishAll();
  REQUIRE(cluster.Until(
    [&] { return cluster.StateAt(node, "j") == WorkflowState::Completed; }));
  CHECK(!cluster.workers.RanTwice());
}

// Guards against a job that runs although the caller was told that it was not
// accepted.
TEST_CASE("a submission that is refused while the store is down never runs")
{
  TestCluster cluster;
  Node& node = cluster.AddNode("a");
  REQUIRE(cluster.Until(
    [&] { return cluster.store.Count(WorkflowKeys(0).Owner()) == 1; }));
  cluster.store.SetDown(true);
  const SubmissionOutcome outcome =
    cluster.Await(node.gateway.Submit(Job("j"), node.clock.Now() + seconds(5)));
  CHECK(outcome == SubmissionOutcome::NotAccepted);
  cluster.store.SetDown(false);
  REQUIRE(cluster.Await(
            node.gateway.Submit(Job("k"), node.clock.Now() + seconds(5))) ==
          SubmissionOutcome::Accepted);
  REQUIRE(cluster.Until([&] { return cluster.workers.Running() == 2; }));
  CHECK(cluster.workers.StartsOf("j.0.0.0") == 0);
}

// Guards against an owner that keeps renewing its permission to send commands
// after it was removed, since its watch misses the removal.
TEST_CASE("a removed owner ends although its watch misses the removal")
{
  TestCluster cluster;
  // Workers that answer would tell the removed owner that there is a newer one.
  cluster.workers.Crash("w1");
  cluster.workers.Crash("w2");
  const auto isOwner = [](Node& aNode) {
    const std::shared_ptr<CellOwnerElector> cell = aNode.cells.front();
    return asio::co_spawn(
             cell->Strand(),
             [cell]() -> asio::awaitable<bool> {
               co_return cell->Answer(WorkflowQuery{}).isOwner;
             },
             asio::use_future)
      .get();
  };
  Node& first = cluster.AddNode("a");
  REQUIRE(cluster.Until([&] { return isOwner(first); }));
  cluster.store.SetWatchesBlocked(true, WorkflowKeys(0).InboxPrefix());
  Node& second = cluster.AddNode("b");
  first.server.Stop();
  REQUIRE(cluster.Until([&] { return isOwner(second); }));
  CHECK(cluster.Until([&] { return !isOwner(first); }));
}

// Guards against a malformed submission in the store that ends the owner of its
// cell, and then each next owner.
TEST_CASE("malformed submissions in the store are skipped")
{
  TestCluster cluster;
  Node& node = cluster.AddNode("a");
  REQUIRE(cluster.UntilOwned());
  WorkflowSubmission empty = Job("empty");
  empty.steps.clear();
  WorkflowSubmission cyclic = Job("cyclic");
  cyclic.steps[0].after = { 4000000000 };
  WorkflowSubmission large = Job("large");
  large.recurrence.count = 4000000000;
  const std::string nested =
    std::string(100000, '[') + std::string(100000, ']');
  const std::pair<std::string, std::string> malformed[] = {
    { "empty", nlohmann::json(empty).dump() },
    { "cyclic", nlohmann::json(cyclic).dump() },
    { "large", nlohmann::json(large).dump() },
    { "array", "[]" },
    { "number", "7" },
    { "cut", "{" },
    { "nested", nested },
  };
  const WorkflowKeys keys(0);
  for (const auto& [id, value] : malformed) {
    REQUIRE(cluster.Write(keys.Job(id), value));
  }
  for (const char* const job : { "j", "k" }) {
    REQUIRE(cluster.Await(
              node.gateway.Submit(Job(job), node.clock.Now() + seconds(5))) ==
            SubmissionOutcome::Accepted);
    REQUIRE(cluster.Until([&] { return cluster.workers.Running() == 2; }));
    cluster.workers.FinishAll();
    REQUIRE(cluster.Until(
      [&] { return cluster.StateAt(node, job) == WorkflowState::Completed; }));
    // The next owner reads the same records when it loads the cell.
    REQUIRE(cluster.ReplaceOwners());
  }
  CHECK(!cluster.workers.RanTwice());
}

// Guards against callers that have to wait although the store is known to be
// unreachable, and against a false refusal: a peer that can reach the store
// stores the job.
TEST_CASE(
  "without the store a submission is refused immediately or relayed to a peer")
{
  TestCluster cluster;
  Node& node = cluster.AddNode("a");
  REQUIRE(cluster.Until(
    [&] { return cluster.store.Count(WorkflowKeys(0).Owner()) == 1; }));
  cluster.store.SetDown(true);
  for (int i = 0; i < 3; ++i) {
    node.reachability.RecordResult(StoreResult::Unavailable);
  }
  REQUIRE(cluster.Until([&] { return node.reachability.StoreUnreachable(); }));
  const int before = cluster.store.Commits();
  CHECK(cluster.Await(
          node.gateway.Submit(Job("j"), node.clock.Now() + seconds(5))) ==
        SubmissionOutcome::NotAccepted);
  CHECK(cluster.store.Commits() == before);
  cluster.store.SetDown(false);
  Node& other = cluster.AddNode("b");
  asio::co_spawn(
    cluster.context, [&other]() { return other.nodes.Run(); }, asio::detached);
  REQUIRE(
    cluster.Until([&] { return cluster.store.Count(NodesPrefix()) == 1; }));
  REQUIRE(cluster.Await(node.nodes.Refresh(ReadFreshness::Linearizable)));
  CHECK(cluster.Await(
          node.gateway.Submit(Job("k"), node.clock.Now() + seconds(5))) ==
        SubmissionOutcome::Accepted);
  REQUIRE(cluster.Until([&] { return cluster.workers.Running() == 2; }));
  CHECK(cluster.workers.StartsOf("j.0.0.0") == 0);
}

// Guards against a cancellation that is acknowledged but not carried out.
TEST_CASE("the runs of a cancelled job are stopped")
{
  TestCluster cluster;
  Node& first = cluster.AddNode("a");
  Node& second = cluster.AddNode("b");
  REQUIRE(cluster.Await(
            first.gateway.Submit(Job("j"), first.clock.Now() + seconds(5))) ==
          SubmissionOutcome::Accepted);
  REQUIRE(cluster.Until([&] { return cluster.workers.Running() == 2; }));
  const CancelOutcome outcome =
    cluster.Await(second.gateway.Cancel("j", second.clock.Now() + seconds(5)));
  CHECK(outcome == CancelOutcome::Cancelled);
  CHECK(cluster.Until([&] { return cluster.workers.Running() == 0; }));
  CHECK(cluster.StateAt(first, "j") == WorkflowState::Cancelled);
  const CancelOutcome unknown = cluster.Await(
    second.gateway.Cancel("none", second.clock.Now() + seconds(5)));
  CHECK(unknown == CancelOutcome::NoSuchJob);
}

// Guards against changes that are missed permanently: watches return no events
// for longer than a single watch waits, and the history is compacted
// afterwards.
TEST_CASE("changes made while watches miss events are handled")
{
  TestCluster cluster;
  Node& node = cluster.AddNode("a");
  const auto submit = [&](const std::string& aId) {
    return cluster.Await(
      node.gateway.Submit(Job(aId), node.clock.Now() + seconds(5)));
  };
  REQUIRE(submit("j") == SubmissionOutcome::Accepted);
  REQUIRE(cluster.Until([&] { return cluster.workers.Running() == 2; }));
  cluster.store.SetWatchesBlocked(true);
  REQUIRE(submit("k") == SubmissionOutcome::Accepted);
  REQUIRE(submit("l") == SubmissionOutcome::Accepted);
  // Job j is running; job l is accepted and cancelled while its cell's owner
  // sees neither change. The owner then reads both from a snapshot of the
  // inbox, in which keys of cancellations precede those of jobs. An owner that
  // ignored the cancellation of a job that it does not know yet would treat l
  // as open.
  for (const char* const job : { "j", "l" }) {
    const CancelOutcome outcome =
      cluster.Await(node.gateway.Cancel(job, node.clock.Now() + seconds(5)));
    REQUIRE(outcome == CancelOutcome::Cancelled);
  }
  // Longer than a watch of the inbox waits.
  std::this_thread::sleep_for(milliseconds(1500));
  cluster.store.SetWatchesBlocked(false);
  CHECK(cluster.Until([&] {
    return cluster.StateAt(node, "j") == WorkflowState::Cancelled &&
           cluster.workers.StartsOf("k.0.0.0") == 1;
  }));
  CHECK(cluster.StateAt(node, "l") == WorkflowState::Cancelled);
  CHECK(cluster.workers.StartsOf("l.0.0.0") == 0);
}

// Guards against a long-running task that does not run because its cell is full
// while another cell has free capacity. Also guards against a second run of the
// task after a lost answer of the store or a change of its cell's owner, and
// against a cancellation that misses the part of the job in the other cell.
TEST_CASE("a task for which its cell lacks capacity runs once in another cell")
{
  TestCluster cluster(2);
  Node& node = cluster.AddNode("a");
  REQUIRE(cluster.Until([&] {
    return cluster.store.Count(WorkflowKeys(0).Owner()) == 1 &&
           cluster.store.Count(WorkflowKeys(1).Owner()) == 1;
  }));
  // Each cell has one worker with 32 cores.
  WorkflowSubmission job = Job("s");
  job.steps[0].count = 3;
  job.steps[0].cpuMilli = 15000;
  job.steps[0].longRunning = true;
  REQUIRE(
    cluster.Await(node.gateway.Submit(job, node.clock.Now() + seconds(5))) ==
    SubmissionOutcome::Accepted);
  REQUIRE(cluster.Until([&] { return cluster.workers.Running() == 2; }));
  cluster.store.LoseAnswers(2);
  REQUIRE(cluster.Until([&] { return cluster.workers.Running() == 3; }));
  CHECK(cluster.store.Count(WorkflowKeys(0).Job("s")) == 1);
  CHECK(cluster.store.Count(WorkflowKeys(1).Job("s")) == 1);
  for (const std::uint32_t cell : { 0, 1 }) {
    const std::string owner = WorkflowKeys(cell).Owner();
    cluster.store.Remove(owner);
    REQUIRE(cluster.Until([&] { return cluster.store.Count(owner) == 1; }));
  }
  CHECK(cluster.StateAt(node, "s") == WorkflowState::Running);
  std::this_thread::sleep_for(milliseconds(500));
  for (const char* const task : { "s.0.0.0", "s.0.0.1", "s.0.0.2" }) {
    CHECK(cluster.workers.StartsOf(task) == 1);
  }
  CHECK(cluster.Await(node.gateway.Cancel(
          "s", node.clock.Now() + seconds(5))) == CancelOutcome::Cancelled);
  CHECK(cluster.Until([&] { return cluster.workers.Running() == 0; }));
  CHECK(cluster.StateAt(node, "s") == WorkflowState::Cancelled);
  CHECK(!cluster.workers.RanTwice());
}

// Guards against a long-running task that waits for all leases of the previous
// owner, although it surely runs nowhere, because another worker was lost at
// the same time. Answers of the store to the writes of assignments are lost
// too.
TEST_CASE("a task is restarted although its owner and another worker are lost")
{
  TestCluster cluster;
  Node& node = cluster.AddNode("a");
  const std::string owner = WorkflowKeys(0).Owner();
  REQUIRE(cluster.Until([&] { return cluster.store.Count(owner) == 1; }));
  // Each worker has room for one of the two tasks.
  WorkflowSubmission job = Job("s");
  job.steps[0].cpuMilli = 20000;
  job.steps[0].longRunning = true;
  REQUIRE(
    cluster.Await(node.gateway.Submit(job, node.clock.Now() + seconds(5))) ==
    SubmissionOutcome::Accepted);
  REQUIRE(cluster.Until([&] { return cluster.workers.Running() == 2; }));
  REQUIRE(cluster.Until([&] {
    const StoreRangeReply roster =
      cluster.Await(cluster.store.Get(WorkflowKeys(0).Roster(), seconds(1)));
    return !roster.items.empty() &&
           nlohmann::json::parse(roster.items.front().value)
             .get<WorkerRoster>()
             .assignmentsRecorded;
  }));
  cluster.store.Remove(owner);
  cluster.workers.Crash("w2");
  cluster.workers.LoseRuns("w1");
  const auto lostAt = std::chrono::steady_clock::now();
  REQUIRE(cluster.Until([&] { return cluster.workers.Running() == 1; }));
  CHECK(std::chrono::steady_clock::now() - lostAt < kEarlierLeasesLast);
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(cluster.workers.StartsOf("s.0.0.0") +
          cluster.workers.StartsOf("s.0.0.1") ==
        3);
  CHECK(!cluster.workers.RanTwice());
}

namespace {

/** Three cells with one worker of 32 cores each. Long-running jobs fill the two
 * candidate cells of job "s", of which one task then runs in the third cell. */
struct ThreeCells
{
  ThreeCells()
    : cluster(3)
    , node(cluster.AddNode("a"))
    , candidates(CandidateCells("s", 3))
    , third(3 - candidates[0] - candidates[1])
  {
    REQUIRE(this->cluster.UntilOwned());
    for (const std::uint32_t cell : this->candidates) {
      const WorkflowSubmission job = LongRunning(Filling(cell), 2);
      REQUIRE(this->cluster.Write(WorkflowKeys(cell).Job(job.id),
                                  nlohmann::json(job).dump()));
    }
    REQUIRE(this->cluster.Until(
      [&] { return this->cluster.workers.Running() == 4; }));
    REQUIRE(this->cluster.Await(this->node.gateway.Submit(
              LongRunning("s", 1), this->node.clock.Now() + seconds(5))) ==
            SubmissionOutcome::Accepted);
    this->own = this->HasJob(this->candidates[0]) ? this->candidates[0]
                                                  : this->candidates[1];
    REQUIRE(this->UntilStarts(1));
    CHECK(this->HasJob(this->third));
  }

  static WorkflowSubmission LongRunning(const std::string& aId,
                                        std::uint32_t aTasks)
  {
    WorkflowSubmission job = Job(aId);
    job.steps[0].count = aTasks;
    job.steps[0].cpuMilli = 15000;
    job.steps[0].longRunning = true;
    return job;
  }

  static std::string Filling(std::uint32_t aCell)
  {
    return "filling" + std::to_string(aCell);
  }

  bool HasJob(std::uint32_t aCell)
  {
    return this->cluster.store.Count(WorkflowKeys(aCell).Job("s")) == 1;
  }

  /** Cancels the job that fills a cell. */
  void Empty(std::uint32_t aCell)
  {
    const std::size_t before = this->cluster.workers.Running();
    REQUIRE(this->cluster.Write(
      WorkflowKeys(aCell).Cancellation(Filling(aCell)), "{}"));
    REQUIRE(this->cluster.Until(
      [&] { return this->cluster.workers.Running() == before - 2; }));
  }

  /** Drains the worker of a cell. */
  void Drain(std::uint32_t aCell)
  {
    for (const char* const worker : { "w1", "w2", "w3" }) {
      if (static_cast<std::uint32_t>(worker[1]) % 3 == aCell) {
        this->cluster.workers.Drain(worker);
      }
    }
  }

  bool UntilStarts(int aCount)
  {
    return this->cluster.Until(
      [&] { return this->cluster.workers.StartsOf("s.0.0.0") == aCount; });
  }

  /** Cancels the job and checks that nothing but aOthers runs remains. */
  void CheckCancellation(std::size_t aOthers)
  {
    CHECK(this->cluster.StateAt(this->node, "s") == WorkflowState::Running);
    CHECK(this->cluster.Await(this->node.gateway.Cancel(
            "s", this->node.clock.Now() + seconds(5))) ==
          CancelOutcome::Cancelled);
    CHECK(this->cluster.Until(
      [&] { return this->cluster.workers.Running() == aOthers; }));
    CHECK(this->cluster.StateAt(this->node, "s") == WorkflowState::Cancelled);
    CHECK(this->cluster.Until([&] {
      return !this->HasJob(0) && !this->HasJob(1) && !this->HasJob(2);
    }));
    CHECK(!this->cluster.workers.RanTwice());
  }

  TestCluster cluster;
  Node& node;
  std::vector<std::uint32_t> candidates;
  std::uint32_t third;
  std::uint32_t own = 0;
};

} // namespace

// Guards against a long-running task that waits while the only cell with
// capacity for it is none of its job's candidate cells, and against a
// cancellation that misses that cell.
TEST_CASE("a task runs in a third cell if both candidate cells lack capacity")
{
  ThreeCells cells;
  REQUIRE(cells.cluster.ReplaceOwners());
  cells.CheckCancellation(4);
  CHECK(cells.cluster.workers.StartsOf("s.0.0.0") == 1);
}

// Guards against a task that is stranded in, or run twice after, the cell to
// which it was handed over, also with lost answers of the store and new owners.
TEST_CASE("a task is handed on and returned to its own cell")
{
  ThreeCells cells;
  const std::uint32_t other =
    cells.candidates[0] + cells.candidates[1] - cells.own;
  cells.Empty(other);
  cells.cluster.store.LoseAnswers(2);
  cells.Drain(cells.third);
  REQUIRE(cells.UntilStarts(2));
  CHECK(cells.HasJob(other));
  REQUIRE(cells.cluster.ReplaceOwners());
  cells.Empty(cells.own);
  cells.cluster.store.LoseAnswers(2);
  cells.Drain(other);
  REQUIRE(cells.UntilStarts(3));
  REQUIRE(cells.cluster.ReplaceOwners());
  cells.CheckCancellation(0);
  CHECK(cells.cluster.workers.StartsOf("s.0.0.0") == 3);
}

// Guards against a job that runs again because its owner was replaced after the
// job's end but before its submission was removed.
TEST_CASE("an ended job whose submission is still stored does not run again")
{
  TestCluster cluster;
  Node& node = cluster.AddNode("a");
  REQUIRE(cluster.Await(
            node.gateway.Submit(Job("j"), node.clock.Now() + seconds(5))) ==
          SubmissionOutcome::Accepted);
  REQUIRE(cluster.Until([&] { return cluster.workers.Running() == 2; }));
  cluster.workers.FinishAll();
  REQUIRE(cluster.Until(
    [&] { return cluster.StateAt(node, "j") == WorkflowState::Completed; }));
  const WorkflowKeys keys(0);
  cluster.store.Remove(keys.Owner());
  REQUIRE(
    cluster.Until([&] { return cluster.store.Count(keys.Owner()) == 1; }));
  REQUIRE(
    cluster.Until([&] { return cluster.store.Count(keys.JobsPrefix()) == 0; }));
  CHECK(cluster.StateAt(node, "j") == WorkflowState::Completed);
  CHECK(cluster.workers.StartsOf("j.0.0.0") == 1);
  CHECK(!cluster.workers.RanTwice());
}

// Guards against a second run of tasks that were handed over together: the
// answer of the store is lost, and the other cell returns one of the tasks
// before the hand-over is tried again.
TEST_CASE("only the returned one of several tasks runs in its own cell again")
{
  TestCluster cluster(2);
  Node& node = cluster.AddNode("a");
  REQUIRE(cluster.UntilOwned());
  const auto longRunning = [](const std::string& aId, std::uint32_t aTasks) {
    WorkflowSubmission job = Job(aId);
    job.steps[0].count = aTasks;
    job.steps[0].cpuMilli = 15000;
    job.steps[0].longRunning = true;
    return job;
  };
  for (const std::uint32_t cell : { 0, 1 }) {
    const std::string id = "filling" + std::to_string(cell);
    REQUIRE(cluster.Write(WorkflowKeys(cell).Job(id),
                          nlohmann::json(longRunning(id, 2)).dump()));
  }
  REQUIRE(cluster.Until([&] { return cluster.workers.Running() == 4; }));
  // A cell without an owner, in whose place the test acts.
  const WorkflowKeys other(7);
  WorkerGroupCapacity group;
  group.service = "desk";
  group.pieces.assign(3, FreePiece{ 15000, 1000 });
  group.freeCpuMilli = 45000;
  REQUIRE(cluster.Write(
    other.Room(), nlohmann::json(LongRunningCapacity{ { group } }).dump()));
  cluster.store.LoseAnswers(1, other.JobsPrefix());
  REQUIRE(cluster.Await(node.gateway.Submit(longRunning("s", 3),
                                            node.clock.Now() + seconds(5))) ==
          SubmissionOutcome::Accepted);
  REQUIRE(cluster.Until(
    [&] { return cluster.store.Count(other.JobsPrefix()) == 1; }));
  const std::uint32_t own =
    cluster.store.Count(WorkflowKeys(0).Job("s")) == 1 ? 0 : 1;
  const WorkflowKeys keys(own);
  const StoreRangeReply stored =
    cluster.Await(cluster.store.Get(keys.Job("s"), seconds(1)));
  REQUIRE(stored.items.size() == 1);
  auto job =
    nlohmann::json::parse(stored.items.front().value).get<WorkflowSubmission>();
  job.returned = { TaskRun{ 0, 0, 4, 0, {} } };
  REQUIRE(cluster.Write(keys.Job("s"), nlohmann::json(job).dump()));
  cluster.store.Remove(other.Room());
  REQUIRE(
    cluster.Write(keys.Cancellation("filling" + std::to_string(own)), "{}"));
  REQUIRE(
    cluster.Until([&] { return cluster.workers.StartsOf("s.0.0.0") == 1; }));
  std::this_thread::sleep_for(seconds(1));
  CHECK(cluster.workers.StartsOf("s.0.0.1") == 0);
  CHECK(cluster.workers.StartsOf("s.0.0.2") == 0);
}
