#pragma once

#include "BootClock.h"
#include "CapacityForecast.h"
#include "Clock.h"
#include "ClosedZones.h"
#include "CrashAttribution.h"
#include "FillerThrottle.h"
#include "HeldStart.h"
#include "JobActivity.h"
#include "OpenStarts.h"
#include "PlannedCommands.h"
#include "Quarantine.h"
#include "RosterAge.h"
#include "ScheduledWorker.h"
#include "SchedulerObserver.h"
#include "SchedulerTimings.h"
#include "ShortTaskHeadroom.h"
#include "StepOrder.h"
#include "WorkerChoice.h"
#include "WorkflowJob.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace sequoiakeel {

/** Replaceable policies of the scheduler; the objects must outlive it. */
struct SchedulerPolicies
{
  const StepOrder& order;
  const WorkerChoice& choice;
  const FillerThrottle& throttle;
  SchedulerObserver& observer;
  /** First starts of long-running tasks leave headroom for short tasks. */
  bool shortTaskHeadroom = false;
};

/**
 * Decides where and when the tasks of one cell run. It tracks the jobs, the
 * workers and the runs committed to each worker, and turns worker reports into
 * commands and durable progress. It does no I/O and starts no thread: the
 * caller passes events to it and carries out the commands. Not thread safe.
 *
 * A run is treated as ended only if its worker listed its end, if a report that
 * was requested after the start command could no longer take effect does not
 * list it, or if every lease that the worker may hold has expired even if the
 * worker's clock runs at the slowest rate that is allowed for.
 */
class CellScheduler
{
public:
  /** aEarlierLeasesExpiredBy: time by which every lease granted by an earlier
   * owner has expired on workers that have not restarted meanwhile. */
  CellScheduler(SchedulerTimings aBounds,
                SchedulerPolicies aPolicies,
                const Clock& aClock,
                const WallClock& aWallClock,
                TimePoint aEarlierLeasesExpiredBy);

  /** Restores a job that an earlier owner may have started. Its tasks are not
   * started until all workers on the roster have reported. If the roster states
   * that assignments are recorded, a long-running task waits only for the
   * worker that its assignment names. */
  void Restore(WorkflowSubmission aSubmission,
               const WorkflowProgress& aProgress);

  /** Restores the state of an ended job. */
  void RestoreEnded(const WorkflowProgress& aProgress);

  /** Sets the workers on which earlier owners may have started tasks. The runs
   * of suspects that it names are known only to jobs that are restored already.
   */
  void SetRoster(const WorkerRoster& aRoster);

  /** Adds a job that no owner can have started. Returns false if the job is
   * already known. Tasks that other cells have handed over or returned to this
   * cell since are then added to the known job. Precondition: records of a job
   * are passed in the order of their revisions. */
  bool Accept(WorkflowSubmission aSubmission);

  /** Returns the pending long-running tasks that no worker of the cell could
   * run even if all short tasks ended. Tasks that came from another cell are
   * included only after a longer wait, which limits how often they move. */
  std::vector<HandOver> HandOvers() const;

  bool HasHandOvers() const { return !this->unplaceable.empty(); }

  /** Marks tasks as handed over, so that they are not started here. Returns the
   * job's progress with this mark, or nothing if one of the tasks is no longer
   * pending. */
  std::optional<WorkflowProgress> BeginHandOver(const HandOver& aHandOver);

  /** Makes tasks pending again. Precondition: it is certain that their
   * hand-over did not take place. */
  void CancelHandOver(const HandOver& aHandOver);

  /** Returns the capacity that long-running tasks and the reservations for them
   * leave free, by service and labels of the workers. Quarantined workers do
   * not count, since tasks are placed on them only after a wait. */
  LongRunningCapacity CapacityForLongRunning() const;

  /** Cancels a job; returns false if it is unknown or has ended. */
  bool Cancel(const std::string& aJob);

  /** Applies the worker list of the registry. aReadAt: when its read began;
   * unset: now. */
  void UpdateWorkers(std::span<const WorkerDescription> aWorkers,
                     std::optional<TimePoint> aReadAt = {});

  /** Applies a read of the zones that the operator has closed. aReadAt: when
   * the read began. */
  void UpdateClosedZones(std::set<std::string> aZones, TimePoint aReadAt);

  /** Returns whether the closed zones were read recently enough to start tasks.
   */
  bool KnowsClosedZones() const
  {
    return this->closedZones.IsKnown(this->clock.Now());
  }

