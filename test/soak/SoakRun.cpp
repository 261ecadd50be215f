#include "SoakRun.h"

#include "AsyncSignal.h"
#include "BootClock.h"
#include "FaultProxy.h"
#include "HttpClient.h"
#include "Ledger.h"
#include "Log.h"
#include "SoakStore.h"
#include "SoakWorker.h"
#include "support/ChildProcess.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace sequoiakeel::soak {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Time limit for the system to settle after the last fault. The requirements
 * allow 15 s for recovery and 14 s for the remaining work to finish. */
constexpr seconds kSettleLimit{ 29 };

/** Time limit for cancelled tasks to end once the system has settled. The
 * requirement is 3 s plus 0.2 s for stopping; the rest is margin for a busy
 * test machine. */
constexpr seconds kCancelLimit{ 10 };

constexpr seconds kCallTimeout{ 3 };

/** A process is in touch after this time without a disturbance. */
constexpr seconds kStableWindow{ 3 };

/** Number of jobs with a task that crashes its workers, at a time. */
constexpr int kMaxCrashingJobs = 2;
constexpr milliseconds kPollInterval{ 120 };
constexpr std::uint32_t kCells = 2;

/** Time for which workers that restart are down. */
constexpr milliseconds kRestartTime{ 600 };

/** The registry removes a worker after this much silence or a little more. */
constexpr milliseconds kRegistrySilence{ 2500 };

/** HttpClient uses the address of the endpoint as the host name. */
constexpr const char* kHostName = "127.0.0.1";

/** Number of workers per core of a host; with this value the fleet has kCells
 * cells. */
constexpr int kWorkersPerCore = 4;

/** Listening ports are below the ephemeral port range. Otherwise an outgoing
 * connection could occupy the port of a killed process before the process is
 * restarted. */
constexpr unsigned kFirstPort = 10000;
constexpr unsigned kPorts = 20000;

/** Separates the ports of soak runs that execute concurrently. */
constexpr unsigned kPortsPerProcess = 997;

Endpoint
FreeEndpoint()
{
  static unsigned next = static_cast<unsigned>(getpid()) * kPortsPerProcess;
  asio::io_context context;
  while (true) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next % kPorts);
    ++next;
    asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::v4());
    boost::system::error_code error;
    acceptor.bind({ asio::ip::address_v4::loopback(), port }, error);
    if (!error) {
      return Endpoint{ "127.0.0.1", port };
    }
  }
}

std::string
Text(const Endpoint& aEndpoint)
{
  return aEndpoint.address + ":" + std::to_string(aEndpoint.port);
}

/** A scheduler process and the proxy between the process and the store. */
struct Node
{
  std::string name;
  Endpoint front;
  std::string settings;
  std::string log;
  std::unique_ptr<FaultProxy> storePath;
  std::unique_ptr<ChildProcess> process;
  /** Number of termination signals whose restart is still pending. */
  int downs = 0;
  bool killed = false;
};

class Soak
{
public:
  explicit Soak(const SoakPlan& aPlan)
    : plan(aPlan)
    , random(aPlan.seed)
    , extras(aPlan.seed + 1)
    , store(context, random)
  {
    for (int i = 0; i < aPlan.workers; ++i) {
      this->workers.push_back(std::make_unique<SoakWorker>(
        this->context,
        "w" + std::to_string(i),
        this->ledger,
        aPlan.restarts ? this->extras : this->random,
        aPlan.restarts ? this->DrawTraits(i) : WorkerTraits()));
      SoakWorker& worker = *this->workers.back();
      worker.SetCrashHandler([this, &worker] {
        worker.Proxy().Reset();
        this->CrashWorker(worker, milliseconds(1000 + this->DrawExtra(2000)));
      });
    }
    for (int i = 0; i < aPlan.nodes; ++i) {
      this->AddNode(i);
    }
  }

