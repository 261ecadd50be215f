#include "NaiveEviction.h"

namespace sequoiakeel {

namespace {

/** Returns the resources counted for the worker's tasks, without those that are
 * being evicted. */
Resources
Staying(const WorkerView& aWorker)
{
  Resources staying;
  for (const RunningTaskView& task : aWorker.tasks) {
    if (!task.evicting) {
      staying = Sum(staying, Larger(task.committed, task.usage));
    }
  }
  return staying;
}

const RunningTaskView*
NewestEvictable(const WorkerView& aWorker)
{
  const RunningTaskView* newest = nullptr;
  for (const RunningTaskView& task : aWorker.tasks) {
    if (!task.evictable || task.evicting) {
      continue;
    }
    if (newest == nullptr || task.startedAt > newest->startedAt) {
      newest = &task;
    }
  }
  return newest;
}

} // namespace

std::vector<ReliefDecision>
NaiveEviction::Decide(const CellView& aCell,
                      std::span<const TaskView> /*aWaiting*/,
                      const EvictionLimits& aLimits)
{
  this->history.Begin(aCell.now);
  std::vector<ReliefDecision> decisions;
  for (const WorkerView& worker : aCell.workers) {
    const std::string missing =
      LimitingResource(Staying(worker), worker.capacity);
    const bool relieve = worker.leaving || !missing.empty();
    if (worker.unreachable || !relieve ||
        !this->history.Allows(aLimits, aCell.now, worker.name)) {
      continue;
    }
    const RunningTaskView* task = NewestEvictable(worker);
    if (task == nullptr) {
      continue;
    }
    ReliefDecision decision;
    decision.action = ReliefAction::Evict;
    decision.worker = worker.name;
    decision.task = task->task;
    decision.reason = worker.leaving
                        ? std::string("worker leaving: newest evictable task")
                        : "overloaded: " + missing + ", newest evictable task";
    decisions.push_back(std::move(decision));
    this->history.Add(aCell.now, worker.name, task->task);
  }
  return decisions;
}

} // namespace sequoiakeel
