#pragma once

#include "PlacementViews.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiakeel {

class PlacementKnowledge;

/** Action on a running task to relieve its worker. */
enum class ReliefAction : std::uint8_t
{
  /** Limit the task's processor share to throttlePermille; 1000 removes the
   * limit. */
  Throttle,
  /** Take a checkpoint; the task keeps running. */
  Checkpoint,
  /** Evict by checkpoint and stop; another worker has free capacity for the
   * task. */
  Move,
  /** Evict by checkpoint and stop; the task returns to the queue. */
  Evict,
};

/** Returns the action as it is written in log lines. */
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
  /** The next cheapest tasks to evict, with their costs; may be empty. */
  std::string alternatives;
};

/** Limits that the operators set. */
struct EvictionLimits
{
  /** Maximum number of evictions that the cell may begin in a minute. */
  std::int64_t perMinute = 6;
  /** Maximum number of evictions on one worker in ten minutes. */
  std::int64_t perWorker = 3;
  /** False while the store is unavailable: only checkpoints and throttling are
   * allowed then. */
  bool mayStop = true;
};

/**
 * Decides which running tasks to throttle, checkpoint or evict. Keeps its own
 * history of evictions, to apply the limits and to avoid moving a task back and
 * forth; a new owner of the cell starts with an empty history. Not thread safe:
 * one instance for each cell, called under the cell's lock.
 */
class EvictionPolicy
{
public:
  virtual ~EvictionPolicy() = default;

  /** Returns the policy's name in the configuration. */
  virtual std::string_view Name() const = 0;

  /** Returns the decisions for the whole cell. aWaiting are the waiting tasks;
   * urgent ones that fit on no worker may displace running tasks. To be called
   * about once a second; the caller must carry out every decision returned,
   * since the policy counts it as done. */
  virtual std::vector<ReliefDecision> Decide(const CellView& aCell,
                                             std::span<const TaskView> aWaiting,
                                             const EvictionLimits& aLimits) = 0;
};

/** Makes the policy "naive" or "current"; throws UserError on another name.
 * aKnowledge must outlive the policy. */
std::unique_ptr<EvictionPolicy>
MakeEvictionPolicy(std::string_view aName, PlacementKnowledge& aKnowledge);

} // namespace sequoiakeel
