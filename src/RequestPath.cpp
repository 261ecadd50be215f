#include "RequestPath.h"

#include "Log.h"
#include "RetryBudget.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sequoiakeel {

namespace asio = boost::asio;
using asio::use_awaitable;

namespace {

/** Number of retries of a request that are not charged to the retry budget if
 * the preceding attempt is known not to have run the request. */
constexpr std::uint32_t kFreeRetries = 3;
constexpr std::uint32_t kMaxAttempts = 16;

OutcomeReason
ReasonOfClaim(ClaimState aState)
{
  switch (aState) {
    case ClaimState::InProgress:
      return OutcomeReason::InProgress;
    case ClaimState::Unknown:
      return OutcomeReason::EarlierAttemptUnresolved;
    case ClaimState::NotKept:
      return OutcomeReason::ResponseNotKept;
    case ClaimState::Reused:
      return OutcomeReason::IdempotencyKeyReused;
    case ClaimState::StoreUnavailable:
      return OutcomeReason::StoreUnavailable;
    case ClaimState::Claimed:
    case ClaimState::Replay:
      break;
  }
  return OutcomeReason::InternalError;
}

std::int64_t
Microseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aDuration)
    .count();
}

/** Owns the ticket of an attempt at a backend server. The destructor calls
 * ServiceRouter::Abandon for the ticket if the attempt ended without a result.
 */
class TicketGuard
{
public:
  TicketGuard(std::shared_ptr<ServiceRouter> aRouter, RouteTicket aTicket)
    : router(std::move(aRouter))
    , ticket(std::move(aTicket))
  {
  }
  TicketGuard(const TicketGuard&) = delete;
  TicketGuard& operator=(const TicketGuard&) = delete;
  ~TicketGuard()
  {
    if (!this->ended) {
      this->router->Abandon(this->ticket);
    }
  }

  const RouteTicket& Ticket() const { return this->ticket; }

  void Finish(AttemptEnd aEnd, bool aServerError)
  {
    this->ended = true;
    this->router->Finish(this->ticket, aEnd, aServerError);
  }

private:
  std::shared_ptr<ServiceRouter> router;
  RouteTicket ticket;
  bool ended = false;
};

} // namespace

/** State of a request in progress. */
struct RequestPath::RequestState
{
  CallerRequest request;
  HttpRequest message;
  std::shared_ptr<ServiceRouter> router;
  std::vector<ServerId> tried;
  RouteTicket ticket;
  std::uint32_t attempts = 0;
  /** An attempt without a response may have run. */
  bool unresolved = false;
  AttemptEnd lastEnd = AttemptEnd::NotSent;
  /** Why nothing was sent, if the last attempt ended with NotSent. */
  OutcomeReason notSentReason = OutcomeReason::ConnectFailed;
  Duration retryDelay{ 0 };
  HttpResponse answer;
};

/** Counts a request and its body as in progress until destruction. */
class RequestPath::InFlightGuard
{
public:
  InFlightGuard(const RequestPath& aPath, std::size_t aBytes)
    : totals(aPath.totals)
    , bytes(aBytes)
  {
    const std::size_t count = ++this->totals->requests;
    const std::size_t sum = this->totals->bodyBytes += this->bytes;
    this->withinBounds =
      count <= aPath.options.maxRequests && sum <= aPath.options.maxBodyBytes;
  }
  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;
  ~InFlightGuard()
  {
    this->totals->bodyBytes -= this->bytes;
    --this->totals->requests;
  }

  bool WithinBounds() const { return this->withinBounds; }

private:
  std::shared_ptr<InFlightTotals> totals;
  std::size_t bytes;
  bool withinBounds = false;
};

RequestPath::RequestPath(ServiceCatalog& aCatalog,
                         std::shared_ptr<ConnectionPool> aPool,
                         std::shared_ptr<IdempotencyRecords> aRecords,
                         Metrics& aMetrics,
                         const Clock& aClock,
                         OnLeaving aOnLeaving,
                         RequestPathOptions aOptions)
  : catalog(&aCatalog)
  , pool(std::move(aPool))
  , records(std::move(aRecords))
  , metrics(&aMetrics)
  , clock(&aClock)
  , onLeaving(std::move(aOnLeaving))
  , options(aOptions)
  , totals(std::make_shared<InFlightTotals>())
{
}

asio::awaitable<HttpResponse>
RequestPath::Handle(std::string aService, HttpRequest aMessage)
{
  const InFlightGuard guard(*this, aMessage.body.size());
  std::string id = NewRequestId();
  const std::shared_ptr<const CatalogService> service =
    this->catalog->Find(aService);
  auto admitted = this->Admit(aMessage, service.get(), id, guard);
  if (const auto* refusal = std::get_if<OutcomeReason>(&admitted)) {
    CallerRequest refused;
    refused.id = std::move(id);
    refused.service = service ? aService : "unknown";
    refused.arrived = this->clock->Now();
    co_return this->Respond(refused, *refusal);
  }
  RequestState state;
  state.request = std::get<CallerRequest>(std::move(admitted));
  state.message = std::move(aMessage);
  state.router = service->router;
  state.router->CountRequest();
  Answer answer = OutcomeReason::InternalError;
  try {
    answer = co_await this->Run(state);
  } catch (const std::exception& error) {
    Event("request_failed", LogLevel::Error)
      .Add("request_id", state.request.id)
      .Add("error", error.what());
  }
  co_return this->Respond(state.request, std::move(answer));
}

