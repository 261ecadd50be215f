#pragma once

#include "BootClock.h"
#include "Clock.h"
#include "FillerThrottle.h"
#include "Quarantine.h"
#include "RoomForecast.h"
#include "ScheduledWorker.h"
#include "SchedulerObserver.h"
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

/** Durations that the platform promises or demands. */
struct SchedulerBounds
{
  /** Longest lease that a worker gives. */
  std::chrono::milliseconds workerLease{ 6000 };
  /** Shortest time that a draining worker goes on. */
  std::chrono::milliseconds drain{ 2000 };
  /** How long before its due time an occurrence may start. */
  std::chrono::milliseconds earlyStart{ 250 };
  /** How long the state of an ended job can be asked for. */
  std::chrono::milliseconds stateRetention{ 120000 };

  /** Interval at which the list of workers is read. A start must not reach a
   * worker later than the drain time after its notice, and can be under way for
   * 1.5 s. */
  std::chrono::milliseconds RegistryInterval() const
  {
    return std::clamp(this->drain / 3,
                      std::chrono::milliseconds(700),
                      std::chrono::milliseconds(1500));
  }
};

/** Decisions that vary; the objects must outlive the scheduler. */
struct SchedulerPolicies
{
  const StepOrder& order;
  const WorkerChoice& choice;
  const FillerThrottle& throttle;
  SchedulerObserver& observer;
};

/** A start that was decided on. */
struct PlannedStart
{
  std::string worker;
  Endpoint endpoint;
  StartOrder order;
};

/** A stop that was decided on. */
struct PlannedStop
{
  std::string worker;
  Endpoint endpoint;
  std::string task;
  std::uint64_t run = 0;
  /** Why, for the log. */
  const char* reason = "";
};

/** A change of a filler's speed. */
struct PlannedThrottle
{
  std::string worker;
  Endpoint endpoint;
  std::string task;
  std::uint64_t run = 0;
  int percent = 100;
};

/** Orders to workers that one round of planning led to. */
struct PlannedOrders
{
  std::vector<PlannedStart> starts;
  std::vector<PlannedStop> stops;
  std::vector<PlannedThrottle> throttles;
};

/** A job's durable progress that has to be written. */
struct ProgressRecord
{
  WorkflowProgress progress;
  /** The job has ended; its submission need not be kept. */
  bool final = false;
};

/** Progress that is written together. */
struct ProgressBatch
{
  std::vector<ProgressRecord> records;
  /** Number of the last change that the records cover. */
  std::uint64_t change = 0;
};

/** Tasks of one job that no worker of the cell can take and another cell may
 * have room for. */
struct HandOver
{
  WorkflowSubmission submission;
  std::vector<TaskRun> tasks;
  /** What one of the tasks needs at most. */
  CellRoom size;
};

/**
 * Decides where and when the tasks of one cell run. It keeps the jobs, the
 * workers with what may run on them, and turns reports into orders and durable
 * progress. It knows no socket, store or thread: its caller feeds it events and
 * carries out the orders. Not thread safe.
 *
 * A run counts as over only if its worker listed its end, if a report that was
 * requested after the order's last chance does not show it, or if every lease
 * that the worker may hold has expired by the slowest clock.
 */
class CellScheduler
{
public:
  /** aOlderLeasesGone: when every lease that earlier owners granted has
   * expired. */
  CellScheduler(SchedulerBounds aBounds,
                SchedulerPolicies aPolicies,
                const Clock& aClock,
                const WallClock& aWallClock,
                TimePoint aOlderLeasesGone);

  /** Takes over a job that an earlier owner may have started. Its tasks wait
   * until the workers in aRoster have reported. */
  void Restore(WorkflowSubmission aSubmission,
               const WorkflowProgress& aProgress);

  /** Takes over the state of an ended job. */
  void RestoreEnded(const WorkflowProgress& aProgress);

  /** Names the workers on which earlier owners may have started tasks. */
  void SetRoster(const WorkerRoster& aRoster);

  /** Takes in a job that nobody can have started. Returns false if it is known.
   * The part of a job that another cell hands over may grow. */
  bool Accept(WorkflowSubmission aSubmission);

