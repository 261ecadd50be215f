#include "HandOverTarget.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

/** Growth of a group's largest piece that counts as larger. Long-running tasks
 * need several cores, so smaller changes do not matter to them. */
constexpr std::uint64_t kPieceTolerance = 500;

bool
Matches(const WorkerGroupCapacity& aGroup, const HandOverDemand& aDemand)
{
  return aGroup.service == aDemand.service &&
         (aDemand.requiredLabel.empty() ||
          std::find(aGroup.labels.begin(),
                    aGroup.labels.end(),
                    aDemand.requiredLabel) != aGroup.labels.end());
}

std::uint64_t
TasksInPiece(const FreePiece& aPiece, const HandOverDemand& aDemand)
{
  const FreePiece& size = aDemand.size;
  const auto ratio = [](std::uint64_t aFree, std::uint64_t aNeeded) {
    return aNeeded == 0 ? UINT64_MAX : aFree / aNeeded;
  };
  // A piece is that of one worker.
  const std::uint64_t limit =
    aDemand.maxPerWorker == 0 ? UINT64_MAX : aDemand.maxPerWorker;
  return std::min({ ratio(aPiece.cpuMilli, size.cpuMilli),
                    ratio(aPiece.memoryMb, size.memoryMb),
                    ratio(aPiece.accelerators, size.accelerators),
                    limit });
}

std::uint64_t
FreeCpuMilli(const LongRunningCapacity& aCapacity,
             const HandOverDemand& aDemand)
{
  std::uint64_t sum = 0;
  for (const WorkerGroupCapacity& group : aCapacity.groups) {
    sum += Matches(group, aDemand) ? group.freeCpuMilli : 0;
  }
  return sum;
}

std::uint64_t
LargestPiece(const LongRunningCapacity& aCapacity,
             const WorkerGroupCapacity& aGroup)
{
  for (const WorkerGroupCapacity& group : aCapacity.groups) {
    if (group.service == aGroup.service && group.labels == aGroup.labels) {
      return group.pieces.empty() ? 0 : group.pieces.front().cpuMilli;
    }
  }
  return 0;
}

} // namespace

std::uint64_t
TasksThatFit(const LongRunningCapacity& aCapacity,
             const HandOverDemand& aDemand)
{
  std::uint64_t fit = 0;
  for (const WorkerGroupCapacity& group : aCapacity.groups) {
    if (!Matches(group, aDemand)) {
      continue;
    }
    for (const FreePiece& piece : group.pieces) {
      const std::uint64_t left = aDemand.tasks - fit;
      fit += std::min(left, TasksInPiece(piece, aDemand));
    }
  }
  return fit;
}

std::optional<HandOverTarget>
ChooseHandOverTarget(
  const std::map<std::uint32_t, LongRunningCapacity>& aCapacities,
  const HandOverDemand& aDemand)
{
  std::optional<HandOverTarget> best;
  std::uint64_t bestFree = 0;
  for (const auto& [cell, capacity] : aCapacities) {
    const std::uint64_t fit = TasksThatFit(capacity, aDemand);
    if (fit == 0) {
      continue;
    }
    const std::uint64_t free = FreeCpuMilli(capacity, aDemand);
    if (!best || fit > best->tasks || (fit == best->tasks && free > bestFree)) {
      best = HandOverTarget{ cell, fit };
      bestFree = free;
    }
  }
  return best;
}

void
SubtractTasks(LongRunningCapacity& aCapacity,
              const HandOverDemand& aDemand,
              std::uint64_t aTasks)
{
  for (WorkerGroupCapacity& group : aCapacity.groups) {
    if (!Matches(group, aDemand)) {
      continue;
    }
    for (FreePiece& piece : group.pieces) {
      const std::uint64_t count =
        std::min(aTasks, TasksInPiece(piece, aDemand));
      piece.cpuMilli -= count * aDemand.size.cpuMilli;
      piece.memoryMb -= count * aDemand.size.memoryMb;
      piece.accelerators -= count * aDemand.size.accelerators;
      group.freeCpuMilli -=
        std::min(group.freeCpuMilli, count * aDemand.size.cpuMilli);
      aTasks -= count;
    }
  }
}

bool
HasLargerPiece(const LongRunningCapacity& aCapacity,
               const LongRunningCapacity& aThan)
{
  return std::any_of(aCapacity.groups.begin(),
                     aCapacity.groups.end(),
                     [&aThan](const WorkerGroupCapacity& aGroup) {
                       return !aGroup.pieces.empty() &&
                              aGroup.pieces.front().cpuMilli >=
                                LargestPiece(aThan, aGroup) + kPieceTolerance;
                     });
}

} // namespace sequoiakeel
