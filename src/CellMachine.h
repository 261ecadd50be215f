#pragma once

#include "CellLog.h"
#include "CellPolicies.h"
#include "CellState.h"
#include "DecisionHistory.h"
#include "RenewalGate.h"
#include "generated/Configuration.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Parameters of a CellMachine. */
struct CellOptions
{
  std::string cell;
  std::string planner;
  /** Identifier of this process in store writes; unique over all processes and
   * their restarts. */
  std::string writer;
  /** Peer endpoint, published in the owner record. */
  Endpoint peer;
  Duration groupWindow = std::chrono::milliseconds(250);
};

/** The part of the configuration that a cell uses. */
struct CellRules
{
  std::map<std::string, TaskClass> classes;
  std::set<std::string> teams;
  /** Share in this cell, as a hard limit, of each team that has a quota. */
  std::map<std::string, Resources> shares;
  bool trustWorkerLeases = true;
  std::int64_t evictionsPerMinute = 6;
};

/** Limits of a cell's queues and of the log entries not yet durable. */
struct CellLimits
{
  std::uint64_t openJobs = 20'000;
  std::uint64_t knownJobs = 100'000;
  std::uint64_t queuedTasks = 200'000;
  std::uint64_t payloadBytes = 16'000'000;
  std::size_t uncommittedEntries = 5'000;
};

/** Phase of a planner's ownership of a cell. */
enum class CellPhase : std::uint8_t
{
  /** Not the owner. */
  Idle,
  /** Holds the owner key and reads the log. */
  Reading,
  /** Appends OwnerChanged. */
  Announcing,
  Active,
  /** Hands the cell over. */
  Draining,
  /** Deletes the owner key. */
  Releasing,
  /** Has handed the cell over. */
  Released,
};

/** Returns the name of a phase. Thread safe. */
std::string_view
ToString(CellPhase aPhase);

/**
 * State machine of one planner for one cell: ownership, log, jobs, tasks and
 * workers. It is deterministic: state and commands depend only on the events
 * passed in. Commands are put into the outbox; each must get exactly one reply,
 * in any order. Not thread safe.
 */
class CellMachine
{
public:
  CellMachine(CellOptions aOptions, CellPolicies& aPolicies);
  CellMachine(const CellMachine&) = delete;
  CellMachine& operator=(const CellMachine&) = delete;

  /** Performs the work that is due at aNow. Call at least every 100 ms. */
  void Tick(TimePoint aNow);

  /** Sets whether this planner should try to become the owner. A planner that
   * already owns the cell stays its owner in either case. */
  void SetCandidate(bool aCandidate) { this->candidate = aCandidate; }

  /** Sets the planner's store lease and the time, by this process's own clock,
   * until which the lease counts as held. A lease of 0 means none. */
  void OnStoreLease(std::uint64_t aLease, TimePoint aValidUntil);

  /** Passes on whether, by the planners' recent reports, a majority of them can
   * or cannot reach the store; this controls the renewal gate. Call right
   * before each Tick. */
  void OnStoreReports(TimePoint aNow,
                      bool aMajorityReachable,
                      bool aMajorityUnreachable);

  /** Sets the cell's hosts, combined from the host list and other sources. */
  void SetFleet(const std::vector<HostRecord>& aHosts, TimePoint aNow);

  void SetRules(CellRules aRules);
  void SetLimits(const CellLimits& aLimits) { this->limits = aLimits; }

  void OnStoreReply(const StoreReply& aReply, TimePoint aNow);
  void OnWorkerReply(const WorkerReply& aReply, TimePoint aNow);

  /** Accepts or refuses a job. The result is a ClientReply with aToken. */
  void Submit(std::uint64_t aToken, const SubmitJob& aJob, TimePoint aNow);

  /** Cancels a job. The result is a ClientReply with aToken. */
  void Cancel(std::uint64_t aToken, const CancelJob& aJob, TimePoint aNow);

  /** Returns the durable state of a job, without entries not yet committed. */
  JobStatus Query(const std::string& aJob) const;

