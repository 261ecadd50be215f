#pragma once

#include "FakeWorkers.h"
#include "PlacementViews.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Shape of the load and of the faults. */
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

/** All shapes with their names. */
const std::vector<std::pair<LoadShape, std::string>>&
LoadShapes();

/** A task with what it really does. */
struct LoadTask
{
  TaskView view;
  TaskTruth truth;
  /** Worker on which the task runs from the start: requests are answered by
   * every worker, which is no choice of the policies. */
  std::optional<std::size_t> pinnedTo;
  /** Failed attempts. */
  int failures = 0;
  TimePoint firstQueued;
};

/** Kinds, jobs and their arrival in the Lakeshore deployment. Both policies
 * get the same tasks for the same seed. Not thread safe. */
class LakeshoreLoad
{
public:
  LakeshoreLoad(LoadShape aShape, std::uint64_t aSeed, TimePoint aStart);

  /** The 65 workers. */
  std::vector<WorkerView> Workers() const;
  std::vector<TeamView> Teams() const;
  std::vector<std::vector<double>> SlowdownTable() const;

  /** Tasks that arrive up to aNow. */
  std::vector<LoadTask> Arrivals(TimePoint aNow);

  /** Load of the quote services at a time, 0 to 1. */
  double ServiceLoad(TimePoint aNow) const;

  /** Workers that fail every task. */
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
  /** Actual against declared processors, memory and run time by kind. */
  std::vector<std::vector<double>> factors;
  std::vector<std::size_t> failing;
};

} // namespace sequoiakeel
