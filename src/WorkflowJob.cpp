#include "WorkflowJob.h"

#include "Error.h"

#include <algorithm>
#include <cmath>

namespace sequoiakeel {

namespace {

/** Standard deviation of the task durations of one step, relative to their
 * mean. */
constexpr double kTaskDurationDeviation = 0.3;

/** Limit of tasks in a job that is stored. Earlier versions accepted jobs with
 * more than kMaxTasksPerJob. */
constexpr std::uint64_t kMaxStoredTasksPerJob = 20000;

/** Part of a host's memory that tasks may hold. */
constexpr std::size_t kTaskMemoryPart = 4;

/** Returns the expected duration of the longest task of a step, approximated by
 * the expected maximum of n normal variables. */
double
LongestTaskMs(const WorkflowStep& aStep)
{
  const double most = std::sqrt(2 * std::log(std::max(1U, aStep.count)));
  return aStep.estimateMs * (1 + kTaskDurationDeviation * most);
}

/** Returns for each step the expected duration of the longest chain of steps
 * that begins with it. */
std::vector<double>
LongestChainsMs(const std::vector<WorkflowStep>& aSteps)
{
  std::vector<double> from(aSteps.size(), 0.0);
  for (std::size_t i = aSteps.size(); i-- > 0;) {
    // Dependencies refer to earlier steps only, so the steps that depend on
    // step i are already processed and from[i] is the duration of the longest
    // chain that begins with one of them.
    from[i] += LongestTaskMs(aSteps[i]);
    for (const std::uint32_t earlier : aSteps[i].after) {
      from[earlier] = std::max(from[earlier], from[i]);
    }
  }
  return from;
}

/** Adds the crashes that another cell or an earlier owner counted to those that
 * are known, without counting any of them twice. */
void
AddCrashes(WorkflowTask& aTask, std::span<const std::uint64_t> aRuns)
{
  for (const std::uint64_t run : aRuns) {
    std::vector<std::uint64_t>& known = aTask.crashedRuns;
    if (std::find(known.begin(), known.end(), run) == known.end()) {
      known.push_back(run);
    }
  }
}

} // namespace

std::uint32_t
WorkflowStepTasks::CountInterrupted() const
{
  return static_cast<std::uint32_t>(std::count_if(
    this->tasks.begin(), this->tasks.end(), [](const WorkflowTask& aTask) {
      return aTask.status == TaskStatus::Pending && aTask.hasRun;
    }));
}

WorkflowJob::WorkflowJob(WorkflowSubmission aSubmission, TimePoint aNow)
  : submission(std::move(aSubmission))
  , remainingPathMs(LongestChainsMs(submission.steps))
{
  for (const double chain : this->remainingPathMs) {
    this->criticalPathMs = std::max(this->criticalPathMs, chain);
  }
  const Recurrence& recurrence = this->submission.recurrence;
  const std::uint32_t count = std::max<std::uint32_t>(1, recurrence.count);
  this->occurrences.resize(count);
  for (std::uint32_t i = 0; i < count; ++i) {
    WorkflowOccurrence& occurrence = this->occurrences[i];
    if (recurrence.count > 0) {
      occurrence.dueUnixMs = recurrence.firstUnixMs + i * recurrence.intervalMs;
    }
    for (const WorkflowStep& step : this->submission.steps) {
      WorkflowStepTasks tasks;
      tasks.tasks.resize(step.count);
      tasks.pending = step.count;
      for (WorkflowTask& task : tasks.tasks) {
        task.pendingSince = aNow;
      }
      this->openTasks += step.count;
      occurrence.steps.push_back(std::move(tasks));
    }
  }
  this->taskCount = this->openTasks;
  if (!this->IsPart()) {
    return;
  }
  for (std::uint32_t s = 0; s < this->submission.steps.size(); ++s) {
    for (std::uint32_t i = 0; i < this->submission.steps[s].count; ++i) {
      this->HandOver(TaskName{ this->submission.id, 0, s, i });
    }
  }
  this->AddTasks(this->submission.part, aNow);
}

void
WorkflowJob::Restore(const WorkflowProgress& aProgress, TimePoint aNow)
{
  for (const StepProgress& step : aProgress.steps) {
    for (const std::uint32_t index : step.done) {
      const TaskName name{
        this->submission.id, step.occurrence, step.step, index
      };
      if (this->Find(name) != nullptr) {
        this->MarkDone(name);
      }
    }
    this->started = true;
  }
  for (const TaskRun& task : aProgress.handedOver) {
    const TaskName name{ this->submission.id, 0, task.step, task.index };
    WorkflowTask* const found = this->Find(name);
    if (found != nullptr && found->status == TaskStatus::Pending) {
      found->run = std::max(found->run, task.run);
      found->hasRun = found->run > 0;
      AddCrashes(*found, task.crashes);
      this->HandOver(name);
    }
    this->started = true;
  }
  for (const TaskRun& task : this->submission.returned) {
    const TaskName name{ this->submission.id, 0, task.step, task.index };
    WorkflowTask* const found = this->Find(name);
    if (found != nullptr && found->status == TaskStatus::HandedOver) {
      found->run = std::max(found->run, task.run);
      found->hasRun = found->run > 0;
      AddCrashes(*found, task.crashes);
      this->Reclaim(name, found->pendingSince);
    }
  }
  for (const TaskAssignment& assignment : aProgress.assignments) {
    WorkflowTask* const found = this->Find(TaskName{ this->submission.id,
                                                     assignment.occurrence,
                                                     assignment.step,
                                                     assignment.index });
    if (found != nullptr && found->status == TaskStatus::Pending) {
      if (assignment.run > found->run) {
        // The wait in the list of a part is that before an earlier run.
        found->pendingSince = aNow;
      }
      found->run = std::max(found->run, assignment.run);
      found->hasRun = found->run > 0;
      found->mayRunOn = assignment.worker;
    }
  }
  // An assignment is recorded before its start, which the worker may reject.
  this->started = this->started || aProgress.begun;
  for (const TaskFailures& failures : aProgress.failures) {
    const TaskName name{
      this->submission.id, failures.occurrence, failures.step, failures.index
    };
    if (this->Find(name) == nullptr) {
      continue;
    }
    for (const std::uint64_t run : failures.runs) {
      this->MarkFailed(name, run);
    }
    this->started = true;
  }
  for (const TaskCrashes& crashes : aProgress.crashes) {
    const TaskName name{
      this->submission.id, crashes.occurrence, crashes.step, crashes.index
    };
    if (this->Find(name) == nullptr) {
      continue;
    }
    for (const std::uint64_t run : crashes.runs) {
      this->MarkCrashed(name, run);
    }
    this->started = true;
  }
}

WorkflowTask*
WorkflowJob::Find(const TaskName& aName)
{
  if (aName.occurrence >= this->occurrences.size()) {
    return nullptr;
  }
  WorkflowOccurrence& occurrence = this->occurrences[aName.occurrence];
  if (aName.step >= occurrence.steps.size() ||
      aName.index >= occurrence.steps[aName.step].tasks.size()) {
    return nullptr;
  }
  return &occurrence.steps[aName.step].tasks[aName.index];
}

bool
WorkflowJob::DependenciesDone(std::uint32_t aOccurrence,
                              std::uint32_t aStep) const
{
  const std::vector<std::uint32_t>& after = this->submission.steps[aStep].after;
  const WorkflowOccurrence& occurrence = this->occurrences[aOccurrence];
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t aEarlier) {
    return occurrence.steps[aEarlier].AllDone();
  });
}

