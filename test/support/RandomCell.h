#pragma once

#include "PlacementViews.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sequoiakeel {

/** A cell and its queue, generated from a seed. */
struct RandomCell
{
  std::vector<WorkerView> workers;
  std::vector<TeamView> teams;
  std::vector<TaskView> queue;
  TimePoint now;

  CellView View() const { return { this->now, this->workers, this->teams }; }
};

/** Generates a cell of 1 to 40 workers, some of them full, leaving, unreachable
 * or with usage beyond the committed amounts, and a queue of up to 60 tasks of
 * all kinds, some larger than every worker. */
RandomCell
MakeRandomCell(std::uint64_t aSeed);

/** Makes an empty worker of 32 cores and 125 GB. */
WorkerView
MakeWorker(const std::string& aName, const std::string& aRack = "r0");

/** Makes a waiting batch task. */
TaskView
MakeTask(const std::string& aName, std::int64_t aCores, std::int64_t aGb);

/** Adds a running batch task whose usage equals its committed resources. */
RunningTaskView&
AddRunning(WorkerView& aWorker,
           const std::string& aName,
           std::int64_t aCores,
           std::int64_t aGb);

} // namespace sequoiakeel
