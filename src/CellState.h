#pragma once

#include "Ledger.h"
#include "TaskRef.h"
#include "generated/Cell.h"

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sequoiakeel {

/** A job with those of its tasks that have been started at least once and have
 * not ended. */
struct Job
{
  /** The row's own list of tasks stays empty; they are kept in `tasks`. */
  JobRow row;
  std::map<std::uint32_t, TaskRow> tasks;

  /** Number of tasks that wait to be started. */
  std::uint32_t QueuedTasks() const;
};

/** Time that a job is retained after its end, so that a submission that is
 * retried within the 25 hours of an idempotency record is recognised. */
constexpr std::chrono::hours kJobRetention{ 26 };

/** A task that has failed this many times is not started again. */
constexpr std::uint32_t kMaxTaskFailures = 4;

/** A task under which this many workers have crashed is given up. At most the
 * first of these crashes may be the fault of a task that started beside it. */
constexpr std::size_t kMaxTaskCrashes = 3;

/** Returns the number of crashes of workers counted against a task. Thread
 * safe. */
std::size_t
CrashesUnder(const TaskRow& aRow);

/**
 * State of a cell: a deterministic function of the log entries applied. Not
 * thread safe.
 */
class CellState
{
public:
  CellState() = default;

  /** Restores a snapshot. */
  explicit CellState(const CellSnapshot& aSnapshot);

  /** Returns the whole state as a snapshot. */
  CellSnapshot Snapshot() const;

  /** Applies one entry. Throws InternalError if the state does not allow it, in
   * particular if a start would exceed a worker's capacity. */
  void Apply(const LogEntry& aEntry);

  /** Applies a record: its entries, its sequence number and its elapsed time.
   * Then removes the jobs whose retention time is over and returns their ids.
   */
  std::vector<std::string> ApplyRecord(const LogRecord& aRecord);

  /** Removes a job that has ended. */
  void RemoveJob(const std::string& aJob);

  /** Returns the job or null. */
  const Job* FindJob(const std::string& aJob) const;

  /** Returns the task if it has been started and has not ended, else null. */
  const TaskRow* FindTask(const TaskRef& aTask) const;

  /** Returns the tasks that hold resources on a worker, ordered by id. */
  const std::set<TaskRef>& TasksOn(const std::string& aWorker) const;

  const std::map<std::string, Job>& Jobs() const { return this->jobs; }
  const std::map<std::string, WorkerRow>& Workers() const
  {
    return this->workers;
  }
  const Ledger& Commitments() const { return this->ledger; }

  /** Raises a task's commitment to the usage that its worker reports. The
   * change is not written to the log. */
  void Observe(const TaskRef& aTask, const Resources& aUsage);

  std::uint64_t Sequence() const { return this->sequence; }
  std::uint64_t Epoch() const { return this->epoch; }
  std::uint64_t OpenJobs() const { return this->openJobs; }
  std::uint64_t QueuedTasks() const { return this->queuedTasks; }

  /** Total size of the payloads of the open jobs. */
  std::uint64_t PayloadBytes() const { return this->payloadBytes; }

  /** Resources that a team's started tasks hold in this cell. */
  Resources HeldBy(const std::string& aTeam) const;

private:
  using Handler = void (CellState::*)(const LogEntry&);
  static const std::map<LogEntryKind, Handler>& Handlers();

  void ApplyOwnerChanged(const LogEntry& aEntry);
  void ApplyWorkerAdded(const LogEntry& aEntry);
  void ApplyWorkerReplaced(const LogEntry& aEntry);
  void CountCrash(const std::string& aWorker, const std::string& aTaskIds);
  void ApplyWorkerRemoved(const LogEntry& aEntry);
  void ApplyJobAccepted(const LogEntry& aEntry);
  void ApplyJobCancelled(const LogEntry& aEntry);
  void ApplyJobMoved(const LogEntry& aEntry);
  void ApplyStartIntent(const LogEntry& aEntry);
  void ApplyTaskRunning(const LogEntry& aEntry);
  void ApplyTaskFinished(const LogEntry& aEntry);
  void ApplyTaskFailed(const LogEntry& aEntry);
  void ApplyTaskRequeued(const LogEntry& aEntry);
  void ApplyEvictionBegun(const LogEntry& aEntry);
  void ApplyTaskCheckpointed(const LogEntry& aEntry);
  void ApplyTaskEvicted(const LogEntry& aEntry);

  Job& MutableJob(const std::string& aJob);
  TaskRow& ActiveTask(const LogEntry& aEntry);
  TaskRow& RowForStart(Job& aJob, const LogEntry& aEntry);
  void ReleaseTask(const TaskRef& aTask, const TaskRow& aRow);
  void Requeue(const TaskRef& aTask);
  void DropTask(const TaskRef& aTask);
  void DropUnstarted(Job& aJob);
  void EndIfDone(Job& aJob);
  void IndexTask(const Job& aJob, const TaskRow& aRow);
  std::vector<std::string> ExpiredJobs() const;

  std::map<std::string, Job> jobs;
  std::map<std::string, WorkerRow> workers;
  std::map<std::string, std::set<TaskRef>> tasksOn;
  std::map<std::string, Resources> heldByTeam;
  std::set<std::pair<std::uint64_t, std::string>> ended;
  Ledger ledger;
  std::uint64_t sequence = 0;
  std::uint64_t epoch = 0;
  std::string owner;
  std::uint64_t timeMs = 0;
  std::uint64_t nextOrder = 0;
  std::uint64_t openJobs = 0;
  std::uint64_t queuedTasks = 0;
  std::uint64_t payloadBytes = 0;
};

} // namespace sequoiakeel
