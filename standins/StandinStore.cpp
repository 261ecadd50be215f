/**
 * Stand-in for the platform's key-value service and host list, for tests and
 * the demonstration. It keeps all data in memory, implements the part of etcd's
 * version 3 JSON interface that sequoiakeel uses, and injects faults on request
 * over HTTP.
 */
#include "Base64.h"
#include "HttpServer.h"
#include "Log.h"
#include "Runtime.h"
#include "generated/PlatformJson.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace {

using namespace sequoiakeel;
namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::steady_clock;

struct Value
{
  std::string value;
  std::uint64_t revision = 0;
  std::uint64_t lease = 0;
};

struct Lease
{
  std::chrono::seconds ttl{ 0 };
  steady_clock::time_point expiry;
};

/** Faults to inject into the answers to store requests. */
struct Faults
{
  /** "ok", "down" (503, nothing takes effect), "lose-answers" (the request
   * takes effect, but its answer is sent after the client's timeout) or
   * "lose-write-answers" (the same for transactions only). */
  std::string mode = "ok";
  int delayMs = 0;
};

/** State of the stand-in; thread safe. */
class State
{
public:
  json Range(const json& aBody)
  {
    const std::lock_guard lock(this->mutex);
    this->Expire();
    ++this->reads;
    const std::string key = Base64Decode(aBody.value("key", "")).value_or("");
    const std::string end =
      Base64Decode(aBody.value("range_end", "")).value_or("");
    json found = json::array();
    for (auto it = this->values.lower_bound(key); it != this->values.end();
         ++it) {
      if (end.empty() ? it->first != key : it->first >= end) {
        break;
      }
      found.push_back(
        json{ { "key", Base64Encode(it->first) },
              { "value", Base64Encode(it->second.value) },
              { "mod_revision", std::to_string(it->second.revision) } });
    }
    return json{ { "header", this->Header() }, { "kvs", std::move(found) } };
  }

  json Transaction(const json& aBody)
  {
    const std::lock_guard lock(this->mutex);
    this->Expire();
    ++this->writes;
    for (const json& compare : aBody.at("compare")) {
      const std::string key =
        Base64Decode(compare.at("key").get<std::string>()).value_or("");
      const auto found = this->values.find(key);
      const std::uint64_t revision =
        found == this->values.end() ? 0 : found->second.revision;
      if (revision !=
          std::stoull(compare.at("mod_revision").get<std::string>())) {
        return json{ { "header", this->Header() }, { "succeeded", false } };
      }
    }
    for (const json& operation : aBody.at("success")) {
      this->Apply(operation);
    }
    return json{ { "header", this->Header() }, { "succeeded", true } };
  }

  json Grant(const json& aBody)
  {
    const std::lock_guard lock(this->mutex);
    ++this->writes;
    const std::chrono::seconds ttl(
      std::stoll(aBody.at("TTL").get<std::string>()));
    const std::uint64_t id = ++this->nextLease;
    this->leases[id] = Lease{ ttl, steady_clock::now() + ttl };
    return json{ { "ID", std::to_string(id) },
                 { "TTL", std::to_string(ttl.count()) } };
  }

  json KeepAlive(const json& aBody)
  {
    const std::lock_guard lock(this->mutex);
    this->Expire();
    ++this->writes;
    const std::uint64_t id = std::stoull(aBody.at("ID").get<std::string>());
    const auto found = this->leases.find(id);
    if (found == this->leases.end()) {
      return json{ { "result", { { "ID", std::to_string(id) } } } };
    }
    found->second.expiry = steady_clock::now() + found->second.ttl;
    return json{ { "result",
                   { { "ID", std::to_string(id) },
                     { "TTL", std::to_string(found->second.ttl.count()) } } } };
  }

  json Revoke(const json& aBody)
  {
    const std::lock_guard lock(this->mutex);
    ++this->writes;
    this->EndLease(std::stoull(aBody.at("ID").get<std::string>()));
    return json{ { "header", this->Header() } };
  }

  json Hosts()
  {
    const std::lock_guard lock(this->mutex);
    HostListing listing;
    listing.revision = this->hostRevision;
    for (const auto& [name, record] : this->hosts) {
      listing.hosts.push_back(record);
    }
    return listing;
  }

  void PutHost(HostRecord aRecord)
  {
    const std::lock_guard lock(this->mutex);
    ++this->hostRevision;
    this->hosts[aRecord.host] = std::move(aRecord);
  }

  void DeleteHost(const std::string& aHost)
  {
    const std::lock_guard lock(this->mutex);
    ++this->hostRevision;
    this->hosts.erase(aHost);
  }

  void SetFaults(Faults aFaults)
  {
    const std::lock_guard lock(this->mutex);
    this->faults = std::move(aFaults);
  }

  Faults GetFaults()
  {
    const std::lock_guard lock(this->mutex);
    return this->faults;
  }

  json Counters()
  {
    const std::lock_guard lock(this->mutex);
    return json{ { "reads", this->reads },
                 { "writes", this->writes },
                 { "keys", this->values.size() } };
  }

private:
  json Header() const
  {
    return json{ { "revision", std::to_string(this->revision) } };
  }

