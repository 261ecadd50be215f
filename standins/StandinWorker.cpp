/**
 * Stand-in for a worker: a backend server with a fixed number of slots and a
 * worker agent that runs tasks as timers under leases. For tests and the
 * demonstration; it injects faults on request over HTTP.
 */
#include "HttpClient.h"
#include "HttpServer.h"
#include "Ledger.h"
#include "Log.h"
#include "Runtime.h"
#include "generated/PlatformJson.h"

#include <CLI/CLI.hpp>
#include <atomic>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace {

using namespace sequoiakeel;
namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

struct Options
{
  std::string name = "worker-1";
  std::string address = "127.0.0.1";
  std::uint32_t requestPort = 0;
  std::uint32_t agentPort = 0;
  std::string zone = "zone-1";
  std::string rack = "rack-1";
  int slots = 8;
  std::size_t connections = 64;
  int serviceMs = 5;
  std::int64_t cpuMillis = 32000;
  std::int64_t memoryMb = 125000;
  std::int64_t accelerators = 0;
  std::string registerAt;
  std::string readyFile;
};

struct Task
{
  StartTask start;
  steady_clock::time_point began;
  milliseconds done{ 0 };
  WorkerTaskState state = WorkerTaskState::Running;
  std::string checkpoint;
};

/** Returns the run time completed at a checkpoint, whose token is that time in
 * milliseconds. An empty token means zero. */
milliseconds
DoneAt(const std::string& aCheckpoint)
{
  return milliseconds(aCheckpoint.empty() ? 0 : std::stoll(aCheckpoint));
}

/** Tasks and leases of the stand-in; thread safe. */
class Agent
{
public:
  explicit Agent(const Options& aOptions)
    : options(aOptions)
    , incarnation(static_cast<std::uint64_t>(
        std::chrono::system_clock::now().time_since_epoch().count()))
    , capacity{ aOptions.cpuMillis, aOptions.memoryMb, aOptions.accelerators }
  {
  }

  HttpResponse Handle(const HttpRequest& aRequest)
  {
    const std::lock_guard lock(this->mutex);
    this->Progress();
    const std::vector<std::string> path = PathSegments(aRequest.target);
    if (path.size() == 2 && path[1] == "status") {
      return JsonResponse(200, json(this->Status()).dump());
    }
    if (path.size() >= 3 && path[1] == "leases") {
      return this->HandleLease(aRequest, path);
    }
    if (path.size() == 2 && path[1] == "tasks") {
      return this->Start(json::parse(aRequest.body).get<StartTask>());
    }
    if (path.size() == 4 && path[1] == "tasks") {
      return this->HandleTask(aRequest, path);
    }
    if (path.size() == 2 && path[0] == "standin" && path[1] == "faults") {
      const json body = json::parse(aRequest.body);
      this->failStarts = body.value("fail_tasks", false);
      this->leaving = body.value("leaving", false);
      this->capacity.cpuMillis =
        body.value("cpu_millis", this->options.cpuMillis);
      this->capacity.memoryMb = body.value("memory_mb", this->options.memoryMb);
      return JsonResponse(200, "{}");
    }
    if (path.size() == 2 && path[0] == "standin" && path[1] == "starts") {
      return JsonResponse(200, json(this->startCounts).dump());
    }
    if (path.size() == 2 && path[0] == "standin" && path[1] == "overcommits") {
      return JsonResponse(200, json(this->overcommits).dump());
    }
    return JsonResponse(404, "{}");
  }

  bool Leaving()
  {
    const std::lock_guard lock(this->mutex);
    return this->leaving;
  }

private:
  static HttpResponse Refuse(unsigned aStatus, const char* aReason)
  {
    return JsonResponse(aStatus, json{ { "reason", aReason } }.dump());
  }

  /** Expires leases, stops the tasks under them, and ends tasks whose run
   * time has elapsed. */
  void Progress()
  {
    const auto now = steady_clock::now();
    std::erase_if(this->leases,
                  [&](const auto& aLease) { return aLease.second <= now; });
    for (auto& [id, task] : this->tasks) {
      if (task.state != WorkerTaskState::Running) {
        continue;
      }
      if (!this->leases.contains(task.start.lease)) {
        task.state = WorkerTaskState::Stopped;
        continue;
      }
      const auto done =
        task.done + std::chrono::duration_cast<milliseconds>(now - task.began);
      if (task.start.runTimeMs > 0 &&
          done >= milliseconds(task.start.runTimeMs)) {
        task.state = this->failStarts ? WorkerTaskState::Failed
                                      : WorkerTaskState::Finished;
      }
    }
    // Stopped tasks are removed at once; finished and failed ones stay listed
    // until they are acknowledged.
    std::erase_if(this->tasks, [](const auto& aTask) {
      return aTask.second.state == WorkerTaskState::Stopped;
    });
  }

