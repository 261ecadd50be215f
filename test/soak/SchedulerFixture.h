#pragma once

#include "HttpClient.h"
#include "soak/FaultProxy.h"
#include "soak/SoakStore.h"
#include "soak/SoakWorker.h"
#include "support/ChildProcess.h"

#include <boost/asio/co_spawn.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace sequoiakeel::soak {

/** One real scheduler process with simulated store and workers on loopback.
 * Everything but the process runs on the thread of the test. */
class SchedulerFixture
{
public:
  /** Time after which a condition that has not come is a failure. */
  static constexpr std::chrono::seconds kLimit{ 60 };

  /** aSettings: added to the settings of the process. aLimits: limits in the
   * operator's document. aZones: one worker is made in each, with the name of
   * the zone as its id. */
  SchedulerFixture(const std::string& aName,
                   std::uint16_t aPort,
                   const nlohmann::json& aSettings,
                   const nlohmann::json& aLimits,
                   const std::vector<std::string>& aZones)
    : port(aPort)
    , folder(std::filesystem::temp_directory_path() /
             ("sequoiakeel-" + aName + "-" + std::to_string(getpid())))
    , front(this->FreeEndpoint())
    , health(this->FreeEndpoint())
    , peer(this->FreeEndpoint())
    , store(context, random)
    , storeLink(context.get_executor(), store.Address())
  {
    std::filesystem::create_directories(this->folder);
    for (const std::string& zone : aZones) {
      WorkerTraits traits;
      traits.zone = zone;
      this->workers.push_back(std::make_unique<SoakWorker>(
        this->context, zone, this->ledger, this->random, traits));
      this->Put("servers/" + zone,
                nlohmann::json::parse(this->workers.back()->RegistryEntry()));
    }
    // HttpClient uses the address of the endpoint as the host name.
    const nlohmann::json route{
      { "name", "jobs" },          { "hostname", this->front.address },
      { "prefix", "/jobs/" },      { "service", "desk" },
      { "attempts", 3 },           { "stretch", 2.0 },
      { "targetDurationMs", 1000 }
    };
    this->document = nlohmann::json{ { "version", 1 },
                                     { "routes", { route } },
                                     { "limits", aLimits } };
    this->Put("op/config", this->document);
    nlohmann::json settings{ { "name", "n" },
                             { "zone", "z" },
                             { "front", Text(this->front) },
                             { "health", Text(this->health) },
                             { "peer_ip", this->peer.address },
                             { "peer_port", this->peer.port },
                             { "store", Text(this->storeLink.Address()) } };
    settings.update(aSettings);
    std::ofstream(this->SettingsFile()) << settings;
    this->StartProcess();
  }

  ~SchedulerFixture()
  {
    this->process.reset();
    std::filesystem::remove_all(this->folder);
  }

  void StartProcess()
  {
    this->process = std::make_unique<ChildProcess>(
      "sequoiakeel-scheduler",
      std::vector<std::string>{ "--settings", this->SettingsFile() },
      (this->folder / "log").string());
  }

  /** Writes a key on behalf of the platform or the operator. */
  void Put(const std::string& aKey, const nlohmann::json& aValue)
  {
    boost::asio::co_spawn(this->context,
                          this->store.Put(aKey, aValue.dump()),
                          [](std::exception_ptr aError) { REQUIRE(!aError); });
  }

  /** Returns the id and the body of a job of one small task that the workers
   * carry out. */
  std::pair<std::string, std::string> SmallJob()
  {
    std::string id = std::to_string(++this->jobs);
    id.insert(0, 16 - id.size(), '0');
    JobPlan plan;
    plan.id = id;
    plan.steps.push_back(StepPlan{ 1, 1000, 100, 300 });
    this->ledger.jobs[id] = plan;
    const nlohmann::json step{
      { "count", 1 }, { "cpu", 1000 }, { "memMb", 100 }, { "estimateMs", 300 }
    };
    return {
      id, nlohmann::json{ { "spec", "work" }, { "steps", { step } } }.dump()
    };
  }

  /** Submits one small job and returns the status, or 0 without an answer. */
  unsigned SubmitOne()
  {
    const auto [id, body] = this->SmallJob();
    return this->Call("POST", id, body).status;
  }

  /** Calls the process; status 0 means that no response arrived. */
  HttpResponse Call(const std::string& aMethod,
                    const std::string& aJob,
                    const std::string& aBody)
  {
    HttpRequest request;
    request.method = aMethod;
    request.target = "/jobs/" + aJob;
    request.headers.Set("Content-Type", "application/json");
    request.body = aBody;
    return this->Answer(this->front, request);
  }

  /** Returns the status of the health check, or 0 without an answer. */
  unsigned ReadyStatus()
  {
    HttpRequest request;
    request.method = "GET";
    request.target = "/-/ready";
    return this->Answer(this->health, request).status;
  }

  /** Runs store and workers until aCondition holds; returns false after kLimit.
   */
  bool Until(const std::function<bool()>& aCondition)
  {
    const TimePoint deadline = std::chrono::steady_clock::now() + kLimit;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > deadline) {
        return false;
      }
      this->context.restart();
      this->context.run_for(std::chrono::milliseconds(10));
      for (const auto& worker : this->workers) {
        worker->Tick();
      }
    }
    return true;
  }

  /** Returns the operator's document as it was first written. */
  const nlohmann::json& Document() const { return this->document; }

  const Endpoint& Front() const { return this->front; }

  const Endpoint& Health() const { return this->health; }

  const Endpoint& Peer() const { return this->peer; }

  std::unique_ptr<ChildProcess> process;
  JobLedger ledger;

protected:
  boost::asio::io_context context;

private:
  HttpResponse Answer(const Endpoint& aTo, const HttpRequest& aRequest)
  {
    HttpClient client(this->context.get_executor(), aTo);
    std::optional<ExchangeResult> result;
    boost::asio::co_spawn(this->context,
                          client.Call(aRequest, std::chrono::seconds(10)),
                          [&](std::exception_ptr, ExchangeResult aResult) {
                            result = std::move(aResult);
                          });
    this->Until([&] { return result.has_value(); });
    if (!result || !result->Complete()) {
      HttpResponse none;
      none.status = 0;
      return none;
    }
    return result->response;
  }

  /** Returns an endpoint with an address of its own. The port is below those
   * that the system assigns. */
  Endpoint FreeEndpoint()
  {
    constexpr int kRange = 250;
    static int next = 0;
    const int own = getpid();
    return Endpoint{ "127." + std::to_string(1 + own / kRange % kRange) + "." +
                       std::to_string(own % kRange) + "." +
                       std::to_string(1 + next++ % kRange),
                     this->port };
  }

  static std::string Text(const Endpoint& aEndpoint)
  {
    return aEndpoint.address + ":" + std::to_string(aEndpoint.port);
  }

  std::string SettingsFile() const
  {
    return (this->folder / "settings.json").string();
  }

  std::uint16_t port;
  nlohmann::json document;
  std::filesystem::path folder;
  Endpoint front;
  Endpoint health;
  Endpoint peer;
  Random random{ 1 };

public:
  SoakStore store;
  /** Link between the process and the store. */
  FaultProxy storeLink;

private:
  std::vector<std::unique_ptr<SoakWorker>> workers;
  int jobs = 0;
};

} // namespace sequoiakeel::soak