std::variant<CallerRequest, OutcomeReason>
RequestPath::Admit(const HttpRequest& aMessage,
                   const CatalogService* aService,
                   const std::string& aId,
                   const InFlightGuard& aGuard) const
{
  if (this->stopping) {
    return OutcomeReason::Stopping;
  }
  if (aMessage.method != "POST") {
    return OutcomeReason::BadRequest;
  }
  if (aService == nullptr) {
    return OutcomeReason::UnknownService;
  }
  auto request =
    ReadCallerRequest(aMessage, aService->settings, aId, this->clock->Now());
  if (std::holds_alternative<OutcomeReason>(request)) {
    return request;
  }
  const std::string& team = std::get<CallerRequest>(request).team;
  if (!team.empty() && !this->catalog->KnowsTeam(team)) {
    return OutcomeReason::UnknownTeam;
  }
  if (!aGuard.WithinBounds()) {
    return OutcomeReason::EntryOverloaded;
  }
  return request;
}

asio::awaitable<RequestPath::Answer>
RequestPath::Run(RequestState& aState)
{
  const CallerRequest& request = aState.request;
  if (!request.idempotent && !request.idempotencyKey.empty()) {
    Answer answer = co_await this->RunClaimed(aState);
    co_return answer;
  }
  Answer answer = co_await this->SendUntilAnswered(aState);
  co_return answer;
}

asio::awaitable<RequestPath::Answer>
RequestPath::RunClaimed(RequestState& aState)
{
  const CallerRequest& request = aState.request;
  ClaimRequest claiming;
  claiming.key = { request.team, request.service, request.idempotencyKey };
  claiming.requestId = request.id;
  claiming.fingerprint = FingerprintOf(aState.message.body);
  claiming.deadline = request.deadline;
  Claim claim = co_await this->records->Acquire(std::move(claiming));
  Event("claim")
    .Add("request_id", request.id)
    .Add("record", claim.recordKey)
    .Add("state", static_cast<int>(claim.state));
  if (claim.state == ClaimState::Replay) {
    co_return std::move(claim.response);
  }
  if (claim.state != ClaimState::Claimed) {
    co_return ReasonOfClaim(claim.state);
  }
  Answer answer = OutcomeReason::InternalError;
  try {
    answer = co_await this->SendUntilAnswered(aState);
  } catch (const std::exception& error) {
    Event("request_failed", LogLevel::Error)
      .Add("request_id", request.id)
      .Add("error", error.what());
  }
  this->RecordOutcome(claim, answer);
  co_return answer;
}

void
RequestPath::RecordOutcome(const Claim& aClaim, const Answer& aAnswer) const
{
  if (const auto* response = std::get_if<HttpResponse>(&aAnswer)) {
    this->records->Complete(aClaim, *response);
    return;
  }
  const OutcomeReason reason = std::get<OutcomeReason>(aAnswer);
  if (RuleOf(reason).outcome == Outcome::NotRun) {
    this->records->Withdraw(aClaim);
    return;
  }
  this->records->CompleteUnknown(aClaim);
}

asio::awaitable<RequestPath::Answer>
RequestPath::SendUntilAnswered(RequestState& aState)
{
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor);
  while (true) {
    RouteRequest route;
    route.requestId = aState.request.id;
    route.team = aState.request.team;
    route.deadline = aState.request.deadline;
    route.urgent = aState.request.urgent;
    route.tried = aState.tried;
    RouteResult result = co_await aState.router->Acquire(std::move(route));
    if (const auto* refusal = std::get_if<OutcomeReason>(&result)) {
      co_return AdjustForUnresolved(*refusal, aState.unresolved);
    }
    aState.ticket = std::get<RouteTicket>(std::move(result));
    const AttemptEnd end = co_await this->SendOnce(aState);
    if (end == AttemptEnd::Answered) {
      co_return ReturnedResponse(std::move(aState.answer), aState.request.id);
    }
    const bool earlier = aState.unresolved;
    this->RecordAttempt(aState, end);
    if (!MaySendAgain(end, aState.request.idempotent) ||
        !this->PrepareRetry(aState)) {
      co_return end == AttemptEnd::NotSent
        ? AdjustForUnresolved(aState.notSentReason, earlier)
        : FinalReason(end, earlier);
    }
    timer.expires_after(aState.retryDelay);
    co_await timer.async_wait(use_awaitable);
  }
}

