#pragma once

#include "PlacementPolicy.h"

namespace sequoiakeel {

/** Baseline for comparison: first fit by declared size in arrival order.
 * Respects capacity and quota, but ignores interference and quarantine. */
class NaivePlacement : public PlacementPolicy
{
public:
  std::string_view Name() const override { return "naive"; }

  std::vector<std::size_t> Order(const CellView& aCell,
                                 std::span<const TaskView> aQueue) override;

  PlacementDecision Choose(const CellView& aCell,
                           const TaskView& aTask) override;

  std::vector<PlacementDecision> PlanRound(const CellView& aCell,
                                           std::span<const TaskView> aQueue,
                                           std::size_t aMaxPlacements) override;
};

} // namespace sequoiakeel