  SoakResult Run()
  {
    this->Spawn(this->Tick());
    this->Spawn(this->Play());
    this->context.run();
    for (const std::unique_ptr<Node>& node : this->nodes) {
      node->process.reset();
    }
    SoakResult result;
    result.violations = this->ledger.Violations();
    result.faults = this->faults;
    result.jobs = this->ledger.jobs.size();
    result.starts = this->ledger.Starts();
    return result;
  }

private:
  WorkerTraits DrawTraits(int aIndex)
  {
    WorkerTraits traits;
    traits.zone = "z" + std::to_string(aIndex % 3);
    traits.clockRate = 0.98 + 0.0001 * this->DrawExtra(201);
    traits.keepsCommands = true;
    return traits;
  }

  void AddNode(int aIndex)
  {
    auto node = std::make_unique<Node>();
    node->name = "n" + std::to_string(aIndex);
    node->front = FreeEndpoint();
    node->storePath = std::make_unique<FaultProxy>(this->context.get_executor(),
                                                   this->store.Address());
    node->settings = this->plan.folder + "/" + node->name + ".json";
    node->log = this->plan.folder + "/" + node->name + ".log";
    const Endpoint peer = FreeEndpoint();
    const nlohmann::json settings{ { "name", node->name },
                                   { "zone", "z" + std::to_string(aIndex % 3) },
                                   { "front", Text(node->front) },
                                   { "health", Text(FreeEndpoint()) },
                                   { "peer_ip", peer.address },
                                   { "peer_port", peer.port },
                                   { "store",
                                     Text(node->storePath->Address()) },
                                   { "stop_grace_ms", 4000 },
                                   { "workers_per_core", kWorkersPerCore } };
    std::ofstream(node->settings) << settings.dump(2);
    this->nodes.push_back(std::move(node));
  }

  void StartNode(Node& aNode)
  {
    aNode.process = std::make_unique<ChildProcess>(
      "sequoiakeel-scheduler",
      std::vector<std::string>{ "--settings", aNode.settings },
      aNode.log);
  }

  int Draw(int aLimit)
  {
    return static_cast<int>(
      DrawIndex(this->random, static_cast<std::size_t>(aLimit)));
  }

  int DrawExtra(int aLimit)
  {
    return static_cast<int>(
      DrawIndex(this->extras, static_cast<std::size_t>(aLimit)));
  }

  Node& AnyNode() { return *this->nodes[Draw(this->plan.nodes)]; }

  asio::awaitable<void> Sleep(Duration aTime)
  {
    co_await SleepFor(this->context.get_executor(), aTime);
  }

  asio::awaitable<void> Tick()
  {
    while (true) {
      co_await this->Sleep(milliseconds(10));
      this->ledger.SetInTouch(
        std::chrono::steady_clock::now() - this->disturbedAt > kStableWindow);
      for (const std::unique_ptr<SoakWorker>& worker : this->workers) {
        worker->Tick();
      }
    }
  }

  asio::awaitable<void> Publish()
  {
    for (const std::unique_ptr<SoakWorker>& worker : this->workers) {
      if (this->plan.restarts && !worker->Reachable()) {
        continue;
      }
      co_await this->store.Put("servers/" + worker->Id(),
                               worker->RegistryEntry());
    }
  }

  asio::awaitable<void> Play()
  {
    co_await this->Publish();
    // A malformed registry entry from another writer that describes no worker.
    co_await this->store.Put("servers/other", R"({"service":7})");
    const nlohmann::json route{
      { "name", "jobs" },          { "hostname", kHostName },
      { "prefix", "/jobs/" },      { "service", "desk" },
      { "attempts", 3 },           { "stretch", 2.0 },
      { "targetDurationMs", 1000 }
    };
    const nlohmann::json document{ { "version", 3 }, { "routes", { route } } };
    co_await this->store.Put("op/config", document.dump());
    for (const std::unique_ptr<Node>& node : this->nodes) {
      this->StartNode(*node);
    }
    co_await this->Sleep(seconds(3));
    for (int i = 0; i < this->plan.callers; ++i) {
      this->Spawn(this->Caller(i));
    }
    if (this->plan.resizes) {
      this->Spawn(this->ResizeWorkers());
    }
    co_await this->InjectFaults();
    co_await this->Settle();
    this->context.stop();
  }

