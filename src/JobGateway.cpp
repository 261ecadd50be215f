#include "JobGateway.h"

#include "CallerRequest.h"
#include "CellChoice.h"
#include "Log.h"
#include "PeerCodec.h"
#include "SchemaCheck.h"
#include "generated/MessagesJson.h"
#include "generated/ResourcesJson.h"
#include "generated/SchemaText.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <random>
#include <string_view>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sequoiakeel {

namespace asio = boost::asio;
using asio::use_awaitable;
using nlohmann::json;

namespace {

/** Default deadline of a submission and deadline of a cancellation. Covers an
 * append to the cell's log and one retry while the store is slow. */
constexpr std::chrono::milliseconds kDefaultDeadline{ 10000 };
constexpr std::chrono::milliseconds kQueryDeadline{ 5000 };
constexpr std::chrono::milliseconds kCallTimeout{ 4000 };
constexpr std::chrono::milliseconds kRetryPause{ 200 };
constexpr int kMaxMoves = 4;
constexpr std::size_t kMaxCells = 3;
/** Service name of job submissions in idempotency records. No service can have
 * this name. */
constexpr const char* kJobsService = "/jobs";

/** Reasons of refusal that concern only one cell: another cell may still accept
 * the job. */
constexpr std::array<std::string_view, 5> kCellRefusals{ "log-full",
                                                         "queue-full",
                                                         "job-table-full",
                                                         "payloads-full",
                                                         "store-unavailable" };

/** Reasons of refusal that lie in the job itself, so that every cell would
 * refuse it. */
constexpr std::array<std::string_view, 3> kBadJob{ "invalid-job",
                                                   "unknown-task-class",
                                                   "unknown-team" };

template<class List>
bool
Contains(const List& aList, std::string_view aText)
{
  return std::find(aList.begin(), aList.end(), aText) != aList.end();
}

std::string
JobSchema()
{
  json schema = json::parse(schema_text::kResources);
  schema["$ref"] = "#/$defs/JobSpec";
  return schema.dump();
}

Findings
CheckJob(const std::string& aBody)
{
  static const std::string kSchema = JobSchema();
  return CheckAgainstSchema(aBody, kSchema);
}

HttpResponse
FindingsResponse(const Findings& aFindings)
{
  json list = json::array();
  for (const Finding& finding : aFindings.All()) {
    list.push_back(json{ { "place", finding.place },
                         { "line", finding.line },
                         { "message", finding.message } });
  }
  HttpResponse response =
    JsonResponse(400, json{ { "findings", list } }.dump());
  response.headers.Set("Sequoiakeel-Outcome", "not-run");
  response.headers.Set("Sequoiakeel-Reason", "bad-request");
  return response;
}

HttpResponse
Refusal(unsigned aStatus, std::string_view aReason, const json& aMore = {})
{
  json body{ { "error", aReason }, { "outcome", "not-run" } };
  if (aMore.is_object()) {
    body.update(aMore);
  }
  HttpResponse response = JsonResponse(aStatus, body.dump());
  response.headers.Set("Sequoiakeel-Outcome", "not-run");
  response.headers.Set("Sequoiakeel-Reason", aReason);
  return response;
}

/** Returns whether the reply came from a planner that does not own the cell. */
bool
IsFromOther(const SubmitReply& aReply)
{
  return aReply.outcome == SubmitOutcome::NotOwner;
}

bool
IsFromOther(const JobStatus& aStatus)
{
  return !aStatus.found && aStatus.reason == "not-owner";
}

Random
SeededRandom()
{
  std::random_device device;
  std::seed_seq seed{ device(), device(), device(), device() };
  return Random(seed);
}

} // namespace

/** State of one submission while it is processed. */
struct JobGateway::Submission
{
  std::string requestId;
  std::string key;
  std::string fingerprint;
  JobSpec spec;
  TimePoint deadline;
  std::string cell;
  std::string jobId;
  std::vector<std::string> tried;
  /** The idempotency key was already bound to the job id by an earlier
   * submission, which may have been accepted. */
  bool boundEarlier = false;
};

JobGateway::JobGateway(asio::any_io_executor aExecutor,
                       PlannerDirectory& aDirectory,
                       PeerClient& aClient,
                       std::shared_ptr<IdempotencyRecords> aRecords,
                       const ServiceCatalog& aCatalog,
                       Metrics& aMetrics,
                       const Clock& aClock)
  : executor(std::move(aExecutor))
  , directory(&aDirectory)
  , client(&aClient)
  , records(std::move(aRecords))
  , catalog(&aCatalog)
  , metrics(&aMetrics)
  , clock(&aClock)
  , random(SeededRandom())
{
}

