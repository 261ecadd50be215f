#pragma once

#include "CellPolicies.h"

#include <memory>
#include <string>

namespace sequoiakeel {

/** The policies that the configuration names, with what they have learnt. Not
 * thread safe. */
class ConfiguredPolicies : public CellPolicies
{
public:
  /** aSeed is for the exploration of placement. */
  explicit ConfiguredPolicies(std::uint64_t aSeed);

  /** Changes to the policies of these names and keeps what was learnt. Throws
   * UserError on an unknown name. */
  void Choose(const std::string& aPlacement, const std::string& aEviction);

  std::vector<PlacementDecision> Place(const CellView& aCell,
                                       std::span<const TaskView> aQueue,
                                       std::size_t aMaxPlacements) override;
  std::vector<ReliefDecision> Relieve(const CellView& aCell,
                                      std::span<const TaskView> aQueue,
                                      const EvictionLimits& aLimits) override;
  void ObserveWorker(TimePoint aNow, const WorkerView& aWorker) override;
  void TaskEnded(TimePoint aNow, const TaskEnd& aEnd) override;
  void WorkerLost(TimePoint aNow, const WorkerView& aWorker) override;
  QuarantineState StateOf(TimePoint aNow, const std::string& aWorker) override;

private:
  std::uint64_t seed;
  PlacementKnowledge knowledge;
  std::unique_ptr<PlacementPolicy> placement;
  std::unique_ptr<EvictionPolicy> eviction;
};

} // namespace sequoiakeel
