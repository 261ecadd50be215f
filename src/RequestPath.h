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

/** Bounds of one entry. */
struct RequestPathOptions
{
  std::size_t maxRequests = 4096;
  /** Bytes of request bodies held at a time. */
  std::size_t maxBodyBytes = 64 * 1024 * 1024;
  /** Least time without an answer after which an idempotent request is tried
   * elsewhere. */
  Duration minProgress = std::chrono::seconds(1);
  /** The same while no latency of the service is known. */
  Duration unknownProgress = std::chrono::seconds(3);
};

/**
 * The path of a request from its arrival to its response (docs/design.md,
 * section 4.1). Thread safe.
 */
class RequestPath
{
public:
  /** A worker explicitly refused work because it is leaving. */
  using OnLeaving = std::function<void(std::string_view)>;

  /** The references must outlive the path. */
  RequestPath(ServiceCatalog& aCatalog,
              std::shared_ptr<ConnectionPool> aPool,
              std::shared_ptr<IdempotencyRecords> aRecords,
              Metrics& aMetrics,
              const Clock& aClock,
              OnLeaving aOnLeaving,
              RequestPathOptions aOptions = {});

  /** Serves POST /v1/services/{aService}. */
  boost::asio::awaitable<HttpResponse> Handle(std::string aService,
                                              HttpRequest aMessage);

  /** Refuses new requests from now on; those in progress go on. */
  void Stop() { this->stopping = true; }

  /** Returns the requests in progress. */
  std::size_t InFlight() const { return this->held->requests; }

private:
  /** Result of the attempts: the answer, or why there is none. */
  using Answer = std::variant<HttpResponse, OutcomeReason>;

  /** What the requests in progress hold; outlives the path with them. */
  struct Held
  {
    std::atomic<std::size_t> requests{ 0 };
    std::atomic<std::size_t> bodyBytes{ 0 };
  };

  struct Work;
  class Load;

  std::variant<CallerRequest, OutcomeReason> Admit(
    const HttpRequest& aMessage,
    const CatalogService* aService,
    const std::string& aId,
    const Load& aLoad) const;
  boost::asio::awaitable<Answer> Run(Work& aWork);
  boost::asio::awaitable<Answer> RunClaimed(Work& aWork);
  boost::asio::awaitable<Answer> SendUntilAnswered(Work& aWork);
  boost::asio::awaitable<AttemptEnd> SendOnce(Work& aWork);
  void NoteEnd(Work& aWork, AttemptEnd aEnd) const;
  bool PreparePause(Work& aWork) const;
  Duration AttemptTimeout(const Work& aWork, TimePoint aNow) const;
  void Settle(const Claim& aClaim, const Answer& aAnswer) const;
  HttpResponse Respond(const CallerRequest& aRequest, Answer aAnswer) const;

  ServiceCatalog* catalog;
  std::shared_ptr<ConnectionPool> pool;
  std::shared_ptr<IdempotencyRecords> records;
  Metrics* metrics;
  const Clock* clock;
  OnLeaving onLeaving;
  RequestPathOptions options;
  std::atomic<bool> stopping{ false };
  std::shared_ptr<Held> held;
};

} // namespace sequoiakeel
