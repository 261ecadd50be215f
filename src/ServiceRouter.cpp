#include "ServiceRouter.h"

#include "Log.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sequoiakeel {

namespace asio = boost::asio;
using asio::use_awaitable;
using boost::system::error_code;

namespace {

/** Maximum number of unused retries that the retry budget of a service
 * accumulates, so that it covers requests that arrive in bursts. */
constexpr std::uint32_t kRetryBurst = 20;

RetryOptions
RetryOptionsOf(const ServiceRouterOptions& aOptions)
{
  RetryOptions retry;
  retry.percent = aOptions.retryPercent;
  retry.burst = kRetryBurst;
  return retry;
}

/** Returns whether a request for which no server was chosen should wait in the
 * queue. It should if a server may become available again, but not if the
 * service has no server to choose from. */
bool
ShouldQueue(RoutingReason aReason)
{
  return aReason == RoutingReason::AllAtLimit ||
         aReason == RoutingReason::AllUnhealthy;
}

void
LogDecision(std::string_view aService,
            const RouteRequest& aRequest,
            const RouteResult& aResult,
            Duration aWaited)
{
  Event event("route");
  event.Add("service", aService).Add("request_id", aRequest.requestId);
  if (const auto* refusal = std::get_if<OutcomeReason>(&aResult)) {
    event.Add("reason", RuleOf(*refusal).text);
  } else {
    const auto& ticket = std::get<RouteTicket>(aResult);
    event.Add("worker", ticket.worker).Add("score", ticket.score);
    event.Add("reason", ToText(ticket.reason));
    if (!ticket.other.empty()) {
      event.Add("other", ticket.other).Add("other_score", ticket.otherScore);
    }
  }
  event.Add("tried", static_cast<std::uint64_t>(aRequest.tried.size()));
  event.Add(
    "waited_us",
    std::chrono::duration_cast<std::chrono::microseconds>(aWaited).count());
}

void
LogHealth(std::string_view aService,
          std::string_view aWorker,
          const HealthChange& aChange)
{
  Event event("server_health", LogLevel::Warning);
  event.Add("service", aService).Add("worker", aWorker);
  event.Add("state", static_cast<int>(aChange.state));
  event.Add("reason", ToText(aChange.reason));
}

} // namespace

bool
ServiceRouterOptions::SameAs(const ServiceRouterOptions& aOther) const
{
  return this->service == aOther.service &&
         this->table.slots == aOther.table.slots &&
         this->table.connectionsPerWorker ==
           aOther.table.connectionsPerWorker &&
         this->table.entriesMax == aOther.table.entriesMax &&
         this->table.policy == aOther.table.policy &&
         this->queueLimit == aOther.queueLimit &&
         this->retryPercent == aOther.retryPercent &&
         this->teamWeights == aOther.teamWeights;
}

struct ServiceRouter::Waiter
{
  Waiter(RouteRequest aRequest, const asio::any_io_executor& aExecutor)
    : request(std::move(aRequest))
    , executor(aExecutor)
    , timer(aExecutor)
  {
  }

  RouteRequest request;
  std::uint64_t id = 0;
  TimePoint arrived;
  asio::any_io_executor executor;
  /** Used on the executor only. */
  asio::steady_timer timer;
  /** Guarded by the router's lock. */
  std::optional<RouteResult> result;
};

ServiceRouter::ServiceRouter(ServiceRouterOptions aOptions, const Clock& aClock)
  : options(std::move(aOptions))
  , clock(&aClock)
  , table(this->options.table)
  , queue(MakeRequestQueue("current", this->options.queueLimit))
  , budget(RetryOptionsOf(this->options))
  , random(this->options.seed)
{
  for (const auto& [team, weight] : this->options.teamWeights) {
    this->queue->SetWeight(team, weight);
  }
}

void
ServiceRouter::SetServers(std::span<const HostRecord> aHosts)
{
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> removed;
  for (const ServerView& view : this->table.Views()) {
    const bool listed =
      std::any_of(aHosts.begin(), aHosts.end(), [&](const HostRecord& aHost) {
        return aHost.host == view.name;
      });
    if (!listed) {
      removed.emplace_back(view.name);
    }
  }
  for (const std::string& name : removed) {
    this->table.Remove(name);
  }
  for (const HostRecord& host : aHosts) {
    const ServerId id = this->table.Add(host.host, host.zone);
    if (this->endpoints.size() <= id) {
      this->endpoints.resize(id + 1);
    }
    this->endpoints[id] = Endpoint{ host.address, host.requestPort };
  }
  this->DispatchQueued(this->clock->Now());
}

