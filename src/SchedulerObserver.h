#pragma once

#include "Clock.h"
#include "WorkerReport.h"
#include "generated/Workflow.h"

#include <cstddef>

namespace sequoiakeel {

/** Receives a scheduler's decisions, for metrics. The base class ignores them.
 * Called on the scheduler's strand. */
class SchedulerObserver
{
public:
  virtual ~SchedulerObserver() = default;

  /** A task was sent to a worker, aWaited after it became pending. */
  virtual void TaskStarted(Duration /*aWaited*/) {}

  /** A start command had another result than WorkerCommandResult::Done. */
  virtual void StartRejected(WorkerCommandResult /*aResult*/) {}

  /** A worker reported the end of a run. */
  virtual void RunEnded(RunEnd /*aEnd*/) {}

  /** A worker was found to have crashed. */
  virtual void WorkerCrashed() {}

  /** A run was declared lost without a report of its end. */
  virtual void RunLost() {}

  /** A short run was stopped to free capacity for a long-running task. */
  virtual void RunPreempted() {}

  /** A job ended, aAge after its acceptance. */
  virtual void JobEnded(WorkflowState /*aState*/, Duration /*aAge*/) {}

  /** The zones that take no new tasks were read; aCount of them are closed. */
  virtual void ZonesClosed(std::size_t /*aCount*/) {}

  /** The speed of the best-effort tasks of an image was changed. */
  virtual void FillersAdjusted() {}
};

} // namespace sequoiakeel
