#pragma once

#include "Clock.h"
#include "Scenario.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace sequoiakeel {

inline double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/** Results of a simulation run, accumulated while it proceeds. */
struct Figures
{
  /** Width and number of the buckets of the slowdown histogram. */
  static constexpr double kBucket = 0.01;
  static constexpr std::size_t kBuckets = 1000;

  double finished = 0;
  double coreHours = 0;
  double withDeadline = 0;
  double onTime = 0;
  double evictions = 0;
  double evictedWatchers = 0;
  double failedAttempts = 0;
  double outOfMemory = 0;
  double abandoned = 0;
  double overcommittedMinutes = 0;
  double overloadedMinutes = 0;
  double lostCoreHours = 0;
  double throttles = 0;
  std::map<std::string, double> refused;
  std::vector<double> urgentWaits;
  std::vector<double> largeWaits;
  std::vector<double> slowdowns = std::vector<double>(kBuckets, 0);
  double slowdownSum = 0;
  double slowdownSeconds = 0;
  /** Sum and number of slowdown samples of the services that run on every
   * worker from the start. */
  double pinnedSum = 0;
  double pinnedSeconds = 0;

  /** Adds a slowdown sample: one second of one latency-critical task. */
  void AddSlowdown(double aSlowdown);
};

/** Reports all figures of a run of aHours; aBase holds their common fields. */
void
ReportFigures(const Figures& aFigures,
              double aHours,
              Measurement aBase,
              const Report& aReport);

} // namespace sequoiakeel