std::variant<RouteTicket, RoutingReason>
ServiceRouter::Choose(const Waiter& aWaiter, TimePoint aNow)
{
  RequestView view;
  view.deadline = aWaiter.request.deadline;
  view.urgent = aWaiter.request.urgent;
  view.tried = aWaiter.request.tried;
  const RoutingDecision decision = this->table.Choose(view, aNow, this->random);
  if (!decision.index) {
    return decision.reason;
  }
  const std::span<const ServerView> views = this->table.Views();
  RouteTicket ticket;
  ticket.server = views[*decision.index].id;
  ticket.worker = views[*decision.index].name;
  ticket.endpoint = this->endpoints[ticket.server];
  ticket.chosen = aNow;
  ticket.reason = decision.reason;
  ticket.score = decision.score;
  if (decision.alternativesCount > 0) {
    const RoutingCandidate& other = decision.alternatives.front();
    ticket.other = views[other.index].name;
    ticket.otherScore = other.score;
  }
  this->table.OnStart(ticket.server, aNow);
  ++this->inFlight;
  return ticket;
}

void
ServiceRouter::Deliver(std::uint64_t aId, RouteResult aResult)
{
  const auto found = this->waiters.find(aId);
  if (found == this->waiters.end()) {
    return;
  }
  const std::shared_ptr<Waiter> waiter = std::move(found->second);
  this->waiters.erase(found);
  waiter->result = std::move(aResult);
  asio::post(waiter->executor, [waiter] {
    // An expiry in the past also ends a wait that has not begun yet.
    waiter->timer.expires_at(TimePoint::min());
  });
}

void
ServiceRouter::DeliverDropped()
{
  for (const DroppedRequest& dropped : this->queue->TakeDropped()) {
    this->Deliver(dropped.id, ReasonOf(dropped.reason));
  }
}

void
ServiceRouter::DispatchQueued(TimePoint aNow)
{
  const QueuedRequest* front = this->queue->Front(aNow);
  while (front != nullptr) {
    const std::uint64_t id = front->id;
    const auto waiter = this->waiters.find(id);
    if (waiter == this->waiters.end()) {
      this->queue->Remove(id);
      front = this->queue->Front(aNow);
      continue;
    }
    auto choice = this->Choose(*waiter->second, aNow);
    if (std::holds_alternative<RoutingReason>(choice)) {
      break;
    }
    this->queue->Pop(aNow);
    this->Deliver(id, std::move(std::get<RouteTicket>(choice)));
    front = this->queue->Front(aNow);
  }
  this->DeliverDropped();
}

std::optional<RouteResult>
ServiceRouter::ChooseOrEnqueue(const std::shared_ptr<Waiter>& aWaiter)
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock->Now();
  aWaiter->arrived = now;
  if (this->queue->Size() == 0) {
    auto choice = this->Choose(*aWaiter, now);
    if (auto* ticket = std::get_if<RouteTicket>(&choice)) {
      return RouteResult(std::move(*ticket));
    }
    const RoutingReason reason = std::get<RoutingReason>(choice);
    if (!ShouldQueue(reason)) {
      return RouteResult(ReasonOf(reason));
    }
  }
  QueuedRequest queued;
  queued.id = this->nextId++;
  queued.team = aWaiter->request.team;
  queued.deadline = aWaiter->request.deadline;
  queued.urgent = aWaiter->request.urgent;
  queued.expectedLatency = this->table.ExpectedLatency();
  aWaiter->id = queued.id;
  const std::optional<QueueRefusal> refusal =
    this->queue->Push(std::move(queued), now);
  if (refusal) {
    this->DeliverDropped();
    return RouteResult(ReasonOf(*refusal));
  }
  this->waiters.emplace(aWaiter->id, aWaiter);
  this->DispatchQueued(now);
  return std::nullopt;
}

RouteResult
ServiceRouter::TakeResult(const std::shared_ptr<Waiter>& aWaiter)
{
  const std::lock_guard lock(this->mutex);
  if (aWaiter->result) {
    return std::move(*aWaiter->result);
  }
  this->waiters.erase(aWaiter->id);
  this->queue->Remove(aWaiter->id);
  return OutcomeReason::DeadlinePassed;
}