  asio::awaitable<void> Caller(int aIndex)
  {
    ++this->busyCallers;
    int submitted = 0;
    while (!this->stopping) {
      co_await this->Sleep(milliseconds(100 + this->Draw(500)));
      char id[17];
      std::snprintf(id, sizeof(id), "%08x%08x", aIndex + 1, submitted++);
      co_await this->PlayJob(id);
    }
    --this->busyCallers;
  }

  JobPlan DrawJob(const std::string& aId)
  {
    JobPlan job;
    job.id = aId;
    StepPlan step;
    step.count = 1 + this->Draw(4);
    step.cpuMilli = 500 + this->Draw(2500);
    step.memoryMb = 100;
    step.durationMs = 50 + this->Draw(500);
    // One job in six is long-running. Long-running jobs stay until the end of
    // the soak, so their number and size are limited to fit the fleet together.
    step.longRunning = this->lasting.size() < 8 && this->Draw(6) == 0;
    if (step.longRunning) {
      step.cpuMilli = 800;
      this->lasting.push_back(aId);
    }
    if (this->plan.crashingTasks && !step.longRunning &&
        this->crashingJobs < kMaxCrashingJobs && this->DrawExtra(6) == 0) {
      ++this->crashingJobs;
      job.crashes = true;
    }
    const bool slow =
      this->plan.restarts && !step.longRunning && this->DrawExtra(2) == 0;
    if (slow) {
      step.durationMs = 5000 + this->DrawExtra(3000);
    }
    job.steps.push_back(step);
    if (!slow && !step.longRunning && this->Draw(2) == 0) {
      job.steps.push_back(step);
    }
    return job;
  }

  static std::string BodyOf(const JobPlan& aJob)
  {
    nlohmann::json steps = nlohmann::json::array();
    for (const StepPlan& step : aJob.steps) {
      nlohmann::json row{ { "count", step.count },
                          { "cpu", step.cpuMilli },
                          { "memMb", step.memoryMb },
                          { "estimateMs", step.durationMs } };
      if (step.longRunning) {
        row["longRunning"] = true;
      }
      if (!steps.empty()) {
        row["after"] = { steps.size() - 1 };
      }
      steps.push_back(std::move(row));
    }
    const char* const payload =
      aJob.crashes ? SoakWorker::kCrashPayload : "work";
    return nlohmann::json{ { "spec", payload }, { "steps", steps } }.dump();
  }

  asio::awaitable<ExchangeResult> Call(Node& aNode,
                                       std::string aMethod,
                                       std::string aJob,
                                       std::string aBody)
  {
    std::shared_ptr<HttpClient>& client = this->clients[aNode.name];
    if (!client) {
      client =
        std::make_shared<HttpClient>(this->context.get_executor(), aNode.front);
    }
    const std::shared_ptr<HttpClient> kept = client;
    HttpRequest request;
    request.method = std::move(aMethod);
    request.target = "/jobs/" + aJob;
    request.headers.Set("Deadline-Ms", std::to_string(2500));
    request.headers.Set("Content-Type", "application/json");
    request.body = std::move(aBody);
    co_return co_await kept->Call(std::move(request), kCallTimeout);
  }

