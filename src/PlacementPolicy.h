#pragma once

#include "PlacementViews.h"

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

class PlacementKnowledge;

/** What became of one placement decision. */
enum class PlacementOutcome : std::uint8_t
{
  Placed,
  /** No worker has room now, or the task has to wait for its turn. */
  Wait,
  /** Larger than every worker of the cell; reconsidered when the fleet or the
     configuration changes. */
  Unplaceable,
};

/** Why a task was not placed. */
enum class PlacementBlock : std::uint8_t
{
  None,
  NoRoom,
  Quota,
  /** The room that is left is kept for a larger task that waits longer. */
  Reserved,
  /** Every worker with room has failed the task, is quarantined or on
     probation. */
  Avoided,
  FitsNowhere,
};

/** Returns the text of a block as reasons and metrics have it. */
std::string_view
ToString(PlacementBlock aBlock);

/** One placement decision with its reason. */
struct PlacementDecision
{
  std::string task;
  PlacementOutcome outcome = PlacementOutcome::Wait;
  PlacementBlock block = PlacementBlock::None;
  /** Set if the outcome is Placed. */
  std::string worker;
  /** For logs and `explain`; names the limiting resource and the largest
   * worker if the task fits nowhere. */
  std::string reason;
  /** The best alternatives with their scores, for example "w7=0.81 w3=0.80".
   */
  std::string alternatives;
};

/**
 * Decides which waiting task starts on which worker. Holds no state of the
 * cell; what it learns is in PlacementKnowledge. Not thread safe: one instance
 * for each cell, called under the cell's lock.
 */
class PlacementPolicy
{
public:
  virtual ~PlacementPolicy() = default;

  /** Name as the configuration has it. */
  virtual std::string_view Name() const = 0;

  /** Returns the indices of aQueue in the order in which to place. */
  virtual std::vector<std::size_t> Order(const CellView& aCell,
                                         std::span<const TaskView> aQueue) = 0;

  /** Decides one task against the cell as it is, without regard to other
   * waiting tasks. */
  virtual PlacementDecision Choose(const CellView& aCell,
                                   const TaskView& aTask) = 0;

  /** Decides a whole queue: orders it, and counts the placements of the round
   * in its later decisions (ledger, quota, reservations). Returns at most one
   * decision for a task, in the order made. Tasks that merely have to wait
   * are included; stops after aMaxPlacements placements. */
  virtual std::vector<PlacementDecision> PlanRound(
    const CellView& aCell,
    std::span<const TaskView> aQueue,
    std::size_t aMaxPlacements) = 0;
};

/** Makes the policy "naive" or "current"; throws UserError on another name.
 * aKnowledge must outlive the policy; aSeed is for exploration. */
std::unique_ptr<PlacementPolicy>
MakePlacementPolicy(std::string_view aName,
                    PlacementKnowledge& aKnowledge,
                    std::uint64_t aSeed);

} // namespace sequoiakeel
