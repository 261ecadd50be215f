#pragma once

#include "EvictionCost.h"
#include "EvictionHistory.h"
#include "EvictionPolicy.h"

#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sequoiakeel {

/** Relieves overloaded workers and prefers mild actions: throttles tasks first,
 * then takes a checkpoint and moves a task, and evicts a task last. */
class CurrentEviction : public EvictionPolicy
{
public:
  explicit CurrentEviction(PlacementKnowledge& aKnowledge);

  std::string_view Name() const override { return "current"; }

  std::vector<ReliefDecision> Decide(const CellView& aCell,
                                     std::span<const TaskView> aWaiting,
                                     const EvictionLimits& aLimits) override;

private:
  /** State of one call of Decide. */
  struct Pass
  {
    const CellView& cell;
    const EvictionLimits& limits;
    /** Free capacity of each worker, less what this call has set aside for
     * moved and urgent tasks; negative for workers that accept no tasks. */
    std::vector<Resources> free;
    std::vector<ReliefDecision> decisions;
  };
  struct WorkerHistory
  {
    TimePoint lastThrottle = TimePoint::min();
    /** Time since which a latency-critical task is slowed down although its
     * neighbours are throttled as far as allowed; max() if none is. */
    TimePoint suffersSince = TimePoint::max();
    TimePoint calmSince = TimePoint::max();
    TimePoint seen;
    /** Time of each recent eviction and memory of the evicted task, which older
     * reports still include. */
    std::vector<std::pair<TimePoint, std::int64_t>> freed;
  };
  struct Victim
  {
    const RunningTaskView* task = nullptr;
    double cost = 0;
  };

  void RelieveWorker(Pass& aPass, std::size_t aWorker);
  void Evacuate(Pass& aPass, std::size_t aWorker);
  bool RelieveMemory(Pass& aPass, std::size_t aWorker);
  /** Returns the reported memory in use, less the memory of evicted tasks that
   * the report may still include. */
  std::int64_t MemoryOf(const WorkerView& aWorker, TimePoint aNow);
  bool RelieveProcessors(Pass& aPass, const WorkerView& aWorker);
  void ProtectLatency(Pass& aPass, std::size_t aWorker);
  bool ThrottleWorst(Pass& aPass,
                     const WorkerView& aWorker,
                     const RunningTaskView& aSuffering);
  void MoveWorst(Pass& aPass,
                 std::size_t aWorker,
                 const RunningTaskView& aSuffering);
  void LiftThrottles(Pass& aPass, const WorkerView& aWorker);
  void PreemptForUrgent(Pass& aPass, const TaskView& aTask);
  std::vector<Victim> Victims(const Pass& aPass,
                              const WorkerView& aWorker,
                              ReliefNeed aNeed) const;
  std::size_t FindMoveTarget(const Pass& aPass,
                             std::size_t aWorker,
                             const RunningTaskView& aTask) const;
  void Throttle(Pass& aPass,
                const WorkerView& aWorker,
                const RunningTaskView& aTask,
                std::int64_t aPermille,
                std::string aReason);
  /** Evicts the task: as a move if another worker has free capacity for it,
   * otherwise back to the queue. */
  void Stop(Pass& aPass,
            std::size_t aWorker,
            const RunningTaskView& aTask,
            std::string aReason,
            std::string aAlternatives);
  double Contribution(TimePoint aNow,
                      const RunningTaskView& aSuffering,
                      const RunningTaskView& aNeighbour);
  void Forget(TimePoint aNow);

  PlacementKnowledge& knowledge;
  EvictionHistory history;
  std::unordered_map<std::string, WorkerHistory> workers;
};

} // namespace sequoiakeel
