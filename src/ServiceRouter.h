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

/** A request for which a backend server is to be chosen. */
struct RouteRequest
{
  std::string requestId;
  std::string team;
  TimePoint deadline;
  bool urgent = false;
  /** Servers at which earlier attempts were refused or failed. */
  std::vector<ServerId> tried;
};

/** A backend server that was chosen for a request. Must be passed to
 * ServiceRouter::Finish or ServiceRouter::Abandon. */
struct RouteTicket
{
  ServerId server = 0;
  std::string worker;
  Endpoint endpoint;
  TimePoint chosen;
  /** Written to the log line of the decision, with the members below. */
  RoutingReason reason = RoutingReason::Drawn;
  double score = 0;
  /** Best candidate that was not chosen; empty if there was none. */
  std::string other;
  double otherScore = 0;
};

/** A ticket, or the reason why no server was chosen. */
using RouteResult = std::variant<RouteTicket, OutcomeReason>;

/**
 * Queue, server selection, server health and retry budget of one service at one
 * entry. Each router has its own lock, which is held only while the state is
 * read or changed, not while a request is sent. Thread safe. Create with
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

  /** Replaces the workers that serve the service. */
  void SetServers(std::span<const HostRecord> aHosts);

  /** Chooses a server; waits in the queue while all servers are in use. A
   * returned ticket must be passed to Finish or Abandon. */
  boost::asio::awaitable<RouteResult> Acquire(RouteRequest aRequest);

  /** Records how the attempt ended and dispatches queued requests.
   * aServerError: the response was a server error. */
  void Finish(const RouteTicket& aTicket, AttemptEnd aEnd, bool aServerError);

  /** Ends an attempt whose result does not indicate whether the server is
   * healthy, and dispatches queued requests. */
  void Abandon(const RouteTicket& aTicket);

  /** Adds the share of a new request to the retry budget. */
  void CountRequest();

  /** Takes a retry from the budget and returns the time to wait before retry
   * aAttempt (counted from 1), or std::nullopt if the budget is exhausted. */
  std::optional<Duration> TakeRetry(std::uint32_t aAttempt);

  /** Returns the time to wait before retry aAttempt (counted from 1) after an
   * explicit refusal, which is not charged to the retry budget. */
  Duration Backoff(std::uint32_t aAttempt);

  /** Returns the typical latency of the service; zero if unknown. */
  Duration TypicalLatency() const;

  /** Returns the 99th percentile of the latency of the service; zero if
   * unknown. */
  Duration P99Latency() const;

  /** Updates the health of the servers and which of them are leaving, and drops
   * queued requests whose deadline has passed. Must be called about every
   * 100 ms. */
  void Tick(const IsLeaving& aIsLeaving);

  /** Marks one worker as leaving, without waiting for the next Tick. */
  void MarkLeaving(std::string_view aWorker);

  /** Returns the number of queued requests. */
  std::size_t QueueDepth() const;

  /** Returns the number of requests at servers. */
  std::size_t InFlight() const;

private:
  struct Waiter;

  std::variant<RouteTicket, RoutingReason> Choose(const Waiter& aWaiter,
                                                  TimePoint aNow);
  void DispatchQueued(TimePoint aNow);
  void Deliver(std::uint64_t aId, RouteResult aResult);
  void DeliverDropped();
  std::vector<std::string> WorkerNames() const;
  std::optional<RouteResult> ChooseOrEnqueue(
    const std::shared_ptr<Waiter>& aWaiter);
  RouteResult TakeResult(const std::shared_ptr<Waiter>& aWaiter);

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
