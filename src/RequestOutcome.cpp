#include "RequestOutcome.h"

#include "Error.h"

#include <array>
#include <cstddef>

namespace sequoiakeel {

namespace {

using Reason = OutcomeReason;

/** Indexed by OutcomeReason. */
constexpr std::array kRules{
  ReasonRule{ Reason::BadRequest, "bad-request", Outcome::NotRun, 400 },
  ReasonRule{ Reason::UnknownPath, "unknown-path", Outcome::NotRun, 404 },
  ReasonRule{ Reason::UnknownService, "unknown-service", Outcome::NotRun, 404 },
  ReasonRule{ Reason::UnknownTeam, "unknown-team", Outcome::NotRun, 400 },
  ReasonRule{ Reason::BadDeadline, "bad-deadline", Outcome::NotRun, 400 },
  ReasonRule{ Reason::BadFlag, "bad-flag", Outcome::NotRun, 400 },
  ReasonRule{ Reason::BadIdempotencyKey,
              "bad-idempotency-key",
              Outcome::NotRun,
              400 },
  ReasonRule{ Reason::IdempotencyKeyReused,
              "idempotency-key-reused",
              Outcome::NotRun,
              422 },
  ReasonRule{ Reason::Starting, "starting", Outcome::NotRun, 503 },
  ReasonRule{ Reason::Stopping, "stopping", Outcome::NotRun, 503 },
  ReasonRule{ Reason::EntryOverloaded,
              "entry-overloaded",
              Outcome::NotRun,
              503 },
  ReasonRule{ Reason::StoreUnavailable,
              "store-unavailable",
              Outcome::NotRun,
              503 },
  ReasonRule{ Reason::QueueFull, "queue-full", Outcome::NotRun, 503 },
  ReasonRule{ Reason::TeamShareFull, "team-share-full", Outcome::NotRun, 429 },
  ReasonRule{ Reason::DeadlineUnreachable,
              "deadline-unreachable",
              Outcome::NotRun,
              503 },
  ReasonRule{ Reason::DeadlinePassed, "deadline-passed", Outcome::NotRun, 503 },
  ReasonRule{ Reason::NoServers, "no-servers", Outcome::NotRun, 503 },
  ReasonRule{ Reason::AllLeaving, "all-leaving", Outcome::NotRun, 503 },
  ReasonRule{ Reason::AllAtLimit, "all-at-limit", Outcome::NotRun, 503 },
  ReasonRule{ Reason::ServersBusy, "servers-busy", Outcome::NotRun, 503 },
  ReasonRule{ Reason::ServersLeaving, "servers-leaving", Outcome::NotRun, 503 },
  ReasonRule{ Reason::ConnectFailed, "connect-failed", Outcome::NotRun, 503 },
  ReasonRule{ Reason::ServerTimeout, "server-timeout", Outcome::Unknown, 504 },
  ReasonRule{ Reason::ConnectionLost,
              "connection-lost",
              Outcome::Unknown,
              502 },
  ReasonRule{ Reason::ResponseMismatched,
              "response-mismatched",
              Outcome::Unknown,
              502 },
  ReasonRule{ Reason::InProgress, "in-progress", Outcome::Unknown, 409 },
  ReasonRule{ Reason::EarlierAttemptUnresolved,
              "earlier-attempt-unresolved",
              Outcome::Unknown,
              504 },
  ReasonRule{ Reason::ResponseNotKept,
              "response-not-kept",
              Outcome::Unknown,
              502 },
  ReasonRule{ Reason::InternalError, "internal-error", Outcome::Unknown, 500 },
};

/** Returns whether the response has an explicit length. A response without one
 * ends when the connection closes. */
bool
HasExplicitLength(const HttpResponse& aResponse)
{
  return aResponse.status == 204 || aResponse.status == 304 ||
         aResponse.headers.Has("Content-Length") ||
         aResponse.headers.Has("Transfer-Encoding");
}

} // namespace

std::string_view
ToText(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Done:
      return "done";
    case Outcome::NotRun:
      return "not-run";
    case Outcome::Unknown:
      return "unknown";
  }
  return "invalid";
}

std::span<const ReasonRule>
AllReasonRules()
{
  return kRules;
}