  /** Returns whether the durable roster has to be rewritten: it lacks a listed
   * worker, which gets no tasks until the roster names it, it names a removed
   * worker, for whose report the next owner would wait, a restarted worker
   * needs a newer fencing token, which is the revision of the write, a worker
   * has settled, or a start is open that the next owner does not know. */
  bool RosterIsStale() const;

  /** Returns whether every roster that may be durable names a worker, so that
   * it may get tasks. */
  bool IsOnRoster(const std::string& aWorker) const
  {
    return this->roster.contains(aWorker);
  }

  /** Returns the roster that should be durable now. */
  WorkerRoster RosterToWrite() const;

  /** Records that a roster is about to be written. Until RosterWritten() it is
   * not known which one is durable, so only workers that both name get tasks.
   */
  void BeginRosterWrite(const WorkerRoster& aRoster);

  /** Records that a roster is durable. */
  void RosterWritten(const WorkerRoster& aRoster);

  /** Returns the fencing token of commands to a worker; 0: that of the owner.
   */
  std::uint64_t FencingToken(const std::string& aWorker) const;

  /** Returns whether commands to a worker need a newer fencing token. */
  bool NeedsFencingToken(const std::string& aWorker) const
  {
    const ScheduledWorker* const worker = this->FindWorker(aWorker);
    return worker != nullptr && worker->needsFencingToken;
  }

  /** Sets the fencing token of the workers for which a newer one was needed or
   * wanted when the roster was written. Precondition:
   * this owner held the cell's key in the revision aToken of the store, so that
   * the tokens of later owners are higher, and no command was sent with aToken
   * or a higher token. */
  void AssignFencingTokens(std::uint64_t aToken);

  /** Records that an incarnation of a worker has carried out a command with the
   * fencing token aToken; it rejects commands with lower tokens from now on. */
  void HandleFencingToken(const std::string& aWorker,
                          std::uint64_t aIncarnation,
                          std::uint64_t aToken);

  /** Returns the ids of the workers that need a lease renewal or a report. */
  std::vector<std::string> WorkersToRenew() const;

  /** Returns a worker, or null. The pointer is valid until the next call of a
   * non-const method. */
  const ScheduledWorker* FindWorker(const std::string& aWorker) const;

  /** Returns the time, on the worker's clock, at which a full-length lease
   * granted now would expire; 0 if the reading of the worker's clock is
   * unknown or the worker is unresponsive. */
  std::uint64_t LeaseUntil(const std::string& aWorker) const;

  /** Records that a lease renewal is about to be sent. */
  void NoteLease(const std::string& aWorker, std::uint64_t aUntilWorkerMs);

  /** Handles a worker's report. aSentAt: when the report was requested. */
  void HandleReport(const std::string& aWorker,
                    TimePoint aSentAt,
                    std::uint64_t aWorkerMs,
                    const WorkerReport& aReport);

  /** Marks a worker that did not answer a lease renewal as unresponsive. It
   * gets no further lease until it reports again, so that its tasks can be
   * restarted on other workers once the current lease has expired.
   * aContactUntil: when its connection broke. The worker went down then, unless
   * its next incarnation is the first to be heard of. */
  void HandleUnresponsive(const std::string& aWorker,
                          std::optional<TimePoint> aContactUntil = {});

  /** Handles a further lease renewal without an answer to a worker that is
   * unresponsive already. To be called before HandleUnresponsive. */
  void HandleFailedRetry(const std::string& aWorker);

  /** Handles a copy of a start command that got no answer and may still be
   * carried out. */
  void HandleUnansweredStart(const std::string& aWorker,
                             const std::string& aTask,
                             std::uint64_t aRun);

  /** Handles the outcome of a start command. aMayBeInFlight: an earlier copy of
   * the command was not answered and may still be carried out. */
  void HandleStart(const std::string& aWorker,
                   const std::string& aTask,
                   std::uint64_t aRun,
                   const WorkerCommandReply& aReply,
                   bool aMayBeInFlight);

  /** Returns whether a start command without an answer may still be repeated.
   * It may not once it is no longer valid or the worker's capacity has shrunk
   * below its commitments. */
  bool AwaitsStart(const std::string& aWorker,
                   const std::string& aTask,
                   std::uint64_t aRun) const;

  /** Records that another copy of a start command is about to be sent. Returns
   * false if it must not be sent yet, since the next owner would not know of
   * the earlier copy. Precondition: AwaitsStart(). */
  bool BeginRepeatedStart(const std::string& aWorker,
                          const std::string& aTask,
                          std::uint64_t aRun);

