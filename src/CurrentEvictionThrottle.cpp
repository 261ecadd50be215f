#include "CurrentEviction.h"

#include <algorithm>
#include <functional>

namespace sequoiakeel {

namespace {

constexpr double kMillisPerCore = 1000;
/** Reported processor load from which tasks are throttled, and load that
 * throttling aims for. */
constexpr double kProcessorsShort = 0.97;
constexpr double kProcessorsTarget = 0.93;
/** Processor load below which throttling is lifted. The gap to the load from
 * which tasks are throttled prevents oscillation. */
constexpr double kProcessorsCalm = 0.85;
/** Slowdown of a latency-critical task from which its neighbours are throttled,
 * and below which throttling is lifted; 1000 is an undisturbed task. */
constexpr std::int64_t kSuffersPermille = 1600;
constexpr std::int64_t kCalmPermille = 1150;
/** Smallest processor share, in permille, that a task is throttled to. */
constexpr std::int64_t kLowestThrottle = 300;
constexpr double kThrottleStep = 0.6;
constexpr double kLiftStep = 1.4;
/** Time for which load and slowdown have to be low before throttling is lifted.
 */
constexpr Duration kCalmFor = std::chrono::seconds(20);
/** Time for which throttling is left to take effect before a task is moved. */
constexpr Duration kSufferFor = std::chrono::seconds(60);

double
Share(std::int64_t aPart, std::int64_t aWhole)
{
  return aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole)
                    : 0;
}

/** Returns the processors that the tasks count for by their last reports. The
 * ledger's sum for the worker is not used: it keeps the highest usage of each
 * task, which throttling does not lower. */
std::int64_t
CountedNow(const WorkerView& aWorker)
{
  std::int64_t counted = 0;
  for (const RunningTaskView& task : aWorker.tasks) {
    counted += std::max(task.committed.cpuMillis, task.usage.cpuMillis);
  }
  return counted;
}

const RunningTaskView*
WorstLatency(const WorkerView& aWorker)
{
  const RunningTaskView* worst = nullptr;
  for (const RunningTaskView& task : aWorker.tasks) {
    if (!task.latencyCritical) {
      continue;
    }
    if (worst == nullptr || task.slowdownPermille > worst->slowdownPermille) {
      worst = &task;
    }
  }
  return worst;
}

} // namespace

bool
CurrentEviction::RelieveProcessors(Pass& aPass, const WorkerView& aWorker)
{
  WorkerHistory& past = this->workers[aWorker.name];
  const TimePoint reported = aPass.cell.now - aWorker.observedAge;
  const auto capacity = static_cast<double>(aWorker.capacity.cpuMillis);
  const auto observed = static_cast<double>(aWorker.observed.cpuMillis);
  const double counted = static_cast<double>(CountedNow(aWorker));
  const bool isShort =
    observed >= kProcessorsShort * capacity || counted > capacity;
  // Throttle again only after a report that is newer than the last throttling
  // and so shows its effect.
  const bool settled =
    past.lastThrottle == TimePoint::min() || reported > past.lastThrottle;
  if (!isShort) {
    return false;
  }
  past.calmSince = TimePoint::max();
  if (!settled) {
    return true;
  }
  double excess =
    std::max(observed - kProcessorsTarget * capacity, counted - capacity);
  std::vector<const RunningTaskView*> candidates;
  for (const RunningTaskView& task : aWorker.tasks) {
    if (MayThrottle(task) && task.throttlePermille > kLowestThrottle) {
      candidates.push_back(&task);
    }
  }
  // Throttle first the tasks whose usage exceeds the declared amount the most.
  std::ranges::sort(candidates, std::greater<>(), [](const auto* aTask) {
    return aTask->usage.cpuMillis - aTask->committed.cpuMillis;
  });
  bool throttled = false;
  for (const RunningTaskView* task : candidates) {
    if (excess <= 0) {
      break;
    }
    const auto usage = static_cast<double>(task->usage.cpuMillis);
    const auto declared = static_cast<double>(task->committed.cpuMillis);
    const double cut = std::min(excess, usage - declared);
    if (cut <= 0) {
      break;
    }
    const auto permille = static_cast<std::int64_t>(
      static_cast<double>(task->throttlePermille) * (usage - cut) / usage);
    this->Throttle(aPass, aWorker, *task, permille, "processors short");
    excess -= cut;
    throttled = true;
  }
  return throttled;
}

