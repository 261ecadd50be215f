#include "CallerRequestHandler.h"
#include "OperatorDocumentWatcher.h"
#include "Registry.h"
#include "StoreClient.h"
#include "WireJson.h"
#include "WorkerClient.h"

#include <doctest/doctest.h>
#include <random>

using namespace sequoiakeel;
using namespace sequoiakeel::platform;

namespace {

const std::string kWorker =
  R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"room":{"cpu":16000,"memMb":32768,"gpu":1},"labels":["a","r1-3"],"clockMs":5,"seq":4,"born":77})";

const std::string kDocument =
  R"({"version":7,"routes":[{"name":"q","hostname":"h.example","prefix":"/a/","type":"non_idempotent","timeoutMs":3000,"targetDurationMs":250,"priority":2,"service":"s","attempts":4,"stretch":1.5},{"name":"long","hostname":"h.example","prefix":"/a/b/","service":"t"}],"services":[],"limits":{"maxBodyBytes":1000}})";

const std::string kSubmission =
  R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,"dataRack":"r1-3"},{"count":20,"cpu":2000,"memMb":1024,"estimateMs":7000,"after":[0],"checkpointing":true,"fills":true,"mayMiss":2,"maxPerServer":3,"targetMs":50,"longRunning":true}],"repeats":3,"firstMs":1000,"intervalMs":10})";

const std::string kReport =
  R"({"clockMs":482113,"born":5,"running":[["j.0.1.17",2,"cp",41,30],["j.0.1.18",1,"",0]],"finished":[[58,"j.0.1.9",1,"done",""],[59,"j.0.1.8",1,"lapsed","x"]]})";

/** Returns a text with random bytes changed, removed, duplicated or cut off. */
std::string
Mutate(std::string aText, std::mt19937_64& aRandom)
{
  const std::size_t changes = 1 + aRandom() % 4;
  for (std::size_t i = 0; i < changes && !aText.empty(); ++i) {
    const std::size_t place = aRandom() % aText.size();
    switch (aRandom() % 4) {
      case 0:
        aText[place] = static_cast<char>(aRandom());
        break;
      case 1:
        aText.erase(place, 1 + aRandom() % 5);
        break;
      case 2:
        aText.insert(place, aText.substr(place, aRandom() % 9));
        break;
      default:
        aText.resize(place);
        break;
    }
  }
  return aText;
}

} // namespace

TEST_CASE("a worker's entry is decoded")
{
  std::string fault;
  const auto worker = DecodeWorker("i-1", kWorker, fault);
  REQUIRE(worker);
  CHECK(worker->endpoint.port == 8080);
  CHECK(worker->rack == "r1-3");
  CHECK(worker->labels.contains("a"));
  CHECK(worker->capacity.cpuMilli == 16000);
  CHECK(worker->capacity.accelerators == 1);
  CHECK(worker->incarnation == 77);
  CHECK(!worker->draining);
}

// Guards against work that is sent to an entry which another program wrote to
// the registry.
TEST_CASE(
  "a worker's entry with a missing, mistyped or unknown field is rejected")
{
  const std::pair<std::string, std::string> changes[] = {
    { R"("service":"s")", R"("service":4)" },
    { R"("address":"10.0.0.9:8080")", R"("address":"10.0.0.9")" },
    { R"("zone":"z",)", "" },
    { R"("state":"ready")", R"("state":"sleeping")" },
    { R"("cpu":16000)", R"("cpu":"much")" },
    { R"("memMb":32768)", R"("memMb":-1)" },
    { R"("version":"v1",)", "" },
    { R"("slots":8,)", "" },
    { R"("slots":8)", R"("slots":"many")" },
    { R"("coldRemainingMs":0,)", "" },
    { R"("seq":4,)", "" },
    { R"("seq":4)", R"("seq":-4)" },
    { R"("born":77)", R"("born":"now")" },
    { R"("labels":["a","r1-3"],)", "" },
    { R"("labels":["a","r1-3"])", R"("labels":["a"])" },
    { R"("labels":["a","r1-3"])", R"("labels":["a",3])" },
  };
  for (const auto& [from, to] : changes) {
    std::string text = kWorker;
    text.replace(text.find(from), from.size(), to);
    std::string fault;
    CHECK_MESSAGE(!DecodeWorker("i-1", text, fault), text);
    CHECK(!fault.empty());
  }
}

TEST_CASE("the operator's document is decoded, and the longest prefix wins")
{
  const auto table = DecodeOperatorDocument(kDocument);
  REQUIRE(table);
  CHECK(table->version == 7);
  CHECK(table->maxBodyBytes == 1000);
  REQUIRE(table->queues.size() == 2);
  CHECK(table->queues[0].maxAttempts == 4);
  CHECK(table->queues[0].objectiveMs == 250);
  CHECK(table->queues[0].objectiveStretch == doctest::Approx(1.5));
  CHECK(table->Match("h.example", "/a/b/1")->name == "long");
  CHECK(table->Match("h.example", "/a/c")->name == "q");
  CHECK(table->Match("other.example", "/a/c") == nullptr);
  CHECK(table->Match("h.example", "/b/") == nullptr);
}

