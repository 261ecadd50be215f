#pragma once

#include "Clock.h"
#include "TaskName.h"
#include "WorkerReport.h"
#include "generated/Workflow.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Wait after which a task that came from another cell may be handed over
 * again. It limits the number of moves between cells whose published capacity
 * is outdated. A task has to run again within six seconds. */
inline constexpr std::chrono::milliseconds kNextHandOverWait{ 2000 };

/** Life cycle state of a task. */
enum class TaskStatus : std::uint8_t
{
  /** Waits to be started once the steps it depends on are done. */
  Pending,
  /** Has a run on a worker, which may not be confirmed yet. */
  Assigned,
  Done,
  /** Was handed over to another cell, which runs it. */
  HandedOver,
};

/** One task of a workflow. */
struct WorkflowTask
{
  TaskStatus status = TaskStatus::Pending;
  /** Worker of the current run. Valid if Assigned. */
  std::string worker;
  /** Worker on which an earlier owner may have started the task, as recorded in
   * the durable progress; empty if there is none. Valid if Pending. */
  std::string mayRunOn;
  /** Highest run number known. */
  std::uint64_t run = 0;
  /** A run of the task has begun, or may have begun on a worker that was lost.
   * After a takeover, so does every recorded run. */
  bool hasRun = false;
  /** Last checkpoint reported. */
  std::string checkpoint;
  /** Numbers of the failed runs, for TaskFailures. */
  std::vector<std::uint64_t> failedRuns;
  /** Numbers of the runs that are suspected of having crashed their workers,
   * for TaskCrashes. */
  std::vector<std::uint64_t> crashedRuns;
  /** Those of crashedRuns whose start was not confirmed, so they may not have
   * begun before the crash. Not durable: a new owner takes them for confirmed.
   */
  std::vector<std::uint64_t> unconfirmedCrashes;
  /** Numbers of the runs under which a worker crashed of which other runs are
   * suspected. Not durable: a task that crashes its workers long after its
   * starts is found out only if the owner stays. */
  std::vector<std::uint64_t> bystanderRuns;
  /** Is not started any more, since it crashes its workers. */
  bool withheld = false;
  /** Since when the task has had no run that is known to have begun. */
  TimePoint pendingSince;
  /** The task is not handed over to another cell before this time. */
  TimePoint handOverNotBefore;
};

/** Tasks of one step in one occurrence of the job. */
struct WorkflowStepTasks
{
  std::vector<WorkflowTask> tasks;
  std::uint32_t done = 0;
  std::uint32_t pending = 0;
  std::uint32_t handedOver = 0;

  bool AllDone() const { return this->done == this->tasks.size(); }

  /** Returns the number of pending tasks that have run before. */
  std::uint32_t CountInterrupted() const;
};

/** Steps of one occurrence, that is, of one instance of a recurring job. A job
 * that does not recur has one occurrence. */
struct WorkflowOccurrence
{
  std::vector<WorkflowStepTasks> steps;
  std::uint64_t dueUnixMs = 0;
};

/**
 * State of one accepted job: which tasks are done, running or to be started.
 * Has no side effects and reads no clock. Not thread safe.
 */
class WorkflowJob
{
public:
  /** Precondition: aSubmission passes CheckSubmission(). */
  WorkflowJob(WorkflowSubmission aSubmission, TimePoint aNow);

  /** Restores the state from durable progress. Precondition: no task was
   * assigned yet. */
  void Restore(const WorkflowProgress& aProgress, TimePoint aNow);

  const WorkflowSubmission& Submission() const { return this->submission; }
  const std::vector<WorkflowOccurrence>& Occurrences() const
  {
    return this->occurrences;
  }

  /** Returns the task, or null if the job has no such task. */
  WorkflowTask* Find(const TaskName& aName);

  /** Returns the step of a task. Precondition: the job has the task. */
  const WorkflowStep& StepOf(const TaskName& aName) const
  {
    return this->submission.steps[aName.step];
  }

  /** Returns whether all steps that a step depends on are done. */
  bool DependenciesDone(std::uint32_t aOccurrence, std::uint32_t aStep) const;

  /** Assigns a run of a pending task to a worker. Throws if the task is not
   * pending. */
  void Assign(const TaskName& aName,
              const std::string& aWorker,
              std::uint64_t aRun);

  /** Returns an assigned task to pending whose run has begun. aSince: end of
   * the run, as far as it is known. Throws if the task is not assigned. */
  void Unassign(const TaskName& aName, TimePoint aSince);

  /** Returns an assigned task to pending whose run is not known to have begun.
   * The time since which it has been pending is kept. Throws if the task is not
   * assigned. */
  void RevokeAssignment(const TaskName& aName);

  /** HandOver() marks a pending task as handed over to another cell; Reclaim()
   * makes a task that was handed over pending here again. Both throw if the
   * task is in another state. */
  void HandOver(const TaskName& aName);
  void Reclaim(const TaskName& aName, TimePoint aSince);