  /** Returns the latest decisions on a job, of those made since this planner
   * became the owner. */
  std::vector<JobDecision> Decisions(const std::string& aJob,
                                     TimePoint aNow) const
  {
    return this->history.Of(aJob, aNow);
  }

  /** Records that a job moves to another cell. Returns false if the job cannot
   * be moved, for example because it has started. */
  bool Move(const std::string& aJob, const std::string& aCell, TimePoint aNow);

  /** Begins to evict a running task. Returns false if it cannot be evicted. */
  bool Evict(const TaskRef& aTask, const std::string& aReason, TimePoint aNow);

  /** Starts the hand-over of the cell, which ends in phase Released. */
  void Drain();

  CellStatus Status() const;

  /** Return views for policies and operators, as of aNow. */
  std::vector<WorkerView> WorkerViews(TimePoint aNow);
  std::vector<TaskView> QueueViews(TimePoint aNow) const;

  CellPhase Phase() const { return this->phase; }
  bool OwnsWithValidLease(TimePoint aNow) const;
  /** State including entries that are not yet durable. */
  const CellState& Working() const { return this->working; }
  /** State according to the durable log entries. */
  const CellState& Committed() const { return this->committed; }
  const CellLog& Log() const { return this->log; }
  std::uint64_t StaleReplies() const { return this->staleReplies; }

  /** Commands and replies issued; the driver removes and sends them. */
  Outbox outbox;

private:
  /** Data on a worker that the owner keeps in memory only, not in the log. */
  struct WorkerLink
  {
    Endpoint endpoint;
    std::string zone;
    std::string rack;
    bool listed = false;
    bool leaving = false;
    TimePoint lastListed;
    CasWrite claim;
    TimePoint claimAgainAt;
    /** The key workers/<worker> names this cell. */
    bool claimed = false;
    std::uint64_t statusSent = 0;
    bool statusPending = false;
    TimePoint nextStatus;
    QuarantineState quarantine = QuarantineState::Healthy;
    /** Number of status queries sent since the worker's leases are known to
     * have expired. */
    int finalQueries = 0;
    std::optional<TimePoint> lastReply;
    /** Time of the last reply of the incarnation in the log. */
    std::optional<TimePoint> lastContact;
    std::uint32_t grant = 0;
    bool grantPending = false;
    bool granted = false;
    bool renewPending = false;
    TimePoint lastRenewal;
    /** Number of the last status query sent before the latest release of a task
     * or change of incarnation. Reports up to it may list tasks released since,
     * so they are not used to stop orphaned tasks. */
    std::uint64_t releaseFloor = 0;
    WorkerStatus report;
  };

  /** Data on one attempt of a task that the owner keeps in memory only, not in
   * the log. */
  struct TaskRuntime
  {
    std::uint32_t attempt = 0;
    /** The intent to start is durable and the start was not sent yet. */
    bool startDue = false;
    bool startInFlight = false;
    /** A crash of the worker was counted against the attempt. */
    bool crashed = false;
    /** Number of a status query. If a report up to it does not list the
     * attempt, this is no evidence that the attempt has ended. */
    std::uint64_t floor = 0;
    bool actionInFlight = false;
    bool mayStop = false;
    int checkpointTries = 0;
    TimePoint nextAction;
    TimePoint since;
    std::uint32_t throttlePermille = 1000;
    std::optional<TimePoint> lastCheckpoint;
    std::uint32_t checkpointPermille = 0;
  };

  using Effect = std::function<void(TimePoint)>;
  using WorkerHandler = std::function<void(const WorkerReply&, TimePoint)>;
  using StoreHandler = std::function<void(const StoreReply&, TimePoint)>;

