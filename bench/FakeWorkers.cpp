#include "FakeWorkers.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sequoiakeel {

namespace {

constexpr double kMillisPerCore = 1000;
/** Interval between two reports of a worker. Each report contains the state at
 * the time of the previous report. */
constexpr Duration kReportInterval = std::chrono::seconds(5);
/** Ratio of the pairwise slowdown on an idle worker to that on a fully loaded
 * one. */
constexpr double kIdleFactor = 0.4;

/** Share of its memory that a task uses at its start, and the time over which
 * its usage grows to the whole. */
constexpr double kFirstMemory = 0.3;
constexpr double kMemoryRampSeconds = 60;

double
MemoryNow(const SimulatedTaskState& aTruth)
{
  const double ramp = std::min(1.0, aTruth.ranSeconds / kMemoryRampSeconds);
  return aTruth.memoryMb * (kFirstMemory + (1 - kFirstMemory) * ramp);
}

std::int64_t
Rounded(double aValue)
{
  return static_cast<std::int64_t>(std::llround(aValue));
}

} // namespace

FakeWorkers::FakeWorkers(std::vector<WorkerView> aWorkers,
                         std::vector<std::vector<double>> aSlowdown)
  : views(std::move(aWorkers))
  , states(views.size())
  , slowdown(std::move(aSlowdown))
{
  for (std::size_t i = 0; i < this->views.size(); ++i) {
    this->indices[this->views[i].name] = i;
  }
}

std::size_t
FakeWorkers::Find(std::size_t aWorker, const std::string& aTask) const
{
  const std::vector<RunningTaskView>& tasks = this->views[aWorker].tasks;
  const auto found = std::ranges::find(tasks, aTask, &RunningTaskView::task);
  return static_cast<std::size_t>(found - tasks.begin());
}

void
FakeWorkers::Start(std::size_t aWorker,
                   RunningTaskView aView,
                   SimulatedTaskState aTruth)
{
  WorkerView& view = this->views[aWorker];
  view.committed = Sum(view.committed, aView.committed);
  view.tasks.push_back(std::move(aView));
  this->states[aWorker].truths.push_back(aTruth);
}

FakeEnd
FakeWorkers::Remove(std::size_t aWorker, std::size_t aTask)
{
  WorkerView& view = this->views[aWorker];
  State& state = this->states[aWorker];
  const auto offset = static_cast<std::ptrdiff_t>(aTask);
  FakeEnd end;
  end.worker = view.name;
  end.rack = view.rack;
  end.view = std::move(view.tasks[aTask]);
  end.truth = state.truths[aTask];
  view.committed = Difference(view.committed, end.view.committed);
  view.tasks.erase(view.tasks.begin() + offset);
  state.truths.erase(state.truths.begin() + offset);
  return end;
}

bool
FakeWorkers::Stop(std::size_t aWorker, const std::string& aTask, FakeEnd& aEnd)
{
  const std::size_t index = this->Find(aWorker, aTask);
  if (index == this->views[aWorker].tasks.size()) {
    return false;
  }
  aEnd = this->Remove(aWorker, index);
  return true;
}

std::vector<FakeEnd>
FakeWorkers::StopAll(std::size_t aWorker)
{
  std::vector<FakeEnd> ends;
  while (!this->views[aWorker].tasks.empty()) {
    ends.push_back(this->Remove(aWorker, 0));
  }
  return ends;
}

void
FakeWorkers::Throttle(std::size_t aWorker,
                      const std::string& aTask,
                      std::int64_t aPermille)
{
  const std::size_t index = this->Find(aWorker, aTask);
  if (index < this->views[aWorker].tasks.size()) {
    this->views[aWorker].tasks[index].throttlePermille = aPermille;
  }
}

void
FakeWorkers::Checkpoint(std::size_t aWorker,
                        const std::string& aTask,
                        TimePoint aNow)
{
  const std::size_t index = this->Find(aWorker, aTask);
  if (index == this->views[aWorker].tasks.size()) {
    return;
  }
  SimulatedTaskState& truth = this->states[aWorker].truths[index];
  truth.savedSeconds = truth.doneSeconds;
  truth.sinceCheckpoint = 0;
  this->views[aWorker].tasks[index].lastCheckpoint = aNow;
}

void
FakeWorkers::MarkEvicting(std::size_t aWorker, const std::string& aTask)
{
  const std::size_t index = this->Find(aWorker, aTask);
  if (index < this->views[aWorker].tasks.size()) {
    this->views[aWorker].tasks[index].evicting = true;
  }
}

void
FakeWorkers::Share(std::size_t aWorker)
{
  const WorkerView& view = this->views[aWorker];
  State& state = this->states[aWorker];
  const double capacity =
    static_cast<double>(view.capacity.cpuMillis) / kMillisPerCore;
  state.cores.assign(view.tasks.size(), 0);
  std::vector<double> byKind(this->slowdown.size(), 0);
  double wanted = 0;
  double memory = 0;
  for (std::size_t i = 0; i < view.tasks.size(); ++i) {
    const RunningTaskView& task = view.tasks[i];
    const double load = task.latencyCritical ? this->serviceLoad : 1;
    state.cores[i] = state.truths[i].cores * load *
                     static_cast<double>(task.throttlePermille) / 1000;
    wanted += state.cores[i];
    memory += MemoryNow(state.truths[i]);
  }
  const double share = wanted > capacity ? capacity / wanted : 1;
  for (std::size_t i = 0; i < view.tasks.size(); ++i) {
    state.cores[i] *= share;
    byKind[state.truths[i].kind] += state.cores[i];
  }
  const double used = std::min(wanted, capacity);
  state.usage = { Rounded(used * kMillisPerCore), Rounded(memory), 0 };
  const double factor = kIdleFactor + (1 - kIdleFactor) * used / capacity;
  for (std::size_t i = 0; i < view.tasks.size(); ++i) {
    SimulatedTaskState& truth = state.truths[i];
    double pairs = 0;
    for (std::size_t kind = 0; kind < byKind.size(); ++kind) {
      const double own = kind == truth.kind ? state.cores[i] : 0;
      pairs += this->slowdown[truth.kind][kind] * (byKind[kind] - own);
    }
    truth.slowdown = (1 + pairs * factor) / share - 1;
  }
}

