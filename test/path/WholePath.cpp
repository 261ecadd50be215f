#include "support/Deployment.h"

#include <csignal>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace sequoiakeel;
using nlohmann::json;

namespace {

constexpr const char* kZones[] = { "zone-1", "zone-2", "zone-3" };

std::string
JobBody(int aTasks, int aRunTimeMs)
{
  return json{
    { "team", "planning" },
    { "task_class", "batch-order" },
    { "resources", { { "cpu_millis", 2000 }, { "memory_mb", 1000 } } },
    { "task_count", aTasks },
    { "run_time_ms", aRunTimeMs }
  }.dump();
}

HttpHeaders
Key(const std::string& aKey)
{
  HttpHeaders headers;
  headers.Set("Idempotency-Key", aKey);
  return headers;
}

HttpHeaders
Author(const std::string& aName)
{
  HttpHeaders headers;
  headers.Set("Sequoiakeel-Author", aName);
  return headers;
}

void
StartAll(Deployment& aDeployment)
{
  aDeployment.PutConfiguration(
    SmallConfiguration({ "zone-1", "zone-2", "zone-3" }));
  for (int i = 0; i < 3; ++i) {
    aDeployment.StartWorker("worker-" + std::to_string(i), kZones[i]);
  }
  for (int i = 0; i < 3; ++i) {
    aDeployment.StartPlanner("planner-" + std::to_string(i), kZones[i]);
    aDeployment.StartEntry("entry-" + std::to_string(i), kZones[i]);
  }
}

/** Submits a job, repeating the request until it is accepted, since no cell may
 * have an owner yet. */
json
Submit(Deployment& aDeployment,
       const std::string& aEntry,
       const std::string& aKey,
       const std::string& aBody)
{
  HttpResponse response;
  const bool accepted = WaitUntil([&] {
    response = aDeployment.Call(aEntry, "POST", "/v1/jobs", aBody, Key(aKey));
    return response.status == 202;
  });
  INFO(response.body);
  REQUIRE(accepted);
  return json::parse(response.body);
}

/** Returns the number of task starts of a job, summed over all workers. */
int
StartsOf(Deployment& aDeployment, const std::string& aJob)
{
  int starts = 0;
  for (int i = 0; i < 3; ++i) {
    const HttpResponse response =
      aDeployment.Call("worker-" + std::to_string(i), "GET", "/standin/starts");
    const json counts = json::parse(response.body);
    for (const auto& [task, count] : counts.items()) {
      starts += task.find(aJob) != std::string::npos ? count.get<int>() : 0;
    }
  }
  return starts;
}

} // namespace

// Guards against programs that pass their own tests but fail when entries,
// planners, workers and the store run together.
TEST_CASE("a quote is answered, a batch order finishes once, a configuration "
          "becomes active everywhere")
{
  Deployment deployment;
  StartAll(deployment);

  HttpResponse quote;
  CHECK(WaitUntil([&] {
    quote =
      deployment.Call("entry-0", "POST", "/v1/services/quote", "edging stones");
    return quote.status == 200;
  }));
  CHECK(quote.headers.Get("Sequoiakeel-Outcome") == "done");
  CHECK(quote.body.find("edging stones") != std::string::npos);

  const json job = Submit(deployment, "entry-1", "order-1", JobBody(4, 300));
  const std::string id = job.at("job_id");
  CHECK(
    Submit(deployment, "entry-2", "order-1", JobBody(4, 300)).at("job_id") ==
    id);
  json status;
  CHECK(WaitUntil([&] {
    status =
      json::parse(deployment.Call("entry-2", "GET", "/v1/jobs/" + id).body);
    return status.value("state", "") == "finished";
  }));
  INFO(status.dump());
  CHECK(status.value("tasks_finished", 0) == 4);
  CHECK(StartsOf(deployment, id) == 4);
  const json explained = json::parse(
    deployment.Call("entry-0", "GET", "/v1/jobs/" + id + "/explain").body);
  CHECK(explained.at("decisions").size() == 8);
  CHECK(explained.at("decisions").front().at("event") == "placed");

  std::string metrics;
  for (const char* planner : { "planner-0", "planner-1", "planner-2" }) {
    metrics += deployment.Call(planner, "GET", "/metrics").body;
  }
  CHECK(metrics.find("kind=\"task_finished\"") != std::string::npos);

  json document =
    json::parse(deployment.Call("entry-0", "GET", "/v1/configuration").body);
  document["services"][0]["deadline_ms"] = 4000;
  const HttpResponse applied = deployment.Call("entry-0",
                                               "PUT",
                                               "/v1/configuration?base=1",
                                               document.dump(),
                                               Author("test"));
  CHECK(applied.status == 200);
  for (int i = 0; i < 3; ++i) {
    CHECK(WaitUntil([&] {
      const HttpResponse active = deployment.Call(
        "entry-" + std::to_string(i), "GET", "/v1/configuration");
      return json::parse(active.body).value("generation", 0) == 2;
    }));
  }

  for (int i = 0; i < 3; ++i) {
    deployment.Process("entry-" + std::to_string(i)).Signal(SIGTERM);
    deployment.Process("planner-" + std::to_string(i)).Signal(SIGTERM);
  }
  for (int i = 0; i < 3; ++i) {
    CHECK(deployment.Process("entry-" + std::to_string(i)).Wait() == 0);
    CHECK(deployment.Process("planner-" + std::to_string(i)).Wait() == 0);
  }
}
