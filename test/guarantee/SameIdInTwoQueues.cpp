/**
 * Guards against a job that never runs, or is cancelled by a caller of another
 * queue, since that queue has a job with the same id.
 */
#include "support/SchedulerCluster.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;
using std::chrono::seconds;

namespace {

WorkflowSubmission
JobOf(const std::string& aQueue)
{
  WorkflowSubmission job = Job("j");
  job.queue = aQueue;
  return job;
}

QueueTable
TableOf(std::uint64_t aVersion, const std::vector<std::string>& aQueues)
{
  QueueTable table;
  table.version = aVersion;
  for (const std::string& name : aQueues) {
    QueueRule rule;
    rule.name = name;
    rule.service = "desk";
    table.queues.push_back(rule);
  }
  return table;
}

/** A process that knows two queues, one of which has a job that runs. */
struct TwoQueues
{
  TwoQueues()
    : node(cluster.AddNode("a"))
  {
    REQUIRE(this->cluster.UntilOwned());
    this->node.queues.Activate(TableOf(1, { "quotes", "orders" }));
    REQUIRE(this->Submit("quotes") == SubmissionOutcome::Accepted);
    REQUIRE(this->cluster.Until(
      [&] { return this->cluster.workers.Running() == 2; }));
  }

  TimePoint Deadline() const { return this->node.clock.Now() + seconds(5); }

  SubmissionOutcome Submit(const std::string& aQueue)
  {
    return this->cluster.Await(
      this->node.gateway.Submit(JobOf(aQueue), this->Deadline()));
  }

  std::optional<WorkflowState> StateIn(const std::string& aQueue)
  {
    return this->cluster.Await(
      this->node.gateway.State("j", this->Deadline(), aQueue));
  }

  CancelOutcome CancelIn(const std::string& aQueue)
  {
    return this->cluster.Await(
      this->node.gateway.Cancel("j", this->Deadline(), aQueue));
  }

  TestCluster cluster;
  Node& node;
};

} // namespace

TEST_CASE("a submission is rejected if a job of another queue has its id")
{
  TwoQueues system;
  CHECK(system.Submit("orders") == SubmissionOutcome::IdInUse);
  CHECK(system.Submit("quotes") == SubmissionOutcome::Accepted);
  CHECK(system.StateIn("orders") == WorkflowState::Unknown);
  CHECK(system.StateIn("quotes") == WorkflowState::Running);
}

TEST_CASE("a job that has ended keeps its id from other queues")
{
  TwoQueues system;
  system.cluster.workers.FinishAll();
  REQUIRE(system.cluster.Until(
    [&] { return system.StateIn("quotes") == WorkflowState::Completed; }));
  CHECK(system.Submit("orders") == SubmissionOutcome::IdInUse);
  CHECK(system.StateIn("orders") == WorkflowState::Unknown);
}

TEST_CASE("a job is not cancelled through another queue")
{
  TwoQueues system;
  CHECK(system.CancelIn("orders") == CancelOutcome::NoSuchJob);
  CHECK(system.StateIn("quotes") == WorkflowState::Running);
  CHECK(system.CancelIn("quotes") == CancelOutcome::Cancelled);
}

TEST_CASE("a job of a queue that was renamed is still found")
{
  TwoQueues system;
  system.node.queues.Activate(TableOf(2, { "offers", "orders" }));
  CHECK(system.StateIn("offers") == WorkflowState::Running);
  CHECK(system.CancelIn("offers") == CancelOutcome::Cancelled);
}
