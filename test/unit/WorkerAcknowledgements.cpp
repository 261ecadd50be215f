#include "HttpServer.h"
#include "WireJson.h"
#include "WorkerClient.h"
#include "support/SchedulerHarness.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>

using namespace sequoiakeel;
using namespace sequoiakeel::platform;
namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A worker on loopback that reports no runs and records what it is told. */
class ReportingWorker
{
public:
  ReportingWorker(asio::io_context& aContext,
                  std::uint32_t aPort,
                  std::uint64_t aIncarnation)
    : incarnation(aIncarnation)
    , server(aContext,
             Endpoint{ "127.0.0.1", aPort },
             Limits(),
             [this](HttpRequest aRequest) {
               return this->Answer(std::move(aRequest));
             })
  {
    this->server.Start();
  }

  std::uint32_t Port() const { return this->server.Port(); }

  HttpServer& Server() { return this->server; }

  /** Returns the acknowledged sequence number of the last report request. */
  std::uint64_t LastSeen()
  {
    const std::lock_guard lock(this->mutex);
    return this->lastSeen;
  }

private:
  static HttpServerLimits Limits()
  {
    HttpServerLimits limits;
    limits.stopGrace = milliseconds(10);
    return limits;
  }

  asio::awaitable<HttpResponse> Answer(HttpRequest aRequest)
  {
    const auto body = ParseJson(aRequest.body);
    if (aRequest.target == "/-/hold") {
      const std::lock_guard lock(this->mutex);
      this->lastSeen = body->at("lastSeen").get<std::uint64_t>();
    }
    const nlohmann::json report{ { "clockMs", 5 },
                                 { "born", this->incarnation },
                                 { "running", nlohmann::json::array() },
                                 { "finished", nlohmann::json::array() } };
    co_return JsonResponse(200, report.dump());
  }

  std::uint64_t incarnation;
  std::mutex mutex;
  std::uint64_t lastSeen = 0;
  HttpServer server;
};

/** A worker client and the threads that run it. */
struct Fixture
{
  Fixture()
    : client(context.get_executor())
    , work(asio::make_work_guard(context))
    , thread([this] { this->context.run(); })
  {
  }

  ~Fixture()
  {
    this->context.stop();
    this->thread.join();
  }

  template<class Result>
  Result Await(asio::awaitable<Result> aCall)
  {
    return asio::co_spawn(this->context, std::move(aCall), asio::use_future)
      .get();
  }

  WorkerCommandTarget Target() const
  {
    return WorkerCommandTarget{ "w", Endpoint{ "127.0.0.1", this->port }, 1 };
  }

  /** Requests a report. Returns the incarnation that reported; 0 if none. */
  std::uint64_t Renew(EndsAcknowledgement aEnds)
  {
    return this
      ->Await(this->client.Renew(
        this->Target(), 0, aEnds, Duration::zero(), seconds(5)))
      .report.incarnation;
  }

  asio::io_context context;
  WorkerClient client;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::thread thread;
  std::uint32_t port = 0;
};

} // namespace

// Guards against ends of runs that a worker discards unreported, since it was
// restarted under its id and its client connected again.
TEST_CASE("ends are acknowledged only to the incarnation that reported them")
{
  Fixture fixture;
  auto worker = std::make_unique<ReportingWorker>(fixture.context, 0, 5);
  fixture.port = worker->Port();
  CHECK(fixture.Renew({ 5, 3 }) == 5);
  CHECK(worker->LastSeen() == 0);
  CHECK(fixture.Renew({ 5, 3 }) == 5);
  CHECK(worker->LastSeen() == 3);
  CHECK(fixture.Renew({ 4, 9 }) == 5);
  CHECK(worker->LastSeen() == 0);

  worker->Server().StopAccepting();
  REQUIRE(fixture.Await(
    worker->Server().Drain(std::chrono::steady_clock::now() + seconds(5))));
  const auto restarted =
    std::make_unique<ReportingWorker>(fixture.context, fixture.port, 6);
  CHECK(fixture.Renew({ 5, 3 }) == 6);
  CHECK(restarted->LastSeen() == 0);
  CHECK(fixture.Renew({ 5, 3 }) == 6);
  CHECK(restarted->LastSeen() == 0);
  CHECK(fixture.Renew({ 6, 1 }) == 6);
  CHECK(restarted->LastSeen() == 1);
}

// Guards against acknowledgements that are left out, so that the worker returns
// the same ends again, since a command was sent on the report connection.
TEST_CASE("commands leave the connection of the reports alone")
{
  Fixture fixture;
  ReportingWorker worker(fixture.context, 0, 5);
  fixture.port = worker.Port();
  for (std::uint64_t sequence = 1; sequence < 4; ++sequence) {
    fixture.Renew({ 5, 0 });
    CHECK(worker.LastSeen() == 0);
    CHECK(
      fixture
        .Await(fixture.client.Stop(fixture.Target(), "j.0.0.0", 1, seconds(5)))
        .result == WorkerCommandResult::Done);
    fixture.Renew({ 5, sequence });
    CHECK(worker.LastSeen() == sequence);
  }
}

// Guards against a second run of a task whose end did not fit into the report,
// since a worker returns at most 500 ends at a time.
TEST_CASE("runs whose ends did not fit into a report are not lost")
{
  constexpr std::uint32_t kTasks = 600;
  constexpr std::size_t kMaxEnds = 500;
  SchedulerHarness harness;
  harness.AddWorkers({ "w1" });
  WorkflowSubmission job = harness.Job("j", kTasks);
  job.steps[0].cpuMilli = 10;
  harness.scheduler.Accept(job);
  std::vector<std::string> started;
  while (started.size() < kTasks) {
    const std::vector<PlannedStart> starts = harness.PlanAndConfirm();
    REQUIRE(!starts.empty());
    for (const PlannedStart& start : starts) {
      started.push_back(start.command.task);
    }
  }
  harness.clock.Advance(milliseconds(10));
  const auto reportFrom = [&](std::size_t aFirst) {
    nlohmann::json rows = nlohmann::json::array();
    for (std::size_t i = aFirst; i < kTasks && rows.size() < kMaxEnds; ++i) {
      rows.push_back({ i + 1, started[i], 1U, "done", "" });
    }
    const nlohmann::json body{ { "born", 1U },
                               { "running", nlohmann::json::array() },
                               { "finished", rows } };
    const auto report = DecodeWorkerReport(body, "w1");
    REQUIRE(report);
    harness.scheduler.HandleReport(
      "w1", harness.clock.Now(), harness.WorkerMs(), *report);
  };
  reportFrom(0);
  CHECK(harness.PlanStarts().empty());
  reportFrom(kMaxEnds);
  CHECK(harness.PlanStarts().empty());
  harness.WriteProgress();
  CHECK(harness.scheduler.StateOf("j") == WorkflowState::Completed);
}