  // Ownership and log: CellMachine.cpp
  void TickOwnership(TimePoint aNow);
  void OnOwnerWrite(TimePoint aNow);
  void OnRecovered(const RecoveredLog& aLog, TimePoint aNow);
  void BecomeActive(TimePoint aNow);
  void StepDown(const char* aReason);
  void OnCommitted(TimePoint aNow);
  void MaybeSnapshot();
  void TickDraining();
  void ReleaseOwnership();
  void Propose(LogEntry aEntry, Effect aEffect = nullptr);
  void SendStore(StoreCommand aCommand, StoreHandler aHandler);
  void SendWorker(WorkerCommand aCommand, WorkerHandler aHandler);
  bool Serving() const;

  // Jobs and placement: CellMachineJobs.cpp
  void Answer(std::uint64_t aToken,
              SubmitOutcome aOutcome,
              std::string aReason);
  std::string RefusalOf(const SubmitJob& aJob, TimePoint aNow) const;
  void AnswerWhenDurable(std::uint64_t aToken);
  void CancelTasks(const std::string& aJob);
  void Place(TimePoint aNow);
  void ApplyPlacement(const PlacementDecision& aDecision, TimePoint aNow);
  bool WithinShare(const JobSpec& aSpec) const;
  void Relieve(TimePoint aNow);
  void ApplyRelief(const ReliefDecision& aDecision, TimePoint aNow);
  TaskView ViewOf(const Job& aJob,
                  std::uint32_t aTask,
                  const TaskRow* aRow,
                  TimePoint aNow) const;
  RunningTaskView RunningViewOf(const TaskRef& aTask);
  WorkerView ViewOf(const std::string& aWorker, TimePoint aNow);
  std::vector<TeamView> TeamViews() const;

  // Tasks: CellMachineTasks.cpp
  TaskRuntime& RuntimeOf(const TaskRef& aTask, std::uint32_t aAttempt);
  const TaskRow* ActiveRow(const TaskRef& aTask, std::uint32_t aAttempt) const;
  void Dispatch(const TaskRef& aTask, std::uint32_t aAttempt, TimePoint aNow);
  void OnStartReply(const TaskRef& aTask,
                    std::uint32_t aAttempt,
                    const WorkerReply& aReply,
                    TimePoint aNow);
  void EndTask(const TaskRef& aTask,
               LogEntryKind aKind,
               const std::string& aReason,
               TimePoint aNow);
  void ReleaseUnfinished(const TaskRef& aTask,
                         const std::string& aReason,
                         TimePoint aNow);
  void EndByState(const TaskRef& aTask, WorkerTaskState aState, TimePoint aNow);
  void TickTasks(TimePoint aNow);
  void AdvanceStop(const TaskRef& aTask, const TaskRow& aRow, TimePoint aNow);
  void SendCheckpoint(const TaskRef& aTask,
                      const TaskRow& aRow,
                      TimePoint aNow);
  void OnCheckpointReply(const TaskRef& aTask,
                         std::uint32_t aAttempt,
                         const WorkerReply& aReply,
                         TimePoint aNow);
  void SendStop(const TaskRef& aTask, const TaskRow& aRow, TimePoint aNow);
  void OnStopReply(const TaskRef& aTask,
                   std::uint32_t aAttempt,
                   const WorkerReply& aReply,
                   TimePoint aNow);
  void SendAcknowledge(const std::string& aWorker, const std::string& aTaskId);

