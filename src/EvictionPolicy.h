#pragma once

#include "PlacementViews.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

class PlacementKnowledge;

/** What to do with a running task. */
enum class ReliefAction : std::uint8_t
{
  /** Limit the task's processor share to throttlePermille; 1000 lifts it. */
  Throttle,
  /** Take a checkpoint; the task goes on. */
  Checkpoint,
  /** Evict by checkpoint and stop; another worker has room for the task. */
  Move,
  /** Evict by checkpoint and stop; the task goes back to the queue. */
  Evict,
};

/** Returns the text of an action as log lines have it. */
std::string_view
ToString(ReliefAction aAction);

/** One decision on a running task with its reason. */
struct ReliefDecision
{
  ReliefAction action = ReliefAction::Throttle;
  std::string worker;
  std::string task;
  std::int64_t throttlePermille = 1000;
  std::string reason;
  /** The best alternatives with their costs. */
  std::string alternatives;
};

/** Limits that the operators set. */
struct EvictionLimits
{
  /** Evictions that the cell may begin in a minute. */
  std::int64_t perMinute = 6;
  /** Evictions that one worker may have in ten minutes. */
  std::int64_t perWorker = 3;
  /** False while the store is down: checkpoints and throttling only. */
  bool mayStop = true;
};

/**
 * Decides which running tasks to throttle, checkpoint or evict. Keeps its own
 * history of evictions for the limits and against ping-pong; a new owner of
 * the cell starts with an empty one. Not thread safe: one instance for each
 * cell, called under the cell's lock.
 */
class EvictionPolicy
{
public:
  virtual ~EvictionPolicy() = default;

  /** Name as the configuration has it. */
  virtual std::string_view Name() const = 0;

  /** Decides for the whole cell. aWaiting are the waiting tasks; urgent ones
   * that fit nowhere may displace others. Call about once a second; the
   * caller carries out every decision that it is given. */
  virtual std::vector<ReliefDecision> Decide(const CellView& aCell,
                                             std::span<const TaskView> aWaiting,
                                             const EvictionLimits& aLimits) = 0;
};

/** Makes the policy "naive" or "current"; throws UserError on another name.
 * aKnowledge must outlive the policy. */
std::unique_ptr<EvictionPolicy>
MakeEvictionPolicy(std::string_view aName, PlacementKnowledge& aKnowledge);

} // namespace sequoiakeel
