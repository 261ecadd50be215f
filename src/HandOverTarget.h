#pragma once

#include "generated/Workflow.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sequoiakeel {

/** What tasks that are to be handed over need. */
struct HandOverDemand
{
  std::string service;
  /** Label that the workers must have; empty: any worker. */
  std::string requiredLabel;
  /** Largest resource demand of any of the tasks. */
  FreePiece size;
  /** Maximum number of the tasks per worker; 0: no limit. */
  std::uint32_t maxPerWorker = 0;
  std::uint64_t tasks = 0;
};

/** Cell to which tasks are handed over, and how many of them it can take. */
struct HandOverTarget
{
  std::uint32_t cell = 0;
  std::uint64_t tasks = 0;
};

/** Returns how many tasks of a demand, at most all of them, fit in the free
 * pieces that a cell has published. Thread safe, as is everything below. */
std::uint64_t
TasksThatFit(const LongRunningCapacity& aCapacity,
             const HandOverDemand& aDemand);

/** Returns the cell that can take most of the tasks and, of several such cells,
 * the one with most free capacity. Empty if no cell can take any. */
std::optional<HandOverTarget>
ChooseHandOverTarget(
  const std::map<std::uint32_t, LongRunningCapacity>& aCapacities,
  const HandOverDemand& aDemand);

/** Subtracts aTasks tasks of a demand from a cell's pieces, so that further
 * tasks are not handed over to the same pieces. */
void
SubtractTasks(LongRunningCapacity& aCapacity,
              const HandOverDemand& aDemand,
              std::uint64_t aTasks);

/** Returns whether one of the capacities can take a task of some size that the
 * other cannot take, with a tolerance for small differences. */
bool
HasLargerPiece(const LongRunningCapacity& aCapacity,
               const LongRunningCapacity& aThan);

} // namespace sequoiakeel