  WorkerStatus Status() const
  {
    const auto now = steady_clock::now();
    WorkerStatus status;
    status.worker = this->options.name;
    status.incarnation = this->incarnation;
    status.capacity = this->capacity;
    status.leaving = this->leaving;
    for (const auto& [id, expiry] : this->leases) {
      status.leases.push_back(WorkerLease{
        id, std::chrono::duration_cast<milliseconds>(expiry - now).count() });
    }
    for (const auto& [id, task] : this->tasks) {
      WorkerTask report;
      report.taskId = id;
      report.attempt = task.start.attempt;
      report.lease = task.start.lease;
      report.state = task.state;
      report.checkpoint = task.checkpoint;
      report.usage = task.start.resources;
      status.tasks.push_back(std::move(report));
    }
    return status;
  }

  HttpResponse HandleLease(const HttpRequest& aRequest,
                           const std::vector<std::string>& aPath)
  {
    const milliseconds ttl(
      std::stoll("0" + QueryParameter(aRequest.target, "ttl_ms")));
    const bool renewal = aPath.size() == 4 && aPath[3] == "renew";
    if (renewal && !this->leases.contains(aPath[2])) {
      return Refuse(404, "unknown lease");
    }
    this->leases[aPath[2]] = steady_clock::now() + ttl;
    return JsonResponse(200, "{}");
  }

  HttpResponse Start(StartTask aStart)
  {
    if (this->leaving) {
      return Refuse(503, "leaving");
    }
    if (this->tasks.contains(aStart.taskId)) {
      return Refuse(409, "task is known");
    }
    if (!this->leases.contains(aStart.lease)) {
      return Refuse(412, "lease is unknown or expired");
    }
    ++this->startCounts[aStart.taskId];
    Resources used = aStart.resources;
    for (const auto& [id, task] : this->tasks) {
      if (task.state == WorkerTaskState::Running) {
        used = Plus(used, task.start.resources);
      }
    }
    if (!Fits(used, this->capacity)) {
      this->overcommits.push_back(aStart.taskId);
    }
    Task task;
    task.began = steady_clock::now();
    task.done = DoneAt(aStart.checkpoint);
    task.checkpoint = aStart.checkpoint;
    task.state =
      this->failStarts ? WorkerTaskState::Failed : WorkerTaskState::Running;
    const std::string id = aStart.taskId;
    task.start = std::move(aStart);
    this->tasks[id] = std::move(task);
    return JsonResponse(201, "{}");
  }

  HttpResponse HandleTask(const HttpRequest& aRequest,
                          const std::vector<std::string>& aPath)
  {
    const auto found = this->tasks.find(aPath[2]);
    if (found == this->tasks.end()) {
      return Refuse(404, "unknown task");
    }
    Task& task = found->second;
    if (aPath[3] == "lease") {
      const std::string lease = QueryParameter(aRequest.target, "lease");
      if (!this->leases.contains(lease)) {
        return Refuse(412, "lease is unknown or expired");
      }
      task.start.lease = lease;
      return JsonResponse(200, "{}");
    }
    if (aPath[3] == "checkpoint") {
      const auto ran = std::chrono::duration_cast<milliseconds>(
        steady_clock::now() - task.began);
      task.checkpoint = std::to_string((task.done + ran).count());
      return JsonResponse(200,
                          json{ { "checkpoint", task.checkpoint } }.dump());
    }
    if (aPath[3] == "stop") {
      if (task.state != WorkerTaskState::Running) {
        // An ended task stays listed until it is acknowledged, so that its
        // result is not lost if this answer is lost.
        return JsonResponse(
          200, json{ { "state", std::string(ToString(task.state)) } }.dump());
      }
      this->tasks.erase(found);
      return JsonResponse(
        200,
        json{ { "state", std::string(ToString(WorkerTaskState::Stopped)) } }
          .dump());
    }
    if (aPath[3] == "acknowledge" && task.state != WorkerTaskState::Running) {
      this->tasks.erase(found);
    }
    return JsonResponse(200, "{}");
  }

  const Options& options;
  std::uint64_t incarnation;
  std::mutex mutex;
  std::map<std::string, steady_clock::time_point> leases;
  std::map<std::string, Task> tasks;
  std::map<std::string, int> startCounts;
  Resources capacity;
  /** Tasks whose start brought the worker over its capacity. */
  std::vector<std::string> overcommits;
  bool failStarts = false;
  bool leaving = false;
};

/** Backend server that serves callers' requests in a fixed number of slots. */
class RequestSide
{
public:
  RequestSide(const Options& aOptions, Agent& aAgent)
    : options(aOptions)
    , agent(aAgent)
  {
  }

