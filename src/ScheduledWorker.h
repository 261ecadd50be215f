#pragma once

#include "Clock.h"
#include "CrashAttribution.h"
#include "RunSpeed.h"
#include "WorkerReport.h"
#include "generated/Workflow.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Phase of a run that uses capacity on a worker. */
enum class CommitmentPhase : std::uint8_t
{
  /** The start command has been decided on and is not confirmed. */
  Starting,
  Running,
  /** The scheduler has decided to stop the run; the run's capacity stays
   * committed until a report lists its end. */
  Stopping,
};

/** A run that uses capacity on a worker until its end is known. */
struct Commitment
{
  /** Workers measure over the last 500 ms. A run is visible in its worker's
   * measurements only after this time. */
  static constexpr std::chrono::milliseconds kSettleTime{ 700 };

  std::uint64_t run = 0;
  CommitmentPhase phase = CommitmentPhase::Starting;
  /** Resource demand and kind; a copy, since the run can outlive its job. */
  WorkflowStep step;
  /** False for a run of a job that is no longer known, whose size is therefore
   * unknown too. */
  bool sizeKnown = true;
  /** Identifies job, occurrence and step, for the limits of a step. */
  std::string stepKey;
  /** While Starting: the start command was not sent yet, since the assignment
   * of the task is not durable. */
  bool held = false;
  /** The run was started on capacity that is reserved for a task which is
   * expected to fit only after the end of the run. */
  bool backfill = false;
  TimePoint startedAt;
  /** While Starting: time from which the start command can no longer take
   * effect. */
  TimePoint startExpiresAt;
  /** The worker has confirmed the start command and answered every copy of it,
   * so that no copy can be carried out after confirmedAt. */
  bool allCopiesAnswered = false;
  /** The task is suspected of crashing its workers. */
  bool suspect = false;
  /** The run was started to find out whether its quarantined worker still
   * fails. */
  bool trial = false;
  /** The run was found on the worker and not started by this owner, so it is
   * not known when it began. */
  bool adopted = false;
  /** The worker was restarted while a copy of the start command was in flight,
   * and its new incarnation would carry the copy out. The run counts as
   * present until the new incarnation has confirmed a stop. */
  bool awaitsStop = false;
  /** While Running: when the start was confirmed. */
  TimePoint confirmedAt;
  /** While Stopping: when the last stop command was sent. */
  TimePoint stopSentAt;
  /** Last reported tail latency in whole milliseconds if the task has a latency
   * target, otherwise processor use in thousandths of a core. */
  std::int64_t usage = 0;
  /** A report that was requested kSettleTime or more after the confirmed start
   * listed the run, so that a usage of 0 is a measurement. */
  bool measured = false;
  int progressPercent = 0;
  RunSpeed speed;

  /** Returns when the run began, as far as it is known. */
  TimePoint BeganAt() const
  {
    return this->confirmedAt == TimePoint() ? this->startedAt
                                            : this->confirmedAt;
  }

  /** Returns whether the run is expected to end soon, by itself or since it is
   * being stopped. */
  bool IsShort() const
  {
    const bool stays =
      this->step.longRunning && this->phase != CommitmentPhase::Stopping;
    return !stays && this->sizeKnown;
  }

  /** Returns the processor use of a best-effort task in thousandths of a core:
   * as reported, or as requested until the first report. */
  std::int64_t FillerUse() const
  {
    return this->usage > 0 ? this->usage
                           : static_cast<std::int64_t>(this->step.cpuMilli) *
                               this->speed.Percent() / 100;
  }

  /** Returns whether the run has been up for long enough that it is not
   * suspected of a crash. */
  bool IsProven(TimePoint aNow) const
  {
    return this->adopted ||
           (this->confirmedAt != TimePoint() &&
            aNow - this->confirmedAt >= CrashAttribution::kProvenAfter);
  }

  /** Returns whether the task serves requests with a latency target. */
  bool HasLatencyTarget() const { return this->step.latencyTargetMs > 0; }

