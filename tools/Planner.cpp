/**
 * Main program of the planner, which owns cells of workers and accepts, places,
 * evicts and recovers tasks.
 */
#include "ConfigurationAgent.h"
#include "ConfigurationCheck.h"
#include "ConfigurationPeers.h"
#include "EtcdStore.h"
#include "HttpHostList.h"
#include "HttpServer.h"
#include "HttpWorkerAgent.h"
#include "Log.h"
#include "PlannerDriver.h"
#include "PlannerMetrics.h"
#include "Runtime.h"
#include "SettingsFile.h"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

namespace {

using namespace sequoiakeel;
namespace asio = boost::asio;

GossipSettings
GossipSettingsFor(const Settings& aSettings, std::uint16_t aPort)
{
  GossipSettings result;
  result.own.name = aSettings.name;
  result.own.zone = aSettings.zone;
  result.own.region = aSettings.region;
  result.own.role = MemberRole::Planner;
  result.own.address = aSettings.peer.address;
  result.own.port = aPort;
  result.own.storeReachable = false;
  for (const Endpoint& seed : aSettings.seeds) {
    result.seeds.push_back(GossipEndpoint{ seed.address, seed.port });
  }
  return result;
}

/** One planner process. */
class Planner
{
public:
  Planner(const Settings& aSettings, std::string aReadyFile)
    : settings(aSettings)
    , readyFile(std::move(aReadyFile))
    , runtime(static_cast<unsigned>(aSettings.threads))
    , store(this->Executor(), aSettings.store)
    , agent(this->Executor())
    , hosts(this->Executor(), aSettings.hostList)
    , server(this->runtime.Context(),
             aSettings.peer,
             std::make_shared<RequestMemory>(
               LimitsForPeers(aSettings.memoryMb, aSettings.maxDescriptors),
               this->clock))
    , client(this->Executor())
    , gossip(this->Executor(),
             GossipSettingsFor(aSettings, this->server.Port()),
             this->clock)
    , driver(PlannerDependencies{ this->runtime.Context(),
                                  this->store,
                                  this->agent,
                                  this->hosts,
                                  this->gossip,
                                  this->clock },
             aSettings.name,
             Endpoint{ aSettings.peer.address, this->server.Port() })
    , configuration(
        this->Executor(),
        this->store,
        this->gossip,
        FetchOverRpc(this->client),
        CheckConfiguration,
        [this](std::uint64_t aGeneration, const std::string& aDocument) {
          this->OnConfiguration(aGeneration, aDocument);
        })
  {
  }

  int Run()
  {
    ServeConfiguration(this->server, this->configuration);
    this->driver.Serve(this->server);
    this->gossip.SetOnGeneration([this](const MemberRow& aPeer) {
      this->configuration.OnGenerationAnnounced(aPeer);
    });
    this->server.Start();
    this->ServeMetrics();
    this->gossip.Start();
    asio::co_spawn(
      this->runtime.Context(),
      [this]() { return this->Begin(); },
      asio::detached);
    return this->runtime.Run([this] { this->Stop(); });
  }

private:
  asio::any_io_executor Executor()
  {
    return this->runtime.Context().get_executor();
  }

  void OnConfiguration(std::uint64_t aGeneration, const std::string& aDocument)
  {
    Event("configuration_active").Add("generation", aGeneration);
    this->gossip.AnnounceGeneration(aGeneration);
    const Configuration document = ParseConfiguration(aDocument);
    this->gossip.SetDocumentLeaving(document.leavingHosts);
    this->driver.Configure(document);
  }

  /** Serves /metrics if the settings name an HTTP address. */
  void ServeMetrics()
  {
    if (this->settings.http.address.empty()) {
      return;
    }
    HttpServerLimits limits;
    limits.memory = std::make_shared<RequestMemory>(
      LimitsForHost(this->settings.memoryMb, this->settings.maxDescriptors),
      this->clock);
    this->http = std::make_unique<HttpServer>(this->runtime.Context(),
                                              this->settings.http,
                                              std::move(limits),
                                              [this](HttpRequest aRequest) {
                                                return this->AnswerHttp(
                                                  std::move(aRequest));
                                              });
    this->http->Start();
  }

  asio::awaitable<HttpResponse> AnswerHttp(HttpRequest aRequest)
  {
    HttpResponse response;
    if (TargetPath(aRequest.target) != "/metrics") {
      response.status = 404;
      co_return response;
    }
    const PlannerStatusReply status = co_await this->driver.Status();
    response.headers.Set("Content-Type", "text/plain; version=0.0.4");
    response.body = ExportPlannerMetrics(status);
    co_return response;
  }

  asio::awaitable<void> Begin()
  {
    if (!this->readyFile.empty()) {
      nlohmann::json ports{ { "peer_port", this->server.Port() } };
      if (this->http) {
        ports["http_port"] = this->http->Port();
      }
      WriteFileAtomically(this->readyFile, ports.dump());
    }
    this->driver.Start();
    while (true) {
      const bool loaded = co_await this->configuration.Load();
      if (loaded) {
        break;
      }
      Event("configuration_missing", LogLevel::Warning)
        .Add("planner", this->settings.name);
    }
    co_await this->configuration.Run();
  }

  asio::awaitable<void> Drain()
  {
    co_await this->driver.Drain();
    this->runtime.End(0);
  }

  asio::awaitable<void> EndAtDeadline()
  {
    asio::steady_timer timer(
      this->Executor(),
      std::chrono::milliseconds(this->settings.drainDeadlineMs));
    co_await timer.async_wait(asio::use_awaitable);
    Event("drain_deadline", LogLevel::Warning)
      .Add("limit_ms", this->settings.drainDeadlineMs);
    this->runtime.End(kExitForced);
  }

  void Stop()
  {
    this->gossip.AnnounceLeaving();
    this->configuration.Stop();
    asio::co_spawn(
      this->runtime.Context(),
      [this]() { return this->Drain(); },
      asio::detached);
    asio::co_spawn(
      this->runtime.Context(),
      [this]() { return this->EndAtDeadline(); },
      asio::detached);
  }

  Settings settings;
  std::string readyFile;
  SystemClock clock;
  Runtime runtime;
  EtcdStore store;
  HttpWorkerAgent agent;
  HttpHostList hosts;
  PeerServer server;
  PeerClient client;
  GossipService gossip;
  PlannerDriver driver;
  ConfigurationAgent configuration;
  std::unique_ptr<HttpServer> http;
};

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  CLI::App app("Owns cells of workers; accepts, places and recovers tasks");
  std::string settingsPath;
  std::string readyFile;
  bool check = false;
  app.add_option("--settings", settingsPath, "Settings file")->required();
  app.add_flag("--check", check, "Check the settings and exit");
  app.set_version_flag("--version", SEQUOIAKEEL_VERSION);
  app.add_option(
    "--ready-file",
    readyFile,
    "File to which the bound ports are written once the planner listens");
  CLI11_PARSE(app, aArgumentCount, aArguments);
  try {
    const Settings settings = LoadSettings(settingsPath);
    if (check) {
      std::cout << settingsPath << ": ok\n";
      return EXIT_SUCCESS;
    }
    StartLogging(settings.name, ParseLogLevel(settings.logLevel));
    Planner planner(settings, readyFile);
    return planner.Run();
  } catch (const SettingsError& error) {
    std::cerr << error.what();
    return kExitSettingsInvalid;
  } catch (const std::exception& error) {
    std::cerr << "sequoiakeel-planner: " << error.what() << "\n";
    return 1;
  }
}