std::optional<HttpResponse>
JobGateway::Read(const HttpRequest& aMessage, Submission& aSubmission) const
{
  aSubmission.requestId = NewRequestId();
  // A submission has the same headers as a request to a service.
  Service defaults;
  defaults.deadlineMs = kDefaultDeadline.count();
  const auto caller = ReadCallerRequest(
    aMessage, defaults, aSubmission.requestId, this->clock->Now());
  if (const auto* reason = std::get_if<OutcomeReason>(&caller)) {
    return ReasonResponse(*reason, aSubmission.requestId);
  }
  const auto& request = std::get<CallerRequest>(caller);
  const Findings findings = CheckJob(aMessage.body);
  if (!findings.Ok()) {
    return FindingsResponse(findings);
  }
  aSubmission.spec = json::parse(aMessage.body).get<JobSpec>();
  if (!this->catalog->KnowsTeam(aSubmission.spec.team)) {
    return Refusal(400, "unknown-team");
  }
  if (!this->catalog->KnowsTaskClass(aSubmission.spec.taskClass)) {
    return Refusal(400, "unknown-task-class");
  }
  aSubmission.deadline = request.deadline;
  aSubmission.key = request.idempotencyKey;
  aSubmission.fingerprint = FingerprintOf(json(aSubmission.spec).dump());
  return std::nullopt;
}

asio::awaitable<bool>
JobGateway::ChooseTarget(Submission& aSubmission)
{
  const std::vector<CellReport> reports = co_await this->directory->Cells();
  std::vector<CellStatus> cells;
  for (const CellReport& report : reports) {
    cells.push_back(report.status);
  }
  if (cells.empty() && !aSubmission.key.empty()) {
    // No planner reported a cell. Go on with the configured cells: the key may
    // already be bound to a job id, which then replaces the choice made here.
    cells = this->catalog->ConfiguredCells();
  }
  const std::lock_guard lock(this->mutex);
  const std::optional<CellChoice> choice = ChooseCell(
    aSubmission.spec.resources, cells, aSubmission.tried, this->random);
  if (!choice) {
    co_return false;
  }
  aSubmission.cell = cells[choice->index].cell;
  aSubmission.jobId = MakeJobId(aSubmission.cell, this->random);
  Event("job_cell")
    .Add("job", aSubmission.jobId)
    .Add("cell", aSubmission.cell)
    .Add("reason", ToText(choice->reason))
    .Add("cells", static_cast<std::uint64_t>(cells.size()))
    .Add("tried", static_cast<std::uint64_t>(aSubmission.tried.size()));
  co_return true;
}

/** Binds the idempotency key to the job id or, if the key is already bound,
 * adopts the job id that it is bound to. Returns an error response if neither
 * is possible. */
asio::awaitable<std::optional<HttpResponse>>
JobGateway::Bind(Submission& aSubmission)
{
  ClaimRequest claiming;
  claiming.key = { aSubmission.spec.team, kJobsService, aSubmission.key };
  claiming.requestId = aSubmission.requestId;
  claiming.fingerprint = aSubmission.fingerprint;
  claiming.jobId = aSubmission.jobId;
  claiming.deadline = aSubmission.deadline;
  const Claim claim = co_await this->records->Acquire(std::move(claiming));
  std::optional<HttpResponse> refusal;
  if (claim.state == ClaimState::StoreUnavailable) {
    refusal =
      ReasonResponse(OutcomeReason::StoreUnavailable, aSubmission.requestId);
    co_return refusal;
  }
  if (claim.state == ClaimState::Reused) {
    refusal = ReasonResponse(OutcomeReason::IdempotencyKeyReused,
                             aSubmission.requestId);
    co_return refusal;
  }
  const std::optional<std::string> cell = CellOfJobId(claim.jobId);
  if (!cell) {
    refusal =
      ReasonResponse(OutcomeReason::InternalError, aSubmission.requestId);
    co_return refusal;
  }
  aSubmission.jobId = claim.jobId;
  aSubmission.cell = *cell;
  aSubmission.boundEarlier = claim.state != ClaimState::Claimed;
  co_return refusal;
}