asio::awaitable<AttemptEnd>
RequestPath::SendOnce(RequestState& aState)
{
  TicketGuard guard(aState.router, aState.ticket);
  ++aState.attempts;
  const TimePoint now = this->clock->Now();
  const Duration left = aState.request.deadline - now;
  if (left <= Duration::zero()) {
    aState.notSentReason = OutcomeReason::DeadlinePassed;
    co_return AttemptEnd::NotSent;
  }
  // Each attempt has its own id, so that a response to an earlier attempt is
  // never mistaken for the response to this one.
  const std::string attemptId =
    aState.request.id + "." + std::to_string(aState.attempts);
  HttpRequest forwarded =
    ForwardedRequest(aState.message, aState.request.service, attemptId, left);
  ExchangeOptions exchangeOptions;
  exchangeOptions.timeout = this->AttemptTimeout(aState, now);
  exchangeOptions.requireRecentResponse = !aState.request.idempotent;
  Endpoint endpoint = aState.ticket.endpoint;
  ExchangeResult exchange = co_await this->pool->Exchange(
    std::move(endpoint), std::move(forwarded), exchangeOptions);
  const AttemptEnd end = ClassifyAttempt(exchange, attemptId);
  Event("attempt")
    .Add("request_id", attemptId)
    .Add("worker", aState.ticket.worker)
    .Add("end", ToText(end))
    .Add("error", exchange.error)
    .Add("elapsed_us", Microseconds(this->clock->Now() - now));
  if (end == AttemptEnd::NotSent &&
      exchange.error == ConnectionPool::kLimitError) {
    aState.notSentReason = OutcomeReason::AllAtLimit;
    co_return end;
  }
  aState.notSentReason = OutcomeReason::ConnectFailed;
  guard.Finish(end, exchange.response.status >= 500);
  aState.answer = std::move(exchange.response);
  co_return end;
}

Duration
RequestPath::AttemptTimeout(const RequestState& aState, TimePoint aNow) const
{
  const Duration left = aState.request.deadline - aNow;
  if (!aState.request.idempotent) {
    return left;
  }
  const Duration typical = aState.router->TypicalLatency();
  const Duration longLatency = aState.router->P99Latency();
  if (longLatency == Duration::zero()) {
    return std::min(left, this->options.defaultAttemptTimeout);
  }
  // The time-out is derived from a high percentile of the latency, because a
  // multiple of the typical latency would abort and repeat large requests. If
  // too little time is left to try another server, AttemptTimeout returns
  // nothing, and the attempt may last until the deadline of the request.
  const std::optional<Duration> limit =
    sequoiakeel::AttemptTimeout(RetryOptions{}, typical, longLatency, left);
  if (!limit) {
    return left;
  }
  return std::min(left, std::max(this->options.minAttemptTimeout, *limit));
}

void
RequestPath::RecordAttempt(RequestState& aState, AttemptEnd aEnd) const
{
  aState.lastEnd = aEnd;
  aState.unresolved = aState.unresolved || MayHaveRun(aEnd);
  aState.tried.push_back(aState.ticket.server);
  if (aEnd == AttemptEnd::RefusedLeaving) {
    this->catalog->MarkLeaving(aState.ticket.worker);
    this->onLeaving(aState.ticket.worker);
  }
}

bool
RequestPath::PrepareRetry(RequestState& aState) const
{
  if (aState.attempts >= kMaxAttempts) {
    return false;
  }
  const bool knownNotRun = !MayHaveRun(aState.lastEnd);
  if (knownNotRun && aState.attempts <= kFreeRetries) {
    aState.retryDelay = aState.router->Backoff(aState.attempts);
  } else {
    const std::optional<Duration> pause =
      aState.router->TakeRetry(aState.attempts);
    if (!pause) {
      return false;
    }
    aState.retryDelay = *pause;
  }
  return this->clock->Now() + aState.retryDelay < aState.request.deadline;
}

HttpResponse
RequestPath::Respond(const CallerRequest& aRequest, Answer aAnswer) const
{
  const Duration elapsed = this->clock->Now() - aRequest.arrived;
  Event event("request");
  event.Add("request_id", aRequest.id).Add("service", aRequest.service);
  event.Add("elapsed_us", Microseconds(elapsed));
  if (const auto* reason = std::get_if<OutcomeReason>(&aAnswer)) {
    const ReasonRule& rule = RuleOf(*reason);
    event.Add("outcome", ToText(rule.outcome)).Add("reason", rule.text);
    this->metrics->CountReason(*reason);
    this->metrics->CountRequest(aRequest.service, rule.outcome, elapsed);
    return ReasonResponse(*reason, aRequest.id);
  }
  auto& response = std::get<HttpResponse>(aAnswer);
  event.Add("outcome", ToText(Outcome::Done));
  event.Add("status", response.status);
  this->metrics->CountRequest(aRequest.service, Outcome::Done, elapsed);
  return std::move(response);
}

} // namespace sequoiakeel