  asio::awaitable<HttpResponse> Handle(HttpRequest aRequest)
  {
    HttpResponse response;
    response.headers.Set("Sequoiakeel-Request-Id",
                         aRequest.headers.Get("Sequoiakeel-Request-Id"));
    if (TargetPath(aRequest.target) == "/probe") {
      response.status = 204;
      co_return response;
    }
    if (this->agent.Leaving()) {
      response.status = 503;
      response.headers.Set("Sequoiakeel-Not-Run", "leaving");
      co_return response;
    }
    if (this->busy.fetch_add(1) >= this->options.slots) {
      --this->busy;
      response.status = 503;
      response.headers.Set("Sequoiakeel-Not-Run", "busy");
      co_return response;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             milliseconds(this->options.serviceMs));
    co_await timer.async_wait(asio::use_awaitable);
    --this->busy;
    ++this->served;
    response.headers.Set("Content-Type", "application/json");
    response.body =
      json{ { "worker", this->options.name }, { "echo", aRequest.body } }.dump(
        -1, ' ', false, json::error_handler_t::replace);
    co_return response;
  }

private:
  const Options& options;
  Agent& agent;
  std::atomic<int> busy{ 0 };
  std::atomic<std::uint64_t> served{ 0 };
};

/** Registers the worker in the host list of the stand-in store; ends the
 * process with exit code 1 if the store does not answer. */
asio::awaitable<void>
Register(Runtime& aRuntime,
         const Options& aOptions,
         std::uint16_t aRequestPort,
         std::uint16_t aAgentPort)
{
  const std::size_t colon = aOptions.registerAt.rfind(':');
  Endpoint list;
  list.address = aOptions.registerAt.substr(0, colon);
  list.port = static_cast<std::uint32_t>(
    std::stoul(aOptions.registerAt.substr(colon + 1)));
  HostRecord record;
  record.host = aOptions.name;
  record.address = aOptions.address;
  record.requestPort = aRequestPort;
  record.agentPort = aAgentPort;
  record.zone = aOptions.zone;
  record.rack = aOptions.rack;
  HttpRequest request;
  request.method = "POST";
  request.target = "/standin/hosts";
  request.body = json(record).dump();
  HttpClient client(aRuntime.Context().get_executor(), list);
  const ExchangeResult result =
    co_await client.Call(std::move(request), std::chrono::seconds(5));
  if (!result.Complete()) {
    Event("registration_failed", LogLevel::Error).Add("error", result.error);
    aRuntime.End(1);
  }
}

void
AddOptions(CLI::App& aApp, Options& aOptions)
{
  aApp.add_option("--name", aOptions.name, "Name of the host");
  aApp.add_option("--address", aOptions.address, "IP address to listen on");
  aApp.add_option("--request-port",
                  aOptions.requestPort,
                  "Port of the request side; 0 lets the system choose");
  aApp.add_option("--agent-port",
                  aOptions.agentPort,
                  "Port of the agent; 0 lets the system choose");
  aApp.add_option("--zone", aOptions.zone, "Availability zone");
  aApp.add_option("--rack", aOptions.rack, "Rack");
  aApp.add_option("--slots", aOptions.slots, "Concurrent requests");
  aApp.add_option(
    "--connections", aOptions.connections, "Connections of the request side");
  aApp.add_option("--service-ms",
                  aOptions.serviceMs,
                  "Service time of a request in milliseconds");
  aApp.add_option("--cpu-millis", aOptions.cpuMillis, "Thousandths of a core");
  aApp.add_option("--memory-mb", aOptions.memoryMb, "Megabytes of memory");
  aApp.add_option("--accelerators", aOptions.accelerators, "Accelerators");
  aApp.add_option("--register-at",
                  aOptions.registerAt,
                  "ADDRESS:PORT of the stand-in store to register at");
  aApp.add_option("--ready-file",
                  aOptions.readyFile,
                  "File to write the ports to when ready");
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  CLI::App app("Stand-in for a worker with its backend server");
  Options options;
  AddOptions(app, options);
  CLI11_PARSE(app, aArgumentCount, aArguments);
  StartLogging(options.name, LogLevel::Info);
  try {
    Runtime runtime(2);
    Agent agent(options);
    RequestSide requests(options, agent);
    const SystemClock clock;
    RequestMemoryLimits memory;
    memory.connections = options.connections;
    HttpServerLimits limits;
    limits.memory = std::make_shared<RequestMemory>(memory, clock);
    HttpServer requestServer(runtime.Context(),
                             Endpoint{ options.address, options.requestPort },
                             limits,
                             [&](HttpRequest aRequest) {
                               return requests.Handle(std::move(aRequest));
                             });
    HttpServer agentServer(
      runtime.Context(),
      Endpoint{ options.address, options.agentPort },
      {},
      [&](HttpRequest aRequest) -> asio::awaitable<HttpResponse> {
        co_return agent.Handle(aRequest);
      });
    requestServer.Start();
    agentServer.Start();
    if (!options.registerAt.empty()) {
      asio::co_spawn(
        runtime.Context(),
        Register(runtime, options, requestServer.Port(), agentServer.Port()),
        [](std::exception_ptr) {});
    }
    if (!options.readyFile.empty()) {
      WriteFileAtomically(options.readyFile,
                          json{ { "request_port", requestServer.Port() },
                                { "agent_port", agentServer.Port() } }
                            .dump());
    }
    return runtime.Run([&] { runtime.End(0); });
  } catch (const std::exception& error) {
    std::cerr << options.name << ": " << error.what() << "\n";
    return 1;
  }
}