  /** Handles the outcome of a stop command. */
  void HandleStop(const std::string& aWorker,
                  const std::string& aTask,
                  std::uint64_t aRun,
                  const WorkerCommandReply& aReply);

  /** Handles the outcome of a speed order. An order whose outcome is not passed
   * in counts as unanswered. */
  void HandleThrottle(const PlannedThrottle& aThrottle,
                      const WorkerCommandReply& aReply);

  /** Handles a reply which shows that the worker's address belongs to another
   * worker now: aWorker gets no start commands for a short time, and has
   * crashed if contact with it was lost. */
  void HandleWrongWorker(const std::string& aWorker);

  /** Runs one planning pass and returns its commands. */
  PlannedCommands Plan();

  /** Returns all progress that has to be written. Precondition: the previous
   * batch was passed to BatchWritten(), or its records that were not written
   * were passed to ProgressNotWritten(). */
  ProgressBatch TakeProgress();

  /** Records that a progress record is durable. */
  void ProgressWritten(const ProgressRecord& aRecord);

  /** Queues a progress record again whose write failed. */
  void ProgressNotWritten(const ProgressRecord& aRecord);

  /** Records that all progress records of a batch are durable, so that the run
   * ends that led to them may be acknowledged to the workers and the starts
   * held for them may be sent. */
  void BatchWritten(std::uint64_t aChange);

  /** Return whether progress has to be written, and whether it includes the end
   * of a job. */
  bool HasProgress() const { return !this->dirty.empty(); }
  bool HasFinalProgress() const { return this->dirtyEndedJobs > 0; }

  /** Returns whether starts are held until progress is durable. */
  bool HasHeldStarts() const { return !this->heldStarts.empty(); }

  /** Returns a job's state as callers see it. */
  WorkflowState StateOf(const std::string& aJob) const;

  /** Returns the queue of a job; empty if it is unknown. */
  std::string QueueOf(const std::string& aJob) const;
  /** Returns the number of jobs in a queue of which no task has been started.
   */
  std::uint64_t CountPendingJobs(const std::string& aQueue) const;

  /** Returns the capacity of the cell and the current demand of its jobs. */
  CellLoad Load() const;

  /** Returns the interference evidence of this owner, for other owners. */
  InterferenceEvidence Evidence() const
  {
    return this->interference.Evidence();
  }

  /** Sets the interference evidence of another owner or an earlier one. */
  void SetPeerEvidence(const std::string& aSource,
                       InterferenceEvidence aEvidence)
  {
    this->interference.SetPeerEvidence(aSource, std::move(aEvidence));
  }

  /** Removes up to aMost ended jobs whose state retention is over and returns
   * their ids; the jobs in aKept are not removed. */
  std::vector<std::string> TakeExpired(std::size_t aMost,
                                       const std::set<std::string>& aKept);

  /** Returns whether the location of all tasks started by earlier owners is
   * known. */
  bool Recovered() const { return this->recovered; }

  std::size_t Jobs() const { return this->jobs.size(); }
  std::size_t Workers() const { return this->workers.size(); }

private:
  struct Entry
  {
    WorkflowJob job;
    /** An earlier owner may have started its tasks. */
    bool fromEarlierOwner = false;
    JobActivity activity{};
  };
  struct EndedJob
  {
    WorkflowProgress progress;
    bool durable = false;
  };
  /** Capacity reserved on a worker for a long-running task that did not fit on
   * any worker. */
  struct CapacityReservation
  {
    std::string worker;
    std::string stepKey;
    TimePoint chosenAt;
    ReservationForecast forecast{};
  };
  enum class ReservationOutcome : std::uint8_t
  {
    Reserved,
    /** No worker could run the task even if all short tasks ended. */
    NoWorker,
    /** No worker was searched for, since the limit on reservations or on
     * searches in one planning pass is reached. */
    NotTried,
  };
  /** A task to be placed, with the inputs of the placement decision. */
  struct TaskToPlace
  {
    const WorkflowSubmission& submission;
    const WorkflowStep& step;
    const std::string& stepKey;
    /** Rack of the worker that was chosen last for a task of the step; empty if
     * none was chosen. */
    std::string rack;
    /** Time since the task became pending. */
    Duration waited{};
    /** The task is a long-running one that has run before. */
    bool interrupted = false;
    /** The task has never run, as far as this owner knows, so that nobody
     * depends on it yet. */
    bool firstStart = false;
    /** The task is suspected of crashing its workers. */
    bool suspect = false;
    FillerLimits limits = FillerLimits::Usual;
    /** See WorkerRequest. */
    int minPercent = kFullPercent;
  };
  /** Pending tasks of one step: those of a long-running step that have run, if
   * order.interrupted is set, otherwise all others. */
  struct Candidate
  {
    std::string job;
    std::uint32_t occurrence;
    std::uint32_t step;
    WaitingStep order;
    /** Number of these tasks. */
    std::uint32_t pending;
  };

