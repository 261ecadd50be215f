#pragma once

#include "CellPolicies.h"

#include <memory>
#include <string>

namespace sequoiakeel {

/** Placement and eviction policies that the configuration selects, with the
 * observations of tasks and workers that these policies share. Not thread safe.
 */
class ConfiguredPolicies : public CellPolicies
{
public:
  /** aSeed initializes the random exploration of the placement policy. */
  explicit ConfiguredPolicies(std::uint64_t aSeed);

  /** Selects the policies by name. Earlier observations are kept. Throws
   * UserError if a name is unknown. */
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
