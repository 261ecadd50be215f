#pragma once

#include "Clock.h"
#include "RequestOutcome.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace sequoiakeel {

/** Maximum number of services with a label of their own. Further services share
 * the label "other". */
inline constexpr std::size_t kMaxServiceLabels = 200;

/** Values that are sampled when the metrics are exported. */
struct MetricsSnapshot
{
  std::uint64_t configurationGeneration = 0;
  std::uint64_t requestsInFlight = 0;
  std::uint64_t gossipBytesSent = 0;
  std::uint64_t gossipBytesReceived = 0;
  std::uint64_t connectionsOpened = 0;
  std::uint64_t connectionsSilent = 0;
  std::uint64_t members = 0;
};

/**
 * Counters, gauges and histograms, exported in the Prometheus text format.
 * Label values come only from the configuration and from fixed tables, so that
 * callers cannot create new ones. Thread safe.
 */
class Metrics
{
public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  /** Records the outcome and duration of a request to a configured service that
   * was answered or abandoned. */
  void CountRequest(std::string_view aService,
                    Outcome aOutcome,
                    Duration aElapsed);

  /** Counts a request whose response states aReason instead of an answer of a
   * backend server. */
  void CountReason(OutcomeReason aReason);

  /** Records the result and duration of a completed call to the store. aKind
   * and aResult must come from fixed tables. */
  void CountStoreCall(std::string_view aKind,
                      std::string_view aResult,
                      Duration aElapsed);

  /** Sets the number of requests of a service that are queued and the number
   * that are at backend servers. */
  void SetLoad(std::string_view aService,
               std::size_t aQueued,
               std::size_t aAtServers);

  /** Returns all metrics, including the values of aSnapshot, in the Prometheus
   * text format. */
  std::string Export(const MetricsSnapshot& aSnapshot);

private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation;
};

} // namespace sequoiakeel
