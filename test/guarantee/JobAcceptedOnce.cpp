#include "CellCodec.h"
#include "CellKeys.h"
#include "JobGateway.h"
#include "generated/Cell.h"
#include "support/Deployment.h"
#include "support/FakePlanner.h"
#include "support/FakeStore.h"
#include "support/RequestHarness.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

using namespace sequoiakeel;
using nlohmann::json;

namespace {

/** The components of one entry process that handle jobs. */
struct Gateway
{
  Gateway(boost::asio::io_context& aContext,
          const MembershipView& aMembership,
          KeyValueStore& aStore,
          const std::string& aName)
    : catalog(aName, "zone-1", this->clock, 1)
    , client(aContext.get_executor())
    , directory(aContext.get_executor(),
                aMembership,
                this->client,
                aStore,
                this->clock)
    , jobs(aContext.get_executor(),
           this->directory,
           this->client,
           std::make_shared<IdempotencyRecords>(
             aContext.get_executor(),
             aStore,
             this->clock,
             aName,
             1,
             [](std::string_view, std::uint64_t) { return true; }),
           this->catalog,
           this->metrics,
           this->clock)
  {
    Configuration configuration;
    configuration.cells = { Cell{ "cell-1", "zone-1", {} },
                            Cell{ "cell-2", "zone-1", {} } };
    configuration.teams.emplace_back().name = "planning";
    configuration.taskClasses.emplace_back().name = "batch-order";
    this->catalog.Activate(configuration);
  }

  SystemClock clock;
  Metrics metrics;
  ServiceCatalog catalog;
  PeerClient client;
  PlannerDirectory directory;
  JobGateway jobs;
};

/** Two entries, and two planners that own one cell each. */
struct Bench
{
  Bench()
    : one(this->threads.Context(), "planner-1", { "cell-1" })
    , two(this->threads.Context(), "planner-2", { "cell-2" })
    , membership({ this->one.Row(), this->two.Row() })
    , first(this->threads.Context(), this->membership, this->store, "entry-1")
    , second(this->threads.Context(), this->membership, this->store, "entry-2")
  {
  }
  ~Bench() { this->threads.Stop(); }

  std::future<HttpResponse> Send(Gateway& aGateway, HttpHeaders aHeaders)
  {
    HttpRequest request;
    request.method = "POST";
    request.headers = std::move(aHeaders);
    request.body = this->body;
    return boost::asio::co_spawn(this->threads.Context(),
                                 aGateway.jobs.Submit(std::move(request)),
                                 boost::asio::use_future);
  }

  HttpResponse Submit(Gateway& aGateway, HttpHeaders aHeaders = {})
  {
    return this->Send(aGateway, std::move(aHeaders)).get();
  }

  std::size_t Accepted()
  {
    return this->one.Jobs().size() + this->two.Jobs().size();
  }

  std::string body = R"({"team":"planning","task_class":"batch-order",
    "resources":{"cpu_millis":1000,"memory_mb":100}})";
  TestThreads threads;
  FakeStore store;
  FakePlanner one;
  FakePlanner two;
  FixedMembership membership;
  Gateway first;
  Gateway second;
};

std::string
JobIdOf(const HttpResponse& aResponse)
{
  return json::parse(aResponse.body).at("job_id").get<std::string>();
}

HttpHeaders
Key(const std::string& aKey, const std::string& aDeadlineMs = "10000")
{
  return MakeHeaders({ { "Idempotency-Key", aKey },
                       { "Sequoiakeel-Deadline-Ms", aDeadlineMs } });
}

} // namespace

// Guards against two jobs for one order when a caller sends it with the same
// idempotency key through two entries at the same time.
TEST_CASE("the same key through both entries at the same time makes one job")
{
  Bench bench;
  for (int round = 0; round < 20; ++round) {
    const std::string key = "k" + std::to_string(round);
    std::vector<std::future<HttpResponse>> calls;
    for (int copy = 0; copy < 4; ++copy) {
      Gateway& gateway = copy % 2 == 0 ? bench.first : bench.second;
      calls.push_back(bench.Send(gateway, Key(key)));
    }
    std::set<std::string> ids;
    for (std::future<HttpResponse>& call : calls) {
      const HttpResponse response = call.get();
      CHECK(response.status == 202);
      ids.insert(JobIdOf(response));
    }
    CHECK(ids.size() == 1);
    CHECK(bench.Accepted() == static_cast<std::size_t>(round) + 1);
  }
}

// Guards against accepting a job twice: when the reply to a submission is lost,
// the retry must not use a new job id.
TEST_CASE("a submission whose reply was lost is accepted once")
{
  Bench bench;
  bench.one.LoseReplies(2);
  bench.two.LoseReplies(2);
  SUBCASE("without a key")
  {
    CHECK(bench.Submit(bench.first).status == 202);
  }
  SUBCASE("with a key, and again through the other entry")
  {
    const HttpResponse first = bench.Submit(bench.first, Key("k"));
    CHECK(first.status == 202);
    const HttpResponse again = bench.Submit(bench.second, Key("k"));
    CHECK(JobIdOf(again) == JobIdOf(first));
  }
  CHECK(bench.Accepted() == 1);
}

