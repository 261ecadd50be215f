#include "support/Deployment.h"

#include <csignal>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace sequoiakeel;

namespace {

HttpHeaders
Headers(std::initializer_list<HttpHeader> aFields)
{
  HttpHeaders headers;
  for (const HttpHeader& field : aFields) {
    headers.Add(field.name, field.value);
  }
  return headers;
}

std::string
OutcomeOf(const HttpResponse& aResponse)
{
  return std::string(aResponse.headers.Get("Sequoiakeel-Outcome")) + " " +
         std::string(aResponse.headers.Get("Sequoiakeel-Reason"));
}

} // namespace

// Guards against an entry that starts, but does not connect its parts: every
// call of docs/api.md that needs no planner is made once.
TEST_CASE("an entry serves callers and operators")
{
  Deployment deployment;
  deployment.StartWorker("worker-1", "zone-1");
  deployment.PutConfiguration(SmallConfiguration({ "zone-1" }));
  deployment.StartEntry("entry-1", "zone-1");

  const HttpResponse quote =
    deployment.Call("entry-1", "POST", "/v1/services/quote", "12 steps");
  CHECK(quote.status == 200);
  CHECK(OutcomeOf(quote) == "done ");
  CHECK(quote.body.find("12 steps") != std::string::npos);
  CHECK_FALSE(quote.headers.Get("Sequoiakeel-Request-Id").empty());

  const HttpHeaders once = Headers({ { "Sequoiakeel-Idempotent", "false" },
                                     { "Idempotency-Key", "order-1" },
                                     { "Sequoiakeel-Team", "planning" } });
  const HttpResponse first =
    deployment.Call("entry-1", "POST", "/v1/services/quote", "order", once);
  CHECK(first.status == 200);
  const HttpResponse again =
    deployment.Call("entry-1", "POST", "/v1/services/quote", "order", once);
  CHECK(again.status == 200);
  CHECK(again.headers.Get("Sequoiakeel-Request-Id") ==
        first.headers.Get("Sequoiakeel-Request-Id"));

  CHECK(OutcomeOf(deployment.Call("entry-1", "POST", "/v1/services/none")) ==
        "not-run unknown-service");
  CHECK(OutcomeOf(deployment.Call("entry-1", "GET", "/v1/nothing")) ==
        "not-run unknown-path");
  CHECK(OutcomeOf(deployment.Call("entry-1", "POST", "/v1/jobs", "{}")) ==
        "not-run bad-request");
  CHECK(deployment.Call("entry-1", "GET", "/v1/jobs/nonsense").status == 404);

  CHECK(deployment.Call("entry-1", "GET", "/healthz").status == 200);
  const HttpResponse status = deployment.Call("entry-1", "GET", "/v1/status");
  CHECK(nlohmann::json::parse(status.body).at("configuration_generation") == 1);
  const HttpResponse metrics = deployment.Call("entry-1", "GET", "/metrics");
  CHECK(metrics.body.find("sequoiakeel_request_seconds") != std::string::npos);

  const HttpResponse configuration =
    deployment.Call("entry-1", "GET", "/v1/configuration");
  CHECK(configuration.status == 200);
  const HttpResponse applied =
    deployment.Call("entry-1",
                    "PUT",
                    "/v1/configuration?base=1",
                    configuration.body,
                    Headers({ { "Sequoiakeel-Author", "operator" } }));
  CHECK(applied.status == 200);
  CHECK(nlohmann::json::parse(applied.body).at("generation") == 2);

  deployment.Process("entry-1").Signal(SIGTERM);
  CHECK(deployment.Process("entry-1").Wait() == 0);
}