  void AddJob(WorkflowSubmission aSubmission, bool aFromEarlierOwner);
  void EndJob(const std::string& aJob, WorkflowState aState, const char* aWhy);
  void StopRun(ScheduledWorker& aWorker,
               const std::string& aTask,
               const char* aReason);
  void ObserveTailLatencies(const ScheduledWorker& aWorker);
  void ObserveInterference(const ScheduledWorker& aWorker);
  void AdjustFillers(ScheduledWorker& aWorker);
  /** Logs which fillers run beside the serving task that exceeds its latency
   * target most. */
  void LogMissedTarget(const ScheduledWorker& aWorker) const;
  /** Returns whether best-effort tasks use more processor time than the other
   * tasks leave unused. */
  bool FillersContend(const ScheduledWorker& aWorker) const;
  /** Returns the speed in percent at which all best-effort tasks of a worker
   * together use no more processor time than the other tasks leave unused. */
  int UncontendedPercent(const ScheduledWorker& aWorker) const;
  double LatencyRatioFor(const ScheduledWorker& aWorker,
                         const std::string& aFillerImage) const;
  void HandleRunEnd(ScheduledWorker& aWorker, const EndedRun& aRow);
  /** Has a worker keep a run end while a copy of a start of the task may still
   * be carried out. Once it is acknowledged, that copy would be a second run of
   * an ended task; an end that is lost with its worker counts for nothing. */
  void KeepEndOfOpenStart(ScheduledWorker& aWorker, const EndedRun& aRow);
  void ApplyRunEnd(const std::string& aWorker,
                   const TaskName& aName,
                   Entry& aEntry,
                   const EndedRun& aRow);
  void CountFailure(const std::string& aWorker,
                    const TaskName& aName,
                    Entry& aEntry,
                    const EndedRun& aRow);
  void HandleRunning(ScheduledWorker& aWorker,
                     TimePoint aSentAt,
                     const RunningRun& aRow);
  void Adopt(ScheduledWorker& aWorker,
             const TaskName& aName,
             const RunningRun& aRow);
  void MarkMissingRunsLost(ScheduledWorker& aWorker,
                           TimePoint aSentAt,
                           const WorkerReport& aReport);
  /** Releases a run that is certain to have ended. aRejected: the worker
   * rejected its start, so that no copy of it is in flight. */
  void MarkRunLost(ScheduledWorker& aWorker,
                   const std::string& aTask,
                   const char* aReason,
                   bool aRejected = false);
  /** Returns the runs that are lost if the worker was restarted or its leases
   * have expired: all but those of which a copy of the start command may still
   * be carried out. */
  std::vector<std::string> RunsThatMayBeLost(
    const ScheduledWorker& aWorker) const;
  void MarkAllRunsLost(ScheduledWorker& aWorker, const char* aReason);
  /** Returns the time after which a run cannot exist of which a copy of the
   * start command may still be carried out. */
  TimePoint NoCopyRunsAfter(const std::string& aWorker,
                            const std::string& aTask,
                            const Commitment& aCommitment) const;
  /** Records that a copy of the start command of a run may be carried out until
   * aClosesAt, also by later incarnations of the worker. */
  void AddOpenStart(const std::string& aWorker,
                    const std::string& aTask,
                    const Commitment& aCommitment,
                    TimePoint aClosesAt);
  /** Restores the open starts that an earlier owner recorded. Their run numbers
   * are not used again, so that the workers reject them after a later run. */
  void RestoreOpenStarts(const WorkerRoster& aRoster);
  /** Derives from a reading of a worker's clock how old the roster is that the
   * earlier owner wrote, and shortens the waits for restored starts. */
  void UpdateRosterAge(const WorkerClock& aReading);
  /** Returns what is known about a worker on which a copy may be running. */
  WorkerEvidence EvidenceAbout(const std::string& aWorker) const;
  void RemoveSettledStarts();
  /** Records that a command is about to be sent which grants a lease until
   * aUntilWorkerMs on the worker's clock. Precondition: the reading of that
   * clock is known. */
  void ExtendLease(ScheduledWorker& aWorker, std::uint64_t aUntilWorkerMs);
  /** Returns when the last command that may still be carried out was sent which
   * grants a lease, or nothing if all were answered. */
  std::optional<TimePoint> LastOpenGrant(const ScheduledWorker& aWorker) const;
  /** Returns whether a command that grants a lease may still be carried out. */
  bool HasCommandsInFlight(const ScheduledWorker& aWorker) const;
  /** Returns whether a worker may have carried out commands of earlier owners
   * that were meant for an incarnation before aIncarnation. */
  bool MayHaveRestarted(const std::string& aWorker,
                        std::uint64_t aIncarnation) const;
  /** Returns the time by which every lease has expired that earlier owners
   * granted on a worker. */
  TimePoint EarlierOwnersLeasesExpiredBy(const std::string& aWorker) const;
  /** Returns the settled incarnations of workers; see WorkerRoster. */
  std::map<std::string, std::uint64_t> SettledIncarnations() const;
  /** Returns the time by which the longest lease that a worker grants has
   * expired if it was granted at aGrantedAt. */
  TimePoint LongestLeaseExpiresBy(TimePoint aGrantedAt) const;
  /** Sets by when the leases have expired that a new incarnation of a worker
   * may get from commands which were meant for an earlier one. */
  void BoundStaleLeases(ScheduledWorker& aWorker) const;
  /** Compares the clock of a worker that has answered a command, sent at
   * aSentAt, with the clock of its last report. If it is another one, the
   * worker has restarted, and the command granted the longest lease; the worker
   * then gets no leases and starts until it reports. */
  void CheckClock(ScheduledWorker& aWorker,
                  TimePoint aSentAt,
                  std::uint64_t aReadingMs);
  void BeginIncarnation(ScheduledWorker& aWorker, std::uint64_t aIncarnation);
  /** Records that contact with a worker was lost, unless the worker drains.
   * aContactUntil: when the worker was last up; unset if that is not known. */
  void RecordLoss(const ScheduledWorker& aWorker,
                  std::optional<TimePoint> aContactUntil);
  /** Restores the losses that an earlier owner recorded. Runs of their suspects
   * are numbered after the recorded ones, since a crash is identified by its
   * run. */
  void RestoreLosses(const WorkerRoster& aRoster);
  /** Adds the lost workers to the unresponsive workers of a roster, so that the
   * next owner can tell which runs may have crashed them. */
  void AddLosses(std::vector<UnresponsiveWorker>& aWorkers) const;
  /** Handles proof that a lost worker has crashed. Does nothing if no loss is
   * recorded. aEvidence: for the log. */
  void HandleCrash(const std::string& aWorker, const char* aEvidence);
  /** A task of a job that has not ended. The pointers are valid until the job
   * ends. */
  struct KnownTask
  {
    TaskName name;
    Entry* entry = nullptr;
    WorkflowTask* task = nullptr;
  };
  std::optional<KnownTask> FindTask(const std::string& aTask);
  /** Counts a crash against a task and gives the task up if its crashes with a
   * confirmed start reach aLimit, or all its crashes kMaxCrashes. aConfirmed:
   * whether the start of the run was confirmed. */
  void CountCrash(const SuspectedRun& aRun,
                  std::size_t aLimit,
                  bool aConfirmed);
  /** Counts a crash for which other runs are suspected against a task. */
  void CountBystander(const SuspectedRun& aRun);
  /** Returns whether as many workers crashed under a task as is possible
   * without starting it too often, whichever task is suspected. */
  static bool HasMostCrashes(const WorkflowTask& aTask);
  /** Ends the job of a task that crashes its workers, and clears the tasks that
   * were on the same workers. A part of a job cannot end by itself; there the
   * task is only not started any more. */
  void GiveUp(const TaskName& aName);
  /** Returns whether a task is suspected of crashing its workers. */
  bool IsSuspect(const TaskName& aName, const WorkflowTask& aTask) const;
  /** Returns whether a task is not started any more, since it crashes its
   * workers and its job, which another cell owns, has not ended. */
  static bool IsWithheld(const WorkflowTask& aTask);
  /** Returns whether a suspected task waits for a worker without runs that were
   * started recently. */
  bool AwaitsIsolation(const TaskToPlace& aTask) const;
  void ExpireLeases();
  void CheckRecovered();
  bool MayRunOnUnresponsive(const std::string& aTask) const;
  /** Returns whether a run that an earlier owner started may still exist on a
   * worker that has not reported. */
  bool MayStillRun(const WorkflowJob& aJob,
                   const TaskName& aName,
                   const WorkflowTask& aTask) const;
  /** Makes the tasks startable whose recorded worker is neither awaited nor
   * listed as unresponsive. */
  void ResolveRestoredAssignments();
  /** Notes when all runs of long-running tasks are covered by durable
   * assignments. */
  void CheckAssignmentsRecorded();
  /** Marks the progress of a job for writing if the assignments in it changed
   * with this task. */
  void NoteAssignmentChange(const WorkflowJob& aJob, const TaskName& aName);
  bool AwaitsUnresponsive(const std::string& aWorker) const
  {
    return this->tasksOnUnresponsive.contains(aWorker);
  }
  void MarkDirty(const std::string& aJob);
  /** Starts of short tasks since the last log line about idle jobs. A start is
   * the first one of its job if no other task of it has a run. */
  struct StartCounts
  {
    std::uint64_t first = 0;
    std::uint64_t furtherInTime = 0;
    std::uint64_t furtherNotInTime = 0;
  };

