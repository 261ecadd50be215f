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

/** Result of one placement decision. */
enum class PlacementOutcome : std::uint8_t
{
  Placed,
  /** The task cannot start now and stays in the queue; PlacementBlock says why.
   */
  Wait,
  /** The task is larger than every worker of the cell. It is reconsidered when
   * the fleet or the configuration changes. */
  Unplaceable,
};

/** Reason why a task was not placed. */
enum class PlacementBlock : std::uint8_t
{
  None,
  NoRoom,
  Quota,
  /** The remaining capacity is reserved for a larger task that has waited
   * longer, or for urgent tasks. */
  Reserved,
  /** All workers with enough capacity are on probation, or the task's expected
   * memory use fits on none of them, or its job is suspected of causing losses
   * of workers and already runs a task. */
  Avoided,
  FitsNowhere,
};

/** Returns the name of a block as used in reasons and metrics. */
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
  /** Explanation for logs and `explain`. Names the limiting resource and the
   * largest worker if the task fits on no worker. */
  std::string reason;
  /** The best alternatives with their costs, for example "w7=0.81 w3=0.80".
   */
  std::string alternatives;
};

/**
 * Decides which waiting task starts on which worker. Holds no state of the
 * cell; data learnt at run time is in PlacementKnowledge. Not thread safe: one
 * instance for each cell, called under the cell's lock.
 */
class PlacementPolicy
{
public:
  virtual ~PlacementPolicy() = default;

  /** Returns the name of the policy as used in the configuration. */
  virtual std::string_view Name() const = 0;

  /** Returns the indices of aQueue in the order in which to place the tasks. */
  virtual std::vector<std::size_t> Order(const CellView& aCell,
                                         std::span<const TaskView> aQueue) = 0;

  /** Decides on a single task from the current state of the cell, without
   * regard to other waiting tasks. */
  virtual PlacementDecision Choose(const CellView& aCell,
                                   const TaskView& aTask) = 0;

  /** Runs a planning pass over the whole queue: orders it and decides on each
   * task, where each placement reduces the capacity and quota for the tasks
   * after it and updates reservations. Returns at most one decision for a task,
   * in the order made, including those for tasks that have to wait. Stops after
   * aMaxPlacements placements. */
  virtual std::vector<PlacementDecision> PlanRound(
    const CellView& aCell,
    std::span<const TaskView> aQueue,
    std::size_t aMaxPlacements) = 0;
};

/** Creates the policy "naive" or "current"; throws UserError on another name.
 * aKnowledge must outlive the policy. aSeed seeds the policy's random choices,
 * such as exploration. */
std::unique_ptr<PlacementPolicy>
MakePlacementPolicy(std::string_view aName,
                    PlacementKnowledge& aKnowledge,
                    std::uint64_t aSeed);

} // namespace sequoiakeel
