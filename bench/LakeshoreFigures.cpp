#include "LakeshoreFigures.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

constexpr double kUrgentLimitSeconds = 1.9;

double
Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::ranges::sort(aValues);
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(aShare * last)];
}

double
SlowdownQuantile(const Figures& aFigures, double aShare)
{
  double seen = 0;
  for (std::size_t i = 0; i < Figures::kBuckets; ++i) {
    seen += aFigures.slowdowns[i];
    if (seen >= aShare * aFigures.slowdownSeconds) {
      return static_cast<double>(i + 1) * Figures::kBucket;
    }
  }
  return Figures::kBucket * static_cast<double>(Figures::kBuckets);
}

} // namespace

void
Figures::AddSlowdown(double aSlowdown)
{
  this->slowdownSum += aSlowdown;
  this->slowdownSeconds += 1;
  const auto bucket = static_cast<std::size_t>(aSlowdown / kBucket);
  this->slowdowns[std::min(bucket, kBuckets - 1)] += 1;
}

void
ReportFigures(const Figures& aFigures,
              double aHours,
              Measurement aBase,
              const Report& aReport)
{
  const auto report =
    [&](const std::string& aMeasure, double aValue, const std::string& aUnit) {
      aBase.measure = aMeasure;
      aBase.value = aValue;
      aBase.unit = aUnit;
      aReport(aBase);
    };
  report("finished", aFigures.finished / aHours, "tasks/h");
  report("work", aFigures.coreHours / aHours, "core-h/h");
  report("on-time",
         aFigures.withDeadline > 0
           ? 100 * aFigures.onTime / aFigures.withDeadline
           : 100,
         "%");
  report("on-time-tasks", aFigures.onTime / aHours, "tasks/h");
  report("evictions", aFigures.evictions, "count");
  report("evicted-watchers", aFigures.evictedWatchers, "count");
  report("failed-attempts", aFigures.failedAttempts, "count");
  report("out-of-memory", aFigures.outOfMemory, "count");
  report("abandoned", aFigures.abandoned, "count");
  report("lost-work", aFigures.lostCoreHours, "core-h");
  report("overcommitted", aFigures.overcommittedMinutes, "worker-min");
  report("overloaded", aFigures.overloadedMinutes, "worker-min");
  report("throttles", aFigures.throttles, "count");
  const double late = static_cast<double>(
    std::ranges::count_if(aFigures.urgentWaits, [](double aWait) {
      return aWait > kUrgentLimitSeconds;
    }));
  const double urgent = static_cast<double>(aFigures.urgentWaits.size());
  report("urgent-late", urgent > 0 ? 100 * late / urgent : 0, "%");
  report("urgent-wait-p99", Quantile(aFigures.urgentWaits, 0.99), "s");
  report("large-wait-p90", Quantile(aFigures.largeWaits, 0.9), "s");
  report("latency-slowdown-mean",
         100 * aFigures.slowdownSum / std::max(1.0, aFigures.slowdownSeconds),
         "%");
  report("pinned-slowdown-mean",
         100 * aFigures.pinnedSum / std::max(1.0, aFigures.pinnedSeconds),
         "%");
  report("latency-slowdown-p99", 100 * SlowdownQuantile(aFigures, 0.99), "%");
  for (const char* reason :
       { "fits-nowhere", "no-room", "quota", "reserved", "avoided" }) {
    const auto found = aFigures.refused.find(reason);
    const double value = found == aFigures.refused.end() ? 0 : found->second;
    const bool count = std::string(reason) == "fits-nowhere";
    report("refused-" + std::string(reason),
           count ? value : value / 3600,
           count ? "jobs" : "task-h");
  }
}

} // namespace sequoiakeel
