#include "CallerRequest.h"

#include "IdempotencyRecords.h"
#include "Random.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>

namespace sequoiakeel {

namespace {

/** Hop-by-hop header fields, and fields that the HTTP library sets. */
constexpr std::array<std::string_view, 11> kHopByHopFields{
  "Connection",
  "Keep-Alive",
  "Proxy-Connection",
  "Proxy-Authenticate",
  "Proxy-Authorization",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
  "Content-Length",
  "Expect"
};

constexpr std::string_view kSystemFieldPrefix = "sequoiakeel-";

std::string
LowerCase(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char aByte) {
    return aByte >= 'A' && aByte <= 'Z' ? static_cast<char>(aByte + 32) : aByte;
  });
  return lower;
}

HttpHeaders
EndToEndFields(const HttpHeaders& aHeaders)
{
  HttpHeaders kept;
  for (const HttpHeader& field : aHeaders.All()) {
    if (!LowerCase(field.name).starts_with(kSystemFieldPrefix)) {
      kept.Add(field.name, field.value);
    }
  }
  for (const std::string_view name : kHopByHopFields) {
    kept.Remove(name);
  }
  return kept;
}

/** Returns the value of a boolean header field, aDefault if it is absent, and
 * std::nullopt if it is malformed. */
std::optional<bool>
ReadFlag(const HttpHeaders& aHeaders, std::string_view aName, bool aDefault)
{
  if (!aHeaders.Has(aName)) {
    return aDefault;
  }
  const std::string_view text = aHeaders.Get(aName);
  if (text == "true") {
    return true;
  }
  if (text == "false") {
    return false;
  }
  return std::nullopt;
}

std::optional<std::chrono::milliseconds>
ReadDeadline(const HttpHeaders& aHeaders, const Service& aService)
{
  if (!aHeaders.Has("Sequoiakeel-Deadline-Ms")) {
    return std::chrono::milliseconds(aService.deadlineMs);
  }
  const std::string_view text = aHeaders.Get("Sequoiakeel-Deadline-Ms");
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || rest != end || value < 1 ||
      value > kMaxDeadline.count()) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(value);
}

} // namespace

std::variant<CallerRequest, OutcomeReason>
ReadCallerRequest(const HttpRequest& aMessage,
                  const Service& aService,
                  std::string aId,
                  TimePoint aArrived)
{
  const HttpHeaders& headers = aMessage.headers;
  const auto deadline = ReadDeadline(headers, aService);
  if (!deadline) {
    return OutcomeReason::BadDeadline;
  }
  const auto idempotent =
    ReadFlag(headers, "Sequoiakeel-Idempotent", aService.idempotent);
  const auto urgent = ReadFlag(headers, "Sequoiakeel-Urgent", false);
  if (!idempotent || !urgent) {
    return OutcomeReason::BadFlag;
  }
  const std::string_view key = headers.Get("Idempotency-Key");
  if (headers.Has("Idempotency-Key") &&
      (key.empty() || key.size() > kMaxIdempotencyKeyBytes)) {
    return OutcomeReason::BadIdempotencyKey;
  }
  CallerRequest request;
  request.id = std::move(aId);
  request.service = aService.name;
  request.team = headers.Get("Sequoiakeel-Team");
  request.idempotencyKey = key;
  request.arrived = aArrived;
  request.deadline = aArrived + *deadline;
  request.idempotent = *idempotent;
  request.urgent = *urgent;
  return request;
}

HttpRequest
ForwardedRequest(const HttpRequest& aMessage,
                 std::string_view aService,
                 std::string_view aAttemptId,
                 Duration aLeft)
{
  HttpRequest forwarded;
  forwarded.method = "POST";
  forwarded.target = "/services/" + std::string(aService);
  forwarded.headers = EndToEndFields(aMessage.headers);
  forwarded.headers.Set("Sequoiakeel-Request-Id", aAttemptId);
  const auto left =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLeft).count();
  forwarded.headers.Set("Sequoiakeel-Deadline-Ms", std::to_string(left));
  forwarded.body = aMessage.body;
  return forwarded;
}

HttpResponse
ReturnedResponse(HttpResponse aResponse, std::string_view aRequestId)
{
  aResponse.headers = EndToEndFields(aResponse.headers);
  aResponse.headers.Set("Sequoiakeel-Outcome", ToText(Outcome::Done));
  aResponse.headers.Set("Sequoiakeel-Request-Id", aRequestId);
  return aResponse;
}

HttpResponse
ReasonResponse(OutcomeReason aReason, std::string_view aRequestId)
{
  const ReasonRule& rule = RuleOf(aReason);
  const nlohmann::json body{ { "error", rule.text },
                             { "outcome", ToText(rule.outcome) },
                             { "request_id", aRequestId } };
  HttpResponse response = JsonResponse(rule.status, body.dump());
  response.headers.Set("Sequoiakeel-Outcome", ToText(rule.outcome));
  response.headers.Set("Sequoiakeel-Reason", rule.text);
  response.headers.Set("Sequoiakeel-Request-Id", aRequestId);
  return response;
}

std::string
NewRequestId()
{
  thread_local Random random = [] {
    std::random_device device;
    std::seed_seq seed{ device(), device(), device(), device() };
    return Random(seed);
  }();
  std::array<char, 17> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx",
                static_cast<unsigned long long>(random()));
  return text.data();
}

} // namespace sequoiakeel
