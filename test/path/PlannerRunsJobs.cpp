#include "support/Deployment.h"
#include "support/PlannerClient.h"

#include <csignal>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace sequoiakeel;

namespace {

constexpr const char* kCell = "cell-zone-1";
constexpr const char* kJob = "cell-zone-1.00000000000000a1";

SubmitReply
SubmitOrder(const Endpoint& aPlanner,
            const std::string& aJob,
            std::int64_t aTasks,
            std::int64_t aRunTimeMs)
{
  SubmitJob request;
  request.jobId = aJob;
  request.cell = kCell;
  request.spec.team = "planning";
  request.spec.taskClass = "batch-order";
  request.spec.resources = Resources{ 1000, 1000, 0 };
  request.spec.taskCount = aTasks;
  request.spec.runTimeMs = aRunTimeMs;
  return AskPlanner<SubmitReply>(aPlanner, PeerMessage::SubmitJob, request);
}

JobStatus
Query(const Endpoint& aPlanner, const std::string& aJob)
{
  QueryJob request;
  request.jobId = aJob;
  request.cell = kCell;
  return AskPlanner<JobStatus>(aPlanner, PeerMessage::QueryJob, request);
}

bool
Owns(const Endpoint& aPlanner)
{
  const auto reply = AskPlanner<PlannerStatusReply>(
    aPlanner, PeerMessage::PlannerStatus, PlannerStatusRequest{});
  return !reply.cells.empty();
}

/** Number of start commands that a worker has received, by task id. */
std::map<std::string, int>
StartsAt(Deployment& aDeployment, const std::string& aWorker)
{
  const HttpResponse response =
    aDeployment.Call(aWorker, "GET", "/standin/starts");
  return nlohmann::json::parse(response.body).get<std::map<std::string, int>>();
}

} // namespace

// Guards against faults between the parts of a planner that tests of one part
// do not show. Covers submission, log, placement, start, completion and
// hand-over with the planners, the worker and the store as separate processes.
TEST_CASE("a job runs once and is known to the next planner")
{
  Deployment deployment;
  deployment.StartWorker("worker-1", "zone-1");
  deployment.PutConfiguration(SmallConfiguration({ "zone-1" }));
  deployment.StartPlanner("planner-1", "zone-1");
  const Endpoint first = deployment.PeerEndpointOf("planner-1");
  REQUIRE(WaitUntil([&] { return Owns(first); }));
  CHECK(SubmitOrder(first, kJob, 3, 200).outcome == SubmitOutcome::Accepted);
  REQUIRE(WaitUntil([&] { return Query(first, kJob).state == "finished"; }));
  // A repeated submission with the same job id is accepted as the same job.
  CHECK(SubmitOrder(first, kJob, 3, 200).outcome == SubmitOutcome::Accepted);

  deployment.StartPlanner("planner-2", "zone-1");
  const Endpoint second = deployment.PeerEndpointOf("planner-2");
  deployment.Process("planner-1").Signal(SIGTERM);
  CHECK(deployment.Process("planner-1").Wait() == 0);
  REQUIRE(WaitUntil([&] { return Owns(second); }));
  CHECK(Query(second, kJob).state == "finished");
  CHECK(Query(second, kJob).tasksFinished == 3);
  const auto starts = StartsAt(deployment, "worker-1");
  CHECK(starts.size() == 3);
  for (const auto& [task, count] : starts) {
    CHECK(count == 1);
  }
}

// Guards against running tasks that are lost or started again when the planner
// that owns their cell is killed.
TEST_CASE("tasks keep running over the death of their planner")
{
  Deployment deployment;
  deployment.StartWorker("worker-1", "zone-1");
  deployment.PutConfiguration(SmallConfiguration({ "zone-1" }));
  deployment.StartPlanner("planner-1", "zone-1");
  const Endpoint first = deployment.PeerEndpointOf("planner-1");
  REQUIRE(WaitUntil([&] { return Owns(first); }));
  CHECK(SubmitOrder(first, kJob, 2, 15000).outcome == SubmitOutcome::Accepted);
  REQUIRE(
    WaitUntil([&] { return StartsAt(deployment, "worker-1").size() == 2; }));
  deployment.StartPlanner("planner-2", "zone-1");
  const Endpoint second = deployment.PeerEndpointOf("planner-2");
  deployment.Process("planner-1").Signal(SIGKILL);
  deployment.Process("planner-1").Wait();
  REQUIRE(WaitUntil([&] { return Owns(second); }));
  REQUIRE(WaitUntil([&] { return Query(second, kJob).state == "finished"; }));
  for (const auto& [task, count] : StartsAt(deployment, "worker-1")) {
    CHECK(count == 1);
  }
}

