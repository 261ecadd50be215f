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

/** Properties in which the workers of a platform differ. */
struct WorkerTraits
{
  std::string zone = "z1";
  /** Rate of the clock; the platform documentation allows it to be 2% slow. */
  double clockRate = 0.98;
  /** A command that waits while the worker crashes, or that arrives while it is
   * down, is carried out by the next incarnation, whose clock begins anew at
   * any reading. Late commands are executed up to 12 s after they were sent. */
  bool keepsCommands = false;
};

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
             Random& aRandom,
             WorkerTraits aTraits = {});

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

  /** Cuts the worker off: data to and from it is held up. Cuts may overlap.
   * Precondition: WorkerTraits::keepsCommands. */
  void Cut();

  /** Ends one cut. */
  void EndCut();

  /** Returns whether the worker can write its registry entry. */
  bool Reachable() const { return this->up && this->cuts == 0; }

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
  /** Returns whether a command may have been held up before it arrived. */
  bool DeliversHeld(TimePoint aArrival) const;
  boost::asio::awaitable<void> DelayCommand();
  HttpResponse Execute(const std::string& aTarget, const nlohmann::json& aBody);
  HttpResponse Start(const nlohmann::json& aBody);
  HttpResponse Stop(const nlohmann::json& aBody);
  boost::asio::awaitable<HttpResponse> Hold(nlohmann::json aBody);
  HttpResponse Reply(unsigned aStatus, nlohmann::json aBody) const;
  HttpResponse FenceReply() const;
  bool Fenced(const nlohmann::json& aBody);
  void ExtendLease(std::uint64_t aUntilMs);
  void Finish(const std::string& aTask, const char* aHow);
  void CheckCapacity();
  void HoldPath();
  std::uint64_t ClockMs() const;

  boost::asio::io_context& context;
  std::string id;
  JobLedger& ledger;
  Random& random;
  WorkerTraits traits;
  HttpServer server;
  FaultProxy proxy;
  bool up = true;
  bool lateCommands = false;
  int cuts = 0;
  /** Time at which held data was last delivered. */
  TimePoint deliveredAt;
  /** Number of crashes. A request that arrived before the latest crash is
   * abandoned, unless WorkerTraits::keepsCommands is set. */
  int crashCount = 0;
  TimePoint startedAt;
  std::uint64_t firstReadingMs = 1;
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
