#pragma once

#include "FakeWorkers.h"
#include "PlacementViews.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Pattern of load and injected faults of a simulation run. */
enum class LoadShape : std::uint8_t
{
  Steady,
  LoadShift,
  NoisyWave,
  CancellationWave,
  SizesWrong,
  FailingWorkers,
  ZoneLost,
};

/** All load shapes with their names on the command line. */
const std::vector<std::pair<LoadShape, std::string>>&
LoadShapes();

/** A task as declared to the scheduler, with its actual behaviour. */
struct LoadTask
{
  TaskView view;
  SimulatedTaskState truth;
  /** Worker on which the task runs from the start. Every worker serves
   * requests, so the policies do not place these tasks. */
  std::optional<std::size_t> pinnedTo;
  /** Number of failed attempts. */
  int failures = 0;
  TimePoint firstQueued;
};

/** Generates workers, teams and job arrivals of the Lakeshore deployment. The
 * same seed gives the same tasks for each policy. Not thread safe. */
class LakeshoreLoad
{
public:
  LakeshoreLoad(LoadShape aShape, std::uint64_t aSeed, TimePoint aStart);

  /** The 65 workers. */
  std::vector<WorkerView> Workers() const;
  std::vector<TeamView> Teams() const;
  std::vector<std::vector<double>> SlowdownTable() const;

  /** Tasks that have arrived since the previous call, up to aNow. */
  std::vector<LoadTask> Arrivals(TimePoint aNow);

  /** Load of the quote services at aNow, 0 to 1. */
  double ServiceLoad(TimePoint aNow) const;

  /** Indices of the workers on which every task fails. */
  const std::vector<std::size_t>& Failing() const { return this->failing; }

private:
  double Uniform(double aLow, double aHigh);
  void AddServices(std::vector<LoadTask>& aOut);
  void AddWatchers(std::vector<LoadTask>& aOut);
  void AddJob(std::size_t aKind,
              std::size_t aTasks,
              std::vector<LoadTask>& aOut);
  void AddOversizedJob(std::vector<LoadTask>& aOut);

  LoadShape shape;
  std::mt19937_64 random;
  TimePoint start;
  TimePoint now;
  double nextJob = 0;
  double nextUrgent = 30;
  double nextOversized = 300;
  double nextWave = 0;
  std::size_t jobs = 0;
  /** Ratios of actual to declared processors, memory and run time by kind. */
  std::vector<std::vector<double>> factors;
  std::vector<std::size_t> failing;
};

} // namespace sequoiakeel