  asio::awaitable<void> Submit(std::string aId)
  {
    const std::string body = BodyOf(this->ledger.jobs.at(aId));
    while (!this->ledger.jobs.at(aId).accepted) {
      this->ledger.jobs.at(aId).refused = false;
      const ExchangeResult result =
        co_await this->Call(this->AnyNode(), "POST", aId, body);
      JobPlan& job = this->ledger.jobs.at(aId);
      const unsigned status = result.response.status;
      if (result.Complete() && status == 200) {
        job.accepted = true;
        co_return;
      }
      if (result.Complete() && status == 404) {
        this->ledger.RecordViolation("a queue is unknown", aId);
        co_return;
      }
      const bool rejected =
        (result.Complete() && (status == 429 || status == 503)) ||
        result.progress == ExchangeProgress::NotSent;
      if (!rejected) {
        job.uncertain = true;
      }
      job.refused = rejected && !job.uncertain;
      // Some callers abandon a refused job. An abandoned job must never run.
      if (job.refused && this->Draw(4) == 0) {
        co_return;
      }
      co_await this->Sleep(milliseconds(100 + this->Draw(300)));
    }
  }

  asio::awaitable<void> PlayJob(std::string aId)
  {
    this->ledger.jobs[aId] = this->DrawJob(aId);
    co_await this->PlayDrawnJob(aId);
    this->crashingJobs -= this->ledger.jobs.at(aId).crashes ? 1 : 0;
  }

  asio::awaitable<void> PlayDrawnJob(std::string aId)
  {
    co_await this->Submit(aId);
    if (!this->ledger.jobs.at(aId).accepted) {
      co_return;
    }
    if (this->ledger.jobs.at(aId).steps.front().longRunning) {
      co_return;
    }
    if (this->Draw(8) == 0) {
      co_await this->Sleep(milliseconds(this->Draw(400)));
      co_await this->Cancel(aId);
      co_return;
    }
    if (this->Draw(6) == 0) {
      // Sends a late duplicate of the submission to a random node.
      co_await this->Call(
        this->AnyNode(), "POST", aId, BodyOf(this->ledger.jobs.at(aId)));
    }
    co_await this->AwaitEnd(aId);
  }

  asio::awaitable<void> Cancel(std::string aId)
  {
    this->ledger.jobs.at(aId).cancelSent = true;
    while (!this->ledger.jobs.at(aId).cancelled) {
      const ExchangeResult result =
        co_await this->Call(this->AnyNode(), "DELETE", aId, "");
      const unsigned status = result.response.status;
      if (result.Complete() && status == 200) {
        this->ledger.jobs.at(aId).cancelled = true;
        co_return;
      }
      if (result.Complete() && status == 410) {
        this->ledger.RecordViolation("an accepted job is unknown to DELETE",
                                     aId);
        co_return;
      }
      co_await this->Sleep(milliseconds(200));
    }
  }

  /** Returns the job state reported by a random node, or an empty string if no
   * state was returned. */
  asio::awaitable<std::string> Show(std::string aId)
  {
    Node& node = this->AnyNode();
    const ExchangeResult result = co_await this->Call(node, "GET", aId, "");
    if (!result.Complete()) {
      co_return "";
    }
    if (result.response.status == 410) {
      this->ledger.RecordViolation("an accepted job is unknown to GET",
                                   aId + " at " + node.name);
      co_return "";
    }
    if (result.response.status != 200) {
      co_return "";
    }
    const std::string state =
      nlohmann::json::parse(result.response.body).at("state");
    this->ledger.CheckReportedState(aId, state);
    co_return state;
  }

  asio::awaitable<void> AwaitEnd(std::string aId)
  {
    while (true) {
      const std::string state = co_await this->Show(aId);
      if (state == "completed" || state == "failed") {
        this->finished.insert(aId);
        co_return;
      }
      co_await this->Sleep(kPollInterval);
    }
  }

  void Note(const std::string& aFault)
  {
    const std::chrono::duration<double> at =
      std::chrono::steady_clock::now() - this->begun;
    char time[16];
    std::snprintf(time, sizeof(time), "%.2f ", at.count());
    this->faults.push_back(time + aFault);
    Event("fault", LogLevel::Debug).Add("fault", aFault);
  }

  /** Starts a coroutine. An exception thrown by the coroutine ends the soak. */
  void Spawn(asio::awaitable<void> aWork)
  {
    asio::co_spawn(
      this->context, std::move(aWork), [](std::exception_ptr aError) {
        if (aError) {
          std::rethrow_exception(aError);
        }
      });
  }