const ReasonRule&
RuleOf(OutcomeReason aReason)
{
  const ReasonRule& rule = kRules.at(static_cast<std::size_t>(aReason));
  InternalAssert(rule.reason == aReason,
                 "the reason rules are not in the order of OutcomeReason");
  return rule;
}

OutcomeReason
ReasonOf(QueueRefusal aRefusal)
{
  switch (aRefusal) {
    case QueueRefusal::QueueFull:
      return Reason::QueueFull;
    case QueueRefusal::TeamShareFull:
      return Reason::TeamShareFull;
    case QueueRefusal::DeadlineUnreachable:
      return Reason::DeadlineUnreachable;
    case QueueRefusal::DeadlinePassed:
      return Reason::DeadlinePassed;
  }
  return Reason::QueueFull;
}

OutcomeReason
ReasonOf(RoutingReason aReason)
{
  switch (aReason) {
    case RoutingReason::AllLeaving:
      return Reason::AllLeaving;
    case RoutingReason::AllUnhealthy:
    case RoutingReason::AllAtLimit:
      return Reason::AllAtLimit;
    case RoutingReason::DeadlinePassed:
      return Reason::DeadlinePassed;
    default:
      return Reason::NoServers;
  }
}

std::string_view
ToText(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::Answered:
      return "answered";
    case AttemptEnd::RefusedBusy:
      return "refused-busy";
    case AttemptEnd::RefusedLeaving:
      return "refused-leaving";
    case AttemptEnd::NotSent:
      return "not-sent";
    case AttemptEnd::TimedOut:
      return "timed-out";
    case AttemptEnd::Lost:
      return "connection-lost";
    case AttemptEnd::Mismatched:
      return "mismatched";
  }
  return "invalid";
}

AttemptEnd
ClassifyAttempt(const ExchangeResult& aExchange, std::string_view aRequestId)
{
  if (aExchange.progress == ExchangeProgress::NotSent) {
    return AttemptEnd::NotSent;
  }
  if (!aExchange.Complete()) {
    return aExchange.timedOut ? AttemptEnd::TimedOut : AttemptEnd::Lost;
  }
  const HttpHeaders& headers = aExchange.response.headers;
  if (headers.Get("Sequoiakeel-Request-Id") != aRequestId ||
      !HasExplicitLength(aExchange.response)) {
    return AttemptEnd::Mismatched;
  }
  if (aExchange.response.status == 503) {
    const std::string_view refusal = headers.Get("Sequoiakeel-Not-Run");
    if (refusal == "busy") {
      return AttemptEnd::RefusedBusy;
    }
    if (refusal == "leaving") {
      return AttemptEnd::RefusedLeaving;
    }
  }
  return AttemptEnd::Answered;
}

bool
MayHaveRun(AttemptEnd aEnd)
{
  return aEnd == AttemptEnd::TimedOut || aEnd == AttemptEnd::Lost ||
         aEnd == AttemptEnd::Mismatched;
}

bool
MaySendAgain(AttemptEnd aEnd, bool aIdempotent)
{
  if (aEnd == AttemptEnd::Answered) {
    return false;
  }
  return aIdempotent || !MayHaveRun(aEnd);
}

OutcomeReason
FinalReason(AttemptEnd aEnd, bool aEarlierUnresolved)
{
  switch (aEnd) {
    case AttemptEnd::TimedOut:
      return Reason::ServerTimeout;
    case AttemptEnd::Lost:
      return Reason::ConnectionLost;
    case AttemptEnd::Mismatched:
      return Reason::ResponseMismatched;
    case AttemptEnd::RefusedBusy:
      return AdjustForUnresolved(Reason::ServersBusy, aEarlierUnresolved);
    case AttemptEnd::RefusedLeaving:
      return AdjustForUnresolved(Reason::ServersLeaving, aEarlierUnresolved);
    case AttemptEnd::NotSent:
      return AdjustForUnresolved(Reason::ConnectFailed, aEarlierUnresolved);
    case AttemptEnd::Answered:
      break;
  }
  throw InternalError("FinalReason was called for an answered attempt");
}

OutcomeReason
AdjustForUnresolved(OutcomeReason aReason, bool aUnresolved)
{
  const bool notRun = RuleOf(aReason).outcome == Outcome::NotRun;
  return notRun && aUnresolved ? Reason::EarlierAttemptUnresolved : aReason;
}

} // namespace sequoiakeel
