#pragma once

#include "Clock.h"
#include "RequestOutcome.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace sequoiakeel {

/** Most services that have their own label; further ones count as "other". */
inline constexpr std::size_t kMaxServiceLabels = 200;

/** Numbers that are read when the metrics are exported. */
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
 * Counters and histograms in the Prometheus text format. Labels take values
 * from the configuration and from fixed tables only, so that callers cannot
 * make new ones. Thread safe.
 */
class Metrics
{
public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  /** A request of a configured service was answered or given up. */
  void CountRequest(std::string_view aService,
                    Outcome aOutcome,
                    Duration aElapsed);

  /** A request was told aReason. */
  void CountReason(OutcomeReason aReason);

  /** A call to the store ended. Both texts come from fixed tables. */
  void CountStoreCall(std::string_view aKind,
                      std::string_view aResult,
                      Duration aElapsed);

  /** Sets the number of requests of a service that wait or are at servers. */
  void SetLoad(std::string_view aService,
               std::size_t aQueued,
               std::size_t aAtServers);

  /** Returns all metrics in the text format. */
  std::string Export(const MetricsSnapshot& aSnapshot);

private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation;
};

} // namespace sequoiakeel