double
CurrentEviction::Contribution(TimePoint aNow,
                              const RunningTaskView& aSuffering,
                              const RunningTaskView& aNeighbour)
{
  Interference& interference = this->knowledge.interference;
  return interference.SlowdownPerCore(
           aNow,
           interference.InternKind(aSuffering.kind),
           interference.InternKind(aNeighbour.kind)) *
         static_cast<double>(aNeighbour.usage.cpuMillis) / kMillisPerCore;
}

void
CurrentEviction::ProtectLatency(Pass& aPass, std::size_t aWorker)
{
  const WorkerView& worker = aPass.cell.workers[aWorker];
  WorkerHistory& past = this->workers[worker.name];
  const RunningTaskView* worst = WorstLatency(worker);
  if (worst == nullptr || worst->slowdownPermille < kSuffersPermille) {
    past.suffersSince = TimePoint::max();
    return;
  }
  past.calmSince = TimePoint::max();
  const TimePoint reported = aPass.cell.now - worker.observedAge;
  if (past.lastThrottle != TimePoint::min() && reported <= past.lastThrottle) {
    return;
  }
  if (this->ThrottleWorst(aPass, worker, *worst)) {
    return;
  }
  past.suffersSince = std::min(past.suffersSince, aPass.cell.now);
  if (aPass.cell.now - past.suffersSince >= kSufferFor) {
    this->MoveWorst(aPass, aWorker, *worst);
  }
}

bool
CurrentEviction::ThrottleWorst(Pass& aPass,
                               const WorkerView& aWorker,
                               const RunningTaskView& aSuffering)
{
  const RunningTaskView* noisiest = nullptr;
  double most = 0;
  for (const RunningTaskView& task : aWorker.tasks) {
    if (!MayThrottle(task) || task.throttlePermille <= kLowestThrottle) {
      continue;
    }
    const double part = this->Contribution(aPass.cell.now, aSuffering, task);
    if (part > most) {
      most = part;
      noisiest = &task;
    }
  }
  if (noisiest == nullptr) {
    return false;
  }
  const auto permille = static_cast<std::int64_t>(
    static_cast<double>(noisiest->throttlePermille) * kThrottleStep);
  this->Throttle(aPass,
                 aWorker,
                 *noisiest,
                 std::max(permille, kLowestThrottle),
                 "slows " + aSuffering.task + " down");
  return true;
}

void
CurrentEviction::LiftThrottles(Pass& aPass, const WorkerView& aWorker)
{
  const bool throttled =
    std::ranges::any_of(aWorker.tasks, [](const RunningTaskView& aTask) {
      return aTask.throttlePermille < 1000;
    });
  WorkerHistory& past = this->workers[aWorker.name];
  const RunningTaskView* worst = WorstLatency(aWorker);
  const bool calm =
    throttled &&
    Share(aWorker.observed.cpuMillis, aWorker.capacity.cpuMillis) <
      kProcessorsCalm &&
    (worst == nullptr || worst->slowdownPermille < kCalmPermille);
  if (!calm) {
    past.calmSince = TimePoint::max();
    return;
  }
  past.calmSince = std::min(past.calmSince, aPass.cell.now);
  if (aPass.cell.now - past.calmSince < kCalmFor) {
    return;
  }
  const std::int64_t room = aWorker.capacity.cpuMillis - CountedNow(aWorker);
  for (const RunningTaskView& task : aWorker.tasks) {
    if (task.throttlePermille >= 1000) {
      continue;
    }
    const auto usage = static_cast<double>(task.usage.cpuMillis);
    const auto more = static_cast<std::int64_t>(usage * (kLiftStep - 1));
    const std::int64_t beyond =
      task.usage.cpuMillis + more -
      std::max(task.committed.cpuMillis, task.usage.cpuMillis);
    if (beyond > room) {
      continue;
    }
    const auto permille = static_cast<std::int64_t>(
      static_cast<double>(task.throttlePermille) * kLiftStep);
    this->Throttle(aPass,
                   aWorker,
                   task,
                   std::min<std::int64_t>(1000, permille),
                   "pressure is gone");
    past.calmSince = TimePoint::max();
    return;
  }
}

void
CurrentEviction::Throttle(Pass& aPass,
                          const WorkerView& aWorker,
                          const RunningTaskView& aTask,
                          std::int64_t aPermille,
                          std::string aReason)
{
  const std::int64_t permille = std::max(aPermille, kLowestThrottle);
  aPass.decisions.push_back({ ReliefAction::Throttle,
                              aWorker.name,
                              aTask.task,
                              permille,
                              std::move(aReason),
                              {} });
  this->workers[aWorker.name].lastThrottle = aPass.cell.now;
}

} // namespace sequoiakeel