  asio::awaitable<void> Undo(Duration aTime, std::function<void()> aUndo)
  {
    co_await this->Sleep(aTime);
    aUndo();
    --this->open;
  }

  /** Marks the processes as disturbed until aTime from now. */
  void Disturb(Duration aTime)
  {
    this->disturbedAt =
      std::max(this->disturbedAt, std::chrono::steady_clock::now() + aTime);
  }

  /** Clears a fault after a delay. Several faults may overlap. */
  void Later(Duration aTime, std::function<void()> aUndo)
  {
    ++this->open;
    this->Spawn(this->Undo(aTime, std::move(aUndo)));
  }

  void KillNode(Node& aNode, int aSignal, Duration aDown)
  {
    this->Disturb(aDown);
    aNode.process->Signal(aSignal);
    // A second SIGTERM forces the process to stop with a non-zero exit code,
    // so that code is not checked.
    aNode.killed = aNode.killed || aSignal == SIGKILL || aNode.downs > 0;
    ++aNode.downs;
    this->Later(aDown, [this, &aNode] {
      // Faults of one process may overlap; the last one to end restarts the
      // process.
      if (--aNode.downs > 0) {
        return;
      }
      const bool ended = !aNode.process->Running();
      if (ended && !aNode.killed && aNode.process->Wait() != 0) {
        this->ledger.RecordViolation("a process fails at its stop",
                                     aNode.name + " code " +
                                       std::to_string(aNode.process->Wait()));
      }
      aNode.killed = false;
      aNode.process.reset();
      this->StartNode(aNode);
    });
  }

  void PauseNode(Node& aNode, Duration aTime)
  {
    this->Disturb(aTime);
    aNode.process->Signal(SIGSTOP);
    this->Later(aTime, [&aNode] { aNode.process->Signal(SIGCONT); });
  }

  void CutStore(Node& aNode, PathFault aFault, bool aOpenOnly, Duration aTime)
  {
    this->Disturb(aTime);
    aNode.storePath->SetFault(aFault, aOpenOnly);
    this->Later(aTime,
                [&aNode] { aNode.storePath->SetFault(PathFault::None); });
  }

  void CutWorker(SoakWorker& aWorker, PathFault aFault, Duration aTime)
  {
    this->Disturb(aTime);
    aWorker.Proxy().SetFault(aFault);
    this->Later(aTime, [&aWorker] {
      if (aWorker.Up()) {
        aWorker.Proxy().SetFault(PathFault::None);
      }
    });
  }

  void CrashWorker(SoakWorker& aWorker, Duration aTime)
  {
    if (!aWorker.Up()) {
      return;
    }
    aWorker.Crash();
    this->Later(aTime, [this, &aWorker] {
      aWorker.Restart();
      if (!this->plan.restarts) {
        this->Spawn(this->Publish());
        return;
      }
      this->PublishLater();
      if (this->DrawExtra(2) == 0) {
        // The connections break once what waited in them has arrived.
        this->Later(milliseconds(50), [&aWorker] { aWorker.Proxy().Reset(); });
      }
    });
  }

  /** Writes the registry entries within a heartbeat. */
  void PublishLater()
  {
    this->Later(milliseconds(100 + this->DrawExtra(900)),
                [this] { this->Spawn(this->Publish()); });
  }

  void CutOff(SoakWorker& aWorker, Duration aTime)
  {
    aWorker.Cut();
    this->Later(kRegistrySilence + milliseconds(this->DrawExtra(1000)),
                [this, &aWorker] {
                  if (!aWorker.Reachable()) {
                    this->store.RemoveWorker(aWorker.Id());
                  }
                });
    this->Later(aTime, [this, &aWorker] {
      aWorker.EndCut();
      this->PublishLater();
    });
  }

  using Workers = std::vector<SoakWorker*>;