  /** Sets the usage from a report that lists the run. aSentAt: when the report
   * was requested. */
  void NoteUsage(std::int64_t aUsage, TimePoint aSentAt)
  {
    this->usage = aUsage;
    this->measured =
      this->measured || (this->confirmedAt != TimePoint() &&
                         aSentAt - this->confirmedAt >= kSettleTime);
  }

  /** Returns whether the usage is a measurement. A usage of 0 is one if the run
   * has been up for the measuring window: a service without requests, or with a
   * latency that rounds to 0 ms, reports 0 for good. */
  bool HasReading() const { return this->usage > 0 || this->measured; }

  /** Returns the ratio of tail latency to latency target; 0 without a reading.
   * Precondition: HasLatencyTarget(). */
  double LatencyRatio() const
  {
    return static_cast<double>(this->usage) / this->step.latencyTargetMs;
  }
};

/** Sums over the commitments of a worker. */
struct CommittedCapacity
{
  /** Processor time requested by all tasks except best-effort tasks ("fillers"
   * in the interface), in thousandths of a core. */
  std::int64_t cpuMilli = 0;
  /** Part of cpuMilli that belongs to tasks with a latency target. */
  std::int64_t servingCpuMilli = 0;
  /** Processor time demanded by best-effort tasks, in thousandths of a core;
   * not reserved. */
  std::int64_t fillerCpuMilli = 0;
  std::int64_t memoryMb = 0;
  std::int64_t accelerators = 0;
  /** Number of runs of unknown size. */
  int unknownSizes = 0;
};

/** Capacity of a worker that is reserved for tasks that are about to start. */
struct ReservedCapacity
{
  std::int64_t cpuMilli = 0;
  std::int64_t memoryMb = 0;
  std::int64_t accelerators = 0;
};

/** A reservation that tasks may use if they end before it is needed. */
struct BackfillableReservation
{
  ReservedCapacity size;
  /** When the task of the reservation is expected to fit. */
  TimePoint expectedAt;
};

/** A best-effort task that ran on a worker until recently. */
struct EndedFiller
{
  std::string image;
  /** Processor use, in thousandths of a core. */
  std::int64_t cpuMilli = 0;
  TimePoint beganAt;
  TimePoint endedAt;
};

/** A worker with all runs that may be on it. Not thread safe. */
class ScheduledWorker
{
public:
  /** A worker that rejected a start command gets no further ones for this long;
   * the worker's free capacity and health rarely change faster than its reports
   * arrive. */
  static constexpr std::chrono::milliseconds kStartRejectedBackoff{ 300 };