void
WorkflowJob::Assign(const TaskName& aName,
                    const std::string& aWorker,
                    std::uint64_t aRun)
{
  WorkflowTask* const task = this->Find(aName);
  InternalAssert(task != nullptr && task->status == TaskStatus::Pending,
                 "only a pending task can be assigned");
  task->status = TaskStatus::Assigned;
  ++this->assignedTasks;
  task->worker = aWorker;
  task->mayRunOn.clear();
  task->run = std::max(task->run, aRun);
  --this->TasksOf(aName).pending;
}

void
WorkflowJob::Unassign(const TaskName& aName, TimePoint aSince)
{
  this->RevokeAssignment(aName);
  this->MarkRun(aName);
  this->Find(aName)->pendingSince = aSince;
}

void
WorkflowJob::RevokeAssignment(const TaskName& aName)
{
  WorkflowTask* const task = this->Find(aName);
  InternalAssert(task != nullptr && task->status == TaskStatus::Assigned,
                 "only an assigned task can become pending again");
  task->status = TaskStatus::Pending;
  task->worker.clear();
  --this->assignedTasks;
  ++this->TasksOf(aName).pending;
}

void
WorkflowJob::HandOver(const TaskName& aName)
{
  WorkflowTask* const task = this->Find(aName);
  InternalAssert(task != nullptr && task->status == TaskStatus::Pending,
                 "only a pending task can be handed over");
  task->status = TaskStatus::HandedOver;
  --this->TasksOf(aName).pending;
  ++this->TasksOf(aName).handedOver;
}