  void Apply(const json& aOperation)
  {
    ++this->revision;
    if (aOperation.contains("request_put")) {
      const json& put = aOperation["request_put"];
      Value value;
      value.value =
        Base64Decode(put.at("value").get<std::string>()).value_or("");
      value.revision = this->revision;
      value.lease = std::stoull(put.value("lease", "0"));
      this
        ->values[Base64Decode(put.at("key").get<std::string>()).value_or("")] =
        std::move(value);
      return;
    }
    const json& remove = aOperation.at("request_delete_range");
    this->values.erase(
      Base64Decode(remove.at("key").get<std::string>()).value_or(""));
  }

  void Expire()
  {
    std::vector<std::uint64_t> expired;
    for (const auto& [id, lease] : this->leases) {
      if (lease.expiry <= steady_clock::now()) {
        expired.push_back(id);
      }
    }
    for (const std::uint64_t id : expired) {
      this->EndLease(id);
    }
  }

  void EndLease(std::uint64_t aLease)
  {
    this->leases.erase(aLease);
    std::erase_if(this->values, [&](const auto& aPair) {
      return aLease != 0 && aPair.second.lease == aLease;
    });
  }

  std::mutex mutex;
  std::map<std::string, Value> values;
  std::map<std::uint64_t, Lease> leases;
  std::map<std::string, HostRecord> hosts;
  std::uint64_t revision = 1;
  std::uint64_t nextLease = 1000;
  std::uint64_t hostRevision = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  Faults faults;
};

asio::awaitable<void>
Sleep(int aMilliseconds)
{
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           std::chrono::milliseconds(aMilliseconds));
  co_await timer.async_wait(asio::use_awaitable);
}

HttpResponse
HandleControl(State& aState,
              const HttpRequest& aRequest,
              const std::vector<std::string>& aPath)
{
  if (aPath.size() == 2 && aPath[1] == "faults") {
    const json body = json::parse(aRequest.body);
    aState.SetFaults(
      Faults{ body.value("mode", "ok"), body.value("delay_ms", 0) });
    return JsonResponse(200, "{}");
  }
  if (aPath.size() == 2 && aPath[1] == "counters") {
    return JsonResponse(200, aState.Counters().dump());
  }
  if (aPath.size() == 2 && aPath[1] == "hosts" && aRequest.method == "POST") {
    aState.PutHost(json::parse(aRequest.body).get<HostRecord>());
    return JsonResponse(200, "{}");
  }
  if (aPath.size() == 3 && aPath[1] == "hosts" && aRequest.method == "DELETE") {
    aState.DeleteHost(aPath[2]);
    return JsonResponse(200, "{}");
  }
  return JsonResponse(404, "{}");
}

HttpResponse
HandleStore(State& aState, const HttpRequest& aRequest)
{
  const std::string_view path = TargetPath(aRequest.target);
  const json body = json::parse(aRequest.body);
  if (path == "/v3/kv/range") {
    return JsonResponse(200, aState.Range(body).dump());
  }
  if (path == "/v3/kv/txn") {
    return JsonResponse(200, aState.Transaction(body).dump());
  }
  if (path == "/v3/lease/grant") {
    return JsonResponse(200, aState.Grant(body).dump());
  }
  if (path == "/v3/lease/keepalive") {
    return JsonResponse(200, aState.KeepAlive(body).dump());
  }
  if (path == "/v3/lease/revoke") {
    return JsonResponse(200, aState.Revoke(body).dump());
  }
  return JsonResponse(404, "{}");
}

asio::awaitable<HttpResponse>
Handle(State& aState, HttpRequest aRequest)
{
  const std::vector<std::string> path = PathSegments(aRequest.target);
  if (!path.empty() && path[0] == "standin") {
    co_return HandleControl(aState, aRequest, path);
  }
  if (TargetPath(aRequest.target) == "/v1/hosts") {
    co_return JsonResponse(200, aState.Hosts().dump());
  }
  const Faults faults = aState.GetFaults();
  if (faults.delayMs > 0) {
    co_await Sleep(faults.delayMs);
  }
  if (faults.mode == "down") {
    co_return JsonResponse(503, "{}");
  }
  HttpResponse response = HandleStore(aState, aRequest);
  const bool write = TargetPath(aRequest.target) == "/v3/kv/txn";
  if (faults.mode == "lose-answers" ||
      (faults.mode == "lose-write-answers" && write)) {
    // Exceeds the timeout of every client of the store.
    co_await Sleep(5000);
  }
  co_return response;
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  CLI::App app("Stand-in for the platform's key-value service and host list");
  std::string address = "127.0.0.1";
  std::uint32_t port = 0;
  std::string readyFile;
  app.add_option("--address", address, "IP address to listen on");
  app.add_option("--port", port, "Port to listen on; 0 lets the system choose");
  app.add_option(
    "--ready-file", readyFile, "File to write {\"port\": N} to when ready");
  CLI11_PARSE(app, aArgumentCount, aArguments);
  StartLogging("standin-store", LogLevel::Info);
  try {
    Runtime runtime(2);
    State state;
    HttpServerLimits limits;
    limits.maxBodyBytes = 4 * 1024 * 1024;
    HttpServer server(
      runtime.Context(),
      Endpoint{ address, port },
      limits,
      [&](HttpRequest aRequest) { return Handle(state, std::move(aRequest)); });
    server.Start();
    if (!readyFile.empty()) {
      WriteFileAtomically(readyFile, json{ { "port", server.Port() } }.dump());
    }
    return runtime.Run([&] { runtime.End(0); });
  } catch (const std::exception& error) {
    std::cerr << "sequoiakeel-standin-store: " << error.what() << "\n";
    return 1;
  }
}