  // Workers: CellMachineWorkers.cpp
  void TickWorkers(TimePoint aNow);
  void TickClaim(const std::string& aName, WorkerLink& aLink, TimePoint aNow);
  void SendStatus(const std::string& aName, WorkerLink& aLink, TimePoint aNow);
  void OnStatus(const std::string& aName,
                std::uint64_t aNumber,
                const WorkerReply& aReply,
                TimePoint aNow);
  bool UpdateWorker(const std::string& aName,
                    WorkerLink& aLink,
                    const WorkerStatus& aStatus,
                    TimePoint aNow);
  void ReconcileTask(const TaskRef& aTask,
                     WorkerLink& aLink,
                     std::uint64_t aNumber,
                     TimePoint aNow);
  void ReconcileListed(const TaskRef& aTask,
                       const WorkerTask& aListed,
                       std::uint64_t aNumber,
                       TimePoint aNow);
  void ReconcileUnlisted(const TaskRef& aTask,
                         const TaskRow& aRow,
                         WorkerLink& aLink,
                         std::uint64_t aNumber,
                         TimePoint aNow);
  void ClearOrphans(const std::string& aName,
                    const WorkerLink& aLink,
                    std::uint64_t aNumber);
  void AcceptLateCompletions(const WorkerLink& aLink);
  bool IsReleased(const TaskRef& aTask, std::uint64_t aAttempt) const;
  bool IsSuperseded(const TaskRef& aTask, std::uint64_t aAttempt) const;
  void UpdateQuarantine(const std::string& aName,
                        WorkerLink& aLink,
                        TimePoint aNow);
  void MaintainLease(const std::string& aName,
                     WorkerLink& aLink,
                     TimePoint aNow);
  void SendGrant(const std::string& aName, WorkerLink& aLink, TimePoint aNow);
  void SendRenewal(const std::string& aName, WorkerLink& aLink, TimePoint aNow);
  void MoveTasks(const std::string& aName, WorkerLink& aLink, TimePoint aNow);
  void DeclareUnresponsiveWorkerLost(const std::string& aName,
                                     WorkerLink& aLink,
                                     TimePoint aNow);
  void RemoveWorker(const std::string& aName, TimePoint aNow);
  void TickKeyReleases(TimePoint aNow);
  void ReleaseWorkerKey(const std::string& aName);
  void EvictOverflow(const std::string& aName, TimePoint aNow);
  std::string LeaseOf(const WorkerLink& aLink) const;
  bool IsResponsive(const WorkerLink& aLink, TimePoint aNow) const;
  /** Whether a task's start was so short a time before its worker was last seen
   * that it may have caused a crash after that. */
  bool IsNew(const TaskRef& aTask,
             const TaskRow& aRow,
             TimePoint aLastSeen) const;
  std::string CrashCandidates(const std::string& aName, TimePoint aLastSeen);
  bool IsTryingSuspect(const std::string& aWorker, TimePoint aNow) const;
  WorkerCommand CommandTo(WorkerVerb aVerb, const std::string& aWorker) const;

  CellOptions options;
  CellPolicies& policies;
  CellRules rules;
  CellLimits limits;

  CellPhase phase = CellPhase::Idle;
  TimePoint activeSince;
  bool candidate = false;
  bool drainWanted = false;
  std::uint64_t storeLease = 0;
  TimePoint leaseValidUntil;
  CasWrite ownerWrite;
  bool ownerHeld = false;
  std::uint64_t ownerVersion = 0;
  TimePoint claimAgainAt;

  CellLog log;
  CellState working;
  CellState committed;
  std::uint64_t proposed = 0;
  std::uint64_t durable = 0;
  std::deque<std::pair<std::uint64_t, Effect>> effects;
  std::map<std::uint64_t, WorkerHandler> workerHandlers;
  std::map<std::uint64_t, StoreHandler> storeHandlers;
  std::set<std::uint64_t> waitingTokens;
  std::uint64_t staleReplies = 0;

  RenewalGate gate;
  std::map<std::string, HostRecord> fleet;
  bool fleetKnown = false;
  std::map<std::string, WorkerLink> links;
  /** Workers whose store keys are to be released, with the time of the next
   * try. */
  std::map<std::string, TimePoint> keyReleases;
  std::map<TaskRef, TaskRuntime> runtimes;
  /** Tasks that are to be stopped or evicted. */
  std::set<TaskRef> attention;
  std::set<TaskRef> startsDue;
  /** Jobs that the placement policy found unplaceable, with its reason. */
  std::map<std::string, std::string> unplaceable;
  std::map<std::string, TimePoint> queuedSince;
  DecisionHistory history;
  TimePoint nextPlacement;
  TimePoint nextRelief;
};

} // namespace sequoiakeel
