#include "PlacementPolicy.h"

#include "CurrentPlacement.h"
#include "Error.h"
#include "NaivePlacement.h"

namespace sequoiakeel {

std::string_view
ToString(PlacementBlock aBlock)
{
  switch (aBlock) {
    case PlacementBlock::None:
      return "none";
    case PlacementBlock::NoRoom:
      return "no-room";
    case PlacementBlock::Quota:
      return "quota";
    case PlacementBlock::Reserved:
      return "reserved";
    case PlacementBlock::Avoided:
      return "avoided";
    case PlacementBlock::FitsNowhere:
      return "fits-nowhere";
  }
  return "invalid";
}

std::unique_ptr<PlacementPolicy>
MakePlacementPolicy(std::string_view aName,
                    PlacementKnowledge& aKnowledge,
                    std::uint64_t aSeed)
{
  if (aName == "naive") {
    return std::make_unique<NaivePlacement>();
  }
  UserAssert(aName == "current",
             "unknown placement policy: " + std::string(aName));
  return std::make_unique<CurrentPlacement>(aKnowledge, aSeed);
}

} // namespace sequoiakeel