  /** Returns the long-running tasks that wait and that no worker of the cell
   * could take, even without all short tasks. */
  std::vector<HandOver> HandOvers() const;

  bool HasHandOvers() const { return !this->unplaceable.empty(); }

  /** Notes that tasks are being handed over: they are not started here. Returns
   * the job's progress with them; empty if one of them is no longer pending. */
  std::optional<WorkflowProgress> BeginHandOver(const HandOver& aHandOver);

  /** Takes tasks back whose hand-over surely did not take place. */
  void CancelHandOver(const HandOver& aHandOver);

  /** Returns the largest task that a worker could take if all short tasks
   * ended. */
  CellRoom LargestRoom() const;

  /** Cancels a job; returns false if it is unknown or has ended. */
  bool Cancel(const std::string& aJob);

  /** Takes in the registry's list of workers. */
  void UpdateWorkers(std::span<const WorkerDescription> aWorkers);

  /** Tells whether the durable roster lacks a listed worker, which gets no task
   * until it is there, or names one that is gone, for which the next owner
   * would wait. */
  bool RosterIsStale() const;

  /** Returns the roster as it should be. */
  WorkerRoster RosterToWrite() const;

  /** Notes that a roster is durable. */
  void RosterWritten(const WorkerRoster& aRoster);

  /** Returns the ids of workers that need a lease or a report. */
  std::vector<std::string> WorkersToRenew() const;

  /** Returns a worker, or null. The pointer is valid until the next call of a
   * non-const method. */
  const ScheduledWorker* FindWorker(const std::string& aWorker) const;

  /** Returns until when, by the worker's clock, a lease of full length lasts; 0
   * if that clock is unknown. */
  std::uint64_t LeaseUntil(const std::string& aWorker) const;

  /** Notes that an order that grants a lease is about to be sent. */
  void NoteLease(const std::string& aWorker, std::uint64_t aUntilWorkerMs);

  /** Takes in a worker's report. aSentAt: when it was requested. */
  void HandleReport(const std::string& aWorker,
                    TimePoint aSentAt,
                    std::uint64_t aWorkerMs,
                    const WorkerReport& aReport);

  /** Takes in that a worker did not answer a renewal. Until it reports again it
   * gets no further lease, so that its tasks can go elsewhere once the present
   * one has expired. */
  void HandleSilence(const std::string& aWorker);

  /** Takes in the outcome of a start. aMayBeInFlight: an earlier copy of the
   * order had no answer. */
  void HandleStart(const std::string& aWorker,
                   const std::string& aTask,
                   std::uint64_t aRun,
                   const OrderReply& aReply,
                   bool aMayBeInFlight);

  /** Tells whether a start order may still be repeated. */
  bool AwaitsStart(const std::string& aWorker,
                   const std::string& aTask,
                   std::uint64_t aRun) const;

  /** Takes in the outcome of a stop. */
  void HandleStop(const std::string& aWorker,
                  const std::string& aTask,
                  std::uint64_t aRun,
                  const OrderReply& aReply);

  /** Takes in that the worker's address belongs to another worker. */
  void HandleWrongWorker(const std::string& aWorker);

  /** Decides what to do now. */
  PlannedOrders Plan();

  /** Returns all progress that is to be written. Precondition: the batch before
   * it was settled or returned. */
  ProgressBatch TakeProgress();

  /** Notes that a record is durable. */
  void ProgressWritten(const ProgressRecord& aRecord);

  /** Puts a record back that was not written. */
  void ProgressNotWritten(const ProgressRecord& aRecord);

  /** Notes that all records of a batch are durable: the ends that led to them
   * may be acknowledged. */
  void SettleBatch(std::uint64_t aChange);

  /** Tells whether progress waits to be written, and whether a job's end is
   * among it. */
  bool HasProgress() const { return !this->dirty.empty(); }
  bool HasFinalProgress() const { return this->finalDirty > 0; }

  /** Returns a job's state for callers. */
  WorkflowState StateOf(const std::string& aJob) const;

  /** Returns how many jobs of a queue have no started task. */
  std::uint64_t PendingOf(const std::string& aQueue) const;

