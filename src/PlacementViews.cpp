#include "PlacementViews.h"

#include <algorithm>

namespace sequoiakeel {

Resources
Sum(const Resources& aLeft, const Resources& aRight)
{
  return { aLeft.cpuMillis + aRight.cpuMillis,
           aLeft.memoryMb + aRight.memoryMb,
           aLeft.accelerators + aRight.accelerators };
}

Resources
Difference(const Resources& aLeft, const Resources& aRight)
{
  return { aLeft.cpuMillis - aRight.cpuMillis,
           aLeft.memoryMb - aRight.memoryMb,
           aLeft.accelerators - aRight.accelerators };
}

Resources
Larger(const Resources& aLeft, const Resources& aRight)
{
  return { std::max(aLeft.cpuMillis, aRight.cpuMillis),
           std::max(aLeft.memoryMb, aRight.memoryMb),
           std::max(aLeft.accelerators, aRight.accelerators) };
}

bool
Within(const Resources& aPart, const Resources& aWhole)
{
  return aPart.cpuMillis <= aWhole.cpuMillis &&
         aPart.memoryMb <= aWhole.memoryMb &&
         aPart.accelerators <= aWhole.accelerators;
}

Resources
CountedOn(const WorkerView& aWorker)
{
  Resources tasks;
  for (const RunningTaskView& task : aWorker.tasks) {
    tasks = Sum(tasks, Larger(task.committed, task.usage));
  }
  return Larger(tasks, aWorker.committed);
}

bool
AcceptsTasks(const WorkerView& aWorker)
{
  return !aWorker.leaving && !aWorker.unreachable &&
         aWorker.quarantine != QuarantineState::Quarantined;
}

std::string
LimitingResource(const Resources& aNeeded, const Resources& aFree)
{
  if (aNeeded.cpuMillis > aFree.cpuMillis) {
    return "cpu";
  }
  if (aNeeded.memoryMb > aFree.memoryMb) {
    return "memory";
  }
  if (aNeeded.accelerators > aFree.accelerators) {
    return "accelerators";
  }
  return {};
}

std::string
Format(const Resources& aAmount)
{
  std::string text = "cpu=" + std::to_string(aAmount.cpuMillis) +
                     "m,memory=" + std::to_string(aAmount.memoryMb) + "MB";
  if (aAmount.accelerators != 0) {
    text += ",accelerators=" + std::to_string(aAmount.accelerators);
  }
  return text;
}

} // namespace sequoiakeel
