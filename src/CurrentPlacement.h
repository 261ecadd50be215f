#pragma once

#include "PlacementPolicy.h"
#include "PlacementRound.h"
#include "PlacementRules.h"
#include "Reservations.h"
#include "UrgentHeadroom.h"

#include <random>
#include <vector>

namespace sequoiakeel {

/** Hard feasibility on the ledger, then the cheapest worker by fit, expected
 * interference, spread and history; reservations for large tasks. */
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

  /** What one round knows besides the state of the workers. */
  struct Limits
  {
    CapacityCheck capacity;
    QuotaCount quota;
    /** Sizes for which the round has found no room. */
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
  /** Workers with room for the task at hand; kept to save allocations. */
  std::vector<std::size_t> feasible;
};

} // namespace sequoiakeel