  WorkerDescription description;
  /** The registry lists the worker, or did so when it was read before. */
  bool listed = true;
  bool listedBefore = true;
  /** The worker's availability zone takes starts. */
  bool zoneTakesStarts = true;
  /** The worker has reported to this owner. */
  bool reported = false;
  /** Incarnation of the worker whose run ends are counted in handledEnds; the
   * registry may already describe a newer incarnation. */
  std::uint64_t reportedIncarnation = 0;
  /** The worker did not answer the last lease renewal. */
  bool unresponsive = false;
  /** The worker listed a run whose name this scheduler cannot have assigned. */
  bool foreignRuns = false;
  /** The worker gets no starts until this time, after it rejected one. */
  TimePoint backoffUntil;
  /** Time by which the leases have expired that commands for the worker's
   * current incarnation granted. */
  TimePoint leasesExpiredBy;
  /** Time by which the leases have expired that the worker's current
   * incarnation may get from commands which were meant for an earlier one. */
  TimePoint staleLeasesExpiredBy;
  /** Fencing token of the commands to the worker's current incarnation; 0: that
   * of the owner. */
  std::uint64_t fencingToken = 0;
  /** Commands that were meant for an earlier incarnation have the fencing token
   * of the current one, so that it cannot tell them apart. */
  bool needsFencingToken = false;
  /** Contact with the worker was lost since the fencing token was assigned.
   * With a newer one a later incarnation rejects the commands without an answer
   * from its first answer on. */
  bool lostSinceToken = false;
  /** When this owner assigned the fencing token; unset if it did not. */
  std::optional<TimePoint> tokenAssignedAt;
  /** The worker's current incarnation may not have seen its fencing token yet,
   * so that it would carry out commands which were meant for an earlier one. */
  bool takesStaleCommands = false;
  /** When the last command that grants a lease was sent; unset if none was. */
  std::optional<TimePoint> lastGrantAt;
  /** When the renewal that has no answer yet was sent; unset if there is none.
   */
  std::optional<TimePoint> openRenewalAt;
  /** When the last command that grants a lease was sent of which the sender got
   * no answer, so that it may still be carried out. */
  std::optional<TimePoint> unansweredGrantAt;
  /** lastGrantAt when a new incarnation of the worker became known. Until then
   * commands were meant for an earlier incarnation; unset if none was. */
  std::optional<TimePoint> staleGrantAt;
  TimePoint lastReportAt;
  /** Reading of the worker's clock at clockReadAt; 0: unknown. */
  std::uint64_t clockReadingMs = 0;
  TimePoint clockReadAt;
  /** When the report with that reading was requested. */
  TimePoint clockRequestedAt;
  /** Sequence number of the last run end that was handled. */
  std::uint64_t handledEnds = 0;
  /** Number of the scheduler's progress change that it led to. */
  std::uint64_t handledEndsChange = 0;
  /** Tasks whose run ends were handled and may not be durable, with the number
   * of the progress change. */
  std::map<std::string, std::uint64_t> endsToRecord;
  /** Sequence number up to which all run ends that the worker reported are
   * durable, so that the worker may discard them. */
  std::uint64_t durableEnds = 0;
  /** Run ends that the worker must keep, with the tasks, by sequence number: a
   * copy of a start of the task may still be carried out. */
  std::map<std::uint64_t, std::string> endsToKeep;
  /** Speed of best-effort tasks by image, in percent; full speed if not listed.
   */
  std::map<std::string, int> fillerPercents;
  /** When fillerPercents was last evaluated. */
  TimePoint fillersAdjustedAt;
  /** Number of consecutive evaluations that found a task above its latency
   * target. */
  int readingsOverTarget = 0;
  /** Since when a task has been at or above its latency target, with readings
   * just below the target in between; unset if none is. */
  std::optional<TimePoint> overTargetSince;
  /** When the registry first showed the current value of description.draining.
   */
  TimePoint drainingSince;
  /** Cached processor time available to one more best-effort task, in
   * thousandths of a core; unset after a change of one of its inputs. */
  mutable std::optional<double> fillerSpare;

  /** Returns the sequence number up to which the worker may discard run ends.
   */
  std::uint64_t EndsToAcknowledge() const
  {
    return this->endsToKeep.empty()
             ? this->durableEnds
             : std::min(this->durableEnds, this->endsToKeep.begin()->first - 1);
  }

  /** Returns the time by which the leases of all runs on the worker have
   * expired. */
  TimePoint AllLeasesExpiredBy() const
  {
    return std::max(this->leasesExpiredBy, this->staleLeasesExpiredBy);
  }

  const std::map<std::string, Commitment>& Commitments() const
  {
    return this->commitments;
  }

  const CommittedCapacity& Committed() const { return this->committed; }

  /** Returns the capacity that the short runs use. */
  const WorkerCapacity& UsedByShortRuns() const;

  /** Marks a run as being stopped; does nothing if there is no commitment. */
  void MarkStopping(const std::string& aTask);

  /** Records that the best-effort task of a commitment ended; does nothing for
   * other commitments. */
  void NoteFillerEnd(const Commitment& aCommitment, TimePoint aNow);

  /** Returns the processor use of the best-effort tasks of each image, averaged
   * over the last aWindow, as a share of the worker's processors. Tasks that
   * have ended within that time count for the time that they ran.
   * Precondition: aWindow is not longer than kFillerHistory. */
  std::map<std::string, double> FillerShares(TimePoint aNow,
                                             Duration aWindow) const;

  /** How long ended best-effort tasks are remembered. */
  static constexpr std::chrono::milliseconds kFillerHistory{ 1000 };

  /** Returns the commitment of a task, or null if there is none. */
  Commitment* Find(const std::string& aTask);

