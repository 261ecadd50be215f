#include "CurrentEviction.h"

#include <algorithm>
#include <cmath>

namespace sequoiakeel {

namespace {

/** Shares of reported memory from which a checkpoint of a task is taken and
 * from which a task is evicted. The second is below 1 since reports are delayed
 * and the host would fail if its memory ran out. */
constexpr double kMemoryShort = 0.90;
constexpr double kMemoryEmergency = 0.95;
/** A task is moved only if it would slow latency-critical tasks on the target
 * down by at most this share of the slowdown that it causes now. */
constexpr double kMoveGain = 0.5;
/** Waiting time after which an urgent task may displace others. By then the
 * placement has made one attempt to place it on free capacity. */
constexpr Duration kUrgentWaitLimit = std::chrono::milliseconds(250);
/** Time that a worker takes to stop a task. Reports made within this time of an
 * eviction may still include the memory of the evicted task. */
constexpr Duration kStopTime = std::chrono::seconds(1);
constexpr Duration kForgetAfter = std::chrono::minutes(10);
constexpr std::size_t kNowhere = static_cast<std::size_t>(-1);
constexpr std::size_t kAlternatives = 3;

double
Share(std::int64_t aPart, std::int64_t aWhole)
{
  return aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole)
                    : 0;
}

Resources
CountedFor(const RunningTaskView& aTask)
{
  return Larger(aTask.committed, aTask.usage);
}

bool
IsEvicting(const WorkerView& aWorker)
{
  return std::ranges::any_of(aWorker.tasks, &RunningTaskView::evicting);
}

/** Returns the resources counted for the tasks that are being evicted. */
Resources
Leaving(const WorkerView& aWorker)
{
  Resources leaving;
  for (const RunningTaskView& task : aWorker.tasks) {
    if (task.evicting) {
      leaving = Sum(leaving, CountedFor(task));
    }
  }
  return leaving;
}

} // namespace

CurrentEviction::CurrentEviction(PlacementKnowledge& aKnowledge)
  : knowledge(aKnowledge)
{
}

std::vector<ReliefDecision>
CurrentEviction::Decide(const CellView& aCell,
                        std::span<const TaskView> aWaiting,
                        const EvictionLimits& aLimits)
{
  this->history.Begin(aCell.now);
  Pass pass{ aCell, aLimits, {}, {} };
  for (const WorkerView& worker : aCell.workers) {
    const bool usable =
      AcceptsTasks(worker) && worker.quarantine == QuarantineState::Healthy;
    pass.free.push_back(usable ? Difference(worker.capacity, CountedOn(worker))
                               : Resources{ -1, -1, -1 });
  }
  for (const TaskView& task : aWaiting) {
    if (task.urgent && aCell.now - task.queuedSince >= kUrgentWaitLimit) {
      this->PreemptForUrgent(pass, task);
    }
  }
  for (std::size_t i = 0; i < aCell.workers.size(); ++i) {
    this->RelieveWorker(pass, i);
  }
  this->Forget(aCell.now);
  return std::move(pass.decisions);
}

void
CurrentEviction::RelieveWorker(Pass& aPass, std::size_t aWorker)
{
  const WorkerView& worker = aPass.cell.workers[aWorker];
  if (worker.unreachable || worker.tasks.empty()) {
    return;
  }
  this->workers[worker.name].seen = aPass.cell.now;
  if (worker.leaving) {
    this->Evacuate(aPass, aWorker);
    return;
  }
  if (this->RelieveMemory(aPass, aWorker)) {
    return;
  }
  if (this->RelieveProcessors(aPass, worker)) {
    return;
  }
  this->ProtectLatency(aPass, aWorker);
  this->LiftThrottles(aPass, worker);
}

void
CurrentEviction::Evacuate(Pass& aPass, std::size_t aWorker)
{
  const WorkerView& worker = aPass.cell.workers[aWorker];
  for (const Victim& victim :
       this->Victims(aPass, worker, ReliefNeed::Ordinary)) {
    if (!this->history.Allows(aPass.limits, aPass.cell.now, worker.name)) {
      return;
    }
    this->Stop(aPass, aWorker, *victim.task, "worker leaving", {});
  }
}

