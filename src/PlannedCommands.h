#pragma once

#include "HandOverTarget.h"
#include "WorkerReport.h"
#include "generated/Workflow.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sequoiakeel {

/** A decision to start a run. */
struct PlannedStart
{
  std::string worker;
  Endpoint endpoint;
  StartCommand command;
};

/** A decision to stop a run. */
struct PlannedStop
{
  std::string worker;
  Endpoint endpoint;
  std::string task;
  std::uint64_t run = 0;
  /** Reason, for the log. */
  const char* reason = "";
};

/** A decision to change the speed of a best-effort task. */
struct PlannedThrottle
{
  std::string worker;
  Endpoint endpoint;
  std::string task;
  std::uint64_t run = 0;
  int percent = 100;
  /** Number of the order among those for the run. */
  std::uint64_t order = 0;
};

/** Commands to workers that result from one planning pass. */
struct PlannedCommands
{
  std::vector<PlannedStart> starts;
  std::vector<PlannedStop> stops;
  std::vector<PlannedThrottle> throttles;
  /** Number of starts that were decided on and are held until the progress that
   * names them is durable. */
  std::size_t heldStarts = 0;
  /** A task can be started once a further start of it is on the durable roster.
   */
  bool awaitsRoster = false;
};

/** A change of a job's progress that has to be made durable. */
struct ProgressRecord
{
  WorkflowProgress progress;
  /** The job has ended, so its submission can be deleted. */
  bool final = false;
};

/** Progress records that are written together. */
struct ProgressBatch
{
  std::vector<ProgressRecord> records;
  /** Number of the last progress change that the records cover. */
  std::uint64_t change = 0;
};

/** Tasks of one job that no worker of the cell can run and that can be handed
 * over to another cell. */
struct HandOver
{
  WorkflowSubmission submission;
  std::vector<TaskRun> tasks;
  /** What the tasks need; all are of one step. */
  HandOverDemand demand;
};

} // namespace sequoiakeel
