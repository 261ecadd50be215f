/**
 * Guards against a task that crashes every worker that starts it and is started
 * without limit, with a real scheduler process and simulated workers.
 */
#include "HttpClient.h"
#include "soak/SoakStore.h"
#include "soak/SoakWorker.h"
#include "support/ChildProcess.h"

#include <boost/asio/co_spawn.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

using namespace sequoiakeel;
namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kCrashingJob = "00000000000000c0";
constexpr const char* kInnocentJob = "00000000000000a0";

/** Time for which a crashed worker is down. */
constexpr milliseconds kDownTime{ 1500 };

/** Time within which the crashing job is given up. A crash is noticed after a
 * worker lease, 6 s, at the latest. */
constexpr seconds kGiveUpLimit{ 60 };

/** A process counts as in touch after this time without a disturbance. */
constexpr seconds kStableWindow{ 3 };

/** Returns an endpoint with an address of its own below the ports that the
 * system assigns. */
std::string
FreeEndpoint()
{
  constexpr int kRange = 250;
  static int next = 0;
  const int process = getpid();
  return "127." + std::to_string(1 + process / kRange % kRange) + "." +
         std::to_string(process % kRange) + "." +
         std::to_string(1 + next++ % kRange) + ":21500";
}

/** One scheduler process with a store and workers. Everything runs on the
 * thread of the test. */
class OneScheduler
{
public:
  OneScheduler()
    : folder(std::filesystem::temp_directory_path() /
             ("sequoiakeel-crashing-" + std::to_string(getpid())))
    , front(FreeEndpoint())
    , store(context, random)
  {
    std::filesystem::create_directories(this->folder);
    for (int i = 0; i < 4; ++i) {
      this->workers.push_back(std::make_unique<soak::SoakWorker>(
        this->context, "w" + std::to_string(i), this->ledger, this->random));
      soak::SoakWorker& worker = *this->workers.back();
      worker.SetCrashHandler([this, &worker] { this->Crash(worker); });
      this->Publish(worker);
    }
    // HttpClient uses the address of the endpoint as the host name.
    const std::string host = this->front.substr(0, this->front.find(':'));
    const nlohmann::json route{
      { "name", "jobs" },          { "hostname", host }, { "prefix", "/jobs/" },
      { "service", "desk" },       { "attempts", 3 },    { "stretch", 2.0 },
      { "targetDurationMs", 1000 }
    };
    this->Put("op/config",
              nlohmann::json{ { "version", 1 }, { "routes", { route } } });
    const std::string peer = FreeEndpoint();
    const std::size_t colon = peer.find(':');
    std::ofstream(this->folder / "settings.json") << nlohmann::json{
      { "name", "n" },
      { "zone", "z" },
      { "front", this->front },
      { "health", FreeEndpoint() },
      { "peer_ip", peer.substr(0, colon) },
      { "peer_port", std::stoi(peer.substr(colon + 1)) },
      { "store", "127.0.0.1:" + std::to_string(this->store.Address().port) }
    };
    this->StartProcess();
  }

  ~OneScheduler()
  {
    this->process.reset();
    std::filesystem::remove_all(this->folder);
  }

  void StartProcess()
  {
    this->process = std::make_unique<ChildProcess>(
      "sequoiakeel-scheduler",
      std::vector<std::string>{ "--settings",
                                (this->folder / "settings.json").string() },
      (this->folder / "log").string());
    this->startedAt = std::chrono::steady_clock::now();
  }

  void Kill()
  {
    this->process->Signal(SIGKILL);
    this->process->Wait();
  }

  /** Runs store and workers until aCondition holds; returns false after aLimit.
   */
  bool Until(const std::function<bool()>& aCondition, seconds aLimit)
  {
    const TimePoint deadline = std::chrono::steady_clock::now() + aLimit;
    while (!aCondition()) {
      const TimePoint now = std::chrono::steady_clock::now();
      if (now > deadline) {
        return false;
      }
      this->ledger.SetInTouch(now - this->startedAt > kStableWindow);
      this->context.restart();
      this->context.run_for(milliseconds(10));
      for (const auto& worker : this->workers) {
        worker->Tick();
      }
      this->RestartWorkers();
    }
    return true;
  }

  /** Calls the scheduler; status 0 means that no response arrived. */
  HttpResponse Call(const std::string& aMethod,
                    const std::string& aJob,
                    const std::string& aBody)
  {
    HttpRequest request;
    request.method = aMethod;
    request.target = "/jobs/" + aJob;
    request.headers.Set("Deadline-Ms", "2500");
    request.headers.Set("Content-Type", "application/json");
    request.body = aBody;
    const std::size_t colon = this->front.find(':');
    HttpClient client(this->context.get_executor(),
                      Endpoint{ this->front.substr(0, colon),
                                static_cast<std::uint16_t>(
                                  std::stoi(this->front.substr(colon + 1))) });
    std::optional<ExchangeResult> result;
    asio::co_spawn(this->context,
                   client.Call(request, seconds(3)),
                   [&](std::exception_ptr aError, ExchangeResult aResult) {
                     REQUIRE(!aError);
                     result = std::move(aResult);
                   });
    REQUIRE(this->Until([&] { return result.has_value(); }, seconds(10)));
    if (!result->Complete()) {
      result->response.status = 0;
    }
    return result->response;
  }

