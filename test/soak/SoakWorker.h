#pragma once

#include "FaultProxy.h"
#include "HttpServer.h"
#include "Ledger.h"
#include "Random.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace sequoiakeel::soak {

/** Simulated worker that follows the platform's worker protocol: fencing
 * tokens, leases measured by the worker's own slow clock, run numbers, and
 * records of ended runs that are reported until they are acknowledged. All
 * calls must run on the io_context, which has one thread. */
class SoakWorker
{
public:
  SoakWorker(boost::asio::io_context& aContext,
             std::string aId,
             JobLedger& aLedger,
             Random& aRandom);

  /** Returns the value of the worker's registry entry, as JSON. */
  std::string RegistryEntry() const;

  const std::string& Id() const { return this->id; }
  FaultProxy& Proxy() { return this->proxy; }

  /** Longest time from a change of the capacity to the write of the registry
   * entry. */
  static constexpr std::chrono::milliseconds kHeartbeat{ 1000 };

  /** Payload of a job whose first task crashes each worker that starts it. */
  static constexpr const char* kCrashPayload = "crash";

  /** Sets what happens when a task crashes the worker. */
  void SetCrashHandler(std::function<void()> aHandler)
  {
    this->crashHandler = std::move(aHandler);
  }

  /** Changes the capacity. The smaller of two capacities counts once the
   * registry has had time to follow. */
  void Resize(std::uint32_t aCpuMilli);

  /** Discards all runs and end records, and stops responding. */
  void Crash();

  /** Restarts the worker under the same id without any previous state. */
  void Restart();

  /** While set, about half of the commands are executed seconds late, after the
   * sender has timed out. */
  void SetLateCommands(bool aLate) { this->lateCommands = aLate; }

  bool Up() const { return this->up; }

  /** Ends runs whose duration has elapsed, and all runs when the lease has
   * expired. */
  void Tick();

private:
  struct Run
  {
    std::uint64_t run = 0;
    TimePoint endsAt;
    bool lasts = false;
  };
  struct End
  {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    const char* how = "done";
    std::uint64_t lapses = 0;
  };

  boost::asio::awaitable<HttpResponse> Answer(HttpRequest aRequest);
  HttpResponse Start(const nlohmann::json& aBody);
  HttpResponse Stop(const nlohmann::json& aBody);
  boost::asio::awaitable<HttpResponse> Hold(nlohmann::json aBody);
  HttpResponse Reply(unsigned aStatus, nlohmann::json aBody) const;
  bool Fenced(const nlohmann::json& aBody);
  void ExtendLease(std::uint64_t aUntilMs);
  void Finish(const std::string& aTask, const char* aHow);
  void CheckCapacity();
  std::uint64_t ClockMs() const;

  boost::asio::io_context& context;
  std::string id;
  JobLedger& ledger;
  Random& random;
  HttpServer server;
  FaultProxy proxy;
  bool up = true;
  bool lateCommands = false;
  /** Number of crashes. A request that arrived before the latest crash is
   * abandoned. */
  int crashCount = 0;
  TimePoint startedAt;
  std::uint64_t bornUnixMs = 0;
  std::uint64_t fence = 0;
  std::uint64_t leaseUntilMs = 0;
  bool leased = false;
  std::uint64_t lapses = 0;
  std::map<std::string, Run> runs;
  std::map<std::string, std::uint64_t> highestRun;
  /** Processor capacities by the time since when they apply. */
  std::deque<std::pair<TimePoint, std::uint32_t>> capacities;
  std::function<void()> crashHandler;
  std::optional<TimePoint> crashAt;
  std::deque<End> ends;
  std::uint64_t nextEnd = 1;
};

} // namespace sequoiakeel::soak
