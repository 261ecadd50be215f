#pragma once

#include "Clock.h"
#include "WorkerReport.h"
#include "generated/Workflow.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sequoiakeel {

/** What is known of a run that takes up room on a worker. */
enum class CommitmentPhase : std::uint8_t
{
  /** The start order was sent and is not confirmed. */
  Starting,
  Running,
  /** It is to be stopped; its room is taken until its end is listed. */
  Stopping,
};

/** A run that takes up room on a worker until its end is known. */
struct Commitment
{
  std::uint64_t run = 0;
  CommitmentPhase phase = CommitmentPhase::Starting;
  /** Resources and kind; a copy, since the run can outlive its job. */
  WorkflowStep step;
  /** False for a run of a job that is no longer known: its size isn't either.
   */
  bool sizeKnown = true;
  /** Job, occurrence and step, for limits by step. */
  std::string stepKey;
  TimePoint startedAt;
  /** Starting: from here on the start order can no longer take effect. */
  TimePoint voidAt;
  /** A copy of the start order had no answer and may still be carried out. */
  bool mayBeInFlight = false;
  /** The worker was restarted while a copy was in flight, which its new
   * incarnation would carry out. The run counts until that one has confirmed a
   * stop. */
  bool awaitsStop = false;
  /** Running: when the start was confirmed. */
  TimePoint confirmedAt;
  /** Stopping: when the last stop order was sent. */
  TimePoint stopSentAt;
  /** Last reported tail latency (ms) or processor use (thousandths). */
  std::int64_t usage = 0;
  int progressPercent = 0;
  /** Share of its speed that the worker was last told. */
  int speedPercent = 100;

  /** Tells whether it serves requests and has a latency target. */
  bool Serves() const { return this->step.latencyTargetMs > 0; }
};

/** Sums over the commitments of a worker. */
struct CommittedRoom
{
  /** Reserved by tasks that are no fillers, in thousandths of a core. */
  std::int64_t cpuMilli = 0;
  /** Part of cpuMilli that belongs to tasks with a latency target. */
  std::int64_t servingCpuMilli = 0;
  /** Wanted by fillers. */
  std::int64_t fillerCpuMilli = 0;
  std::int64_t memoryMb = 0;
  std::int64_t accelerators = 0;
  /** Runs of unknown size. */
  int unknownSizes = 0;
};

/** Room that is kept free on a worker for tasks that are about to start. */
struct HeldRoom
{
  std::int64_t cpuMilli = 0;
  std::int64_t memoryMb = 0;
  std::int64_t accelerators = 0;
};

/** A worker with everything that may run on it. Not thread safe. */
class ScheduledWorker
{
public:
  WorkerDescription description;
  /** The registry lists the worker. */
  bool listed = true;
  /** The worker has reported to this owner. */
  bool reported = false;
  /** Incarnation whose ends are counted in seenEnds; the registry may already
   * describe a newer one. */
  std::uint64_t reportedIncarnation = 0;
  /** The worker did not answer the last renewal. */
  bool silent = false;
  /** The worker listed a run whose name is not ours. */
  bool foreignRuns = false;
  /** No starts until then, after it turned one away. */
  TimePoint backoffUntil;
  /** Everything that may run there has lost its lease by then. */
  TimePoint leaseGoneAt;
  TimePoint lastReportAt;
  /** What the worker's clock showed at clockReadAt; 0: unknown. */
  std::uint64_t clockReadingMs = 0;
  TimePoint clockReadAt;
  /** Ends up to here were taken in. */
  std::uint64_t seenEnds = 0;
  /** Number of the scheduler's change that the last of them made. */
  std::uint64_t seenChange = 0;
  /** Ends up to here are durable and may be forgotten by the worker. */
  std::uint64_t durableEnds = 0;
  /** Speed of fillers by image, in percent; full speed if not listed. */
  std::map<std::string, int> fillerPercents;
  /** When fillerPercents was last considered. */
  TimePoint fillersAdjustedAt;
  /** Considerations in a row that found a serving task over its target. */
  int overTarget = 0;
  /** When the registry first showed the present state of draining. */
  TimePoint drainingSince;
  /** Processor time that is left for one more filler, in thousandths of a core,
   * as it was last computed; unset after a change of what it depends on. */
  mutable std::optional<double> fillerSpare;

  const std::map<std::string, Commitment>& Commitments() const
  {
    return this->commitments;
  }

  const CommittedRoom& Committed() const { return this->committed; }

  /** Returns the commitment of a task, or null. */
  Commitment* Find(const std::string& aTask);

  /** Adds a commitment. Precondition: the task has none here. */
  void Commit(const std::string& aTask, Commitment aCommitment);

  /** Removes a commitment; does nothing if there is none. */
  void Release(const std::string& aTask);

  /** Tells whether a task of aStep fits beside everything else and what is
   * held. A filler's processor share is not counted. */
  bool Fits(const WorkflowStep& aStep) const;

  /** Keeps room for one task of aStep from others until DropHolds(). */
  void Hold(const WorkflowStep& aStep);
  void DropHolds() { this->held = HeldRoom(); }
  const HeldRoom& Held() const { return this->held; }

  /** Returns the number of commitments of one step. */
  std::uint32_t CountOfStep(const std::string& aStepKey) const;

  /** Returns an estimate of the worker's clock that is never ahead of it, apart
   * from its rate. Precondition: clockReadingMs is known. */
  std::uint64_t ClockAt(TimePoint aNow) const;

  /** Returns the speed that fillers of an image have here, in percent. */
  int FillerPercent(const std::string& aImage) const;

  /** Returns the largest tail latency of a serving task against its target; 0
   * without any. */
  double WorstLatencyRatio() const;

private:
  void Count(const Commitment& aCommitment, int aSign);

  std::map<std::string, Commitment> commitments;
  std::map<std::string, std::uint32_t> byStep;
  CommittedRoom committed;
  HeldRoom held;
};

} // namespace sequoiakeel
