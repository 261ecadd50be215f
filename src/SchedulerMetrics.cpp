#include "SchedulerMetrics.h"

#include "Log.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace sequoiakeel {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

/** Upper bounds of the latency histogram buckets in seconds. They range from
 * the latency of a store call within an availability zone to a job's
 * completion objective. */
const Histogram::BucketBoundaries kLatencyBuckets{
  0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30
};

double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

const char*
ResultName(StoreResult aResult)
{
  switch (aResult) {
    case StoreResult::Ok:
      return "ok";
    case StoreResult::Conflict:
      return "conflict";
    case StoreResult::Unavailable:
      return "unavailable";
    case StoreResult::Unknown:
      break;
  }
  return "unknown";
}

} // namespace

struct SchedulerMetrics::Implementation
{
  Family<Counter>& Counters(const char* aName, const char* aHelp)
  {
    return BuildCounter().Name(aName).Help(aHelp).Register(this->registry);
  }

  Family<Histogram>& Histograms(const char* aName, const char* aHelp)
  {
    return BuildHistogram().Name(aName).Help(aHelp).Register(this->registry);
  }

  prometheus::Registry registry;
  Family<Histogram>& startWait =
    Histograms("sequoiakeel_task_start_wait_seconds",
               "Time from a task's turn to its start order");
  Family<Counter>& startsRejected =
    Counters("sequoiakeel_starts_turned_away_total",
             "Start orders that a worker did not take, by result");
  Family<Counter>& runEnds =
    Counters("sequoiakeel_runs_ended_total", "Ends of runs, by kind");
  Family<Counter>& workersCrashed = Counters(
    "sequoiakeel_workers_crashed_total",
    "Workers that were replaced by another incarnation without a drain.");
  Family<Counter>& runsLost = Counters("sequoiakeel_runs_lost_total",
                                       "Runs given up without a worker's word");
  Family<Counter>& runsPreempted =
    Counters("sequoiakeel_runs_preempted_total",
             "Short runs stopped to make room for long-running tasks");
  Family<Histogram>& jobAge =
    Histograms("sequoiakeel_job_seconds",
               "Time from acceptance to the end of a job, by state");
  Family<Counter>& fillers = Counters("sequoiakeel_filler_adjustments_total",
                                      "Changes of the speed of fillers");
  Family<Histogram>& callers =
    Histograms("sequoiakeel_caller_seconds",
               "Time to answer a caller, by call and outcome");
  Family<Histogram>& store =
    Histograms("sequoiakeel_store_seconds",
               "Time of a call to the store, by call and result");
  Family<Counter>& ownership =
    Counters("sequoiakeel_ownership_changes_total",
             "Changes of the ownership of cells, by kind");
  Family<Gauge>& closedZones =
    BuildGauge()
      .Name("sequoiakeel_closed_zones")
      .Help("Availability zones that take no new tasks")
      .Register(registry);
  Family<Gauge>& requestBytes =
    BuildGauge()
      .Name("sequoiakeel_request_memory_bytes")
      .Help("Memory of requests that are being received or served")
      .Register(registry);
  Family<Gauge>& connections =
    BuildGauge()
      .Name("sequoiakeel_client_connections")
      .Help("Open connections of all listeners for HTTP")
      .Register(registry);
  Family<Gauge>& evicted =
    BuildGauge()
      .Name("sequoiakeel_connections_evicted")
      .Help("Connections closed since the start to relieve others, by cause")
      .Register(registry);
  Family<Gauge>& responseBytes =
    BuildGauge()
      .Name("sequoiakeel_response_memory_bytes")
      .Help("Memory of workers' responses that are being received")
      .Register(registry);
  Family<Gauge>& responsesRefused =
    BuildGauge()
      .Name("sequoiakeel_responses_refused")
      .Help("Responses of workers given up since the start over a limit")
      .Register(registry);
  Family<Counter>& logDropped =
    Counters("sequoiakeel_log_lines_dropped_total",
             "Log lines over the limit of their event or on a full output");
};