// Guards against tasks that end because their owner is killed during a store
// outage, when no other planner can take over the cell. Another planner, the
// caretaker, renews their leases instead.
TEST_CASE("a caretaker keeps tasks alive while the store is down")
{
  Deployment deployment;
  deployment.StartWorker("worker-1", "zone-1");
  auto document = nlohmann::json::parse(SmallConfiguration({ "zone-1" }));
  // With one expected planner, the remaining planner is a majority.
  document["limits"]["planners_expected"] = 1;
  deployment.PutConfiguration(document.dump());
  deployment.StartPlanner("planner-1", "zone-1");
  const Endpoint first = deployment.PeerEndpointOf("planner-1");
  REQUIRE(WaitUntil([&] { return Owns(first); }));
  CHECK(SubmitOrder(first, kJob, 2, 60000).outcome == SubmitOutcome::Accepted);
  REQUIRE(
    WaitUntil([&] { return StartsAt(deployment, "worker-1").size() == 2; }));
  deployment.StartPlanner("planner-2", "zone-1");
  const Endpoint second = deployment.PeerEndpointOf("planner-2");
  REQUIRE(WaitUntil([&] {
    return deployment.LogOf("planner-2").find("configuration_active") !=
           std::string::npos;
  }));
  deployment.Call("store", "POST", "/standin/faults", R"({"mode":"down"})");
  deployment.Process("planner-1").Signal(SIGKILL);
  deployment.Process("planner-1").Wait();
  // The tasks run longer than a worker lease lasts by the worker's clock, so
  // they finish only if the lease is renewed.
  const bool finished = WaitUntil(
    [&] {
      return deployment.Call("worker-1", "GET", "/v1/status")
               .body.find("\"finished\"") != std::string::npos;
    },
    120);
  CHECK(finished);
  deployment.Call("store", "POST", "/standin/faults", R"({"mode":"ok"})");
  REQUIRE(WaitUntil([&] { return Owns(second); }));
  REQUIRE(WaitUntil([&] { return Query(second, kJob).state == "finished"; }));
  for (const auto& [task, count] : StartsAt(deployment, "worker-1")) {
    CHECK(count == 1);
  }
}

// Guards against starts that bring a worker over a capacity that shrank while
// it ran, and against capacity that is not used again after it has grown.
TEST_CASE("a worker's capacity may shrink and grow while it runs")
{
  Deployment deployment;
  deployment.StartWorker("worker-1", "zone-1", { "--cpu-millis", "8000" });
  deployment.PutConfiguration(SmallConfiguration({ "zone-1" }));
  deployment.StartPlanner("planner-1", "zone-1");
  const Endpoint planner = deployment.PeerEndpointOf("planner-1");
  REQUIRE(WaitUntil([&] { return Owns(planner); }));
  const auto resize = [&](int aCpuMillis) {
    deployment.Call("worker-1",
                    "POST",
                    "/standin/faults",
                    nlohmann::json{ { "cpu_millis", aCpuMillis } }.dump());
    const std::string line = "cpu_millis=" + std::to_string(aCpuMillis);
    return WaitUntil([&] {
      const std::string log = deployment.LogOf("planner-1");
      const std::size_t changed = log.rfind("worker_changed");
      return changed != std::string::npos &&
             log.find(line, changed) != std::string::npos;
    });
  };
  const auto running = [&] { return Query(planner, kJob).tasksRunning; };
  const auto overcommits = [&] {
    return nlohmann::json::parse(
             deployment.Call("worker-1", "GET", "/standin/overcommits").body)
      .size();
  };
  CHECK(SubmitOrder(planner, kJob, 60, 2000).outcome ==
        SubmitOutcome::Accepted);
  REQUIRE(WaitUntil([&] { return running() == 8; }));
  REQUIRE(resize(3000));
  // Until its next report a worker may receive starts for its old capacity.
  const std::size_t before = overcommits();
  CHECK(WaitUntil([&] { return running() <= 3; }));
  REQUIRE(resize(8000));
  CHECK(overcommits() == before);
  CHECK(WaitUntil([&] { return running() == 8; }));
  REQUIRE(
    WaitUntil([&] { return Query(planner, kJob).state == "finished"; }, 120));
  CHECK(overcommits() == before);
}
