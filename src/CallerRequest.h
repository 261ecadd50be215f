#pragma once

#include "Clock.h"
#include "HttpMessage.h"
#include "RequestOutcome.h"
#include "generated/Configuration.h"

#include <string>
#include <string_view>
#include <variant>

namespace sequoiakeel {

/** Longest time that a caller may ask to wait. */
inline constexpr std::chrono::milliseconds kMaxDeadline{ 600000 };

/** What a caller asks for in its headers. */
struct CallerRequest
{
  std::string id;
  std::string service;
  std::string team;
  /** Empty: none. */
  std::string idempotencyKey;
  TimePoint arrived;
  TimePoint deadline;
  bool idempotent = true;
  bool urgent = false;
};

/** Reads the headers of a request to a service (docs/api.md, section Callers),
 * or tells what is wrong. aId names the request. Thread safe. */
std::variant<CallerRequest, OutcomeReason>
ReadCallerRequest(const HttpRequest& aMessage,
                  const Service& aService,
                  std::string aId,
                  TimePoint aArrived);

/** Returns the request as a backend server gets it: without hop-by-hop fields
 * and fields of this system, with aAttemptId and the time that is left. Thread
 * safe. */
HttpRequest
ForwardedRequest(const HttpRequest& aMessage,
                 std::string_view aService,
                 std::string_view aAttemptId,
                 Duration aLeft);

/** Returns a backend server's response as the caller gets it. Thread safe. */
HttpResponse
ReturnedResponse(HttpResponse aResponse, std::string_view aRequestId);

/** Returns the response for a request that has no answer. Thread safe. */
HttpResponse
ReasonResponse(OutcomeReason aReason, std::string_view aRequestId);

/** Returns a random id of 16 hex digits. Thread safe. */
std::string
NewRequestId();

} // namespace sequoiakeel
