#pragma once

#include "FaultProxy.h"
#include "HttpServer.h"
#include "Ledger.h"
#include "Random.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace sequoiakeel::soak {

/** A worker as the users' platform describes it: fencing tokens, leases by its
 * own slow clock, run numbers, and ends that it lists until they are
 * acknowledged. All calls run on the io_context, which has one thread. */
class SoakWorker
{
public:
  SoakWorker(boost::asio::io_context& aContext,
             std::string aId,
             JobLedger& aLedger,
             Random& aRandom);

  /** Returns the value of the worker's entry in the registry. */
  std::string RegistryEntry() const;

  const std::string& Id() const { return this->id; }
  FaultProxy& Proxy() { return this->proxy; }

  /** Loses everything and answers nothing. */
  void Crash();

  /** Comes back under the same id, with nothing of before. */
  void Restart();

  /** While set, orders get no answer and are carried out seconds later. */
  void SetLateOrders(bool aLate) { this->lateOrders = aLate; }

  bool Up() const { return this->up; }

  /** Ends runs whose time has come and those without a lease. */
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
  void CheckRoom();
  std::uint64_t ClockMs() const;

  boost::asio::io_context& context;
  std::string id;
  JobLedger& ledger;
  Random& random;
  HttpServer server;
  FaultProxy proxy;
  bool up = true;
  bool lateOrders = false;
  /** Number of the life; a call that was made to an earlier one is void. */
  int life = 0;
  TimePoint bornAt;
  std::uint64_t bornUnixMs = 0;
  std::uint64_t fence = 0;
  std::uint64_t leaseUntilMs = 0;
  bool leased = false;
  std::uint64_t lapses = 0;
  std::map<std::string, Run> runs;
  std::map<std::string, std::uint64_t> highestRun;
  std::deque<End> ends;
  std::uint64_t nextEnd = 1;
};

} // namespace sequoiakeel::soak
