#pragma once

#include "EvictionHistory.h"
#include "EvictionPolicy.h"

namespace sequoiakeel {

/** The baseline: evicts the newest evictable task of a worker on which more is
 * counted than it has, and of a leaving worker. */
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
