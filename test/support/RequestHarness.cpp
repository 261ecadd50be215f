#include "support/RequestHarness.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

namespace sequoiakeel {

namespace asio = boost::asio;
using asio::use_awaitable;

TestThreads::TestThreads(int aCount)
  : guard(asio::make_work_guard(this->context))
{
  for (int index = 0; index < aCount; ++index) {
    this->threads.emplace_back([this] { this->context.run(); });
  }
}

TestThreads::~TestThreads()
{
  this->Stop();
}

void
TestThreads::Stop()
{
  this->context.stop();
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  this->threads.clear();
}

TestEntryOptions::TestEntryOptions()
{
  this->service.name = "quote";
  this->service.deadlineMs = 5000;
  this->isAlive = [](std::string_view, std::uint64_t) { return true; };
}

TestEntry::TestEntry(asio::io_context& aContext,
                     KeyValueStore& aStore,
                     TestEntryOptions aOptions)
  : context(aContext)
  , catalog(aOptions.name, "zone-1", this->kClock, 7)
{
  Configuration configuration;
  configuration.services.push_back(aOptions.service);
  Team team;
  team.name = "planning";
  configuration.teams.push_back(team);
  configuration.limits = aOptions.limits;
  this->catalog.Activate(configuration);
  this->pool = std::make_shared<ConnectionPool>(
    aContext.get_executor(), this->kClock, aOptions.pool);
  this->pool->SetLimit(this->catalog.ConnectionLimit());
  this->records = std::make_shared<IdempotencyRecords>(aContext.get_executor(),
                                                       aStore,
                                                       this->kClock,
                                                       aOptions.name,
                                                       aOptions.incarnation,
                                                       aOptions.isAlive);
  this->path = std::make_unique<RequestPath>(
    this->catalog,
    this->pool,
    this->records,
    this->metrics,
    this->kClock,
    [this](std::string_view aWorker) {
      const std::lock_guard lock(this->mutex);
      this->leaving.emplace_back(aWorker);
    },
    aOptions.path);
  this->SetPorts(aOptions.ports);
  this->periodicWork =
    asio::co_spawn(aContext, this->RunPeriodicWork(), asio::use_future);
}

TestEntry::~TestEntry()
{
  constexpr std::chrono::milliseconds kPoll{ 5 };
  this->stopping = true;
  // Do not wait if the io_context is stopped: the coroutine RunPeriodicWork
  // then never ends, but does not access this object any more either.
  while (!this->context.stopped() &&
         this->periodicWork.wait_for(kPoll) != std::future_status::ready) {
  }
}

void
TestEntry::SetPorts(const std::vector<std::uint16_t>& aPorts)
{
  HostListing listing;
  listing.revision = ++this->hostRevision;
  for (const std::uint16_t port : aPorts) {
    HostRecord& host = listing.hosts.emplace_back();
    host.host = "worker-" + std::to_string(listing.hosts.size());
    host.address = "127.0.0.1";
    host.requestPort = port;
    host.zone = "zone-1";
  }
  this->catalog.SetHosts(listing);
}

asio::awaitable<void>
TestEntry::RunPeriodicWork()
{
  constexpr std::chrono::milliseconds kInterval{ 20 };
  asio::steady_timer timer(this->context);
  while (!this->stopping) {
    timer.expires_after(kInterval);
    co_await timer.async_wait(use_awaitable);
    this->catalog.Tick([](std::string_view) { return false; });
    this->pool->Maintain();
  }
}

std::future<HttpResponse>
TestEntry::Send(const std::string& aBody, HttpHeaders aHeaders)
{
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/services/quote";
  request.headers = std::move(aHeaders);
  request.body = aBody;
  return asio::co_spawn(asio::make_strand(this->context),
                        this->path->Handle("quote", std::move(request)),
                        asio::use_future);
}

HttpResponse
TestEntry::Call(const std::string& aBody, HttpHeaders aHeaders)
{
  return this->Send(aBody, std::move(aHeaders)).get();
}

std::vector<std::string>
TestEntry::ReportedLeaving()
{
  const std::lock_guard lock(this->mutex);
  return this->leaving;
}

HttpHeaders
MakeHeaders(std::initializer_list<HttpHeader> aFields)
{
  HttpHeaders headers;
  for (const HttpHeader& field : aFields) {
    headers.Add(field.name, field.value);
  }
  return headers;
}

HttpHeaders
AtMostOnceHeaders(const std::string& aKey)
{
  return MakeHeaders(
    { { "Sequoiakeel-Idempotent", "false" }, { "Idempotency-Key", aKey } });
}

std::string
OutcomeOf(const HttpResponse& aResponse)
{
  std::string text(aResponse.headers.Get("Sequoiakeel-Outcome"));
  const std::string_view reason = aResponse.headers.Get("Sequoiakeel-Reason");
  if (!reason.empty()) {
    text += " " + std::string(reason);
  }
  return text;
}

} // namespace sequoiakeel