  /** Notes for each job since when it has been idle. */
  void UpdateIdleTimes();
  /** Returns for how long nothing of a job has run while an occurrence of it
   * could have. */
  std::chrono::milliseconds IdleTime(const Entry& aEntry,
                                     std::uint32_t aOccurrence) const;
  std::vector<Candidate> Candidates() const;
  /** Measures at intervals how the cell's processors are used and what the
   * tasks that wait demand, and logs it. */
  void MeasureCellUsage(std::span<const Candidate> aWaiting);
  /** Determines the headroom for short tasks in the current planning pass. */
  void UpdateHeadroom(std::span<const Candidate> aWaiting);
  /** Returns whether a long-running task may start now or has to leave its
   * processors to short tasks. */
  bool LeavesHeadroom(const TaskToPlace& aTask) const;
  /** Logs at intervals what the interrupted long-running task that has waited
   * longest waits for, and what delays the recovery of the cell. */
  void LogDelays(std::span<const Candidate> aWaiting);
  /** Logs at intervals which short task of the earliest accepted job waits, and
   * how many workers do not take it for each obstacle. */
  void LogWaitingTask(std::span<const Candidate> aWaiting);
  /** Logs at intervals how many jobs whose turn has come have no task with a
   * run, and to which jobs the starts since the last line went. */
  void LogIdleJobs(std::span<const Candidate> aWaiting);
  /** Returns how many available workers do not take a task of a step for each
   * obstacle, for the log. */
  std::string CountObstacles(const Candidate& aCandidate) const;
  /** Returns why no task of a step is started on a worker, for the log. */
  std::string_view ObstacleOn(const ScheduledWorker& aWorker,
                              const std::string& aService,
                              const std::string& aStepKey,
                              const WorkerRequest& aRequest) const;
  /** Counts a start of a waiting step's task before it is assigned. */
  void CountStart(const Candidate& aCandidate);
  /** Returns the limits for starting a task of a waiting step if it is a
   * filler. */
  FillerLimits LimitsFor(const Candidate& aCandidate) const;
  /** Returns whether so few fillers that can still meet their objective wait
   * that those of other jobs may slow them down. */
  bool FewWaitInTime(std::span<const Candidate> aWaiting) const;
  /** Returns the lowest speed to which the next task of a waiting step may slow
   * fillers: less than full if no task of its job has a run, and the job has
   * begun or has waited, or if its only run nears the end. It does not depend
   * on the expected outcome, since shared processors have none left for jobs
   * that can be in time either. */
  int MinPercentFor(const Candidate& aCandidate) const;
  /** Slows the fillers of a worker whose processors they share. */
  void SlowToShare(ScheduledWorker& aWorker);
  bool StepIsDue(const Entry& aEntry, std::uint32_t aOccurrence) const;
  void PlanSteps(std::span<const Candidate> aCandidates,
                 PlannedCommands& aOrders);
  /** Starts the tasks of a step for which there are workers, or only the first
   * of them. */
  void PlanStep(const Candidate& aCandidate,
                PlannedCommands& aOrders,
                bool aFirstOnly);
  /** Returns whether only the first task of a step is started before the other
   * steps get their turn. */
  bool StartsFirstOnly(const Candidate& aCandidate) const;
  bool PlanGang(const Candidate& aCandidate, PlannedCommands& aOrders);
  void BeginPlanningPass();
  /** Returns the worker on which a task is to be started, or null if it has to
   * wait. */
  ScheduledWorker* ChooseWorker(const TaskToPlace& aTask);
  /** Returns a quarantined worker on which a task is to be tried, or null. */
  ScheduledWorker* ChooseWorkerToTry(const TaskToPlace& aTask);
  /** Returns the worker on which a task is to be started that may be started
   * only where aRestriction allows, or null if it has to wait. */
  ScheduledWorker* ChooseWorkerWithin(const StartRestriction& aRestriction,
                                      const TaskToPlace& aTask);
  ScheduledWorker* ChooseWorkerAmong(std::span<ScheduledWorker* const> aWorkers,
                                     const TaskToPlace& aTask);
  /** Returns whether the search for a worker for aTask can be skipped: in this
   * planning pass no worker was found for a step that needs at most the
   * resources of aTask and can run on the same workers. Always false for
   * long-running tasks. */
  bool IsUnplaced(const TaskToPlace& aTask) const;
  /** Records that no worker was found for aTask, for IsUnplaced().
   * Precondition: the search saw only commitments and reservations that outlast
   * it. */
  void NoteUnplaced(const TaskToPlace& aTask);
  /** Reserves capacity for a long-running task that does not fit on any worker.
   */
  ReservationOutcome ReserveCapacity(const std::string& aTaskName,
                                     const TaskToPlace& aTask);
  ScheduledWorker* PreviouslyReservedWorker(const std::string& aTaskName,
                                            const TaskToPlace& aTask,
                                            Duration aMaxAge);
  /** Returns whether an available worker could run the task if all its short
   * runs ended. */
  bool AnyWorkerCouldRun(const TaskToPlace& aTask) const;
  ScheduledWorker* WorkerToReserve(const std::string& aTaskName,
                                   const TaskToPlace& aTask);
  bool MayReserve(const ScheduledWorker& aWorker,
                  const TaskToPlace& aTask) const;
  void Preempt(ScheduledWorker& aWorker,
               const std::string& aTaskName,
               const TaskToPlace& aTask);
  void NoteUnplaceable(const TaskName& aName, const TaskToPlace& aTask);
  void PlanRelocation(ScheduledWorker& aWorker, const std::string& aTaskName);
  /** Commits a run of a pending task to a worker. Its start command is added to
   * aOrders, or held if the assignment has to be durable first. */
  void PlanStart(Entry& aEntry,
                 const TaskName& aName,
                 std::uint64_t aRun,
                 ScheduledWorker& aWorker,
                 const std::string& aStepKey,
                 PlannedCommands& aOrders);
  /** Returns the start command of a committed run, valid from now on. */
  PlannedStart IssueStart(Entry& aEntry,
                          const TaskName& aName,
                          ScheduledWorker& aWorker);
  void ReleaseHeldStarts(PlannedCommands& aOrders);
  /** Takes back a held start, which was never sent. */
  void CancelHeldStart(ScheduledWorker& aWorker,
                       const std::string& aTask,
                       const char* aReason);
  /** Reserves capacity for tasks that wait for their recorded worker. */
  void ReserveForAwaitedTasks();
  /** Returns whether first starts of long-running tasks wait for the reports
   * that show which capacity restored tasks need. */
  bool DelaysFirstStarts() const;
  void PlanStops(PlannedCommands& aOrders);
  void PlanDrains();
  void PlanThrottles(PlannedCommands& aOrders);
  /** Drops what was derived from a worker's earlier capacity. Called before the
   * description of the worker changes. */
  void HandleResize(ScheduledWorker& aWorker, const WorkerCapacity& aCapacity);
  void RemoveUnlistedWorkers();
  /** Notes for each worker whether its zone takes starts now. */
  void ApplyClosedZones();
  ScheduledWorker* Worker(const std::string& aWorker);
  Entry* FindJob(const std::string& aJob);