  /** Adds a commitment. Precondition: the task has none on this worker. */
  void Commit(const std::string& aTask, Commitment aCommitment);

  /** Removes a commitment; does nothing if there is none. */
  void Release(const std::string& aTask);

  /** Returns whether a task of aStep fits beside all commitments and
   * reservations. The processor demand of a best-effort task is not counted. */
  bool Fits(const WorkflowStep& aStep) const;

  /** Returns whether the commitments exceed the worker's capacity in a resource
   * that tasks of aStep use, which is so after the capacity has shrunk. */
  bool IsExceededFor(const WorkflowStep& aStep) const;

  /** Like Fits(), but does not count reservations. */
  bool FitsBesideRuns(const WorkflowStep& aStep) const;

  /** Like Fits(), but does not count the backfillable reservations that are
   * not expected to be usable before aEnd. */
  bool FitsUntil(const WorkflowStep& aStep, TimePoint aEnd) const;

  /** Reserves capacity for one task of aStep until ClearReservations(). */
  void Reserve(const WorkflowStep& aStep);

  /** Like Reserve(), for a task that is expected to fit at aExpectedAt. Tasks
   * that end by then may use the capacity. */
  void ReserveBackfillable(const WorkflowStep& aStep, TimePoint aExpectedAt);

  void ClearReservations()
  {
    this->reserved = ReservedCapacity();
    this->backfillable.clear();
  }
  const ReservedCapacity& Reserved() const { return this->reserved; }

  /** Returns processor time in thousandths of a core as a share of the worker's
   * processors. The result is finite, also for a worker whose processors are
   * gone. */
  double ShareOf(double aCpuMilli) const;

  /** Returns whether the next report is needed at once instead of at the next
   * end of a run: without it the worker gets no starts, or its run ends are not
   * acknowledged. */
  bool NeedsReportNow() const
  {
    const bool bringsToken =
      this->takesStaleCommands && !this->needsFencingToken;
    return !this->reported || this->unresponsive || this->clockReadingMs == 0 ||
           this->handledEnds > this->durableEnds || bringsToken;
  }

  /** Returns whether a run was started to try the worker. */
  bool HasTrial() const
  {
    return std::ranges::any_of(
      this->commitments, [](const auto& aItem) { return aItem.second.trial; });
  }

  /** Returns whether every run on the worker is proven, except those of one
   * step. aExceptStep: empty if there is no exception. */
  bool AllRunsProven(TimePoint aNow, const std::string& aExceptStep) const;

  /** Returns whether a suspected task runs here that is not proven, so that no
   * other run may be started. */
  bool IsolatesSuspect(TimePoint aNow) const;

  /** Returns the number of commitments of one step. */
  std::uint32_t CountOfStep(const std::string& aStepKey) const;

  /** Returns an estimate of the current reading of the worker's clock. The
   * estimate is not ahead of that clock, except for a difference in rate.
   * Precondition: clockReadingMs is known. */
  std::uint64_t ClockAt(TimePoint aNow) const;

  /** Returns the speed of the best-effort tasks of an image on this worker, in
   * percent. */
  int FillerPercent(const std::string& aImage) const;

  /** Returns the largest ratio of tail latency to latency target of any task; 0
   * if no task has a target. */
  double WorstLatencyRatio() const;

private:
  void AddToSums(const Commitment& aCommitment, int aSign);
  bool FitsBeside(const ReservedCapacity& aReserved,
                  const WorkflowStep& aStep) const;

  std::map<std::string, Commitment> commitments;
  std::deque<EndedFiller> endedFillers;
  std::map<std::string, std::uint32_t> countByStep;
  /** Number of commitments of suspected tasks. */
  int suspects = 0;
  CommittedCapacity committed;
  /** Sum of all reservations, including the backfillable ones. */
  ReservedCapacity reserved;
  std::vector<BackfillableReservation> backfillable;
  /** Cached result of UsedByShortRuns(); unset after a change of the
   * commitments. */
  mutable std::optional<WorkerCapacity> usedByShortRuns;
};

} // namespace sequoiakeel
