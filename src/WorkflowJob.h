#pragma once

#include "Clock.h"
#include "TaskName.h"
#include "WorkerReport.h"
#include "generated/Workflow.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Where a task is in its life. */
enum class TaskStatus : std::uint8_t
{
  /** It is to be started as soon as its step's turn has come. */
  Pending,
  /** It has a run on a worker, confirmed or not. */
  Assigned,
  Done,
  /** Another cell has it. */
  Elsewhere,
};

/** One task of a workflow. */
struct WorkflowTask
{
  TaskStatus status = TaskStatus::Pending;
  /** Worker of the present run. Valid if Assigned. */
  std::string worker;
  /** Highest run number that is known. */
  std::uint64_t run = 0;
  /** Last checkpoint that was reported. */
  std::string checkpoint;
  /** Run numbers that ended in failure, for TaskFailures. */
  std::vector<std::uint64_t> failedRuns;
  /** When the task last became Pending. */
  TimePoint pendingSince;
};

/** Tasks of one step of one occurrence. */
struct WorkflowStepTasks
{
  std::vector<WorkflowTask> tasks;
  std::uint32_t done = 0;
  std::uint32_t pending = 0;
  std::uint32_t elsewhere = 0;

  bool AllDone() const { return this->done == this->tasks.size(); }
};

/** All steps of one run of the workflow. */
struct WorkflowOccurrence
{
  std::vector<WorkflowStepTasks> steps;
  std::uint64_t dueUnixMs = 0;
};

/**
 * State of one accepted job: which tasks are done, running or to be started.
 * Pure bookkeeping without a clock of its own. Not thread safe.
 */
class WorkflowJob
{
public:
  /** aSubmission has passed CheckSubmission(). */
  WorkflowJob(WorkflowSubmission aSubmission, TimePoint aNow);

  /** Takes over durable progress. Precondition: no task was assigned yet. */
  void Restore(const WorkflowProgress& aProgress);

  const WorkflowSubmission& Submission() const { return this->submission; }
  const std::vector<WorkflowOccurrence>& Occurrences() const
  {
    return this->occurrences;
  }

  /** Returns the task, or null if the job has no such task. */
  WorkflowTask* Find(const TaskName& aName);

  /** Returns the step that a task belongs to. Precondition: Find() has it. */
  const WorkflowStep& StepOf(const TaskName& aName) const
  {
    return this->submission.steps[aName.step];
  }

  /** Tells whether all steps that a step waits for are done. */
  bool DependenciesDone(std::uint32_t aOccurrence, std::uint32_t aStep) const;

  /** Gives a pending task a run on a worker. */
  void Assign(const TaskName& aName,
              const std::string& aWorker,
              std::uint64_t aRun);

  /** Takes an assigned task back to pending. */
  void Unassign(const TaskName& aName, TimePoint aNow);

  /** Hands a pending task over to another cell, or takes it back. */
  void HandOver(const TaskName& aName);
  void TakeBack(const TaskName& aName, TimePoint aNow);

  /** Adds tasks that another cell hands over. */
  void AddPart(std::span<const TaskRun> aTasks, TimePoint aNow);

  /** Tells whether the job's own cell is another one. */
  bool IsPart() const { return !this->submission.part.empty(); }

  /** Marks a task as done; returns false if it was already. */
  bool MarkDone(const TaskName& aName);

  /** Notes a failed run; returns false if that run was already noted. */
  bool MarkFailed(const TaskName& aName, std::uint64_t aRun);

  /** Tells whether a task has used up its attempts. Tasks that run until they
   * are cancelled have no limit. */
  bool AttemptsExhausted() const { return this->exhausted; }

  /** Tells whether all tasks are done. */
  bool AllDone() const { return this->openTasks == 0; }

  /** Tells whether any task has been started. */
  bool Started() const { return this->started; }

  /** Notes that a task was started, also by an earlier owner. */
  void MarkStarted() { this->started = true; }

  /** Returns the durable progress with a state. */
  WorkflowProgress Progress(WorkflowState aState) const;

  /** Adds what the running tasks and those whose turn has come want. */
  void AddLoad(CellLoad& aLoad) const;

  /** Returns the expected duration of the longest chain of steps in
   * milliseconds. */
  double CriticalPathMs() const { return this->criticalPathMs; }

  /** Returns the expected duration of the longest chain that begins with a step
   * in milliseconds, for tasks that have not begun. */
  double RemainingPathMs(std::uint32_t aStep) const
  {
    return this->remainingPathMs[aStep];
  }

  /** Returns the work of the tasks that have not begun, in core-milliseconds.
   */
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
  /** By step. */
  std::vector<double> remainingPathMs;
  double criticalPathMs = 0;
  bool exhausted = false;
  bool started = false;
};

/** Largest number of tasks of one job; bounds the memory that one submission
 * can claim. */
inline constexpr std::uint64_t kMaxTasksPerJob = 20000;

/** Returns what is wrong with a submission, an empty text if nothing is. Thread
 * safe. */
std::string
CheckSubmission(const WorkflowSubmission& aSubmission);

} // namespace sequoiakeel
