/**
 * Guards against a scheduler process that never serves again after a restart,
 * since what it has to read takes longer on a link of 10 Mbit/s than the
 * time-out of a call to the store.
 */
#include "WorkflowKeys.h"
#include "generated/WorkflowJson.h"
#include "soak/SchedulerFixture.h"

#include <csignal>

using namespace sequoiakeel;

namespace {

constexpr std::uint16_t kPort = 21900;

/** Bandwidth of a link of 10 Mbit/s. */
constexpr std::uint64_t kLinkBytesPerSecond = 10'000'000 / 8;

/** Items of a page of the platform's store. */
constexpr std::size_t kPageItems = 500;

/** Memory of a host, which limits the tasks of a job. */
constexpr std::uint64_t kMemoryMb = 512;

constexpr std::size_t kPayloadBytes = 4000;

class SlowStoreLink : public soak::SchedulerFixture
{
public:
  explicit SlowStoreLink(const std::string& aName)
    : SchedulerFixture(aName,
                       kPort,
                       { { "memory_mb", kMemoryMb } },
                       nlohmann::json::object(),
                       { "z1" })
  {
    this->store.SetPageItems(kPageItems);
    REQUIRE(this->Until([this] { return this->SubmitOne() == 200; }));
    this->storeLink.SetBandwidth(kLinkBytesPerSecond);
  }

  void KillProcess()
  {
    this->process->Signal(SIGKILL);
    this->process->Wait();
  }

  /** Writes jobs of one small task that were accepted and wait in cell 0. */
  void AddBacklog(std::size_t aJobs)
  {
    for (std::size_t i = 0; i < aJobs; ++i) {
      WorkflowSubmission submission;
      submission.id = this->SmallJob().first;
      submission.queue = "jobs";
      submission.service = "desk";
      submission.payload = std::string(kPayloadBytes, 'x');
      WorkflowStep step;
      step.count = 1;
      step.cpuMilli = 1000;
      step.memoryMb = 100;
      step.estimateMs = 300;
      submission.steps.push_back(step);
      submission.maxAttempts = 3;
      submission.acceptedUnixMs = 1;
      this->Put(WorkflowKeys(0).Job(submission.id), submission);
    }
  }
};

} // namespace

TEST_CASE("a process that starts reads a configuration of the largest size")
{
  constexpr std::size_t kLargestValue = 1048576;
  SlowStoreLink system("configuration-on-slow-link");
  system.KillProcess();
  nlohmann::json document = system.Document();
  nlohmann::json routes = document.at("routes");
  // Writes each route about as often as the largest value holds it.
  const std::size_t routeBytes = routes.front().dump().size() + 8;
  for (std::size_t i = 0; i < kLargestValue / routeBytes; ++i) {
    nlohmann::json route = routes.front();
    route["prefix"] = "/p" + std::to_string(i) + "/";
    routes.push_back(route);
  }
  document["version"] = 2;
  document["routes"] = routes;
  REQUIRE(document.dump().size() > kLargestValue * 9 / 10);
  REQUIRE(document.dump().size() < kLargestValue);
  system.Put("op/config", document);
  system.StartProcess();
  CHECK(system.Until([&] { return system.SubmitOne() == 200; }));
}

// Guards against a submission that is stored although its caller is told that
// its outcome is unknown.
TEST_CASE("a submission of the largest size is accepted")
{
  constexpr std::size_t kSteps = 2600;
  SlowStoreLink system("submission-on-slow-link");
  auto [id, text] = system.SmallJob();
  nlohmann::json body = nlohmann::json::parse(text);
  body["steps"] = nlohmann::json::array_t(kSteps, body.at("steps").front());
  body["repeats"] = 1;
  body["firstMs"] = 4'000'000'000'000;
  body["intervalMs"] = 1000;
  const HttpResponse response = system.Call("POST", id, body.dump());
  INFO(response.body);
  CHECK(response.status == 200);
}

TEST_CASE("a new owner loads a backlog of several pages and starts its tasks")
{
  SlowStoreLink system("backlog-on-slow-link");
  system.KillProcess();
  const std::uint64_t before = system.ledger.Starts();
  system.AddBacklog(700);
  system.StartProcess();
  CHECK(system.Until([&] { return system.ledger.Starts() > before; }));
}
