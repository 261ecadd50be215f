#pragma once

#include "Clock.h"
#include "WorkerReport.h"
#include "generated/Workflow.h"

namespace sequoiakeel {

/** Learns of a scheduler's decisions, for metrics. The base class ignores them.
 * Called on the scheduler's strand. */
class SchedulerObserver
{
public:
  virtual ~SchedulerObserver() = default;

  /** A task was sent to a worker, aWaited after its turn came. */
  virtual void TaskStarted(Duration /*aWaited*/) {}

  /** A worker did not take a start. */
  virtual void StartTurnedAway(OrderResult /*aResult*/) {}

  /** A run ended by a worker's word. */
  virtual void RunEnded(RunEnd /*aEnd*/) {}

  /** A run was given up without a worker's word. */
  virtual void RunLost() {}

  /** A short run was stopped to make room for a long-running task. */
  virtual void RunPreempted() {}

  /** A job ended, aAge after it was accepted. */
  virtual void JobEnded(WorkflowState /*aState*/, Duration /*aAge*/) {}

  /** The speed of fillers was changed. */
  virtual void FillersAdjusted() {}
};

} // namespace sequoiakeel
