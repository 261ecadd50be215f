#pragma once

#include "Clock.h"
#include "Random.h"
#include "RequestOutcome.h"
#include "RequestQueue.h"
#include "RetryBudget.h"
#include "ServerTable.h"
#include "generated/Platform.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace sequoiakeel {

/** Parameters of the routing of one service. */
struct ServiceRouterOptions
{
  std::string service;
  ServerTableOptions table;
  std::size_t queueLimit = 512;
  std::uint32_t retryPercent = 10;
  /** Weights of the teams in the queue. */
  std::map<std::string, std::uint32_t> teamWeights;
  std::uint64_t seed = 1;

  bool SameAs(const ServiceRouterOptions& aOther) const;
};

/** A request that asks for a backend server. */
struct RouteRequest
{
  std::string requestId;
  std::string team;
  TimePoint deadline;
  bool urgent = false;
  /** Servers that already refused or failed the request. */
  std::vector<ServerId> tried;
};

/** A backend server that was chosen for a request. Ends with
 * ServiceRouter::Finish. */
struct RouteTicket
{
  ServerId server = 0;
  std::string worker;
  Endpoint endpoint;
  TimePoint chosen;
  /** For the log line of the decision. */
  RoutingReason reason = RoutingReason::Drawn;
  double score = 0;
  /** Best candidate that was not chosen; empty: none. */
  std::string other;
  double otherScore = 0;
};

/** A ticket, or why there is none. */
using RouteResult = std::variant<RouteTicket, OutcomeReason>;

/**
 * Queue, server choice, health and retry budget of one service at one entry:
 * one shard with one lock, held for a decision only. Thread safe. Create with
 * std::make_shared.
 */
class ServiceRouter : public std::enable_shared_from_this<ServiceRouter>
{
public:
  using IsLeaving = std::function<bool(std::string_view)>;

  /** aClock must outlive the router. */
  ServiceRouter(ServiceRouterOptions aOptions, const Clock& aClock);
  ServiceRouter(const ServiceRouter&) = delete;
  ServiceRouter& operator=(const ServiceRouter&) = delete;

  const ServiceRouterOptions& Options() const { return this->options; }

  /** Takes over the workers that serve the service. */
  void SetServers(std::span<const HostRecord> aHosts);

  /** Chooses a server, waiting in the queue if all are in use. A ticket is
   * followed by Finish. */
  boost::asio::awaitable<RouteResult> Acquire(RouteRequest aRequest);

  /** Reports how the attempt ended, and lets waiting requests go on.
   * aServerError: the answer was a server error. */
  void Finish(const RouteTicket& aTicket, AttemptEnd aEnd, bool aServerError);

  /** The attempt ended for a reason that says nothing about the server. */
  void Abandon(const RouteTicket& aTicket);

  /** A new request arrived: adds its share to the retry budget. */
  void CountRequest();

  /** Takes a retry from the budget and returns the time to wait before retry
   * aAttempt (from 1); empty if the budget is used up. */
  std::optional<Duration> TakeRetry(std::uint32_t aAttempt);

  /** Returns the time to wait before trying another server after an explicit
   * refusal, which takes nothing from the budget. */
  Duration Backoff(std::uint32_t aAttempt);

  /** Returns the usual latency of the service; zero if unknown. */
  Duration TypicalLatency() const;

  /** Returns a long latency of the service (the 99th percentile); zero if
   * unknown. */
  Duration LongLatency() const;

  /** Updates health and leaving hosts and drops requests whose deadline passed.
   * Call about every 100 ms. */
  void Tick(const IsLeaving& aIsLeaving);

  /** Marks one worker as leaving at once. */
  void MarkLeaving(std::string_view aWorker);

  /** Returns the requests that wait. */
  std::size_t QueueDepth() const;

  /** Returns the requests that are at servers. */
  std::size_t InFlight() const;

private:
  struct Waiter;

  std::variant<RouteTicket, RoutingReason> Choose(const Waiter& aWaiter,
                                                  TimePoint aNow);
  void Pump(TimePoint aNow);
  void Deliver(std::uint64_t aId, RouteResult aResult);
  void DeliverDropped();
  std::vector<std::string> WorkerNames() const;
  std::optional<RouteResult> Enter(const std::shared_ptr<Waiter>& aWaiter);
  RouteResult Leave(const std::shared_ptr<Waiter>& aWaiter);

  ServiceRouterOptions options;
  const Clock* clock;
  mutable std::mutex mutex;
  ServerTable table;
  std::unique_ptr<RequestQueue> queue;
  RetryBudget budget;
  Random random;
  std::uint64_t nextId = 1;
  std::size_t inFlight = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
  std::vector<Endpoint> endpoints;
};

} // namespace sequoiakeel