asio::awaitable<HttpResponse>
JobGateway::Submit(HttpRequest aMessage)
{
  Submission job;
  std::optional<HttpResponse> refusal = this->Read(aMessage, job);
  if (refusal) {
    co_return std::move(*refusal);
  }
  SubmitReply reply;
  while (true) {
    const bool chosen = co_await this->ChooseTarget(job);
    if (!chosen && job.tried.empty()) {
      co_return Refusal(503, "no-planner");
    }
    if (!chosen) {
      co_return this->Respond(job, reply);
    }
    if (!job.key.empty()) {
      refusal = co_await this->Bind(job);
      if (refusal) {
        co_return std::move(*refusal);
      }
    }
    reply = co_await this->Forward(job);
    // A job with a key is not submitted to another cell. The key stays bound to
    // its job id, so that two entry processes that receive the same key never
    // submit two jobs.
    const bool elsewhere = reply.outcome == SubmitOutcome::Refused &&
                           job.key.empty() &&
                           Contains(kCellRefusals, reply.reason);
    job.tried.push_back(job.cell);
    if (!elsewhere || job.tried.size() >= kMaxCells) {
      co_return this->Respond(job, reply);
    }
  }
}

asio::awaitable<SubmitReply>
JobGateway::Forward(const Submission& aSubmission)
{
  SubmitReply result;
  result.outcome = SubmitOutcome::NotOwner;
  result.reason = "no-planner";
  bool unresolved = aSubmission.boundEarlier;
  asio::steady_timer timer(this->executor);
  for (int attempt = 0; this->clock->Now() < aSubmission.deadline; ++attempt) {
    const std::optional<Endpoint> owner =
      co_await this->directory->OwnerOf(aSubmission.cell, attempt > 0);
    const Duration left = aSubmission.deadline - this->clock->Now();
    if (owner && left > Duration::zero()) {
      SubmitJob message{ aSubmission.jobId,
                         aSubmission.cell,
                         aSubmission.spec };
      std::string body = EncodeMessage(message);
      const TransferTimeout timeout =
        TransferTimeout::Silence(kCallTimeout).Within(left);
      const PeerReply bytes = co_await this->client->Call(
        *owner, PeerMessage::SubmitJob, std::move(body), timeout);
      std::optional<SubmitReply> reply;
      if (bytes) {
        reply = DecodeMessage<SubmitReply>(*bytes);
      }
      if (reply && reply->outcome == SubmitOutcome::Accepted) {
        co_return *reply;
      }
      const bool refused = reply && reply->outcome == SubmitOutcome::Refused;
      // A planner that is leaving hands over its cells shortly, so its refusal
      // is not final: retry with the next owner.
      if (refused && !unresolved && reply->reason != "leaving") {
        co_return *reply;
      }
      unresolved =
        unresolved || !reply || reply->outcome == SubmitOutcome::Unknown;
    }
    timer.expires_after(kRetryPause);
    co_await timer.async_wait(use_awaitable);
  }
  if (unresolved) {
    result.outcome = SubmitOutcome::Unknown;
    result.reason = "no-whole-answer";
  }
  co_return result;
}

HttpResponse
JobGateway::Respond(const Submission& aSubmission,
                    const SubmitReply& aReply) const
{
  const json names{ { "job_id", aSubmission.jobId },
                    { "cell", aSubmission.cell } };
  Event("job_submitted")
    .Add("request_id", aSubmission.requestId)
    .Add("job", aSubmission.jobId)
    .Add("outcome", ToString(aReply.outcome))
    .Add("reason", aReply.reason);
  HttpResponse response;
  if (aReply.outcome == SubmitOutcome::Accepted) {
    response = JsonResponse(202, names.dump());
    response.headers.Set("Sequoiakeel-Outcome", "done");
  } else if (aReply.outcome == SubmitOutcome::Unknown) {
    json body = names;
    body["error"] = aReply.reason;
    body["outcome"] = "unknown";
    response = JsonResponse(504, body.dump());
    response.headers.Set("Sequoiakeel-Outcome", "unknown");
    response.headers.Set("Sequoiakeel-Reason", aReply.reason);
  } else {
    const unsigned status = Contains(kBadJob, aReply.reason) ? 400 : 503;
    response = Refusal(status, aReply.reason);
  }
  response.headers.Set("Sequoiakeel-Request-Id", aSubmission.requestId);
  return response;
}

template<class Message, class Reply>
asio::awaitable<std::optional<Reply>>
JobGateway::AskOwner(std::string aCell,
                     PeerMessage aKind,
                     Message aMessage,
                     TimePoint aDeadline)
{
  const std::string body = EncodeMessage(aMessage);
  asio::steady_timer timer(this->executor);
  std::optional<Reply> reply;
  for (int attempt = 0; this->clock->Now() < aDeadline; ++attempt) {
    const std::optional<Endpoint> owner =
      co_await this->directory->OwnerOf(aCell, attempt > 0);
    if (owner) {
      const Duration left = aDeadline - this->clock->Now();
      const TransferTimeout timeout =
        TransferTimeout::Silence(kCallTimeout)
          .Within(std::max<Duration>(left, std::chrono::milliseconds(1)));
      std::string copy = body;
      const PeerReply bytes =
        co_await this->client->Call(*owner, aKind, std::move(copy), timeout);
      if (bytes) {
        reply = DecodeMessage<Reply>(*bytes);
      }
      if (reply && !IsFromOther(*reply)) {
        co_return reply;
      }
      reply.reset();
    }
    timer.expires_after(kRetryPause);
    co_await timer.async_wait(use_awaitable);
  }
  co_return reply;
}

