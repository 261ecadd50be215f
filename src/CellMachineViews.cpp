#include "CellMachine.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

/** Maximum number of queued tasks passed to the policy. */
constexpr std::size_t kMaxQueueView = 2000;
/** Maximum number of these tasks that belong to one job. */
constexpr std::size_t kMaxQueueViewPerJob = 64;

} // namespace

TaskView
CellMachine::ViewOf(const Job& aJob,
                    std::uint32_t aTask,
                    const TaskRow* aRow,
                    TimePoint aNow) const
{
  const JobSpec& spec = aJob.row.spec;
  TaskView view;
  view.task = TaskId(TaskRef{ aJob.row.job, aTask });
  view.job = aJob.row.job;
  view.team = spec.team;
  view.taskClass = spec.taskClass;
  view.kind = KindOf(spec);
  view.resources = spec.resources;
  view.runTime = std::chrono::milliseconds(spec.runTimeMs);
  const auto since = this->queuedSince.find(view.job);
  view.queuedSince = since == this->queuedSince.end() ? aNow : since->second;
  if (spec.deadlineMs > 0) {
    view.deadline =
      view.queuedSince + std::chrono::milliseconds(spec.deadlineMs);
  }
  const auto found = this->rules.classes.find(spec.taskClass);
  if (found != this->rules.classes.end()) {
    view.priority = found->second.priority;
    view.urgent = found->second.urgent;
    view.latencyCritical = found->second.latencyCritical;
    view.longRunning = found->second.longRunning;
    view.evictable = found->second.evictable;
  }
  view.evictions = aJob.row.evictions;
  if (aRow != nullptr) {
    view.failedOn = aRow->failedOn;
  }
  return view;
}

std::vector<TaskView>
CellMachine::QueueViews(TimePoint aNow) const
{
  std::vector<std::pair<std::uint64_t, const Job*>> open;
  for (const auto& [id, job] : this->working.Jobs()) {
    const bool waits =
      !job.row.ended && !job.row.cancelled && !this->unplaceable.contains(id);
    if (waits) {
      open.emplace_back(job.row.order, &job);
    }
  }
  std::ranges::sort(open);
  std::vector<TaskView> result;
  for (const auto& [order, job] : open) {
    std::size_t ofJob = 0;
    for (const auto& [index, task] : job->tasks) {
      if (task.phase == TaskPhase::Queued && ofJob < kMaxQueueViewPerJob) {
        result.push_back(this->ViewOf(*job, index, &task, aNow));
        ++ofJob;
      }
    }
    // Tasks that have never been started start in the order of their index.
    const auto count = static_cast<std::uint32_t>(job->row.spec.taskCount);
    for (std::uint32_t index = job->row.nextTask;
         index < count && ofJob < kMaxQueueViewPerJob;
         ++index) {
      result.push_back(this->ViewOf(*job, index, nullptr, aNow));
      ++ofJob;
    }
    if (result.size() >= kMaxQueueView) {
      break;
    }
  }
  return result;
}

std::vector<TeamView>
CellMachine::TeamViews() const
{
  std::vector<TeamView> result;
  for (const auto& [team, share] : this->rules.shares) {
    result.push_back(TeamView{ team, share, this->working.HeldBy(team) });
  }
  return result;
}

RunningTaskView
CellMachine::RunningViewOf(const TaskRef& aTask)
{
  const Job& job = *this->working.FindJob(aTask.job);
  const TaskRow& row = *this->working.FindTask(aTask);
  const TaskRuntime& runtime = this->RuntimeOf(aTask, row.attempt);
  const TaskView task = this->ViewOf(job, aTask.task, &row, runtime.since);
  RunningTaskView view;
  view.task = task.task;
  view.job = task.job;
  view.team = task.team;
  view.taskClass = task.taskClass;
  view.kind = task.kind;
  view.committed = task.resources;
  view.priority = task.priority;
  view.urgent = task.urgent;
  view.latencyCritical = task.latencyCritical;
  view.longRunning = task.longRunning;
  view.evictable = task.evictable && row.phase == TaskPhase::Running;
  view.evicting = row.phase == TaskPhase::Evicting;
  view.deadline = task.deadline;
  view.startedAt = runtime.since;
  view.runTime = task.runTime;
  view.lastCheckpoint = runtime.lastCheckpoint;
  view.checkpointPermille = runtime.checkpointPermille;
  view.throttlePermille = runtime.throttlePermille;
  view.evictions = task.evictions;
  return view;
}

WorkerView
CellMachine::ViewOf(const std::string& aWorker, TimePoint aNow)
{
  const WorkerRow& row = this->working.Workers().at(aWorker);
  const WorkerLink& link = this->links[aWorker];
  WorkerView view;
  view.name = aWorker;
  view.zone = link.zone;
  view.rack = row.rack;
  view.capacity = row.capacity;
  view.committed = this->working.Commitments().Committed(aWorker);
  view.leaving = link.leaving;
  view.unreachable = !link.granted || !this->IsResponsive(link, aNow);
  view.quarantine = this->policies.StateOf(aNow, aWorker);
  view.observedAge = link.lastReply ? aNow - *link.lastReply : Duration{};
  std::map<std::string_view, const WorkerTask*> reported;
  for (const WorkerTask& task : link.report.tasks) {
    if (task.state == WorkerTaskState::Running) {
      reported[task.taskId] = &task;
      view.observed = Plus(view.observed, task.usage);
    }
  }
  for (const TaskRef& task : this->working.TasksOn(aWorker)) {
    RunningTaskView running = this->RunningViewOf(task);
    const auto found = reported.find(running.task);
    // A report that arrives late may describe an older attempt of the task.
    if (found != reported.end() &&
        found->second->attempt == this->working.FindTask(task)->attempt) {
      running.usage = found->second->usage;
      running.progressPermille = found->second->progressPermille;
      running.slowdownPermille = found->second->slowdownPermille;
    }
    view.tasks.push_back(std::move(running));
  }
  return view;
}

std::vector<WorkerView>
CellMachine::WorkerViews(TimePoint aNow)
{
  std::vector<WorkerView> result;
  for (const auto& [name, row] : this->working.Workers()) {
    result.push_back(this->ViewOf(name, aNow));
  }
  return result;
}

CellStatus
CellMachine::Status() const
{
  CellStatus result;
  result.cell = this->options.cell;
  result.epoch = this->committed.Epoch();
  result.decisionCounts = this->history.Counts();
  result.workers = static_cast<std::uint32_t>(this->committed.Workers().size());
  result.tasksQueued = static_cast<std::uint32_t>(this->working.QueuedTasks());
  for (const auto& [name, row] : this->working.Workers()) {
    const Resources free = this->working.Commitments().Free(name);
    result.free = Plus(result.free, free);
    result.largestFree.cpuMillis =
      std::max(result.largestFree.cpuMillis, free.cpuMillis);
    result.largestFree.memoryMb =
      std::max(result.largestFree.memoryMb, free.memoryMb);
    result.largestFree.accelerators =
      std::max(result.largestFree.accelerators, free.accelerators);
    result.tasksRunning +=
      static_cast<std::uint32_t>(this->working.TasksOn(name).size());
  }
  return result;
}

} // namespace sequoiakeel