  void Submit(const std::string& aId, bool aCrashes)
  {
    soak::JobPlan job;
    job.id = aId;
    job.crashes = aCrashes;
    job.steps.push_back(soak::StepPlan{ 2, 1000, 100, 300 });
    this->ledger.jobs[aId] = job;
    const nlohmann::json step{
      { "count", 2 }, { "cpu", 1000 }, { "memMb", 100 }, { "estimateMs", 300 }
    };
    const nlohmann::json body{
      { "spec", aCrashes ? soak::SoakWorker::kCrashPayload : "work" },
      { "steps", { step } }
    };
    bool accepted = false;
    std::string last;
    for (int i = 0; i < 100 && !accepted; ++i) {
      const HttpResponse response = this->Call("POST", aId, body.dump());
      accepted = response.status == 200;
      last = std::to_string(response.status) + " " + response.body;
      this->Pass(milliseconds(100));
    }
    INFO(last);
    REQUIRE(accepted);
    this->ledger.jobs[aId].accepted = true;
  }

  /** Returns the state of a job; empty if it is not known at the moment. */
  std::string StateOf(const std::string& aId)
  {
    this->Pass(milliseconds(200));
    const HttpResponse response = this->Call("GET", aId, "");
    if (response.status != 200) {
      return "";
    }
    const std::string state = nlohmann::json::parse(response.body).at("state");
    this->ledger.CheckReportedState(aId, state);
    return state;
  }

  bool Reaches(const std::string& aId, const std::string& aState, seconds aTime)
  {
    const TimePoint deadline = std::chrono::steady_clock::now() + aTime;
    while (std::chrono::steady_clock::now() < deadline) {
      if (this->StateOf(aId) == aState) {
        return true;
      }
    }
    return false;
  }

  soak::JobLedger ledger;
  int crashes = 0;

private:
  void Pass(milliseconds aTime)
  {
    const TimePoint end = std::chrono::steady_clock::now() + aTime;
    this->Until([end] { return std::chrono::steady_clock::now() > end; },
                seconds(10));
  }

  void Put(const std::string& aKey, const nlohmann::json& aValue)
  {
    asio::co_spawn(this->context,
                   this->store.Put(aKey, aValue.dump()),
                   [](std::exception_ptr aError) { REQUIRE(!aError); });
  }

  void Publish(const soak::SoakWorker& aWorker)
  {
    this->Put("servers/" + aWorker.Id(),
              nlohmann::json::parse(aWorker.RegistryEntry()));
  }

  void Crash(soak::SoakWorker& aWorker)
  {
    ++this->crashes;
    aWorker.Proxy().Reset();
    aWorker.Crash();
    this->restarts.push_back(
      { std::chrono::steady_clock::now() + kDownTime, &aWorker });
  }

  void RestartWorkers()
  {
    const TimePoint now = std::chrono::steady_clock::now();
    std::erase_if(this->restarts, [&](const auto& aItem) {
      if (now < aItem.first) {
        return false;
      }
      aItem.second->Restart();
      this->Publish(*aItem.second);
      return true;
    });
  }

  std::filesystem::path folder;
  std::string front;
  asio::io_context context;
  Random random{ 1 };
  soak::SoakStore store;
  std::vector<std::unique_ptr<soak::SoakWorker>> workers;
  std::vector<std::pair<TimePoint, soak::SoakWorker*>> restarts;
  std::unique_ptr<ChildProcess> process;
  TimePoint startedAt;
};

void
CheckEnds(OneScheduler& aScheduler)
{
  CHECK(aScheduler.Reaches(kInnocentJob, "completed", seconds(30)));
  CHECK(aScheduler.Reaches(kCrashingJob, "failed", kGiveUpLimit));
  // No start is left that could crash another worker.
  const int crashes = aScheduler.crashes;
  aScheduler.Until([] { return false; }, seconds(3));
  CHECK(aScheduler.crashes == crashes);
  for (const std::string& violation : aScheduler.ledger.Violations()) {
    FAIL_CHECK(violation);
  }
}

} // namespace

TEST_CASE("a task that crashes its workers is given up, an innocent job ends")
{
  OneScheduler scheduler;
  scheduler.Submit(kCrashingJob, true);
  scheduler.Submit(kInnocentJob, false);
  CheckEnds(scheduler);
  CHECK(scheduler.crashes <= 5);
}

TEST_CASE("crashes under a task are remembered when the scheduler is killed")
{
  OneScheduler scheduler;
  scheduler.Submit(kCrashingJob, true);
  REQUIRE(
    scheduler.Until([&] { return scheduler.crashes == 2; }, kGiveUpLimit));
  scheduler.Kill();
  scheduler.StartProcess();
  scheduler.Submit(kInnocentJob, false);
  CheckEnds(scheduler);
}
