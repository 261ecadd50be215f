#include "ConfiguredPolicies.h"

namespace sequoiakeel {

ConfiguredPolicies::ConfiguredPolicies(std::uint64_t aSeed)
  : seed(aSeed)
{
  this->Choose("current", "current");
}

void
ConfiguredPolicies::Choose(const std::string& aPlacement,
                           const std::string& aEviction)
{
  if (!this->placement || this->placement->Name() != aPlacement) {
    this->placement =
      MakePlacementPolicy(aPlacement, this->knowledge, this->seed);
  }
  if (!this->eviction || this->eviction->Name() != aEviction) {
    this->eviction = MakeEvictionPolicy(aEviction, this->knowledge);
  }
}

std::vector<PlacementDecision>
ConfiguredPolicies::Place(const CellView& aCell,
                          std::span<const TaskView> aQueue,
                          std::size_t aMaxPlacements)
{
  return this->placement->PlanRound(aCell, aQueue, aMaxPlacements);
}

std::vector<ReliefDecision>
ConfiguredPolicies::Relieve(const CellView& aCell,
                            std::span<const TaskView> aQueue,
                            const EvictionLimits& aLimits)
{
  return this->eviction->Decide(aCell, aQueue, aLimits);
}

void
ConfiguredPolicies::ObserveWorker(TimePoint aNow, const WorkerView& aWorker)
{
  this->knowledge.ObserveWorker(aNow, aWorker);
}

void
ConfiguredPolicies::TaskEnded(TimePoint aNow, const TaskEnd& aEnd)
{
  this->knowledge.TaskEnded(aNow, aEnd);
}

void
ConfiguredPolicies::WorkerLost(TimePoint aNow, const WorkerView& aWorker)
{
  this->knowledge.WorkerLost(aNow, aWorker);
}

QuarantineState
ConfiguredPolicies::StateOf(TimePoint aNow, const std::string& aWorker)
{
  return this->knowledge.StateOf(aNow, aWorker);
}

} // namespace sequoiakeel