/** Queries a job, first in aCell and then in the cells that it was moved to.
 * Sets aCell to the last cell queried. */
asio::awaitable<std::optional<JobStatus>>
JobGateway::Locate(std::string aJobId, std::string& aCell, TimePoint aDeadline)
{
  std::optional<JobStatus> status;
  for (int moves = 0; moves <= kMaxMoves; ++moves) {
    QueryJob query{ aJobId, aCell };
    status = co_await this->AskOwner<QueryJob, JobStatus>(
      aCell, PeerMessage::QueryJob, std::move(query), aDeadline);
    if (!status || !status->found || status->movedTo.empty()) {
      break;
    }
    aCell = status->movedTo;
  }
  co_return status;
}

asio::awaitable<JobGateway::FoundJob>
JobGateway::Find(std::string aJobId)
{
  FoundJob found;
  std::optional<std::string> cell = CellOfJobId(aJobId);
  if (!cell) {
    found.refusal = Refusal(404, "unknown-job");
    co_return found;
  }
  const TimePoint deadline = this->clock->Now() + kQueryDeadline;
  std::optional<JobStatus> status =
    co_await this->Locate(std::move(aJobId), *cell, deadline);
  if (!status) {
    found.refusal = Refusal(503, "no-planner");
    co_return found;
  }
  if (!status->found) {
    found.refusal = Refusal(404, "unknown-job");
    co_return found;
  }
  found.status = std::move(*status);
  found.cell = std::move(*cell);
  co_return found;
}

asio::awaitable<HttpResponse>
JobGateway::Query(std::string aJobId)
{
  FoundJob found = co_await this->Find(aJobId);
  if (found.refusal) {
    co_return std::move(*found.refusal);
  }
  json body = found.status;
  body.erase("decisions");
  body["job_id"] = aJobId;
  body["cell"] = found.cell;
  co_return JsonResponse(200, body.dump());
}

asio::awaitable<HttpResponse>
JobGateway::Explain(std::string aJobId)
{
  FoundJob found = co_await this->Find(aJobId);
  if (found.refusal) {
    co_return std::move(*found.refusal);
  }
  json body;
  body["job_id"] = aJobId;
  body["state"] = found.status.state;
  body["decisions"] = found.status.decisions;
  co_return JsonResponse(200, body.dump());
}

asio::awaitable<HttpResponse>
JobGateway::Cancel(std::string aJobId)
{
  std::optional<std::string> cell = CellOfJobId(aJobId);
  if (!cell) {
    co_return Refusal(404, "unknown-job");
  }
  const TimePoint deadline = this->clock->Now() + kDefaultDeadline;
  const std::optional<JobStatus> status =
    co_await this->Locate(aJobId, *cell, deadline);
  if (!status) {
    co_return Refusal(503, "no-planner");
  }
  if (!status->found) {
    co_return Refusal(404, "unknown-job");
  }
  // Cancellation is idempotent, so AskOwner may send it repeatedly.
  CancelJob message{ aJobId, *cell };
  const std::optional<SubmitReply> reply =
    co_await this->AskOwner<CancelJob, SubmitReply>(
      *cell, PeerMessage::CancelJob, std::move(message), deadline);
  Event("job_cancel")
    .Add("job", aJobId)
    .Add("cell", *cell)
    .Add("outcome", reply ? ToString(reply->outcome) : "unknown");
  const json names{ { "job_id", aJobId }, { "cell", *cell } };
  if (!reply || reply->outcome == SubmitOutcome::Unknown) {
    HttpResponse response = JsonResponse(504, names.dump());
    response.headers.Set("Sequoiakeel-Outcome", "unknown");
    response.headers.Set("Sequoiakeel-Reason", "planner-timeout");
    co_return response;
  }
  if (reply->outcome != SubmitOutcome::Accepted) {
    co_return Refusal(reply->reason == "unknown-job" ? 404 : 503,
                      reply->reason);
  }
  HttpResponse response = JsonResponse(202, names.dump());
  response.headers.Set("Sequoiakeel-Outcome", "done");
  co_return response;
}

} // namespace sequoiakeel