void
WorkflowJob::Reclaim(const TaskName& aName, TimePoint aSince)
{
  WorkflowTask* const task = this->Find(aName);
  InternalAssert(task != nullptr && task->status == TaskStatus::HandedOver,
                 "only a task that was handed over can become pending again");
  task->status = TaskStatus::Pending;
  task->pendingSince = aSince;
  ++this->TasksOf(aName).pending;
  --this->TasksOf(aName).handedOver;
}

void
WorkflowJob::AddTasks(std::span<const TaskRun> aTasks, TimePoint aNow)
{
  for (const TaskRun& task : aTasks) {
    const TaskName name{ this->submission.id, 0, task.step, task.index };
    WorkflowTask* const found = this->Find(name);
    if (found == nullptr || found->status != TaskStatus::HandedOver) {
      continue;
    }
    found->run = std::max(found->run, task.run);
    found->hasRun = found->hasRun || task.run > 0;
    AddCrashes(*found, task.crashes);
    found->handOverNotBefore = aNow + kNextHandOverWait;
    this->Reclaim(name, aNow - std::chrono::milliseconds(task.waitedMs));
    this->started = true;
  }
}

bool
WorkflowJob::MarkDone(const TaskName& aName)
{
  WorkflowTask* const task = this->Find(aName);
  InternalAssert(task != nullptr, "unknown task");
  if (task->status == TaskStatus::Done) {
    return false;
  }
  WorkflowStepTasks& tasks = this->TasksOf(aName);
  if (task->status == TaskStatus::Pending) {
    --tasks.pending;
  }
  if (task->status == TaskStatus::Assigned) {
    --this->assignedTasks;
  }
  task->status = TaskStatus::Done;
  task->worker.clear();
  ++tasks.done;
  --this->openTasks;
  return true;
}

bool
WorkflowJob::MarkFailed(const TaskName& aName, std::uint64_t aRun)
{
  WorkflowTask* const task = this->Find(aName);
  InternalAssert(task != nullptr, "unknown task");
  std::vector<std::uint64_t>& runs = task->failedRuns;
  if (std::find(runs.begin(), runs.end(), aRun) != runs.end()) {
    return false;
  }
  task->run = std::max(task->run, aRun);
  if (this->StepOf(aName).longRunning) {
    return false;
  }
  runs.push_back(aRun);
  if (runs.size() >= this->submission.maxAttempts) {
    this->exhausted = true;
  }
  return true;
}

bool
WorkflowJob::MarkCrashed(const TaskName& aName, std::uint64_t aRun)
{
  WorkflowTask* const task = this->Find(aName);
  InternalAssert(task != nullptr, "unknown task");
  std::vector<std::uint64_t>& runs = task->crashedRuns;
  if (task->status == TaskStatus::Done ||
      std::find(runs.begin(), runs.end(), aRun) != runs.end()) {
    return false;
  }
  task->run = std::max(task->run, aRun);
  runs.push_back(aRun);
  return true;
}

std::size_t
WorkflowJob::MostCrashes() const
{
  std::size_t most = 0;
  for (const WorkflowOccurrence& occurrence : this->occurrences) {
    for (const WorkflowStepTasks& step : occurrence.steps) {
      for (const WorkflowTask& task : step.tasks) {
        most = std::max(most, task.crashedRuns.size());
      }
    }
  }
  return most;
}

bool
WorkflowJob::ClearCrashes(const TaskName& aName)
{
  WorkflowTask* const task = this->Find(aName);
  InternalAssert(task != nullptr, "unknown task");
  const bool any = !task->crashedRuns.empty();
  task->crashedRuns.clear();
  task->unconfirmedCrashes.clear();
  task->bystanderRuns.clear();
  return any;
}

bool
WorkflowJob::ClearCrash(const TaskName& aName, std::uint64_t aRun)
{
  WorkflowTask* const task = this->Find(aName);
  InternalAssert(task != nullptr, "unknown task");
  std::erase(task->bystanderRuns, aRun);
  std::erase(task->unconfirmedCrashes, aRun);
  return std::erase(task->crashedRuns, aRun) > 0;
}

