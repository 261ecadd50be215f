#include "EvictionPolicy.h"

#include "CurrentEviction.h"
#include "Error.h"
#include "NaiveEviction.h"

namespace sequoiakeel {

std::string_view
ToString(ReliefAction aAction)
{
  switch (aAction) {
    case ReliefAction::Throttle:
      return "throttle";
    case ReliefAction::Checkpoint:
      return "checkpoint";
    case ReliefAction::Move:
      return "move";
    case ReliefAction::Evict:
      return "evict";
  }
  return "invalid";
}

std::unique_ptr<EvictionPolicy>
MakeEvictionPolicy(std::string_view aName, PlacementKnowledge& aKnowledge)
{
  if (aName == "naive") {
    return std::make_unique<NaiveEviction>();
  }
  UserAssert(aName == "current",
             "unknown eviction policy: " + std::string(aName));
  return std::make_unique<CurrentEviction>(aKnowledge);
}

} // namespace sequoiakeel
