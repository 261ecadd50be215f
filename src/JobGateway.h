#pragma once

#include "HttpMessage.h"
#include "IdempotencyRecords.h"
#include "Metrics.h"
#include "PlannerDirectory.h"
#include "Random.h"
#include "ServiceCatalog.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sequoiakeel {

/**
 * Serves the job interface for callers: chooses a cell, claims the idempotency
 * key and forwards the call to the planner that owns the cell. Thread safe.
 *
 * A submission whose outcome is unknown is retried only with the same job id,
 * which a planner accepts once, so a retry never creates a second job.
 */
class JobGateway
{
public:
  /** The references must outlive the gateway. */
  JobGateway(boost::asio::any_io_executor aExecutor,
             PlannerDirectory& aDirectory,
             PeerClient& aClient,
             std::shared_ptr<IdempotencyRecords> aRecords,
             const ServiceCatalog& aCatalog,
             Metrics& aMetrics,
             const Clock& aClock);

  /** Serves POST /v1/jobs. */
  boost::asio::awaitable<HttpResponse> Submit(HttpRequest aMessage);

  /** Serves GET /v1/jobs/{aJobId}/explain. */
  boost::asio::awaitable<HttpResponse> Explain(std::string aJobId);

  /** Serves GET /v1/jobs/{aJobId}. */
  boost::asio::awaitable<HttpResponse> Query(std::string aJobId);

  /** Serves DELETE /v1/jobs/{aJobId}. */
  boost::asio::awaitable<HttpResponse> Cancel(std::string aJobId);

private:
  struct Submission;

  std::optional<HttpResponse> Read(const HttpRequest& aMessage,
                                   Submission& aSubmission) const;
  boost::asio::awaitable<bool> ChooseTarget(Submission& aSubmission);
  boost::asio::awaitable<std::optional<HttpResponse>> Bind(
    Submission& aSubmission);
  boost::asio::awaitable<SubmitReply> Forward(const Submission& aSubmission);
  template<class Message, class Reply>
  boost::asio::awaitable<std::optional<Reply>> AskOwner(std::string aCell,
                                                        PeerMessage aKind,
                                                        Message aMessage,
                                                        TimePoint aDeadline);
  /** A job found at the owner of its cell, or an error response if it was not
   * found or no owner answered. */
  struct FoundJob
  {
    std::optional<HttpResponse> refusal;
    JobStatus status;
    std::string cell;
  };

  boost::asio::awaitable<FoundJob> Find(std::string aJobId);
  boost::asio::awaitable<std::optional<JobStatus>> Locate(std::string aJobId,
                                                          std::string& aCell,
                                                          TimePoint aDeadline);
  HttpResponse Respond(const Submission& aSubmission,
                       const SubmitReply& aReply) const;

  boost::asio::any_io_executor executor;
  PlannerDirectory* directory;
  PeerClient* client;
  std::shared_ptr<IdempotencyRecords> records;
  const ServiceCatalog* catalog;
  Metrics* metrics;
  const Clock* clock;
  std::mutex mutex;
  Random random;
};

} // namespace sequoiakeel
