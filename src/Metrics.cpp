#include "Metrics.h"

#include <map>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace sequoiakeel {

namespace {

using Labels = std::map<std::string, std::string>;

/** Returns the upper bounds of the latency buckets, in seconds. */
const prometheus::Histogram::BucketBoundaries&
LatencyBuckets()
{
  static const prometheus::Histogram::BucketBoundaries kBuckets{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 60
  };
  return kBuckets;
}

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

struct Metrics::Implementation
{
  using Counters = prometheus::Family<prometheus::Counter>;
  using Gauges = prometheus::Family<prometheus::Gauge>;
  using Histograms = prometheus::Family<prometheus::Histogram>;

  Counters& AddCounters(const char* aName, const char* aHelp)
  {
    return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(
      this->registry);
  }

  Gauges& AddGauges(const char* aName, const char* aHelp)
  {
    return prometheus::BuildGauge().Name(aName).Help(aHelp).Register(
      this->registry);
  }

  Histograms& AddHistograms(const char* aName, const char* aHelp)
  {
    return prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(
      this->registry);
  }

  /** Returns the label of a service: its name, or "other" once
   * kMaxServiceLabels services have a label of their own. */
  std::string ServiceLabel(std::string_view aService)
  {
    const std::lock_guard lock(this->mutex);
    const auto known = this->services.find(aService);
    if (known != this->services.end()) {
      return known->first;
    }
    if (this->services.size() >= kMaxServiceLabels) {
      return "other";
    }
    return this->services.emplace(aService, true).first->first;
  }

  void SetGauge(Gauges& aFamily, std::uint64_t aValue)
  {
    aFamily.Add({}).Set(static_cast<double>(aValue));
  }

  prometheus::Registry registry;
  std::mutex mutex;
  std::map<std::string, bool, std::less<>> services;
  Histograms& latency =
    AddHistograms("sequoiakeel_request_seconds",
                  "Time from the arrival of a request to its response");
  Counters& reasons =
    AddCounters("sequoiakeel_request_reasons_total",
                "Requests without an answer of a backend server, by reason");
  Counters& storeCalls = AddCounters("sequoiakeel_store_calls_total",
                                     "Calls to the store by kind and result");
  Histograms& storeLatency =
    AddHistograms("sequoiakeel_store_call_seconds", "Time of a store call");
  Gauges& queued =
    AddGauges("sequoiakeel_requests_queued", "Requests that wait");
  Gauges& atServers = AddGauges("sequoiakeel_requests_at_servers",
                                "Requests that are at backend servers");
  Gauges& inFlight =
    AddGauges("sequoiakeel_requests_in_flight", "Requests in progress");
  Gauges& generation = AddGauges("sequoiakeel_configuration_generation",
                                 "Generation of the active configuration");
  Gauges& members =
    AddGauges("sequoiakeel_members", "Members that this process knows");
  Gauges& gossipSent =
    AddGauges("sequoiakeel_gossip_sent_bytes", "Gossip bytes sent");
  Gauges& gossipReceived =
    AddGauges("sequoiakeel_gossip_received_bytes", "Gossip bytes received");
  Gauges& opened = AddGauges("sequoiakeel_connections_opened",
                             "Connections opened to backend servers");
  Gauges& silent =
    AddGauges("sequoiakeel_connections_silent",
              "Connections to backend servers retired without a sign of life");
};

Metrics::Metrics()
  : implementation(std::make_unique<Implementation>())
{
}

Metrics::~Metrics() = default;

void
Metrics::CountRequest(std::string_view aService,
                      Outcome aOutcome,
                      Duration aElapsed)
{
  const Labels labels{ { "service",
                         this->implementation->ServiceLabel(aService) },
                       { "outcome", std::string(ToText(aOutcome)) } };
  this->implementation->latency.Add(labels, LatencyBuckets())
    .Observe(Seconds(aElapsed));
}

void
Metrics::CountReason(OutcomeReason aReason)
{
  const Labels labels{ { "reason", std::string(RuleOf(aReason).text) } };
  this->implementation->reasons.Add(labels).Increment();
}

void
Metrics::CountStoreCall(std::string_view aKind,
                        std::string_view aResult,
                        Duration aElapsed)
{
  const Labels kind{ { "kind", std::string(aKind) } };
  Labels labels = kind;
  labels["result"] = std::string(aResult);
  this->implementation->storeCalls.Add(labels).Increment();
  this->implementation->storeLatency.Add(kind, LatencyBuckets())
    .Observe(Seconds(aElapsed));
}

void
Metrics::SetLoad(std::string_view aService,
                 std::size_t aQueued,
                 std::size_t aAtServers)
{
  const Labels labels{ { "service",
                         this->implementation->ServiceLabel(aService) } };
  this->implementation->queued.Add(labels).Set(static_cast<double>(aQueued));
  this->implementation->atServers.Add(labels).Set(
    static_cast<double>(aAtServers));
}

std::string
Metrics::Export(const MetricsSnapshot& aSnapshot)
{
  Implementation& state = *this->implementation;
  state.SetGauge(state.generation, aSnapshot.configurationGeneration);
  state.SetGauge(state.inFlight, aSnapshot.requestsInFlight);
  state.SetGauge(state.members, aSnapshot.members);
  state.SetGauge(state.gossipSent, aSnapshot.gossipBytesSent);
  state.SetGauge(state.gossipReceived, aSnapshot.gossipBytesReceived);
  state.SetGauge(state.opened, aSnapshot.connectionsOpened);
  state.SetGauge(state.silent, aSnapshot.connectionsSilent);
  return prometheus::TextSerializer().Serialize(state.registry.Collect());
}

} // namespace sequoiakeel
