#include "support/Deployment.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace sequoiakeel;

// Guards against stand-ins that do not implement their interface, which would
// make the results of all other path tests meaningless.
TEST_CASE("the stand-ins answer and end on SIGTERM")
{
  Deployment deployment;
  deployment.StartWorker("worker-1", "zone-1");
  deployment.PutConfiguration(SmallConfiguration({ "zone-1" }));
  const HttpResponse status = deployment.Call("worker-1", "GET", "/v1/status");
  CHECK(status.status == 200);
  CHECK(status.body.find("\"worker-1\"") != std::string::npos);
  const HttpResponse refused =
    deployment.Call("worker-1",
                    "POST",
                    "/v1/tasks",
                    R"({"task_id":"t","lease":"no-such-lease"})");
  CHECK(refused.status == 412);
  deployment.Process("worker-1").Signal(SIGTERM);
  CHECK(deployment.Process("worker-1").Wait() == 0);
}
