#pragma once

#include "CallerRequest.h"
#include "ConnectionPool.h"
#include "IdempotencyRecords.h"
#include "Metrics.h"
#include "ServiceCatalog.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace sequoiakeel {

/** Limits and time-outs of the requests in one entry. */
struct RequestPathOptions
{
  /** Maximum number of requests in progress. */
  std::size_t maxRequests = 4096;
  /** Maximum total size of the bodies of the requests in progress, in bytes. */
  std::size_t maxBodyBytes = 64 * 1024 * 1024;
  /** Minimum time-out of an attempt, after which an idempotent request is sent
   * to another server. */
  Duration minAttemptTimeout = std::chrono::seconds(1);
  /** Time-out of an attempt of an idempotent request while the latency of the
   * service is unknown. */
  Duration defaultAttemptTimeout = std::chrono::seconds(3);
};

/**
 * Handles requests to services from their arrival to their response
 * (docs/design.md, section 4.1): admission, idempotency records, attempts at
 * backend servers and retries. Thread safe.
 */
class RequestPath
{
public:
  /** Called with the name of a worker that refused a request explicitly because
   * it is leaving. */
  using OnLeaving = std::function<void(std::string_view)>;

  /** The references must outlive the object. */
  RequestPath(ServiceCatalog& aCatalog,
              std::shared_ptr<ConnectionPool> aPool,
              std::shared_ptr<IdempotencyRecords> aRecords,
              Metrics& aMetrics,
              const Clock& aClock,
              OnLeaving aOnLeaving,
              RequestPathOptions aOptions = {});

  /** Handles POST /v1/services/{aService}. */
  boost::asio::awaitable<HttpResponse> Handle(std::string aService,
                                              HttpRequest aMessage);

  /** Refuses new requests from now on; requests in progress continue. */
  void Stop() { this->stopping = true; }

  /** Returns the number of requests in progress. */
  std::size_t InFlight() const { return this->totals->requests; }

private:
  /** The response of a backend server, or the reason why there is none. */
  using Answer = std::variant<HttpResponse, OutcomeReason>;

  /** Number of requests in progress and total size of their bodies. Owned
   * jointly with these requests, since they may outlive the RequestPath. */
  struct InFlightTotals
  {
    std::atomic<std::size_t> requests{ 0 };
    std::atomic<std::size_t> bodyBytes{ 0 };
  };

  struct RequestState;
  class InFlightGuard;

  std::variant<CallerRequest, OutcomeReason> Admit(
    const HttpRequest& aMessage,
    const CatalogService* aService,
    const std::string& aId,
    const InFlightGuard& aGuard) const;
  boost::asio::awaitable<Answer> Run(RequestState& aState);
  boost::asio::awaitable<Answer> RunClaimed(RequestState& aState);
  boost::asio::awaitable<Answer> SendUntilAnswered(RequestState& aState);
  boost::asio::awaitable<AttemptEnd> SendOnce(RequestState& aState);
  void RecordAttempt(RequestState& aState, AttemptEnd aEnd) const;
  bool PrepareRetry(RequestState& aState) const;
  Duration AttemptTimeout(const RequestState& aState, TimePoint aNow) const;
  void RecordOutcome(const Claim& aClaim, const Answer& aAnswer) const;
  HttpResponse Respond(const CallerRequest& aRequest, Answer aAnswer) const;

  ServiceCatalog* catalog;
  std::shared_ptr<ConnectionPool> pool;
  std::shared_ptr<IdempotencyRecords> records;
  Metrics* metrics;
  const Clock* clock;
  OnLeaving onLeaving;
  RequestPathOptions options;
  std::atomic<bool> stopping{ false };
  std::shared_ptr<InFlightTotals> totals;
};

} // namespace sequoiakeel