void
WorkflowJob::AddLoad(CellLoad& aLoad) const
{
  for (std::uint32_t k = 0; k < this->occurrences.size(); ++k) {
    for (std::uint32_t s = 0; s < this->submission.steps.size(); ++s) {
      const WorkflowStepTasks& tasks = this->occurrences[k].steps[s];
      if (tasks.AllDone() || !this->DependenciesDone(k, s)) {
        continue;
      }
      const WorkflowStep& step = this->submission.steps[s];
      const std::uint64_t cpu =
        (tasks.tasks.size() - tasks.done - tasks.handedOver) *
        std::uint64_t{ step.cpuMilli };
      if (step.filler) {
        aLoad.fillerCpuMilli += cpu;
        continue;
      }
      aLoad.reservedCpuMilli += cpu;
      aLoad.longRunningCpuMilli += step.longRunning ? cpu : 0;
    }
  }
}

WorkflowProgress
WorkflowJob::Progress(WorkflowState aState) const
{
  WorkflowProgress progress;
  progress.id = this->submission.id;
  progress.queue = this->submission.queue;
  progress.state = aState;
  progress.begun = this->started;
  progress.partial = this->IsPart();
  for (std::uint32_t k = 0; k < this->occurrences.size(); ++k) {
    for (std::uint32_t s = 0; s < this->occurrences[k].steps.size(); ++s) {
      const WorkflowStepTasks& step = this->occurrences[k].steps[s];
      StepProgress done{ k, s, {} };
      for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        const WorkflowTask& task = step.tasks[i];
        if (task.status == TaskStatus::Done) {
          done.done.push_back(i);
          continue;
        }
        if (task.status == TaskStatus::HandedOver && !progress.partial) {
          progress.handedOver.push_back(
            TaskRun{ s, i, task.run, 0, task.crashedRuns });
        }
        if (this->submission.steps[s].longRunning && task.run > 0 &&
            task.status != TaskStatus::HandedOver) {
          progress.assignments.push_back(TaskAssignment{
            k,
            s,
            i,
            task.run,
            task.status == TaskStatus::Assigned ? task.worker
                                                : task.mayRunOn });
        }
        if (!task.failedRuns.empty()) {
          progress.failures.push_back(TaskFailures{ k, s, i, task.failedRuns });
        }
        if (!task.crashedRuns.empty() &&
            task.status != TaskStatus::HandedOver) {
          progress.crashes.push_back(TaskCrashes{ k, s, i, task.crashedRuns });
        }
      }
      if (!done.done.empty()) {
        progress.steps.push_back(std::move(done));
      }
    }
  }
  return progress;
}

double
WorkflowJob::RemainingWork() const
{
  double work = 0;
  for (const WorkflowOccurrence& occurrence : this->occurrences) {
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      const WorkflowStep& step = this->submission.steps[s];
      work += static_cast<double>(occurrence.steps[s].pending) *
              step.estimateMs * step.cpuMilli / 1000;
    }
  }
  return work;
}

double
WorkflowJob::ObjectiveUnixMs() const
{
  return static_cast<double>(this->submission.acceptedUnixMs) +
         this->submission.objectiveStretch * this->criticalPathMs +
         this->submission.objectiveMs;
}

std::uint64_t
CountTasks(const WorkflowSubmission& aSubmission)
{
  std::uint64_t tasks = 0;
  for (const WorkflowStep& step : aSubmission.steps) {
    tasks += step.count;
  }
  return tasks * std::max<std::uint32_t>(1, aSubmission.recurrence.count);
}

std::uint64_t
MaxTasksPerCell(std::size_t aMemoryMb, std::uint32_t aCells)
{
  constexpr std::size_t kMegabyte = 1024 * 1024;
  return aMemoryMb * kMegabyte / kTaskMemoryPart / sizeof(WorkflowTask) /
         aCells;
}

std::string
CheckSubmission(const WorkflowSubmission& aSubmission)
{
  if (aSubmission.id.empty()) {
    return "the job has no id";
  }
  if (aSubmission.steps.empty()) {
    return "the job has no steps";
  }
  const std::uint64_t limit =
    kMaxStoredTasksPerJob /
    std::max<std::uint32_t>(1, aSubmission.recurrence.count);
  std::uint64_t tasks = 0;
  for (std::size_t i = 0; i < aSubmission.steps.size(); ++i) {
    const WorkflowStep& step = aSubmission.steps[i];
    if (step.count == 0) {
      return "step " + std::to_string(i) + " has no tasks";
    }
    // Compared in each step and without a product, which could exceed 64 bits.
    tasks += step.count;
    if (tasks > limit) {
      return "the job has more than " + std::to_string(kMaxStoredTasksPerJob) +
             " tasks";
    }
    for (const std::uint32_t earlier : step.after) {
      if (earlier >= i) {
        return "step " + std::to_string(i) +
               " depends on a step that does not precede it";
      }
    }
  }
  return "";
}

} // namespace sequoiakeel