  /** Makes tasks pending that another cell handed over or returned to this
   * cell. Tasks that this cell already has are skipped. The others keep their
   * wait and are not handed over again before kNextHandOverWait has passed. */
  void AddTasks(std::span<const TaskRun> aTasks, TimePoint aNow);

  /** Returns whether this is the part of a job that another cell handed over;
   * that cell owns the job. */
  bool IsPart() const
  {
    return this->submission.partial || !this->submission.part.empty();
  }

  /** Marks a task as done; returns false if it was done already. Precondition:
   * the job has the task. */
  bool MarkDone(const TaskName& aName);

  /** Records a failed run; returns false if it was recorded already or if the
   * task's failures are not counted, as for long-running tasks. Precondition:
   * the job has the task. */
  bool MarkFailed(const TaskName& aName, std::uint64_t aRun);

  /** Records a run that is suspected of having crashed its worker; returns
   * false if it was recorded already or the task is done. Precondition: the job
   * has the task. */
  bool MarkCrashed(const TaskName& aName, std::uint64_t aRun);

  /** Removes the suspicion of one run; returns false if there was none.
   * Precondition: the job has the task. */
  bool ClearCrash(const TaskName& aName, std::uint64_t aRun);

  /** Returns the largest number of such runs of any task. */
  std::size_t MostCrashes() const;

  /** Removes the suspicion that a task crashes its workers; returns false if
   * there was none. Precondition: the job has the task. */
  bool ClearCrashes(const TaskName& aName);

  /** Returns whether any task of the job has used up its attempts. Long-running
   * tasks, which run until they are cancelled, have no limit. */
  bool AttemptsExhausted() const { return this->exhausted; }

  bool AllDone() const { return this->openTasks == 0; }

  /** Records that a run of a task may have begun. Precondition: the job has the
   * task. */
  void MarkRun(const TaskName& aName) { this->Find(aName)->hasRun = true; }

  /** Returns whether a run of any task has begun, or may have begun on a worker
   * that was lost, under this owner or an earlier one. */
  bool Started() const { return this->started; }

  /** Returns the number of tasks that have a run of this owner. */
  std::uint32_t AssignedTasks() const { return this->assignedTasks; }

  /** Returns whether any task has a run of this owner. */
  bool AnyAssigned() const { return this->assignedTasks > 0; }

  /** Records that a run of a task has begun. */
  void MarkStarted() { this->started = true; }

  /** Returns the progress to store durably, with the given state of the job. */
  WorkflowProgress Progress(WorkflowState aState) const;

  /** Returns the number of tasks in all occurrences. */
  std::uint64_t TaskCount() const { return this->taskCount; }

  /** Adds the processor time requested by the running tasks and by those whose
   * dependencies are done. Tasks that were handed over do not count. */
  void AddLoad(CellLoad& aLoad) const;

  /** Returns the expected duration of the longest chain of steps in
   * milliseconds. */
  double CriticalPathMs() const { return this->criticalPathMs; }

  /** Returns the expected duration in milliseconds of the longest chain of
   * steps that begins with aStep, if none of its tasks was started yet. */
  double RemainingPathMs(std::uint32_t aStep) const
  {
    return this->remainingPathMs[aStep];
  }

  /** Returns the expected work of the pending tasks, in core-milliseconds. */
  double RemainingWork() const;

  /** Returns the time by which the job should be completed, in milliseconds
   * since 1970. */
  double ObjectiveUnixMs() const;

private:
  WorkflowStepTasks& TasksOf(const TaskName& aName)
  {
    return this->occurrences[aName.occurrence].steps[aName.step];
  }

  WorkflowSubmission submission;
  std::vector<WorkflowOccurrence> occurrences;
  std::uint64_t openTasks = 0;
  std::uint64_t taskCount = 0;
  /** By step. */
  std::vector<double> remainingPathMs;
  double criticalPathMs = 0;
  bool exhausted = false;
  bool started = false;
  std::uint32_t assignedTasks = 0;
};

/** Limit of tasks in one job. Its progress, with up to 140 bytes for a task,
 * has to fit into a value of the store, which may have a megabyte. */
inline constexpr std::uint64_t kMaxTasksPerJob = 5000;

/** Returns the number of tasks of a job in all its occurrences. Precondition:
 * aSubmission passes CheckSubmission(). Thread safe, as are all functions
 * below.
 */
std::uint64_t
CountTasks(const WorkflowSubmission& aSubmission);

/** Returns how many tasks each of aCells cells may have, so that a host with
 * aMemoryMb of memory can own all of them. Precondition: aCells > 0. */
std::uint64_t
MaxTasksPerCell(std::size_t aMemoryMb, std::uint32_t aCells);

/** Validates a submission. Returns a description of the first error, or an
 * empty string if it is valid. */
std::string
CheckSubmission(const WorkflowSubmission& aSubmission);

} // namespace sequoiakeel