// Guards against answering "not-run" for a submission without a reply, which
// the planner may have accepted.
TEST_CASE("a submission without a reply is unknown and names its job")
{
  Bench bench;
  bench.one.LoseReplies(1000);
  bench.two.LoseReplies(1000);
  const HttpResponse lost = bench.Submit(bench.first, Key("k", "500"));
  CHECK(lost.status == 504);
  CHECK(OutcomeOf(lost) == "unknown no-whole-answer");
  bench.one.LoseReplies(0);
  bench.two.LoseReplies(0);
  const HttpResponse again = bench.Submit(bench.second, Key("k"));
  CHECK(again.status == 202);
  CHECK(JobIdOf(again) == JobIdOf(lost));
  CHECK(bench.Accepted() == 1);
}

// Guards against answering "not-run" when a retry is refused, although the
// first submission with the same idempotency key may have been accepted.
TEST_CASE("a refused retry of a bound key is unknown")
{
  Bench bench;
  bench.one.LoseReplies(1000);
  bench.two.LoseReplies(1000);
  bench.Submit(bench.first, Key("k", "300"));
  bench.one.SetOwned({});
  bench.two.SetOwned({});
  const HttpResponse again = bench.Submit(bench.second, Key("k", "500"));
  CHECK(again.headers.Get("Sequoiakeel-Outcome") == "unknown");
}

// Guards against rejecting a job because the queue of the first cell is full,
// and against two cells accepting the same job.
TEST_CASE("a refused job goes to another cell unless its key is bound")
{
  Bench bench;
  bench.one.Refuse("queue-full");
  for (int job = 0; job < 10; ++job) {
    const HttpResponse response = bench.Submit(bench.first);
    CHECK(response.status == 202);
    CHECK(json::parse(response.body).at("cell") == "cell-2");
  }
  CHECK(bench.one.Jobs().empty());
  bench.two.Refuse("queue-full");
  const HttpResponse refused = bench.Submit(bench.first, Key("k"));
  CHECK(OutcomeOf(refused) == "not-run queue-full");
  bench.one.Refuse("");
  bench.two.Refuse("");
  CHECK(bench.Submit(bench.second, Key("k")).status == 202);
  CHECK(bench.Accepted() == 11);
}

// Guards against sending jobs to the cell's previous owner only, after the
// owner record in the store names another planner.
TEST_CASE("a job follows the owner that the store names")
{
  Bench bench;
  bench.one.SetOwned({});
  bench.two.SetOwned({ "cell-1", "cell-2" });
  OwnerRecord owner;
  owner.owner = "planner-2";
  owner.address = "127.0.0.1";
  owner.port = bench.two.Row().port;
  boost::asio::co_spawn(
    bench.threads.Context(),
    bench.store.CompareAndSwap(
      OwnerKey("cell-1"), kAbsentVersion, EncodeBinary(owner), kNoLease),
    boost::asio::use_future)
    .get();
  for (int job = 0; job < 8; ++job) {
    CHECK(bench.Submit(bench.first).status == 202);
  }
  CHECK(bench.two.Jobs().size() == 8);
}

// Guards against a status query or a cancellation that ends at the cell in the
// job id although the job has moved to another cell.
TEST_CASE("status and cancellation follow a moved job")
{
  Bench bench;
  bench.two.Refuse("queue-full");
  const std::string id = JobIdOf(bench.Submit(bench.first));
  bench.one.MoveJob(id, "cell-2");
  bench.two.MoveJob(id, "cell-2");
  const HttpResponse status = boost::asio::co_spawn(bench.threads.Context(),
                                                    bench.second.jobs.Query(id),
                                                    boost::asio::use_future)
                                .get();
  CHECK(status.status == 200);
  CHECK(json::parse(status.body).at("cell") == "cell-2");
  const HttpResponse cancel =
    boost::asio::co_spawn(bench.threads.Context(),
                          bench.second.jobs.Cancel(id),
                          boost::asio::use_future)
      .get();
  CHECK(cancel.status == 202);
  CHECK(bench.two.Cancelled() == std::vector<std::string>{ id });
  CHECK(bench.one.Cancelled().empty());
}

// Guards against malformed job documents that reach a planner or bind the
// idempotency key, so that a corrected document could not use it.
TEST_CASE("a malformed job is refused with its findings")
{
  Bench bench;
  for (
    const char* body :
    { "",
      "[]",
      "{",
      R"({"team":5})",
      R"({"team":"planning","task_class":"batch-order"})",
      R"({"team":"planning","task_class":"batch-order","resources":{"cpu_millis":-1}})",
      R"({"team":"planning","task_class":"batch-order","resources":{},"more":1})",
      R"({"team":"nobody","task_class":"batch-order","resources":{}})",
      R"({"team":"planning","task_class":"none","resources":{}})" }) {
    bench.body = body;
    const HttpResponse response = bench.Submit(bench.first, Key("k"));
    CHECK(response.status == 400);
    CHECK(response.headers.Get("Sequoiakeel-Outcome") == "not-run");
  }
  CHECK(bench.store.Values("requests/").empty());
  CHECK(bench.Accepted() == 0);
}