std::vector<CurrentEviction::Victim>
CurrentEviction::Victims(const Pass& aPass,
                         const WorkerView& aWorker,
                         ReliefNeed aNeed) const
{
  std::vector<Victim> victims;
  const TimePoint now = aPass.cell.now;
  for (const RunningTaskView& task : aWorker.tasks) {
    if (EvictionObstacle(task, now, aNeed, this->history, this->knowledge)
          .empty()) {
      victims.push_back({ &task, EvictionCost(task, now) });
    }
  }
  std::ranges::sort(victims, {}, &Victim::cost);
  return victims;
}

std::int64_t
CurrentEviction::MemoryOf(const WorkerView& aWorker, TimePoint aNow)
{
  const TimePoint reported = aNow - aWorker.observedAge;
  auto& freed = this->workers[aWorker.name].freed;
  std::erase_if(freed, [&](const auto& aEntry) {
    return aEntry.first + kStopTime < reported;
  });
  std::int64_t used = aWorker.observed.memoryMb;
  for (const auto& [at, amount] : freed) {
    used -= amount;
  }
  return used;
}

bool
CurrentEviction::RelieveMemory(Pass& aPass, std::size_t aWorker)
{
  const WorkerView& worker = aPass.cell.workers[aWorker];
  const std::int64_t usedMb = this->MemoryOf(worker, aPass.cell.now);
  const double used = Share(usedMb, worker.capacity.memoryMb);
  if (used < kMemoryShort || IsEvicting(worker)) {
    return false;
  }
  const bool emergency = used >= kMemoryEmergency;
  std::vector<Victim> victims =
    this->Victims(aPass, worker, ReliefNeed::Ordinary);
  if (victims.empty() && emergency) {
    victims = this->Victims(aPass, worker, ReliefNeed::Emergency);
  }
  if (victims.empty()) {
    return false;
  }
  // Weight the cost by the memory freed: a task that frees only a part of the
  // excess costs more in proportion; freeing more than the excess has no
  // benefit.
  const double excess =
    static_cast<double>(usedMb) -
    kMemoryShort * static_cast<double>(worker.capacity.memoryMb);
  for (Victim& victim : victims) {
    const double freed = static_cast<double>(
      std::max<std::int64_t>(1, victim.task->usage.memoryMb));
    victim.cost *= std::max(1.0, excess / freed);
  }
  std::ranges::sort(victims, {}, &Victim::cost);
  const RunningTaskView& task = *victims.front().task;
  std::string reason =
    "memory at " + std::to_string(std::lround(used * 100)) + "%";
  if (!emergency) {
    if (!HasRecentCheckpoint(task, aPass.cell.now)) {
      aPass.decisions.push_back({ ReliefAction::Checkpoint,
                                  worker.name,
                                  task.task,
                                  task.throttlePermille,
                                  std::move(reason),
                                  {} });
    }
    return false;
  }
  if (!this->history.Allows(aPass.limits, aPass.cell.now, worker.name)) {
    return false;
  }
  std::string others;
  for (std::size_t i = 1; i < victims.size() && i <= kAlternatives; ++i) {
    others += (i > 1 ? " " : "") + victims[i].task->task + "=" +
              std::to_string(std::lround(victims[i].cost));
  }
  this->Stop(aPass, aWorker, task, std::move(reason), std::move(others));
  return true;
}

void
CurrentEviction::MoveWorst(Pass& aPass,
                           std::size_t aWorker,
                           const RunningTaskView& aSuffering)
{
  const WorkerView& worker = aPass.cell.workers[aWorker];
  if (IsEvicting(worker) ||
      !this->history.Allows(aPass.limits, aPass.cell.now, worker.name)) {
    return;
  }
  const RunningTaskView* noisiest = nullptr;
  double most = 0;
  for (const Victim& victim :
       this->Victims(aPass, worker, ReliefNeed::Ordinary)) {
    const double part =
      this->Contribution(aPass.cell.now, aSuffering, *victim.task);
    if (part > most && !victim.task->longRunning) {
      most = part;
      noisiest = victim.task;
    }
  }
  if (noisiest == nullptr) {
    return;
  }
  const std::size_t target = this->FindMoveTarget(aPass, aWorker, *noisiest);
  if (target == kNowhere) {
    return;
  }
  double there = 0;
  for (const RunningTaskView& task : aPass.cell.workers[target].tasks) {
    if (task.latencyCritical) {
      there += this->Contribution(aPass.cell.now, task, *noisiest);
    }
  }
  if (there > kMoveGain * most) {
    return;
  }
  if (!HasRecentCheckpoint(*noisiest, aPass.cell.now)) {
    aPass.decisions.push_back({ ReliefAction::Checkpoint,
                                worker.name,
                                noisiest->task,
                                noisiest->throttlePermille,
                                "before a move",
                                {} });
    return;
  }
  this->Stop(
    aPass, aWorker, *noisiest, "slows " + aSuffering.task + " down", {});
}

