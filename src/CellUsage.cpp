#include "CellUsage.h"

#include "WorkerChoice.h"

#include <algorithm>

namespace sequoiakeel {

CellUsage
MeasureUsage(const std::map<std::string, ScheduledWorker>& aWorkers,
             const FillerInterference& aInterference,
             TimePoint aNow)
{
  CellUsage usage;
  for (const auto& [id, worker] : aWorkers) {
    if (!AcceptsNewTasks(worker, aNow)) {
      continue;
    }
    usage.capacity += worker.description.capacity.cpuMilli;
    usage.availableToFillers += static_cast<std::int64_t>(
      std::max(0.0, CpuAvailableToFillers(worker, aInterference)));
    usage.workersOverTarget += worker.WorstLatencyRatio() > 1 ? 1 : 0;
    for (const auto& [task, commitment] : worker.Commitments()) {
      const std::int64_t cpu = commitment.step.cpuMilli;
      if (commitment.step.filler) {
        usage.fillerDemand += cpu;
        usage.fillerUse += commitment.usage;
        usage.fillersHeldBack += cpu * (100 - commitment.speed.Percent()) / 100;
        continue;
      }
      (commitment.step.longRunning ? usage.longRunning : usage.shortTasks) +=
        cpu;
    }
  }
  return usage;
}

} // namespace sequoiakeel