  /** Returns the workers of one zone, or about half of all. */
  Workers DrawWorkers()
  {
    Workers drawn;
    const bool zone = this->DrawExtra(4) == 0;
    const auto index = static_cast<std::size_t>(this->DrawExtra(3));
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
      if (zone ? i % 3 == index : this->DrawExtra(2) == 0) {
        drawn.push_back(this->workers[i].get());
      }
    }
    return drawn;
  }

  void CrashAll(const Workers& aWorkers)
  {
    std::string names;
    for (SoakWorker* const worker : aWorkers) {
      names += " " + worker->Id();
      this->CrashWorker(*worker, kRestartTime);
    }
    this->Note("restart" + names);
  }

  /** Kills or pauses the owner of a cell or another process, or nothing. */
  asio::awaitable<void> DisturbOwner()
  {
    const int kind = this->DrawExtra(6);
    if (kind >= 3) {
      co_return;
    }
    const auto cell = static_cast<std::uint32_t>(this->DrawExtra(kCells));
    const std::string owner = co_await this->store.OwnerOf(cell);
    Node* node = this->nodes[this->DrawExtra(this->plan.nodes)].get();
    for (const std::unique_ptr<Node>& one : this->nodes) {
      if (kind > 0 && one->name == owner) {
        node = one.get();
      }
    }
    if (kind == 2) {
      this->Note("pause " + node->name);
      this->PauseNode(*node, milliseconds(3000 + this->DrawExtra(1000)));
      co_return;
    }
    this->Note("kill " + node->name);
    this->KillNode(*node, SIGKILL, milliseconds(300 + this->DrawExtra(1000)));
  }

  /** Restarts workers under their ids and cuts them off soon after. */
  asio::awaitable<void> PlayRestarts()
  {
    const Workers drawn = this->DrawWorkers();
    const auto setLate = [this, drawn](bool aLate) {
      for (SoakWorker* const worker : drawn) {
        worker->SetLateCommands(aLate);
      }
      this->Note(aLate ? "late orders" : "no late orders");
    };
    const milliseconds cutTime(8500 + this->DrawExtra(1000));
    // A worker that is cut off within a second may be unknown to have
    // restarted.
    const int cutSpread = this->DrawExtra(2) == 0 ? 700 : 2800;
    const milliseconds cutAfter(300 + this->DrawExtra(cutSpread));
    const auto restartAgain = [this, drawn](milliseconds aTime) {
      this->Later(aTime, [this, drawn] { this->CrashAll(drawn); });
    };
    this->Disturb(kRestartTime + cutAfter + cutTime + seconds(12));
    if (this->DrawExtra(3) > 0) {
      setLate(true);
      co_await this->Sleep(milliseconds(300 + this->DrawExtra(1200)));
      this->Later(kRestartTime + milliseconds(this->DrawExtra(1500)),
                  [setLate] { setLate(false); });
    }
    this->CrashAll(drawn);
    const int again = this->DrawExtra(6);
    if (again == 0) {
      restartAgain(kRestartTime + milliseconds(200 + this->DrawExtra(1800)));
    }
    co_await this->Sleep(kRestartTime);
    const milliseconds killBefore(
      std::min<int>(200 + this->DrawExtra(400), cutAfter.count()));
    co_await this->Sleep(cutAfter - killBefore);
    co_await this->DisturbOwner();
    co_await this->Sleep(killBefore);
    this->Note("cut for " + std::to_string(cutTime.count()) + " ms");
    for (SoakWorker* const worker : drawn) {
      this->CutOff(*worker, cutTime);
    }
    if (again == 1) {
      restartAgain(milliseconds(this->DrawExtra(8000)));
    } else if (again == 2) {
      restartAgain(cutTime + milliseconds(this->DrawExtra(1000)));
    }
    co_await this->Sleep(cutTime);
  }

  asio::awaitable<void> RestartWorkers()
  {
    while (std::chrono::steady_clock::now() - this->begun < this->plan.faults) {
      co_await this->Sleep(milliseconds(500 + this->DrawExtra(2000)));
      co_await this->PlayRestarts();
    }
    --this->open;
  }

  void SetStoreFault(StoreFault aFault, Duration aTime)
  {
    this->Disturb(aTime);
    this->store.SetFault(aFault);
    this->Later(aTime, [this] { this->store.SetFault(StoreFault::None); });
  }

  void InjectOne()
  {
    this->Disturb(Duration::zero());
    Node& node = this->AnyNode();
    SoakWorker& worker = *this->workers[Draw(this->plan.workers)];
    const milliseconds time(200 + this->Draw(3800));
    const std::string length = " for " + std::to_string(time.count()) + " ms";
    const auto path = static_cast<PathFault>(1 + this->Draw(3));
    const std::string kind = std::to_string(static_cast<int>(path));
    struct Fault
    {
      std::string name;
      std::function<void()> inject;
    };
    const std::array<Fault, 15> table{ {
      { "kill " + node.name, [&] { this->KillNode(node, SIGKILL, time / 4); } },
      { "terminate " + node.name,
        [&] { this->KillNode(node, SIGTERM, seconds(5)); } },
      { "pause " + node.name + length, [&] { this->PauseNode(node, time); } },
      { "reload " + node.name, [&] { node.process->Signal(SIGHUP); } },
      { "kill all",
        [&] {
          for (const std::unique_ptr<Node>& one : this->nodes) {
            this->KillNode(*one, SIGKILL, milliseconds(300));
          }
        } },
      { "store path " + kind + " of " + node.name + length,
        [&] { this->CutStore(node, path, false, time); } },
      { "open store connections " + kind + " of " + node.name + length,
        [&] { this->CutStore(node, path, true, time); } },
      { "reset store connections of " + node.name,
        [&] { node.storePath->Reset(); } },
      { "crash " + worker.Id() + length,
        [&] { this->CrashWorker(worker, time); } },
      { "worker path " + kind + " of " + worker.Id() + length,
        [&] { this->CutWorker(worker, path, 2 * time); } },
      { "reset connections of " + worker.Id(),
        [&] { worker.Proxy().Reset(); } },
      { "late orders at " + worker.Id() + length,
        [&] {
          // Late commands are executed up to 5 s after the fault.
          this->Disturb(time + seconds(5) - kStableWindow);
          worker.SetLateCommands(true);
          this->Later(time, [&worker] { worker.SetLateCommands(false); });
        } },
      { "revoke owner",
        [&] {
          this->store.RevokeOwner(
            static_cast<std::uint32_t>(this->Draw(kCells)));
        } },
      { "deaf watches" + length,
        [&] {
          this->Disturb(time);
          this->store.SetWatchesBlocked(true);
          this->Later(time, [this] { this->store.SetWatchesBlocked(false); });
        } },
      { "",
        [&] {
          const auto fault = static_cast<StoreFault>(1 + this->Draw(5));
          this->Note("store fault " + std::to_string(static_cast<int>(fault)) +
                     length);
          this->SetStoreFault(fault, time);
        } },
    } };
    const Fault& chosen = table[this->Draw(static_cast<int>(table.size()))];
    if (!chosen.name.empty()) {
      this->Note(chosen.name);
    }
    chosen.inject();
  }

  asio::awaitable<void> ResizeWorkers()
  {
    constexpr int kMostMilli = 16001;
    while (!this->stopping) {
      co_await this->Sleep(milliseconds(100 + this->DrawExtra(600)));
      const int index = this->DrawExtra(this->plan.workers);
      this->workers[index]->Resize(this->DrawExtra(kMostMilli));
      co_await this->Sleep(milliseconds(
        this->DrawExtra(static_cast<int>(SoakWorker::kHeartbeat.count()) / 2)));
      co_await this->Publish();
    }
    for (const std::unique_ptr<SoakWorker>& worker : this->workers) {
      worker->Resize(kMostMilli - 1);
    }
    co_await this->Publish();
  }

  asio::awaitable<void> InjectFaults()
  {
    this->begun = std::chrono::steady_clock::now();
    if (this->plan.restarts) {
      ++this->open;
      this->Spawn(this->RestartWorkers());
    }
    const bool usual = !this->plan.restarts || this->plan.seed % 2 == 0;
    while (usual &&
           std::chrono::steady_clock::now() - this->begun < this->plan.faults) {
      co_await this->Sleep(milliseconds(100 + this->Draw(1200)));
      this->InjectOne();
    }
    while (this->open > 0) {
      co_await this->Sleep(milliseconds(50));
    }
    if (this->plan.crashingTasks || this->plan.resizes) {
      co_await this->Sleep(this->plan.calm);
    }
  }

  asio::awaitable<bool> Until(std::function<bool()> aCondition, seconds aLimit)
  {
    const TimePoint deadline = std::chrono::steady_clock::now() + aLimit;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > deadline) {
        co_return false;
      }
      co_await this->Sleep(milliseconds(50));
    }
    co_return true;
  }

  bool LastingRun() const
  {
    for (const std::string& id : this->lasting) {
      const JobPlan& job = this->ledger.jobs.at(id);
      if (job.accepted && this->ledger.Running(id) != job.steps.front().count) {
        return false;
      }
    }
    return true;
  }

  /** Checks after the faults that all accepted jobs finish, that long-running
   * jobs run, and that the tasks of cancelled jobs end. */
  asio::awaitable<void> Settle()
  {
    this->stopping = true;
    if (!co_await this->Until([this] { return this->busyCallers == 0; },
                              kSettleLimit)) {
      for (const auto& [id, job] : this->ledger.jobs) {
        if (!job.accepted && (job.uncertain || !job.refused)) {
          this->ledger.RecordViolation("a submission gets no answer", id);
        }
        const bool waits = job.accepted && !job.cancelSent &&
                           !job.steps.front().longRunning &&
                           !this->finished.contains(id);
        if (waits) {
          this->ledger.RecordViolation("an accepted job is not finished", id);
        }
        if (job.cancelSent && !job.cancelled) {
          this->ledger.RecordViolation("a cancellation gets no answer", id);
        }
      }
    }
    if (!co_await this->Until([this] { return this->LastingRun(); },
                              kSettleLimit)) {
      this->ledger.RecordViolation("a long-running job does not run", "");
    }
    for (const std::string& id : this->lasting) {
      if (this->ledger.jobs.at(id).accepted) {
        co_await this->Cancel(id);
      }
    }
    const auto stopped = [this] {
      for (const auto& [id, job] : this->ledger.jobs) {
        if (job.cancelled && this->ledger.Running(id) > 0) {
          return false;
        }
      }
      return true;
    };
    if (!co_await this->Until(stopped, kCancelLimit)) {
      this->ledger.RecordViolation("a cancelled job's tasks run on", "");
    }
    for (const auto& [id, job] : this->ledger.jobs) {
      if (job.refused && !job.accepted && !job.uncertain &&
          this->ledger.Running(id) > 0) {
        this->ledger.RecordViolation("a refused job runs", id);
      }
    }
  }

  SoakPlan plan;
  Random random;
  /** Numbers for crashing tasks, resizes and restarts, so that the faults of a
   * seed are the same with and without them. */
  Random extras;
  asio::io_context context;
  JobLedger ledger;
  SoakStore store;
  std::vector<std::unique_ptr<SoakWorker>> workers;
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<std::string, std::shared_ptr<HttpClient>> clients;
  std::vector<std::string> lasting;
  std::set<std::string> finished;
  std::vector<std::string> faults;
  TimePoint begun;
  int busyCallers = 0;
  int open = 0;
  int crashingJobs = 0;
  /** Last disturbance of a process or the store. */
  TimePoint disturbedAt = std::chrono::steady_clock::now();
  bool stopping = false;
};

} // namespace

SoakResult
RunSoak(const SoakPlan& aPlan)
{
  Soak soak(aPlan);
  return soak.Run();
}

} // namespace sequoiakeel::soak
