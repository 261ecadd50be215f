#include "PlacementScore.h"

#include <algorithm>
#include <cmath>

namespace sequoiakeel {

namespace {

constexpr double kMillisPerCore = 1000;
/** Share of a worker's processors; expected use above it is scored as a
 * shortage of processors. */
constexpr double kCoresTarget = 0.90;
/** Share of a worker's memory; expected use above it is scored as a shortage of
 * memory, which leads to evictions. */
constexpr double kMemoryTarget = 0.85;
/** Cost of one missing core, relative to one core slowed down by
 * interference. */
constexpr double kShortCores = 1.0;
/** Cost of one missing core on a worker that runs a latency-critical task,
 * relative to one core slowed down by interference. */
constexpr double kShortCoresBesideLatencyCritical = 4.0;
constexpr double kShortMemory = 10.0;
/** Weight of the free capacity that remains after the placement. It makes small
 * tasks fill up workers in use and leaves others free for large tasks. */
constexpr double kLeftOver = 0.10;
/** Weight of the difference between the remaining shares of processors and
 * memory. */
constexpr double kUneven = 0.10;
constexpr double kSameZone = 0.4;
constexpr double kSameRack = 0.2;
constexpr double kFailedHere = 5.0;
constexpr double kEvictedHere = 3.0;
constexpr double kSuspicion = 3.0;
/** Tasks with fewer cores are scored as if they had this many. */
constexpr double kMinCores = 0.25;

double
ShortageCost(const RoundWorker& aWorker, const TaskLoad& aLoad)
{
  const double capacityCores =
    static_cast<double>(aWorker.view->capacity.cpuMillis) / kMillisPerCore;
  const double capacityMb =
    static_cast<double>(aWorker.view->capacity.memoryMb);
  const double cores = aWorker.cores + aLoad.load.cores;
  const double shortCores =
    std::clamp(cores - kCoresTarget * capacityCores, 0.0, aLoad.load.cores);
  const bool critical = aWorker.hasLatencyCritical;
  const double weight =
    critical ? kShortCoresBesideLatencyCritical : kShortCores;
  const double memory = aWorker.memoryMb + aLoad.memoryMb;
  const double shortMemory =
    std::max(0.0, memory - kMemoryTarget * capacityMb) / capacityMb;
  return weight * shortCores / std::max(aLoad.load.cores, kMinCores) +
         kShortMemory * shortMemory;
}

double
FitCost(const Resources& aFree,
        const Resources& aCapacity,
        const TaskView& aTask)
{
  const auto share = [](std::int64_t aPart, std::int64_t aWhole) {
    return aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole)
                      : 0.0;
  };
  const Resources rest = Difference(aFree, aTask.resources);
  const double cores = share(rest.cpuMillis, aCapacity.cpuMillis);
  const double memory = share(rest.memoryMb, aCapacity.memoryMb);
  return kLeftOver * (cores + memory) / 2 + kUneven * std::abs(cores - memory);
}

double
SpreadCost(const PlacementRound& aRound,
           const WorkerView& aWorker,
           const TaskView& aTask)
{
  const JobSpread* spread = aTask.latencyCritical || aTask.longRunning
                              ? aRound.SpreadOf(aTask.job)
                              : nullptr;
  if (spread == nullptr) {
    return 0;
  }
  const auto share = [&](const auto& aCounts, const std::string& aName) {
    const auto found = aCounts.find(aName);
    return found == aCounts.end() ? 0.0 : found->second / spread->total;
  };
  return kSameZone * share(spread->zones, aWorker.zone) +
         kSameRack * share(spread->racks, aWorker.rack);
}

double
HistoryCost(PlacementRound& aRound,
            const RoundWorker& aWorker,
            const TaskView& aTask)
{
  const std::string& name = aWorker.view->name;
  double cost = kSuspicion * aWorker.suspicion;
  if (std::ranges::find(aTask.failedOn, name) != aTask.failedOn.end()) {
    cost += kFailedHere;
  }
  if (aTask.evictions > 0 &&
      aRound.Knowledge().RecentlyEvicted(aRound.Cell().now, aTask.task, name)) {
    cost += kEvictedHere;
  }
  return cost;
}

} // namespace

double
InterferenceCost(PlacementRound& aRound,
                 const RoundWorker& aWorker,
                 const TaskLoad& aLoad)
{
  const KindLoad& own = aLoad.load;
  const double cores = std::max(own.cores, kMinCores);
  double slowed = 0;
  for (const KindLoad& other : aWorker.kinds) {
    slowed += aRound.PerCore(other.kind, own.kind) * own.cores * other.harm +
              aRound.PerCore(own.kind, other.kind) * other.cores * own.harm;
  }
  return slowed / cores;
}

double
PlacementCost(PlacementRound& aRound,
              std::size_t aWorker,
              const TaskView& aTask,
              const TaskLoad& aLoad)
{
  const RoundWorker& worker = aRound.Workers()[aWorker];
  return InterferenceCost(aRound, worker, aLoad) + ShortageCost(worker, aLoad) +
         FitCost(aRound.Free().Free(aWorker), worker.view->capacity, aTask) +
         SpreadCost(aRound, *worker.view, aTask) +
         HistoryCost(aRound, worker, aTask);
}

} // namespace sequoiakeel
