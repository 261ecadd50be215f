#pragma once

#include "HttpClient.h"
#include "RequestQueue.h"
#include "RoutingPolicy.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace sequoiakeel {

/** Outcome of a request as reported to its caller (docs/design.md, section
 * 4.1). */
enum class Outcome : std::uint8_t
{
  Done,
  NotRun,
  Unknown,
};

/** Returns "done", "not-run" or "unknown". Thread safe. */
std::string_view
ToText(Outcome aOutcome);

/** Why a request has no response of a backend server. */
enum class OutcomeReason : std::uint8_t
{
  BadRequest,
  UnknownPath,
  UnknownService,
  UnknownTeam,
  BadDeadline,
  BadFlag,
  BadIdempotencyKey,
  IdempotencyKeyReused,
  Starting,
  Stopping,
  EntryOverloaded,
  StoreUnavailable,
  QueueFull,
  TeamShareFull,
  DeadlineUnreachable,
  DeadlinePassed,
  NoServers,
  AllLeaving,
  AllAtLimit,
  ServersBusy,
  ServersLeaving,
  ConnectFailed,
  ServerTimeout,
  ConnectionLost,
  ResponseMismatched,
  InProgress,
  EarlierAttemptUnresolved,
  ResponseNotKept,
  InternalError,
};

/** How a reason is reported to the caller. */
struct ReasonRule
{
  OutcomeReason reason = OutcomeReason::InternalError;
  /** Value of Sequoiakeel-Reason. */
  std::string_view text;
  Outcome outcome = Outcome::Unknown;
  unsigned status = 500;
};

/** Returns the rules of all reasons. Thread safe. */
std::span<const ReasonRule>
AllReasonRules();

/** Returns the rule of a reason. Thread safe. */
const ReasonRule&
RuleOf(OutcomeReason aReason);

/** Returns the reason to report for a refusal by the queue or the routing
 * policy. Thread safe. */
OutcomeReason
ReasonOf(QueueRefusal aRefusal);
OutcomeReason
ReasonOf(RoutingReason aReason);

/** How one attempt to send a request to a backend server ended. */
enum class AttemptEnd : std::uint8_t
{
  /** The complete response to this request was received. */
  Answered,
  /** The server explicitly refused to run the request. */
  RefusedBusy,
  RefusedLeaving,
  /** No byte of the request was sent. */
  NotSent,
  /** The request was sent, but its complete response was not received in time.
   */
  TimedOut,
  /** The request was sent, but the connection failed before the complete
   * response was received. */
  Lost,
  /** The request was sent, but the response does not echo the id of this
   * request or has no explicit length. */
  Mismatched,
};

/** Returns the text that log lines use. Thread safe. */
std::string_view
ToText(AttemptEnd aEnd);

/** Classifies the result of an attempt. A response counts only if it echoes
 * aRequestId and has an explicit length: a response that ends when the
 * connection closes cannot be distinguished from a truncated one. Thread safe.
 */
AttemptEnd
ClassifyAttempt(const ExchangeResult& aExchange, std::string_view aRequestId);

/** Returns whether the request may have run although the attempt got no
 * response. Thread safe. */
bool
MayHaveRun(AttemptEnd aEnd);

/** Returns whether a request may be sent again after an attempt that ended with
 * aEnd. A non-idempotent request may be sent again only if it is known not to
 * have run. Thread safe. */
bool
MaySendAgain(AttemptEnd aEnd, bool aIdempotent);

/** Returns the reason to report to the caller for a request whose last attempt
 * ended with aEnd. aEarlierUnresolved states whether an earlier attempt may
 * have run the request; the outcome is then unknown even if the last attempt
 * was refused or not sent. Precondition: aEnd is not Answered. Thread safe. */
OutcomeReason
FinalReason(AttemptEnd aEnd, bool aEarlierUnresolved);

/** Returns aReason, or EarlierAttemptUnresolved if the outcome of aReason is
 * NotRun and aUnresolved is true, that is, if an earlier attempt may have run
 * the request. Thread safe. */
OutcomeReason
AdjustForUnresolved(OutcomeReason aReason, bool aUnresolved);

} // namespace sequoiakeel