asio::awaitable<RouteResult>
ServiceRouter::Acquire(RouteRequest aRequest)
{
  const std::shared_ptr<ServiceRouter> self = this->shared_from_this();
  const TimePoint deadline = aRequest.deadline;
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  const auto waiter = std::make_shared<Waiter>(std::move(aRequest), executor);
  // Set the expiry of the timer before ChooseOrEnqueue makes the waiter
  // accessible to other threads: these deliver a result by changing the expiry,
  // which must not be overwritten here.
  waiter->timer.expires_at(deadline);
  std::optional<RouteResult> result = this->ChooseOrEnqueue(waiter);
  if (!result) {
    error_code ignored;
    co_await waiter->timer.async_wait(
      asio::redirect_error(use_awaitable, ignored));
    result = this->TakeResult(waiter);
  }
  LogDecision(this->options.service,
              waiter->request,
              *result,
              this->clock->Now() - waiter->arrived);
  co_return std::move(*result);
}

void
ServiceRouter::Finish(const RouteTicket& aTicket,
                      AttemptEnd aEnd,
                      bool aServerError)
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock->Now();
  const Duration elapsed = now - aTicket.chosen;
  --this->inFlight;
  switch (aEnd) {
    case AttemptEnd::Answered:
      if (aServerError) {
        this->table.OnFailure(aTicket.server, now);
      } else {
        this->table.OnResponse(aTicket.server, elapsed, now);
      }
      break;
    case AttemptEnd::RefusedLeaving:
      this->table.SetLeaving(aTicket.server, true);
      this->table.OnRefusal(aTicket.server, now);
      break;
    case AttemptEnd::RefusedBusy:
      this->table.OnRefusal(aTicket.server, now);
      break;
    case AttemptEnd::TimedOut:
      this->table.OnTimeout(aTicket.server, elapsed, now);
      break;
    case AttemptEnd::NotSent:
    case AttemptEnd::Lost:
    case AttemptEnd::Mismatched:
      this->table.OnFailure(aTicket.server, now);
      break;
  }
  this->DispatchQueued(now);
}

void
ServiceRouter::Abandon(const RouteTicket& aTicket)
{
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock->Now();
  --this->inFlight;
  this->table.OnAbandoned(aTicket.server, now);
  this->DispatchQueued(now);
}

void
ServiceRouter::CountRequest()
{
  const std::lock_guard lock(this->mutex);
  this->budget.OnRequest();
}

std::optional<Duration>
ServiceRouter::TakeRetry(std::uint32_t aAttempt)
{
  const std::lock_guard lock(this->mutex);
  if (!this->budget.TryTake()) {
    return std::nullopt;
  }
  return this->budget.Backoff(aAttempt, this->random);
}

Duration
ServiceRouter::Backoff(std::uint32_t aAttempt)
{
  const std::lock_guard lock(this->mutex);
  return this->budget.Backoff(aAttempt, this->random);
}

Duration
ServiceRouter::TypicalLatency() const
{
  const std::lock_guard lock(this->mutex);
  return this->table.TypicalLatency();
}

Duration
ServiceRouter::P99Latency() const
{
  const std::lock_guard lock(this->mutex);
  return this->table.P99Latency();
}

std::vector<std::string>
ServiceRouter::WorkerNames() const
{
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> names;
  for (const ServerView& view : this->table.Views()) {
    names.emplace_back(view.name);
  }
  return names;
}

void
ServiceRouter::Tick(const IsLeaving& aIsLeaving)
{
  std::map<std::string, bool> leaving;
  for (std::string& name : this->WorkerNames()) {
    const bool isLeaving = aIsLeaving(name);
    leaving.emplace(std::move(name), isLeaving);
  }
  std::vector<std::pair<HealthChange, std::string>> changes;
  {
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->clock->Now();
    for (const auto& [name, isLeaving] : leaving) {
      const std::optional<ServerId> server = this->table.Find(name);
      if (server) {
        this->table.SetLeaving(*server, isLeaving);
      }
    }
    this->table.Tick(now, this->random);
    for (const HealthChange& change : this->table.TakeHealthChanges()) {
      changes.emplace_back(change, this->table.Name(change.server));
    }
    this->queue->Expire(now);
    this->DispatchQueued(now);
  }
  for (const auto& [change, worker] : changes) {
    LogHealth(this->options.service, worker, change);
  }
}

void
ServiceRouter::MarkLeaving(std::string_view aWorker)
{
  const std::lock_guard lock(this->mutex);
  const std::optional<ServerId> server = this->table.Find(aWorker);
  if (server) {
    this->table.SetLeaving(*server, true);
  }
}

std::size_t
ServiceRouter::QueueDepth() const
{
  const std::lock_guard lock(this->mutex);
  return this->queue->Size();
}

std::size_t
ServiceRouter::InFlight() const
{
  const std::lock_guard lock(this->mutex);
  return this->inFlight;
}

} // namespace sequoiakeel
