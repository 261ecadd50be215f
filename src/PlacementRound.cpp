#include "PlacementRound.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

constexpr double kMillisPerCore = 1000;
/** Cost of slowing down one core of a latency-critical task, relative to one
 * core of a batch task. */
constexpr double kLatencyCriticalHarm = 8;
/** Cost of slowing down one core of a long-running task, relative to one core
 * of a batch task. Such tasks, for example watchers, wait most of the
 * time, so a slowdown costs little. */
constexpr double kLongRunningHarm = 0.5;
/** Shortest remaining time assumed for a task that has run longer than
 * expected. */
constexpr Duration kOverrun = std::chrono::seconds(30);

std::vector<Resources>
FreeAmounts(std::span<const WorkerView> aWorkers)
{
  std::vector<Resources> free;
  free.reserve(aWorkers.size());
  for (const WorkerView& worker : aWorkers) {
    free.push_back(AcceptsTasks(worker)
                     ? Difference(worker.capacity, CountedOn(worker))
                     : Resources{ -1, -1, -1 });
  }
  return free;
}

} // namespace

double
HarmOf(double aCores, bool aLatencyCritical, bool aLongRunning)
{
  if (aLatencyCritical) {
    return aCores * kLatencyCriticalHarm;
  }
  return aLongRunning ? aCores * kLongRunningHarm : aCores;
}

Duration
ExpectedRemaining(const RunningTaskView& aTask,
                  TimePoint aNow,
                  const PlacementKnowledge& aKnowledge)
{
  if (aTask.longRunning || aTask.latencyCritical) {
    return Duration::max();
  }
  const Duration whole =
    aKnowledge.sizes.ExpectedRunTime(aTask.kind, aTask.runTime);
  if (whole <= Duration::zero()) {
    return Duration::max();
  }
  const double left =
    static_cast<double>(
      std::max<std::int64_t>(0, 1000 - aTask.progressPermille)) /
    static_cast<double>(std::max<std::int64_t>(100, aTask.throttlePermille));
  const auto remaining = std::chrono::duration_cast<Duration>(whole * left);
  const bool overrun = aNow - aTask.startedAt > whole && remaining < kOverrun;
  return overrun ? kOverrun : remaining;
}

PlacementRound::PlacementRound(const CellView& aCell,
                               PlacementKnowledge& aKnowledge)
  : cell(aCell)
  , knowledge(aKnowledge)
  , free(FreeAmounts(aCell.workers))
{
  this->knowledge.quarantine.SetFleetSize(aCell.workers.size());
  this->workers.reserve(aCell.workers.size());
  for (const WorkerView& worker : aCell.workers) {
    this->workers.push_back(this->MakeWorker(worker));
  }
}

Resources
PlacementRound::ExpectedUse(const RunningTaskView& aTask) const
{
  const bool reported = !(aTask.usage == Resources{});
  const bool grown =
    this->cell.now - aTask.startedAt >= SizeEstimator::kMinAgeForMemory;
  if (reported && grown) {
    return aTask.usage;
  }
  // Until the task's memory use has had time to grow, at least the memory
  // learnt for its kind is expected.
  Resources expected =
    this->knowledge.sizes.Expected(aTask.kind, aTask.committed);
  if (reported) {
    expected.cpuMillis = aTask.usage.cpuMillis;
    expected.memoryMb = std::max(expected.memoryMb, aTask.usage.memoryMb);
  }
  return expected;
}

