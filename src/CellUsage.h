#pragma once

#include "FillerInterference.h"
#include "ScheduledWorker.h"

#include <cstdint>
#include <map>
#include <string>

namespace sequoiakeel {

/** How the processors of a cell are used at one moment, in thousandths of a
 * core, by the kinds of task that compete for them. */
struct CellUsage
{
  std::int64_t capacity = 0;
  /** Reserved by long-running tasks, and by all others except fillers. */
  std::int64_t longRunning = 0;
  std::int64_t shortTasks = 0;
  /** Demand of the fillers that run, what they use, and what the other tasks
   * leave to fillers. */
  std::int64_t fillerDemand = 0;
  std::int64_t fillerUse = 0;
  std::int64_t availableToFillers = 0;
  /** Demand of fillers below full speed, weighted by the speed they lack. */
  std::int64_t fillersHeldBack = 0;
  std::uint64_t workersOverTarget = 0;
};

/** Returns the usage of all workers that accept tasks. Thread safe as long as
 * the arguments are not modified. */
CellUsage
MeasureUsage(const std::map<std::string, ScheduledWorker>& aWorkers,
             const FillerInterference& aInterference,
             TimePoint aNow);

} // namespace sequoiakeel
