#pragma once

#include "HttpClient.h"
#include "RequestQueue.h"
#include "RoutingPolicy.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace sequoiakeel {

/** What a caller is told about its request (docs/design.md, section 4.1). */
enum class Outcome : std::uint8_t
{
  Done,
  NotRun,
  Unknown,
};

/** Returns "done", "not-run" or "unknown". Thread safe. */
std::string_view
ToText(Outcome aOutcome);

/** Why a request has no answer of a backend server. */
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

/** What a caller is told for a reason. */
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

/** Translates the decisions of the routing modules. Thread safe. */
OutcomeReason
ReasonOf(QueueRefusal aRefusal);
OutcomeReason
ReasonOf(RoutingReason aReason);

/** How one attempt at a backend server ended. */
enum class AttemptEnd : std::uint8_t
{
  /** The whole response to this request came. */
  Answered,
  /** The server explicitly refused to run the request. */
  RefusedBusy,
  RefusedLeaving,
  /** No byte of the request was sent. */
  NotSent,
  /** Sent; no whole response in time. */
  TimedOut,
  /** Sent; the connection failed before the whole response came. */
  Lost,
  /** Sent; what came is no response to this request or has no stated end. */
  Mismatched,
};

/** Returns the end as log lines have it. Thread safe. */
std::string_view
ToText(AttemptEnd aEnd);

/** Tells how an attempt ended. A response counts only if it echoes
 * aRequestId and states its own length: one that ends with the connection
 * cannot be told from a truncated one. Thread safe. */
AttemptEnd
ClassifyAttempt(const ExchangeResult& aExchange, std::string_view aRequestId);

/** Tells whether the request may have run, although there is no answer. Thread
 * safe. */
bool
MayHaveRun(AttemptEnd aEnd);

/** Tells whether the request may be sent again after aEnd. A non-idempotent
 * request may if it surely did not run. Thread safe. */
bool
MaySendAgain(AttemptEnd aEnd, bool aIdempotent);

/** Returns what the caller is told if no further attempt follows aEnd.
 * aEarlierUnresolved: an earlier attempt may have run, so the outcome is
 * unknown even if aEnd is a refusal. aEnd is not Answered. Thread safe. */
OutcomeReason
FinalReason(AttemptEnd aEnd, bool aEarlierUnresolved);

/** Returns aReason, or the unknown outcome that has to replace it because an
 * attempt may have run. Thread safe. */
OutcomeReason
WithUnresolved(OutcomeReason aReason, bool aUnresolved);

} // namespace sequoiakeel
