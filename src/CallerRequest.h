#pragma once

#include "Clock.h"
#include "HttpMessage.h"
#include "RequestOutcome.h"
#include "generated/Configuration.h"

#include <string>
#include <string_view>
#include <variant>

namespace sequoiakeel {

/** Longest deadline that a caller may set, from the arrival of the request. */
inline constexpr std::chrono::milliseconds kMaxDeadline{ 600000 };

/** Parameters of a request to a service, from its header fields. */
struct CallerRequest
{
  std::string id;
  std::string service;
  std::string team;
  /** Empty if the request has no key. */
  std::string idempotencyKey;
  TimePoint arrived;
  TimePoint deadline;
  bool idempotent = true;
  bool urgent = false;
};

/** Parses the header fields of a request to a service (docs/api.md, section
 * Callers). Returns the reason for the refusal of the request if a field is
 * invalid. aId becomes the id of the request. Thread safe. */
std::variant<CallerRequest, OutcomeReason>
ReadCallerRequest(const HttpRequest& aMessage,
                  const Service& aService,
                  std::string aId,
                  TimePoint aArrived);

/** Returns the request to send to a backend server: a copy of aMessage without
 * hop-by-hop header fields and header fields of this system, with aAttemptId as
 * its id and aLeft as the time until its deadline. Thread safe. */
HttpRequest
ForwardedRequest(const HttpRequest& aMessage,
                 std::string_view aService,
                 std::string_view aAttemptId,
                 Duration aLeft);

/** Returns the response to send to the caller for a backend server's response.
 * Thread safe. */
HttpResponse
ReturnedResponse(HttpResponse aResponse, std::string_view aRequestId);

/** Returns the response for a request that no backend server answered. Thread
 * safe. */
HttpResponse
ReasonResponse(OutcomeReason aReason, std::string_view aRequestId);

/** Returns a random id of 16 hex digits. Thread safe. */
std::string
NewRequestId();

} // namespace sequoiakeel