SchedulerMetrics::SchedulerMetrics()
  : implementation(std::make_unique<Implementation>())
{
}

SchedulerMetrics::~SchedulerMetrics() = default;

void
SchedulerMetrics::TaskStarted(Duration aWaited)
{
  this->implementation->startWait.Add({}, kLatencyBuckets)
    .Observe(Seconds(aWaited));
}

void
SchedulerMetrics::StartRejected(WorkerCommandResult aResult)
{
  this->implementation->startsRejected.Add({ { "result", ToString(aResult) } })
    .Increment();
}

void
SchedulerMetrics::RunEnded(RunEnd aEnd)
{
  this->implementation->runEnds.Add({ { "end", ToString(aEnd) } }).Increment();
}

void
SchedulerMetrics::WorkerCrashed()
{
  this->implementation->workersCrashed.Add({}).Increment();
}

void
SchedulerMetrics::RunLost()
{
  this->implementation->runsLost.Add({}).Increment();
}

void
SchedulerMetrics::RunPreempted()
{
  this->implementation->runsPreempted.Add({}).Increment();
}

void
SchedulerMetrics::JobEnded(WorkflowState aState, Duration aAge)
{
  this->implementation->jobAge
    .Add({ { "state", std::string(ToString(aState)) } }, kLatencyBuckets)
    .Observe(Seconds(aAge));
}

void
SchedulerMetrics::ZonesClosed(std::size_t aCount)
{
  this->implementation->closedZones.Add({}).Set(static_cast<double>(aCount));
}

void
SchedulerMetrics::FillersAdjusted()
{
  this->implementation->fillers.Add({}).Increment();
}

void
SchedulerMetrics::CallerAnswered(std::string_view aCall,
                                 std::string_view aOutcome,
                                 Duration aElapsed)
{
  this->implementation->callers
    .Add(
      { { "call", std::string(aCall) }, { "outcome", std::string(aOutcome) } },
      kLatencyBuckets)
    .Observe(Seconds(aElapsed));
}

void
SchedulerMetrics::StoreAnswered(std::string_view aCall,
                                StoreResult aResult,
                                Duration aElapsed)
{
  this->implementation->store
    .Add({ { "call", std::string(aCall) }, { "result", ResultName(aResult) } },
         kLatencyBuckets)
    .Observe(Seconds(aElapsed));
}

void
SchedulerMetrics::OwnershipChanged(std::string_view aChange)
{
  this->implementation->ownership.Add({ { "change", std::string(aChange) } })
    .Increment();
}

void
SchedulerMetrics::SetRequestMemory(const RequestMemoryUsage& aUsage)
{
  Implementation& metrics = *this->implementation;
  metrics.requestBytes.Add({}).Set(static_cast<double>(aUsage.bytes));
  metrics.connections.Add({}).Set(static_cast<double>(aUsage.connections));
  metrics.evicted.Add({ { "cause", "memory" } })
    .Set(static_cast<double>(aUsage.evictedForMemory));
  metrics.evicted.Add({ { "cause", "connections" } })
    .Set(static_cast<double>(aUsage.evictedForConnections));
}

void
SchedulerMetrics::SetResponseMemory(const ResponseMemoryUsage& aUsage)
{
  Implementation& metrics = *this->implementation;
  metrics.responseBytes.Add({}).Set(static_cast<double>(aUsage.bytes));
  metrics.responsesRefused.Add({}).Set(static_cast<double>(aUsage.refused));
}

std::string
SchedulerMetrics::Export()
{
  Counter& dropped = this->implementation->logDropped.Add({});
  dropped.Increment(static_cast<double>(DroppedLogLines()) - dropped.Value());
  return prometheus::TextSerializer().Serialize(
    this->implementation->registry.Collect());
}

} // namespace sequoiakeel
