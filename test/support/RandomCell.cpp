#include "support/RandomCell.h"

#include <random>

namespace sequoiakeel {

namespace {

const std::vector<std::string> kKinds{ "thermal", "mesh", "quote", "watch" };
const std::vector<std::string> kTeams{ "a", "b", "c" };

} // namespace

WorkerView
MakeWorker(const std::string& aName, const std::string& aRack)
{
  WorkerView worker;
  worker.name = aName;
  worker.rack = aRack;
  worker.zone = "z0";
  worker.capacity = { 32000, 125000, 0 };
  return worker;
}

TaskView
MakeTask(const std::string& aName, std::int64_t aCores, std::int64_t aGb)
{
  TaskView task;
  task.task = aName;
  task.job = aName;
  task.team = "a";
  task.kind = "thermal";
  task.resources = { aCores * 1000, aGb * 1000, 0 };
  return task;
}

RunningTaskView&
AddRunning(WorkerView& aWorker,
           const std::string& aName,
           std::int64_t aCores,
           std::int64_t aGb)
{
  RunningTaskView task;
  task.task = aName;
  task.job = aName;
  task.team = "a";
  task.kind = "thermal";
  task.committed = { aCores * 1000, aGb * 1000, 0 };
  task.usage = task.committed;
  aWorker.committed = Sum(aWorker.committed, task.committed);
  aWorker.observed = Sum(aWorker.observed, task.usage);
  aWorker.tasks.push_back(std::move(task));
  return aWorker.tasks.back();
}

RandomCell
MakeRandomCell(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  const auto below = [&](std::int64_t aLimit) {
    return static_cast<std::int64_t>(random() %
                                     static_cast<std::uint64_t>(aLimit));
  };
  RandomCell cell;
  cell.now = TimePoint(std::chrono::hours(10));
  const std::int64_t workers = 1 + below(40);
  for (std::int64_t i = 0; i < workers; ++i) {
    WorkerView worker =
      MakeWorker("w" + std::to_string(i), "r" + std::to_string(i / 11));
    worker.capacity.accelerators = below(4) == 0 ? 2 : 0;
    worker.leaving = below(12) == 0;
    worker.unreachable = below(12) == 0;
    worker.observedAge = std::chrono::seconds(below(20));
    const std::int64_t tasks = below(12);
    for (std::int64_t t = 0; t < tasks; ++t) {
      RunningTaskView& task = AddRunning(worker,
                                         worker.name + "." + std::to_string(t),
                                         1 + below(6),
                                         1 + below(20));
      task.kind = kKinds[static_cast<std::size_t>(below(4))];
      task.latencyCritical = task.kind == "quote";
      task.longRunning = task.kind == "watch";
      task.evictable = !task.latencyCritical && below(8) != 0;
      task.priority = 10 * below(10);
      task.startedAt = cell.now - std::chrono::seconds(below(20000));
      task.runTime = std::chrono::seconds(task.longRunning ? 28800 : 600);
      task.progressPermille = below(1000);
      task.slowdownPermille = 1000 + below(1500);
      task.usage.cpuMillis = task.usage.cpuMillis * below(1500) / 1000;
      task.usage.memoryMb = task.usage.memoryMb * below(1500) / 1000;
    }
    // The ledger never commits more than the capacity of a worker.
    while (!Within(worker.committed, worker.capacity)) {
      worker.committed =
        Difference(worker.committed, worker.tasks.back().committed);
      worker.tasks.pop_back();
    }
    worker.observed = {};
    for (const RunningTaskView& task : worker.tasks) {
      worker.observed = Sum(worker.observed, task.usage);
    }
    cell.workers.push_back(std::move(worker));
  }
  for (const std::string& team : kTeams) {
    cell.teams.push_back(
      { team, { below(200) * 1000, below(800) * 1000, 4 }, { 0, 0, 0 } });
  }
  const std::int64_t queued = below(60);
  for (std::int64_t i = 0; i < queued; ++i) {
    TaskView task =
      MakeTask("q" + std::to_string(i), 1 + below(10), 1 + below(40));
    if (below(10) == 0) {
      task.resources.memoryMb *= 6;
    }
    task.resources.accelerators = below(10) == 0 ? 1 : 0;
    task.job = "job" + std::to_string(below(10));
    task.team = kTeams[static_cast<std::size_t>(below(3))];
    task.kind = kKinds[static_cast<std::size_t>(below(4))];
    task.latencyCritical = task.kind == "quote";
    task.longRunning = task.kind == "watch";
    task.evictable = !task.latencyCritical;
    task.urgent = below(10) == 0;
    task.priority = 10 * below(10);
    task.queuedSince = cell.now - std::chrono::seconds(below(2000));
    if (below(2) == 0) {
      task.deadline = cell.now + std::chrono::seconds(below(2000));
      task.runTime = std::chrono::seconds(below(600));
    }
    cell.queue.push_back(std::move(task));
  }
  return cell;
}

} // namespace sequoiakeel
