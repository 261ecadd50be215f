#pragma once

#include "PlacementPolicy.h"
#include "PlacementRound.h"
#include "PlacementRules.h"
#include "Reservations.h"
#include "UrgentHeadroom.h"

#include <random>
#include <vector>

namespace sequoiakeel {

/** Selects the workers whose free capacity covers the task's declared size,
 * then places the task on the one with the lowest cost by fit, expected
 * interference, spread and history. Reserves capacity for large tasks. */
class CurrentPlacement : public PlacementPolicy
{
public:
  CurrentPlacement(PlacementKnowledge& aKnowledge, std::uint64_t aSeed);

  std::string_view Name() const override { return "current"; }

  std::vector<std::size_t> Order(const CellView& aCell,
                                 std::span<const TaskView> aQueue) override;

  PlacementDecision Choose(const CellView& aCell,
                           const TaskView& aTask) override;

  std::vector<PlacementDecision> PlanRound(const CellView& aCell,
                                           std::span<const TaskView> aQueue,
                                           std::size_t aMaxPlacements) override;

private:
  struct Candidate
  {
    std::size_t worker = 0;
    double cost = 0;
  };

  /** State of one planning pass besides that of the workers. */
  struct Limits
  {
    CapacityCheck capacity;
    QuotaCount quota;
    /** Task sizes for which this pass found no worker with enough capacity. */
    std::vector<Resources> noRoom;
  };

  PlacementDecision Decide(PlacementRound& aRound,
                           Limits& aLimits,
                           const TaskView& aTask);
  bool BlockedByRules(PlacementRound& aRound,
                      const Limits& aLimits,
                      const TaskView& aTask,
                      PlacementDecision& aDecision) const;
  bool Admissible(PlacementRound& aRound,
                  const TaskView& aTask,
                  const TaskLoad& aLoad,
                  PlacementDecision& aDecision);
  std::vector<Candidate> Score(PlacementRound& aRound,
                               const TaskView& aTask,
                               const TaskLoad& aLoad);
  std::size_t Explore(PlacementRound& aRound,
                      const TaskView& aTask,
                      const std::vector<Candidate>& aCandidates);
  void Collect(const PlacementRound& aRound, const TaskView& aTask);
  bool MayReserve(const PlacementRound& aRound,
                  const Limits& aLimits,
                  const TaskView& aTask) const;

  PlacementKnowledge& knowledge;
  std::mt19937_64 random;
  Reservations reservations;
  UrgentHeadroom headroom;
  /** Indices of the workers with capacity for the task being decided. A member
   * so that its memory is reused between tasks. */
  std::vector<std::size_t> feasible;
};

} // namespace sequoiakeel