  /** Returns what the cell has and what its jobs want now. */
  CellLoad Load() const;

  /** What this owner has learnt of interference, for other owners. */
  InterferenceEvidence Evidence() const
  {
    return this->interference.Evidence();
  }

  /** Takes over what another owner, or an earlier one, has learnt. */
  void SetOutsideEvidence(const std::string& aSource,
                          InterferenceEvidence aEvidence)
  {
    this->interference.SetOutsideEvidence(aSource, std::move(aEvidence));
  }

  /** Returns the ids of ended jobs whose retention is over, and forgets them;
   * those in aKept stay. */
  std::vector<std::string> TakeExpired(std::size_t aMost,
                                       const std::set<std::string>& aKept);

  /** Tells whether it is known where all tasks of earlier owners are. */
  bool Recovered() const { return this->recovered; }

  std::size_t Jobs() const { return this->jobs.size(); }
  std::size_t Workers() const { return this->workers.size(); }

private:
  struct Entry
  {
    WorkflowJob job;
    /** An earlier owner may have started its tasks. */
    bool fromEarlierOwner = false;
  };
  struct Ended
  {
    WorkflowProgress progress;
    bool durable = false;
  };
  /** Worker on which room is kept for a long-running task that found none. */
  struct RoomHold
  {
    std::string worker;
    std::string stepKey;
    TimePoint chosenAt;
  };
  enum class HoldOutcome : std::uint8_t
  {
    Held,
    /** Not even without all short tasks could a worker take the task. */
    NoWorker,
    /** Too many others were looked at in this round. */
    NotTried,
  };
  /** A task with what decides where it may go. */
  struct PlacedTask
  {
    const WorkflowSubmission& submission;
    const WorkflowStep& step;
    const std::string& stepKey;
    /** Rack that its step uses already. */
    std::string rack;
    /** Time since its turn came. */
    Duration waited{};
  };
  struct Candidate
  {
    std::string job;
    std::uint32_t occurrence;
    std::uint32_t step;
    WaitingStep order;
  };

