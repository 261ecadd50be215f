#pragma once

#include "EvictionHistory.h"
#include "EvictionPolicy.h"

namespace sequoiakeel {

/** Baseline for comparison: evicts the newest evictable task of each worker
 * that is leaving or whose tasks count for more than its capacity. */
class NaiveEviction : public EvictionPolicy
{
public:
  std::string_view Name() const override { return "naive"; }

  std::vector<ReliefDecision> Decide(const CellView& aCell,
                                     std::span<const TaskView> aWaiting,
                                     const EvictionLimits& aLimits) override;

private:
  EvictionHistory history;
};

} // namespace sequoiakeel
