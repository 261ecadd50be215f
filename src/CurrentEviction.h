#pragma once

#include "EvictionCost.h"
#include "EvictionHistory.h"
#include "EvictionPolicy.h"

#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sequoiakeel {

/** Throttles first, takes a checkpoint and moves next, evicts last. */
class CurrentEviction : public EvictionPolicy
{
public:
  explicit CurrentEviction(PlacementKnowledge& aKnowledge);

  std::string_view Name() const override { return "current"; }

  std::vector<ReliefDecision> Decide(const CellView& aCell,
                                     std::span<const TaskView> aWaiting,
                                     const EvictionLimits& aLimits) override;

private:
  /** What one call works on. */
  struct Pass
  {
    const CellView& cell;
    const EvictionLimits& limits;
    /** Free amount of each worker, less what this call promised. */
    std::vector<Resources> free;
    std::vector<ReliefDecision> decisions;
  };
  struct WorkerHistory
  {
    TimePoint lastThrottle = TimePoint::min();
    /** Since when a latency-critical task suffers beside neighbours that are
     * throttled as far as they may be; max(): it doesn't. */
    TimePoint suffersSince = TimePoint::max();
    TimePoint calmSince = TimePoint::max();
    TimePoint seen;
    /** Memory of the tasks that were evicted, which older reports still show.
     */
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
  /** Memory used, less what evictions after the report have given back. */
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
  void MakeRoomForUrgent(Pass& aPass, const TaskView& aTask);
  std::vector<Victim> Victims(const Pass& aPass,
                              const WorkerView& aWorker,
                              ReliefNeed aNeed) const;
  std::size_t RoomElsewhere(const Pass& aPass,
                            std::size_t aWorker,
                            const RunningTaskView& aTask) const;
  void Throttle(Pass& aPass,
                const WorkerView& aWorker,
                const RunningTaskView& aTask,
                std::int64_t aPermille,
                std::string aReason);
  /** Evicts, as a move if another worker has room. */
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
