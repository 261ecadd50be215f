#include "PlacementKnowledge.h"

#include <algorithm>
#include <set>
#include <vector>

namespace sequoiakeel {

namespace {

/** Share of a worker's processors in use from which slowdowns are not learnt as
 * interference: they are then due to the shortage of processors more than to
 * the kinds of the neighbouring tasks. */
constexpr double kSaturated = 0.98;
/** Time for which placement avoids the worker that a task was evicted from. */
constexpr Duration kAvoidAfterEviction = std::chrono::minutes(5);
/** When this many evictions are recorded, the expired ones are removed, to
 * limit the use of memory. */
constexpr std::size_t kMaxEvictions = 10000;

constexpr double kMillisPerCore = 1000;

/** Returns the reported processor use of a worker's tasks, summed by kind. */
std::vector<NeighbourLoad>
LoadByKind(Interference& aInterference, const WorkerView& aWorker)
{
  std::vector<NeighbourLoad> loads;
  for (const RunningTaskView& task : aWorker.tasks) {
    const std::uint32_t kind = aInterference.InternKind(task.kind);
    const double cores =
      static_cast<double>(task.usage.cpuMillis) / kMillisPerCore;
    const auto found = std::ranges::find(loads, kind, &NeighbourLoad::kind);
    if (found == loads.end()) {
      loads.push_back({ kind, cores });
    } else {
      found->cores += cores;
    }
  }
  return loads;
}

} // namespace

void
PlacementKnowledge::ObserveWorker(TimePoint aNow, const WorkerView& aWorker)
{
  const bool saturated =
    static_cast<double>(aWorker.observed.cpuMillis) >=
    kSaturated * static_cast<double>(aWorker.capacity.cpuMillis);
  std::vector<NeighbourLoad> loads = LoadByKind(this->interference, aWorker);
  for (const RunningTaskView& task : aWorker.tasks) {
    if (task.usage == Resources{}) {
      continue;
    }
    if (task.throttlePermille < 1000) {
      continue;
    }
    this->sizes.LearnUsage(task.kind,
                           task.committed,
                           task.usage,
                           aNow - aWorker.observedAge - task.startedAt);
    if (saturated) {
      continue;
    }
    const std::uint32_t kind = this->interference.InternKind(task.kind);
    const double own =
      static_cast<double>(task.usage.cpuMillis) / kMillisPerCore;
    const auto self = std::ranges::find(loads, kind, &NeighbourLoad::kind);
    self->cores -= own;
    const double slowdown =
      static_cast<double>(task.slowdownPermille - 1000) / 1000;
    this->interference.Learn(aNow, kind, loads, std::max(slowdown, 0.0));
    self->cores += own;
  }
}

void
PlacementKnowledge::TaskEnded(TimePoint aNow, const TaskEnd& aEnd)
{
  if (!aEnd.failed || !aEnd.exceededMemory) {
    this->quarantine.Report(
      aNow, aEnd.worker, aEnd.rack, aEnd.job, aEnd.failed);
  }
  if (aEnd.failed || aEnd.longRunning || aEnd.startedFromPermille >= 1000) {
    return;
  }
  const double part =
    static_cast<double>(1000 - aEnd.startedFromPermille) / 1000;
  this->sizes.LearnRunTime(
    aEnd.kind,
    std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(aEnd.ranFor) / part));
}

void
PlacementKnowledge::WorkerLost(TimePoint aNow, const WorkerView& aWorker)
{
  std::set<std::string> jobs;
  for (const RunningTaskView& task : aWorker.tasks) {
    jobs.insert(task.job);
  }
  this->quarantine.WorkerLost(aNow, aWorker.name, aWorker.rack, jobs);
}

void
PlacementKnowledge::TaskEvicted(TimePoint aNow,
                                const std::string& aTask,
                                const std::string& aWorker)
{
  if (this->evictions.size() >= kMaxEvictions) {
    std::erase_if(this->evictions, [&](const auto& aEntry) {
      return aNow - aEntry.second.at > kAvoidAfterEviction;
    });
  }
  this->evictions[aTask] = { aWorker, aNow };
}

bool
PlacementKnowledge::RecentlyEvicted(TimePoint aNow,
                                    const std::string& aTask,
                                    const std::string& aWorker) const
{
  const auto found = this->evictions.find(aTask);
  return found != this->evictions.end() && found->second.worker == aWorker &&
         aNow - found->second.at <= kAvoidAfterEviction;
}

} // namespace sequoiakeel