// Guards against a configuration that reverts to an older version.
TEST_CASE("an older document is not activated")
{
  ActiveQueues queues;
  QueueTable table;
  table.version = 5;
  CHECK(queues.Activate(table));
  table.version = 4;
  CHECK(!queues.Activate(table));
  table.version = 5;
  CHECK(!queues.Activate(table));
  table.version = 6;
  CHECK(queues.Activate(table));
  CHECK(queues.Get()->version == 6);
}

TEST_CASE("a submission is decoded")
{
  const auto decoded = DecodeSubmission(kSubmission);
  const auto* const job = std::get_if<WorkflowSubmission>(&decoded);
  REQUIRE(job != nullptr);
  CHECK(job->payload == "text");
  CHECK(job->recurrence.count == 3);
  REQUIRE(job->steps.size() == 2);
  CHECK(job->steps[0].dataRack == "r1-3");
  const WorkflowStep& last = job->steps[1];
  CHECK(last.after == std::vector<std::uint32_t>{ 0 });
  CHECK(last.filler);
  CHECK(last.longRunning);
  CHECK(last.maxUnavailable == 2);
  CHECK(last.maxPerWorker == 3);
  CHECK(last.latencyTargetMs == 50);
}

// Guards against a step that depends on itself or on a later step and therefore
// never starts.
TEST_CASE("a submission with a step that depends on a later step is refused")
{
  const auto decoded = DecodeSubmission(
    R"({"spec":"","steps":[{"count":1,"after":[1]},{"count":1}]})");
  const auto* const job = std::get_if<WorkflowSubmission>(&decoded);
  REQUIRE(job != nullptr);
  WorkflowSubmission named = *job;
  named.id = "j";
  CHECK(!CheckSubmission(named).empty());
}

// Guards against a submission whose number of tasks exceeds 64 bits and wraps
// to a small one, so that each process that loads it runs out of memory.
TEST_CASE("a submission with more tasks than can be counted is refused")
{
  WorkflowSubmission job;
  job.id = "j";
  WorkflowStep step;
  step.count = 1U << 29;
  job.steps.assign(64, step);
  job.recurrence.count = 1U << 29;
  CHECK(!CheckSubmission(job).empty());
}

// Guards against a malformed row that suppresses the other rows of a report.
TEST_CASE("malformed rows of a worker's report are skipped")
{
  auto body = ParseJson(kReport);
  REQUIRE(body);
  const auto whole = DecodeWorkerReport(*body, "w");
  REQUIRE(whole);
  CHECK(whole->incarnation == 5);
  REQUIRE(whole->running.size() == 2);
  CHECK(whole->running[0].usage == 30);
  REQUIRE(whole->ended.size() == 2);
  CHECK(whole->ended[1].end == RunEnd::LeaseExpired);
  (*body)["finished"][0][3] = "vanished";
  (*body)["running"][0][1] = "two";
  const auto rest = DecodeWorkerReport(*body, "w");
  REQUIRE(rest);
  CHECK(rest->running.size() == 1);
  CHECK(rest->ended.size() == 1);
  body->erase("running");
  CHECK(!DecodeWorkerReport(*body, "w"));
}

TEST_CASE("an item of the store is decoded, and a deleted one has no value")
{
  const auto item = ParseJson(
    R"({"key":"k","value":"bm9kZS0x","revision":9,"created":4,"lease":7})");
  const auto decoded = DecodeStoreItem(*item);
  REQUIRE(decoded);
  CHECK(decoded->value == "node-1");
  CHECK(decoded->created == 4);
  CHECK(decoded->lease == 7);
  const auto gone = ParseJson(R"({"key":"k","revision":10,"tombstone":true})");
  REQUIRE(DecodeStoreItem(*gone));
  CHECK(DecodeStoreItem(*gone)->deleted);
  const auto bad = ParseJson(R"({"key":"k","value":"***","revision":9})");
  CHECK(!DecodeStoreItem(*bad));
}

// Guards against a document that overflows the stack when it is destroyed.
TEST_CASE("deeply nested JSON is refused")
{
  CHECK(!ParseJson(std::string(100000, '[')));
  std::string nested(100, '[');
  nested += std::string(100, ']');
  CHECK(!ParseJson(nested));
  CHECK(ParseJson("[[1]]"));
}

// Guards against input that ends the process or causes reads out of bounds. The
// random changes of the input use seed 1.
TEST_CASE("decoders handle arbitrary bytes without crashing")
{
  std::mt19937_64 random(1);
  for (int i = 0; i < 20000; ++i) {
    std::string fault;
    DecodeWorker("i-1", Mutate(kWorker, random), fault);
    DecodeOperatorDocument(Mutate(kDocument, random));
    const auto job = DecodeSubmission(Mutate(kSubmission, random));
    if (const auto* const known = std::get_if<WorkflowSubmission>(&job)) {
      CheckSubmission(*known);
    }
    if (const auto body = ParseJson(Mutate(kReport, random))) {
      DecodeWorkerReport(*body, "w");
    }
  }
  CHECK(true);
}