RoundWorker
PlacementRound::MakeWorker(const WorkerView& aView)
{
  RoundWorker worker;
  worker.view = &aView;
  worker.accepts = AcceptsTasks(aView);
  worker.suspicion =
    this->knowledge.quarantine.Suspicion(this->cell.now, aView.name);
  for (const RunningTaskView& task : aView.tasks) {
    const Resources expected = this->ExpectedUse(task);
    const double cores =
      static_cast<double>(expected.cpuMillis) / kMillisPerCore;
    worker.memoryMb += static_cast<double>(expected.memoryMb);
    worker.hasLatencyCritical |= task.latencyCritical;
    const double harm = HarmOf(cores, task.latencyCritical, task.longRunning);
    this->AddLoad(
      worker,
      { this->knowledge.interference.InternKind(task.kind), cores, harm });
    if (task.latencyCritical || task.longRunning) {
      this->AddSpread(aView, task.job);
    }
    if (this->knowledge.quarantine.IsSuspectedOfLosses(task.job)) {
      ++this->suspects[task.job];
    }
  }
  return worker;
}

void
PlacementRound::AddLoad(RoundWorker& aWorker, const KindLoad& aLoad)
{
  aWorker.cores += aLoad.cores;
  const auto found =
    std::ranges::find(aWorker.kinds, aLoad.kind, &KindLoad::kind);
  if (found == aWorker.kinds.end()) {
    aWorker.kinds.push_back(aLoad);
    return;
  }
  found->cores += aLoad.cores;
  found->harm += aLoad.harm;
}

void
PlacementRound::AddSpread(const WorkerView& aWorker, const std::string& aJob)
{
  JobSpread& spread = this->spreads[aJob];
  spread.total += 1;
  spread.zones[aWorker.zone] += 1;
  spread.racks[aWorker.rack] += 1;
}

const JobSpread*
PlacementRound::SpreadOf(const std::string& aJob) const
{
  const auto found = this->spreads.find(aJob);
  return found == this->spreads.end() ? nullptr : &found->second;
}

bool
PlacementRound::SuspectRuns(const std::string& aJob) const
{
  return this->suspects.contains(aJob);
}

TaskLoad
PlacementRound::LoadOf(const TaskView& aTask)
{
  const Resources expected =
    this->knowledge.sizes.Expected(aTask.kind, aTask.resources);
  TaskLoad load;
  load.load.kind = this->knowledge.interference.InternKind(aTask.kind);
  load.load.cores = static_cast<double>(expected.cpuMillis) / kMillisPerCore;
  load.load.harm =
    HarmOf(load.load.cores, aTask.latencyCritical, aTask.longRunning);
  load.memoryMb = static_cast<double>(expected.memoryMb);
  return load;
}

double
PlacementRound::PerCore(std::uint32_t aVictim, std::uint32_t aNeighbour)
{
  constexpr double kUnknown = -1;
  if (aVictim >= this->perCore.size()) {
    this->perCore.resize(aVictim + 1);
  }
  std::vector<double>& row = this->perCore[aVictim];
  if (aNeighbour >= row.size()) {
    row.resize(aNeighbour + 1, kUnknown);
  }
  if (row[aNeighbour] == kUnknown) {
    row[aNeighbour] = this->knowledge.interference.SlowdownPerCore(
      this->cell.now, aVictim, aNeighbour);
  }
  return row[aNeighbour];
}

void
PlacementRound::Place(std::size_t aWorker,
                      const TaskView& aTask,
                      const TaskLoad& aLoad)
{
  RoundWorker& worker = this->workers[aWorker];
  this->free.Set(aWorker,
                 Difference(this->free.Free(aWorker), aTask.resources));
  worker.memoryMb += aLoad.memoryMb;
  worker.hasLatencyCritical |= aTask.latencyCritical;
  this->AddLoad(worker, aLoad.load);
  if (aTask.latencyCritical || aTask.longRunning) {
    this->AddSpread(*worker.view, aTask.job);
  }
  if (this->knowledge.quarantine.IsSuspectedOfLosses(aTask.job)) {
    ++this->suspects[aTask.job];
  }
  // A worker on probation receives only one task at a time.
  if (worker.view->quarantine == QuarantineState::Probation) {
    this->free.Set(aWorker, { -1, -1, -1 });
  }
}

} // namespace sequoiakeel