  SchedulerTimings bounds;
  SchedulerPolicies policies;
  const Clock& clock;
  const WallClock& wallClock;
  TimePoint earlierLeasesExpiredBy;
  TimePoint createdAt;
  bool recovered = false;
  /** Workers on the roster of earlier owners that have not reported to this
   * owner yet; any task of the cell may be running on them. */
  std::set<std::string> awaitedWorkers;
  /** All workers that the roster of the earlier owner named. */
  std::set<std::string> restoredWorkers;
  /** Number of workers that were removed from awaitedWorkers without a report.
   */
  std::size_t silentSinceTakeover = 0;
  /** Tasks that may run on workers that were unresponsive to earlier owners, by
   * worker. */
  std::map<std::string, std::set<std::string>> tasksOnUnresponsive;
  /** The roster that was loaded states that assignments are recorded. */
  bool restoredRecorded = false;
  /** Restored tasks whose recorded worker has not reported, by worker. */
  std::map<std::string, std::vector<TaskName>> restoredAssignments;
  /** Every run of a long-running task has a durable assignment; the durable
   * roster says so if rosterRecorded is set. */
  bool assignmentsRecorded = false;
  bool rosterRecorded = false;
  /** Number of the progress change that has to be durable for
   * assignmentsRecorded, if all runs are known. */
  std::optional<std::uint64_t> recordingChange;
  std::vector<HeldStart> heldStarts;
  OpenStarts openStarts;
  RosterAge rosterAge;
  ClosedZones closedZones;
  /** When the reads of the registry began that UpdateWorkers() applied first
   * and last. */
  std::optional<TimePoint> firstRegistryReadAt;
  TimePoint registryReadAt;
  Freshness registryFreshness;
  /** Long-running tasks that the current planning pass skipped since they wait
   * for their recorded worker. */
  std::vector<TaskName> awaitedTasks;
  /** The durable roster: workers that may get tasks, unless one that is being
   * written does not name them, and workers that are listed as unresponsive. */
  std::set<std::string> roster;
  std::set<std::string> rosterUnresponsive;
  /** Settled incarnations of the durable roster, by worker, and of the roster
   * that was loaded. */
  std::map<std::string, std::uint64_t> rosterSettled;
  std::map<std::string, std::uint64_t> restoredSettled;
  /** Suspects of lost workers that the durable roster names, by worker. */
  std::map<std::string, std::vector<SuspectedRun>> rosterSuspects;
  std::unordered_map<std::string, Entry> jobs;
  std::unordered_map<std::string, EndedJob> ended;
  std::map<std::string, ScheduledWorker> workers;
  /** Fencing tokens of dropped workers, which may be listed again. */
  std::map<std::string, std::uint64_t> droppedTokens;
  std::set<std::string> dirty;
  std::size_t dirtyEndedJobs = 0;
  /** Number of the last change of durable progress. */
  std::uint64_t change = 0;
  /** Number of the last change that is known to be durable. */
  std::uint64_t durableChange = 0;
  /** Workers that accept start commands in the current planning pass, and
   * workers that would accept them if they were not quarantined. */
  std::vector<ScheduledWorker*> availableWorkers;
  std::vector<ScheduledWorker*> quarantinedWorkers;
  /** Quarantined workers on which a task may be tried in the current planning
   * pass. */
  std::vector<ScheduledWorker*> workersToTry;
  /** Smallest step for which no worker was found in the current planning pass,
   * by the PlacementKey() of the step. */
  std::map<std::string, WorkflowStep> unplaced;
  /** Reservations of the previous planning pass and of the current one, by
   * task. */
  std::map<std::string, CapacityReservation> previousReservations;
  std::map<std::string, CapacityReservation> reservations;
  /** In the current planning pass, reservations were made that tasks may use if
   * they end early enough. */
  bool anyBackfillable = false;
  /** Long-running tasks that no worker could run in the current planning pass,
   * even without its short tasks. */
  std::vector<TaskName> unplaceable;
  /** Number of long-running tasks in the current planning pass for which no
   * worker was searched for, since a limit was reached. */
  std::uint64_t notSearched = 0;
  /** Remaining searches in the current planning pass for a worker on which to
   * reserve capacity. */
  int reservationSearches = 0;
  ShortTaskHeadroom headroom;
  /** Number of delays of first starts for the headroom since the usage of the
   * cell was last logged, by step and planning pass. */
  std::uint64_t delayedSteps = 0;
  PreemptionBudget preemptionBudget;
  Quarantine quarantine;
  CrashAttribution crashes;
  FillerInterference interference;
  TimePoint interferenceUpdatedAt;
  TimePoint interferenceLoggedAt;
  TimePoint usageMeasuredAt;
  TimePoint delaysLoggedAt;
  TimePoint waitLoggedAt;
  TimePoint idleLoggedAt;
  StartCounts startCounts;
  /** Processor time available to fillers in the cell when it was last measured,
   * in thousandths of a core. */
  std::int64_t availableToFillers = 0;
  /** FewWaitInTime() in the current planning pass. */
  bool fewWaitInTime = false;
};

} // namespace sequoiakeel
