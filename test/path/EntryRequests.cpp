#include "EntryService.h"
#include "support/Deployment.h"
#include "support/RequestHarness.h"

#include <csignal>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

using namespace sequoiakeel;

namespace {

/** Sends raw bytes and returns what is received until the server closes the
 * connection. */
std::string
SendRaw(const Endpoint& aEntry, const std::string& aBytes)
{
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect({ boost::asio::ip::make_address(aEntry.address),
                   static_cast<std::uint16_t>(aEntry.port) });
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer(aBytes), error);
  std::string text;
  boost::asio::read(socket, boost::asio::dynamic_buffer(text), error);
  CHECK(error == boost::asio::error::eof);
  return text;
}

} // namespace

// Guards against invalid input that gets no response, or a response without an
// outcome.
TEST_CASE("malformed and oversized requests are refused with an outcome")
{
  Deployment deployment;
  deployment.PutConfiguration(SmallConfiguration({ "zone-1" }));
  deployment.StartEntry("entry-1", "zone-1");
  const Endpoint entry = deployment.EndpointOf("entry-1");
  const std::string head = "POST /v1/services/quote HTTP/1.1\r\nHost: e\r\n";
  for (const std::string& request :
       { std::string("no http at all\r\n\r\n"),
         head + "Content-Length: minus one\r\n\r\n",
         head + "Content-Length: 99999999\r\n\r\n",
         head + "Content-Length: 2000000\r\n\r\n" + std::string(2000000, 'b'),
         head + "X: " + std::string(100000, 'x') + "\r\n\r\n" }) {
    const std::string answer = SendRaw(entry, request);
    CHECK(answer.starts_with("HTTP/1.1 4"));
    CHECK(answer.find("Sequoiakeel-Outcome: not-run") != std::string::npos);
  }
  CHECK(deployment.Call("entry-1", "GET", "/healthz").status == 200);
}

// Guards against an entry that routes requests or reports itself as ready
// without a configuration.
TEST_CASE("an entry without a configuration refuses requests")
{
  TestThreads threads;
  Settings settings;
  settings.name = "entry-1";
  settings.zone = "zone-1";
  settings.http = Endpoint{ "127.0.0.1", 0 };
  settings.peer = Endpoint{ "127.0.0.1", 0 };
  // Nothing listens on the discard port.
  settings.store = Endpoint{ "127.0.0.1", 9 };
  settings.hostList = settings.store;
  EntryService service(threads.Context(), settings);
  boost::asio::co_spawn(
    threads.Context(), service.Start(), boost::asio::detached);
  const Endpoint entry{ "127.0.0.1", service.HttpPort() };
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/services/quote";
  CHECK(OutcomeOf(CallHttp(entry, request)) == "not-run starting");
  HttpRequest health;
  health.target = "/healthz";
  CHECK(CallHttp(entry, health).status == 503);
  threads.Stop();
}

// Guards against an entry that starts with some of its components not
// connected: the test makes every call of docs/api.md that needs no planner.
TEST_CASE("an entry serves callers and operators")
{
  Deployment deployment;
  deployment.StartWorker("worker-1", "zone-1");
  deployment.PutConfiguration(SmallConfiguration({ "zone-1" }));
  deployment.StartEntry("entry-1", "zone-1");

  const HttpResponse quote =
    deployment.Call("entry-1", "POST", "/v1/services/quote", "12 steps");
  CHECK(quote.status == 200);
  CHECK(OutcomeOf(quote) == "done");
  CHECK(quote.body.find("12 steps") != std::string::npos);
  CHECK_FALSE(quote.headers.Get("Sequoiakeel-Request-Id").empty());

  const HttpHeaders once = MakeHeaders({ { "Sequoiakeel-Idempotent", "false" },
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
                    MakeHeaders({ { "Sequoiakeel-Author", "operator" } }));
  CHECK(applied.status == 200);
  CHECK(nlohmann::json::parse(applied.body).at("generation") == 2);

  deployment.Process("entry-1").Signal(SIGTERM);
  CHECK(deployment.Process("entry-1").Wait() == 0);
}
