#include "support/Deployment.h"
#include "support/RequestHarness.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace sequoiakeel;
using nlohmann::json;

namespace {

const char* const kOrder =
  R"({"team":"planning","task_class":"batch-order","run_time_ms":200,
      "resources":{"cpu_millis":1000,"memory_mb":100}})";

std::string
StateOf(Deployment& aDeployment, const std::string& aJobId)
{
  const HttpResponse response =
    aDeployment.Call("entry-1", "GET", "/v1/jobs/" + aJobId);
  return json::parse(response.body).value("state", "none");
}

} // namespace

// Guards against an entry, a planner and a worker whose protocols do not match,
// so that a job submitted at the entry never runs or its state cannot be
// queried. All of them run as separate processes.
TEST_CASE("a job submitted at an entry runs and can be followed")
{
  Deployment deployment;
  deployment.StartWorker("worker-1", "zone-1");
  deployment.PutConfiguration(SmallConfiguration({ "zone-1" }));
  deployment.StartEntry("entry-1", "zone-1");
  deployment.StartPlanner("planner-1", "zone-1");
  const HttpHeaders key = MakeHeaders({ { "Idempotency-Key", "order-1" } });
  HttpResponse accepted;
  CHECK(WaitUntil([&] {
    accepted = deployment.Call("entry-1", "POST", "/v1/jobs", kOrder, key);
    return accepted.status == 202;
  }));
  const std::string id = json::parse(accepted.body).at("job_id");
  CHECK(id.starts_with("cell-zone-1."));
  const HttpResponse again =
    deployment.Call("entry-1", "POST", "/v1/jobs", kOrder, key);
  CHECK(json::parse(again.body).at("job_id") == id);
  CHECK(WaitUntil([&] { return StateOf(deployment, id) == "finished"; }));

  const HttpResponse watch = deployment.Call(
    "entry-1",
    "POST",
    "/v1/jobs",
    R"({"team":"planning","task_class":"watcher","resources":{"cpu_millis":1}})");
  REQUIRE(watch.status == 202);
  const std::string watcher = json::parse(watch.body).at("job_id");
  CHECK(WaitUntil([&] { return StateOf(deployment, watcher) == "running"; }));
  CHECK(deployment.Call("entry-1", "DELETE", "/v1/jobs/" + watcher).status ==
        202);
  CHECK(WaitUntil([&] { return StateOf(deployment, watcher) == "cancelled"; }));
  const json status =
    json::parse(deployment.Call("entry-1", "GET", "/v1/status").body);
  CHECK(status.at("cells").at(0).at("planner") == "planner-1");
  CHECK(
    deployment.Call("entry-1", "GET", "/v1/jobs/cell-zone-1.0123456789abcdef")
      .status == 404);
}