std::size_t
CurrentEviction::FindMoveTarget(const Pass& aPass,
                                std::size_t aWorker,
                                const RunningTaskView& aTask) const
{
  const Resources needed = CountedFor(aTask);
  for (std::size_t i = 0; i < aPass.free.size(); ++i) {
    const WorkerView& worker = aPass.cell.workers[i];
    const bool roomy =
      static_cast<double>(worker.observed.memoryMb + aTask.usage.memoryMb) <
      kMemoryShort * static_cast<double>(worker.capacity.memoryMb);
    if (i != aWorker && roomy && Within(needed, aPass.free[i])) {
      return i;
    }
  }
  return kNowhere;
}

void
CurrentEviction::Stop(Pass& aPass,
                      std::size_t aWorker,
                      const RunningTaskView& aTask,
                      std::string aReason,
                      std::string aAlternatives)
{
  const WorkerView& worker = aPass.cell.workers[aWorker];
  const std::size_t target = this->FindMoveTarget(aPass, aWorker, aTask);
  if (target != kNowhere) {
    aPass.free[target] = Difference(aPass.free[target], CountedFor(aTask));
  }
  aPass.decisions.push_back(
    { target == kNowhere ? ReliefAction::Evict : ReliefAction::Move,
      worker.name,
      aTask.task,
      aTask.throttlePermille,
      std::move(aReason),
      std::move(aAlternatives) });
  this->history.Add(aPass.cell.now, worker.name, aTask.task);
  this->workers[worker.name].freed.emplace_back(aPass.cell.now,
                                                aTask.usage.memoryMb);
  this->knowledge.TaskEvicted(aPass.cell.now, aTask.task, worker.name);
}

void
CurrentEviction::PreemptForUrgent(Pass& aPass, const TaskView& aTask)
{
  std::size_t bestWorker = kNowhere;
  const RunningTaskView* bestTask = nullptr;
  double bestCost = 0;
  for (std::size_t i = 0; i < aPass.free.size(); ++i) {
    // Capacity that evictions in progress are about to free counts as well.
    const Resources soon = Sum(aPass.free[i], Leaving(aPass.cell.workers[i]));
    if (Within(aTask.resources, soon)) {
      aPass.free[i] = Difference(aPass.free[i], aTask.resources);
      return;
    }
  }
  for (std::size_t i = 0; i < aPass.free.size(); ++i) {
    const WorkerView& worker = aPass.cell.workers[i];
    const bool usable = AcceptsTasks(worker) && !IsEvicting(worker) &&
                        worker.quarantine == QuarantineState::Healthy;
    if (!usable ||
        !this->history.Allows(aPass.limits, aPass.cell.now, worker.name)) {
      continue;
    }
    for (const Victim& victim :
         this->Victims(aPass, worker, ReliefNeed::Ordinary)) {
      const Resources room = Sum(aPass.free[i], CountedFor(*victim.task));
      const bool helps = victim.task->priority < aTask.priority &&
                         !victim.task->urgent && Within(aTask.resources, room);
      if (helps && (bestTask == nullptr || victim.cost < bestCost)) {
        bestWorker = i;
        bestTask = victim.task;
        bestCost = victim.cost;
      }
    }
  }
  if (bestTask == nullptr) {
    return;
  }
  this->Stop(
    aPass, bestWorker, *bestTask, "makes room for urgent " + aTask.task, {});
  aPass.free[bestWorker] = Difference(
    Sum(aPass.free[bestWorker], CountedFor(*bestTask)), aTask.resources);
}

void
CurrentEviction::Forget(TimePoint aNow)
{
  std::erase_if(this->workers, [&](const auto& aEntry) {
    return aNow - aEntry.second.seen > kForgetAfter;
  });
}

} // namespace sequoiakeel