void
FakeWorkers::Progress(std::size_t aWorker,
                      TimePoint aNow,
                      double aSeconds,
                      std::vector<FakeEnd>& aEnds)
{
  WorkerView& view = this->views[aWorker];
  State& state = this->states[aWorker];
  for (std::size_t i = view.tasks.size(); i-- > 0;) {
    RunningTaskView& task = view.tasks[i];
    SimulatedTaskState& truth = state.truths[i];
    const double throttle = static_cast<double>(task.throttlePermille) / 1000;
    // A long-running task ends at a fixed time of day, so neither throttling
    // nor slowdown delays its end.
    truth.doneSeconds +=
      task.longRunning ? aSeconds : aSeconds * throttle / (1 + truth.slowdown);
    truth.sinceCheckpoint += aSeconds;
    truth.ranSeconds += aSeconds;
    if (truth.checkpointSeconds > 0 &&
        truth.sinceCheckpoint >= truth.checkpointSeconds) {
      truth.savedSeconds = truth.doneSeconds;
      truth.sinceCheckpoint = 0;
      task.lastCheckpoint = aNow;
    }
    bool failed = false;
    if (truth.failsAfter >= 0) {
      truth.failsAfter -= aSeconds;
      failed = truth.failsAfter < 0;
    }
    const bool finished =
      truth.workSeconds > 0 && truth.doneSeconds >= truth.workSeconds;
    if (failed || finished) {
      aEnds.push_back(this->Remove(aWorker, i));
      aEnds.back().failed = failed;
    }
  }
}

void
FakeWorkers::KillForMemory(std::size_t aWorker, std::vector<FakeEnd>& aEnds)
{
  const WorkerView& view = this->views[aWorker];
  const State& state = this->states[aWorker];
  double memory = 0;
  std::size_t largest = view.tasks.size();
  double most = 0;
  for (std::size_t i = 0; i < view.tasks.size(); ++i) {
    memory += MemoryNow(state.truths[i]);
    // The platform kills the task that exceeds its declared memory the most.
    const double beyond = MemoryNow(state.truths[i]) -
                          static_cast<double>(view.tasks[i].committed.memoryMb);
    if (largest == view.tasks.size() || beyond > most) {
      largest = i;
      most = beyond;
    }
  }
  if (memory <= static_cast<double>(view.capacity.memoryMb)) {
    return;
  }
  aEnds.push_back(this->Remove(aWorker, largest));
  aEnds.back().failed = true;
  aEnds.back().outOfMemory = true;
}

void
FakeWorkers::ReportUsage(std::size_t aWorker, TimePoint aNow)
{
  WorkerView& view = this->views[aWorker];
  State& state = this->states[aWorker];
  view.observedAge = aNow - state.publishedFrom;
  const Duration phase = std::chrono::milliseconds(1000 * (aWorker % 5));
  if ((aNow.time_since_epoch() + phase) % kReportInterval != Duration::zero()) {
    return;
  }
  view.observed = state.capturedUsage;
  state.publishedFrom = state.capturedAt;
  view.observedAge = aNow - state.publishedFrom;
  // Tasks keep their order, so one pass over them matches the samples of
  // all tasks that still run.
  std::size_t index = 0;
  for (const Sample& sample : state.captured) {
    std::size_t next = index;
    while (next < view.tasks.size() && view.tasks[next].task != sample.task) {
      ++next;
    }
    if (next == view.tasks.size()) {
      continue;
    }
    index = next;
    view.tasks[index].usage = sample.usage;
    view.tasks[index].slowdownPermille = sample.slowdownPermille;
    view.tasks[index].progressPermille = sample.progressPermille;
  }
  this->reported.push_back(aWorker);
  state.captured.clear();
  state.capturedUsage = state.usage;
  state.capturedAt = aNow;
  for (std::size_t i = 0; i < view.tasks.size(); ++i) {
    const SimulatedTaskState& truth = state.truths[i];
    const double progress =
      truth.workSeconds > 0 ? truth.doneSeconds / truth.workSeconds : 0;
    state.captured.push_back({ view.tasks[i].task,
                               { Rounded(state.cores[i] * kMillisPerCore),
                                 Rounded(MemoryNow(truth)),
                                 0 },
                               Rounded(1000 * (1 + truth.slowdown)),
                               Rounded(1000 * progress) });
  }
}

std::vector<FakeEnd>
FakeWorkers::Step(TimePoint aNow, double aSeconds)
{
  std::vector<FakeEnd> ends;
  this->reported.clear();
  for (std::size_t i = 0; i < this->views.size(); ++i) {
    if (this->views[i].unreachable) {
      continue;
    }
    this->KillForMemory(i, ends);
    this->Share(i);
    this->ReportUsage(i, aNow);
    this->Progress(i, aNow, aSeconds, ends);
  }
  return ends;
}

} // namespace sequoiakeel