  void AddJob(WorkflowSubmission aSubmission, bool aFromEarlierOwner);
  void EndJob(const std::string& aJob, WorkflowState aState, const char* aWhy);
  void StopRun(ScheduledWorker& aWorker,
               const std::string& aTask,
               const char* aReason);
  void ReadTails(const ScheduledWorker& aWorker);
  void ObserveInterference(const ScheduledWorker& aWorker);
  void AdjustFillers(ScheduledWorker& aWorker);
  /** Tells whether fillers use more than the others' unused processor time. */
  bool FillersContend(const ScheduledWorker& aWorker) const;
  /** Returns the speed at which all fillers of a worker together use no more
   * than the others leave unused, in percent. */
  int UncontendedPercent(const ScheduledWorker& aWorker) const;
  double LatencyRatioFor(const ScheduledWorker& aWorker,
                         const std::string& aFillerImage) const;
  void TakeEnd(ScheduledWorker& aWorker, const EndedRow& aRow);
  void TakeRunEnd(const std::string& aWorker,
                  const TaskName& aName,
                  Entry& aEntry,
                  const EndedRow& aRow);
  void CountFailure(const std::string& aWorker,
                    const TaskName& aName,
                    Entry& aEntry,
                    const EndedRow& aRow);
  void TakeRunning(ScheduledWorker& aWorker, const RunningRow& aRow);
  void Adopt(ScheduledWorker& aWorker,
             const TaskName& aName,
             const RunningRow& aRow);
  void CheckMissing(ScheduledWorker& aWorker,
                    TimePoint aSentAt,
                    const WorkerReport& aReport);
  void LoseRun(ScheduledWorker& aWorker,
               const std::string& aTask,
               const char* aReason);
  void LoseAll(ScheduledWorker& aWorker, const char* aReason);
  TimePoint NoCopyRunsAfter(const Commitment& aCommitment) const;
  void BeginIncarnation(ScheduledWorker& aWorker, std::uint64_t aIncarnation);
  void ExpireLeases();
  void CheckRecovered();
  bool MayRunOnSilent(const std::string& aTask) const;
  bool AwaitsSilent(const std::string& aWorker) const
  {
    return this->tasksOnSilent.contains(aWorker);
  }
  void MarkDirty(const std::string& aJob);
  std::vector<Candidate> Candidates() const;
  bool StepIsDue(const Entry& aEntry, std::uint32_t aOccurrence) const;
  void PlanSteps(std::span<const Candidate> aCandidates,
                 PlannedOrders& aOrders);
  void PlanStep(const Candidate& aCandidate, PlannedOrders& aOrders);
  bool PlanGang(const Candidate& aCandidate, PlannedOrders& aOrders);
  void OpenRound();
  ScheduledWorker* Choose(const PlacedTask& aTask);
  ScheduledWorker* ChooseAmong(std::span<ScheduledWorker* const> aWorkers,
                               const PlacedTask& aTask);
  /** Tells whether a step that asked for no more found no worker in this round.
   */
  bool IsUnplaced(const PlacedTask& aTask) const;
  void NoteUnplaced(const PlacedTask& aTask);
  /** Keeps room for a long-running task that found none. */
  HoldOutcome HoldRoom(const std::string& aTaskName, const PlacedTask& aTask);
  ScheduledWorker* HeldBefore(const std::string& aTaskName,
                              const PlacedTask& aTask);
  ScheduledWorker* WorkerToHold(const std::string& aTaskName,
                                const PlacedTask& aTask);
  bool MayHold(const ScheduledWorker& aWorker, const PlacedTask& aTask) const;
  void Preempt(ScheduledWorker& aWorker,
               const std::string& aTaskName,
               const PlacedTask& aTask);
  void NoteUnplaceable(const TaskName& aName, const PlacedTask& aTask);
  void PlanLeaving(ScheduledWorker& aWorker, const std::string& aTaskName);
  PlannedStart Start(Entry& aEntry,
                     const TaskName& aName,
                     std::uint64_t aRun,
                     ScheduledWorker& aWorker,
                     const std::string& aStepKey);
  void PlanStops(PlannedOrders& aOrders);
  void PlanDrains();
  void PlanThrottles(PlannedOrders& aOrders);
  void DropUnlistedWorkers();
  ScheduledWorker* Worker(const std::string& aWorker);
  Entry* FindJob(const std::string& aJob);

  SchedulerBounds bounds;
  SchedulerPolicies policies;
  const Clock& clock;
  const WallClock& wallClock;
  TimePoint olderLeasesGone;
  bool recovered = false;
  /** Workers of earlier owners that have not reported and may run any task. */
  std::set<std::string> awaitedWorkers;
  /** Tasks that may run on silent workers of earlier owners, by worker. */
  std::map<std::string, std::set<std::string>> tasksOnSilent;
  /** The durable roster: workers that may get tasks, and those listed as
   * silent.
   */
  std::set<std::string> roster;
  std::set<std::string> rosterSilent;
  std::unordered_map<std::string, Entry> jobs;
  std::unordered_map<std::string, Ended> ended;
  std::map<std::string, ScheduledWorker> workers;
  std::set<std::string> dirty;
  std::size_t finalDirty = 0;
  /** Number of the last change of durable progress. */
  std::uint64_t change = 0;
  /** Workers that take starts in the present round of planning, and those that
   * only their quarantine keeps from it. */
  std::vector<ScheduledWorker*> openWorkers;
  std::vector<ScheduledWorker*> quarantinedWorkers;
  /** Smallest steps that found no worker in the present round, by what makes
   * them alike. */
  std::map<std::string, WorkflowStep> unplaced;
  /** By task: those of the last round, and those of the present one. */
  std::map<std::string, RoomHold> lastHolds;
  std::map<std::string, RoomHold> holds;
  /** Long-running tasks that no worker could hold in the present round. */
  std::vector<TaskName> unplaceable;
  /** Searches for workers to hold that are left in the present round. */
  int holdSearches = 0;
  PreemptionBudget preemptionBudget;
  Quarantine quarantine;
  FillerInterference interference;
  TimePoint interferenceUpdatedAt;
  TimePoint interferenceLoggedAt;
};

} // namespace sequoiakeel
