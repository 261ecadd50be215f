#include "CellScheduler.h"

#include "Log.h"

#include <algorithm>
#include <utility>

namespace sequoiakeel {

namespace {

/** A reservation stays on the worker chosen for it for this long before another
 * worker is searched for; short tasks end within this time. */
constexpr std::chrono::milliseconds kReservationReview{ 500 };

/** Limits the searches in one planning pass for a worker on which to reserve
 * capacity, since each search examines all runs of all workers. */
constexpr int kReservationSearchesPerPass = 8;

/** Limits the number of concurrent reservations. */
constexpr std::size_t kMaxReservations = 64;

/** Wait after which short tasks may be stopped for an interrupted long-running
 * task. Short tasks end within one or two seconds, and the interrupted task
 * has to run again within six seconds. */
constexpr std::chrono::milliseconds kPreemptionWait{ 1500 };

/** Wait after which an interrupted long-running task is placed on a quarantined
 * worker if there is no other: a failure there is no worse than further
 * waiting. */
constexpr std::chrono::milliseconds kQuarantinedWorkerWait{ 2500 };

/** Wait after which a task that no other worker takes is tried on a quarantined
 * one. Most tasks that wait for capacity get it before. */
constexpr std::chrono::milliseconds kTrialWait{ 1000 };

/** Wait after which an interrupted long-running task is started on capacity
 * that is reserved for another one: the other task could not start in this
 * time, and the capacity must not stay unused for longer than half of the six
 * seconds within which an interrupted task has to run again. */
constexpr std::chrono::milliseconds kReservedCapacityWait{ 3000 };

/** Wait after which a task that no worker of its cell can run is offered to
 * another cell. A worker that was only briefly unreachable is back by then. */
constexpr std::chrono::milliseconds kHandOverWait{ 1000 };

/** Wait after which a failed hand-over is tried again. Each attempt takes
 * several calls to the store. */
constexpr std::chrono::milliseconds kHandOverRetryWait{ 1000 };

/** Number of the largest free pieces that a cell publishes for each group of
 * workers. It bounds the size of the record, and the number of tasks that the
 * other cells hand over before they read the next record. */
constexpr std::size_t kPublishedPieces = 8;

/** Part of the drain time that is reserved for stopping a run on a draining
 * worker, in addition to the interval at which the registry is read: a stop
 * and its report take up to 0.5 s. */
constexpr std::chrono::milliseconds kDrainReserve{ 500 };

/** Added to the rating of a worker on the rack that other tasks of the step
 * already use. */
constexpr double kSameRackBonus = 1e5;

/** Returns a key that is equal for steps that can run on the same workers,
 * provided that their resources fit. */
std::string
PlacementKey(const std::string& aService,
             const WorkflowStep& aStep,
             FillerLimits aLimits,
             int aMinPercent)
{
  if (!aStep.filler) {
    return aService;
  }
  return aService + "/filler/" + aStep.image + "/" +
         std::to_string(static_cast<int>(aLimits)) + "/" +
         std::to_string(aMinPercent);
}

bool
NeedsNoMoreThan(const WorkflowStep& aStep, const WorkflowStep& aThan)
{
  return aStep.cpuMilli <= aThan.cpuMilli && aStep.memoryMb <= aThan.memoryMb &&
         aStep.accelerators <= aThan.accelerators;
}

/** Compares the estimates of two steps; no estimate is the latest end. */
bool
EndsNoLaterThan(const WorkflowStep& aStep, const WorkflowStep& aThan)
{
  return aThan.estimateMs == 0 ||
         (aStep.estimateMs > 0 && aStep.estimateMs <= aThan.estimateMs);
}

} // namespace

void
CellScheduler::BeginPlanningPass()
{
  const TimePoint now = this->clock.Now();
  this->availableWorkers.clear();
  this->quarantinedWorkers.clear();
  this->workersToTry.clear();
  this->unplaced.clear();
  this->unplaceable.clear();
  this->anyBackfillable = false;
  this->notSearched = 0;
  this->awaitedTasks.clear();
  this->previousReservations = std::move(this->reservations);
  this->reservations.clear();
  this->reservationSearches = kReservationSearchesPerPass;
  this->ApplyClosedZones();
  if (!this->registryFreshness.IsFresh(now)) {
    return;
  }
  for (auto& [id, worker] : this->workers) {
    worker.ClearReservations();
    if (!AcceptsNewTasks(worker, now) || !this->roster.contains(id)) {
      continue;
    }
    const bool quarantined =
      this->quarantine.StateOf(now, id) == QuarantineState::Quarantined;
    (quarantined ? this->quarantinedWorkers : this->availableWorkers)
      .push_back(&worker);
    if (quarantined && this->quarantine.MayTry(now, id) && !worker.HasTrial()) {
      this->workersToTry.push_back(&worker);
    }
  }
}

bool
CellScheduler::IsUnplaced(const TaskToPlace& aTask) const
{
  const auto found = this->unplaced.find(PlacementKey(
    aTask.submission.service, aTask.step, aTask.limits, aTask.minPercent));
  // A task that ends earlier may fit on reserved capacity.
  return found != this->unplaced.end() && !aTask.step.longRunning &&
         NeedsNoMoreThan(found->second, aTask.step) &&
         (!this->anyBackfillable || EndsNoLaterThan(found->second, aTask.step));
}

void
CellScheduler::NoteUnplaced(const TaskToPlace& aTask)
{
  const WorkflowStep& step = aTask.step;
  if (step.longRunning || step.maxPerWorker > 0 ||
      !step.requiredLabel.empty()) {
    return;
  }
  WorkflowStep& smallest = this->unplaced
                             .try_emplace(PlacementKey(aTask.submission.service,
                                                       step,
                                                       aTask.limits,
                                                       aTask.minPercent),
                                          step)
                             .first->second;
  const bool replaces =
    !this->anyBackfillable || EndsNoLaterThan(step, smallest);
  if (replaces && NeedsNoMoreThan(step, smallest)) {
    smallest = step;
  }
}

ScheduledWorker*
CellScheduler::ChooseWorkerAmong(std::span<ScheduledWorker* const> aWorkers,
                                 const TaskToPlace& aTask)
{
  const TimePoint now = this->clock.Now();
  const WorkflowStep& step = aTask.step;
  const WorkerRequest request{ step, aTask.limits, aTask.minPercent };
  const bool mayUseReserved = step.longRunning && aTask.interrupted &&
                              aTask.waited > kReservedCapacityWait;
  const bool isolated = this->AwaitsIsolation(aTask);
  // The members of a gang end together, so they need not be told apart.
  const std::string exempt = step.gang ? aTask.stepKey : "";
  ScheduledWorker* best = nullptr;
  double bestRate = WorkerChoice::kAnyScore;
  for (ScheduledWorker* const worker : aWorkers) {
    const bool fits = mayUseReserved ? worker->FitsBesideRuns(step)
                                     : FitsOrBackfills(*worker, step, now);
    if (!fits ||
        !SatisfiesConstraints(
          *worker, aTask.submission.service, step, aTask.stepKey) ||
        worker->IsolatesSuspect(now) ||
        (isolated && !worker->AllRunsProven(now, exempt))) {
      continue;
    }
    if (aTask.suspect) {
      // Its next crash should end as few other runs as possible.
      const bool accepted =
        this->policies.choice
          .Score(
            *worker, request, this->interference, now, WorkerChoice::kAnyScore)
          .has_value();
      const double rate = -static_cast<double>(worker->Commitments().size());
      if (accepted && rate > bestRate) {
        best = worker;
        bestRate = rate;
      }
      continue;
    }
    const bool sameRack =
      step.sameRack && worker->description.rack == aTask.rack;
    const double bonus = sameRack ? kSameRackBonus : 0;
    const std::optional<double> rate = this->policies.choice.Score(
      *worker, request, this->interference, now, bestRate - bonus);
    if (rate && *rate + bonus > bestRate) {
      best = worker;
      bestRate = *rate + bonus;
    }
  }
  return best;
}

ScheduledWorker*
CellScheduler::ChooseWorker(const TaskToPlace& aTask)
{
  if (!this->IsUnplaced(aTask)) {
    ScheduledWorker* const best =
      this->ChooseWorkerAmong(this->availableWorkers, aTask);
    if (best != nullptr) {
      return best;
    }
  }
  if (this->AwaitsIsolation(aTask)) {
    return nullptr;
  }
  if (aTask.step.longRunning && aTask.waited > kQuarantinedWorkerWait) {
    return this->ChooseWorkerAmong(this->quarantinedWorkers, aTask);
  }
  return this->ChooseWorkerToTry(aTask);
}

ScheduledWorker*
CellScheduler::ChooseWorkerToTry(const TaskToPlace& aTask)
{
  if (aTask.step.longRunning || aTask.waited <= kTrialWait) {
    return nullptr;
  }
  // A task that was placed earlier in this pass may have begun a trial.
  const TimePoint now = this->clock.Now();
  std::erase_if(this->workersToTry, [&](const ScheduledWorker* aWorker) {
    return !this->quarantine.MayTry(now, aWorker->description.id);
  });
  return this->ChooseWorkerAmong(this->workersToTry, aTask);
}

ScheduledWorker*
CellScheduler::ChooseWorkerWithin(const StartRestriction& aRestriction,
                                  const TaskToPlace& aTask)
{
  if (aRestriction.kind == StartRestriction::Kind::AnyWorker) {
    return this->ChooseWorker(aTask);
  }
  ScheduledWorker* const worker = this->Worker(aRestriction.worker);
  const auto end = this->availableWorkers.end();
  if (aRestriction.kind == StartRestriction::Kind::NoWorker ||
      std::find(this->availableWorkers.begin(), end, worker) == end) {
    return nullptr;
  }
  return this->ChooseWorkerAmong(std::span(&worker, 1), aTask);
}

bool
CellScheduler::MayReserve(const ScheduledWorker& aWorker,
                          const TaskToPlace& aTask) const
{
  std::uint32_t reservedOfStep = 0;
  for (const auto& [task, reservation] : this->reservations) {
    const bool alike = reservation.stepKey == aTask.stepKey &&
                       reservation.worker == aWorker.description.id;
    reservedOfStep += alike ? 1 : 0;
  }
  return SatisfiesConstraints(aWorker,
                              aTask.submission.service,
                              aTask.step,
                              aTask.stepKey,
                              reservedOfStep);
}

ScheduledWorker*
CellScheduler::PreviouslyReservedWorker(const std::string& aTaskName,
                                        const TaskToPlace& aTask,
                                        Duration aMaxAge)
{
  const auto last = this->previousReservations.find(aTaskName);
  if (last == this->previousReservations.end() ||
      this->clock.Now() - last->second.chosenAt >= aMaxAge) {
    return nullptr;
  }
  const auto kept =
    std::find_if(this->availableWorkers.begin(),
                 this->availableWorkers.end(),
                 [&](const ScheduledWorker* aWorker) {
                   return aWorker->description.id == last->second.worker;
                 });
  if (kept == this->availableWorkers.end() ||
      !this->MayReserve(**kept, aTask)) {
    return nullptr;
  }
  this->reservations[aTaskName] = last->second;
  return *kept;
}

bool
CellScheduler::AnyWorkerCouldRun(const TaskToPlace& aTask) const
{
  return std::any_of(this->availableWorkers.begin(),
                     this->availableWorkers.end(),
                     [&](const ScheduledWorker* aWorker) {
                       return FitsWithoutShortRuns(*aWorker, aTask.step) &&
                              this->MayReserve(*aWorker, aTask);
                     });
}

ScheduledWorker*
CellScheduler::WorkerToReserve(const std::string& aTaskName,
                               const TaskToPlace& aTask)
{
  const TimePoint now = this->clock.Now();
  ScheduledWorker* best = nullptr;
  Duration bestWait = Duration::max();
  for (ScheduledWorker* const worker : this->availableWorkers) {
    if (!FitsWithoutShortRuns(*worker, aTask.step) ||
        !this->MayReserve(*worker, aTask)) {
      continue;
    }
    const auto wait = ExpectedWait(*worker, aTask.step, now);
    if (wait && *wait < bestWait) {
      best = worker;
      bestWait = *wait;
    }
  }
  if (best == nullptr) {
    return nullptr;
  }
  CapacityReservation& reservation = this->reservations[aTaskName];
  reservation = CapacityReservation{ best->description.id, aTask.stepKey, now };
  const auto previous = this->previousReservations.find(aTaskName);
  if (previous != this->previousReservations.end()) {
    reservation.forecast = previous->second.forecast;
  }
  Event("room_held")
    .Add("task", aTaskName)
    .Add("worker", best->description.id)
    .Add("expected_wait_ms",
         static_cast<std::int64_t>(
           std::chrono::duration_cast<std::chrono::milliseconds>(bestWait)
             .count()))
    .Add("waited_ms",
         static_cast<std::int64_t>(
           std::chrono::duration_cast<std::chrono::milliseconds>(aTask.waited)
             .count()));
  return best;
}

CellScheduler::ReservationOutcome
CellScheduler::ReserveCapacity(const std::string& aTaskName,
                               const TaskToPlace& aTask)
{
  const bool mayAdd = this->reservations.size() < kMaxReservations;
  ScheduledWorker* worker =
    mayAdd
      ? this->PreviouslyReservedWorker(aTaskName, aTask, kReservationReview)
      : nullptr;
  if (worker == nullptr && mayAdd && this->reservationSearches == 0) {
    worker = this->PreviouslyReservedWorker(aTaskName, aTask, Duration::max());
  }
  if (worker == nullptr) {
    // The limits do not apply to this check. Otherwise tasks that fit nowhere
    // would use up all searches of every pass, and those behind them would
    // never be handed over.
    if (!this->AnyWorkerCouldRun(aTask)) {
      return ReservationOutcome::NoWorker;
    }
    if (!mayAdd || this->reservationSearches == 0) {
      return ReservationOutcome::NotTried;
    }
    --this->reservationSearches;
    worker = this->WorkerToReserve(aTaskName, aTask);
  }
  if (worker == nullptr) {
    return ReservationOutcome::NoWorker;
  }
  this->Preempt(*worker, aTaskName, aTask);
  if (!aTask.firstStart) {
    worker->Reserve(aTask.step);
    return ReservationOutcome::Reserved;
  }
  CapacityReservation& reservation = this->reservations.at(aTaskName);
  reservation.forecast.Update(*worker, aTask.step, this->clock.Now());
  worker->ReserveBackfillable(aTask.step, reservation.forecast.ExpectedAt());
  this->anyBackfillable = true;
  return ReservationOutcome::Reserved;
}

void
CellScheduler::Preempt(ScheduledWorker& aWorker,
                       const std::string& aTaskName,
                       const TaskToPlace& aTask)
{
  const TimePoint now = this->clock.Now();
  if (!aTask.interrupted || aTask.waited < kPreemptionWait) {
    return;
  }
  const auto preemption = ChoosePreemption(aWorker, aTask.step, now);
  if (!preemption || preemption->tasks.empty()) {
    return;
  }
  const double cores =
    static_cast<double>(this->Load().capacityCpuMilli) / 1000;
  if (!this->preemptionBudget.TrySpend(
        preemption->lostCoreSeconds, cores, now)) {
    Event("preemption_over_budget", LogLevel::Warning)
      .Add("task", aTaskName)
      .Add("worker", aWorker.description.id)
      .Add("lost_core_s", preemption->lostCoreSeconds);
    return;
  }
  Event("preemption")
    .Add("task", aTaskName)
    .Add("worker", aWorker.description.id)
    .Add("runs", static_cast<std::uint64_t>(preemption->tasks.size()))
    .Add("lost_core_s", preemption->lostCoreSeconds);
  for (const std::string& task : preemption->tasks) {
    this->policies.observer.RunPreempted();
    this->StopRun(aWorker, task, "gives way to a long-running task");
  }
}

void
CellScheduler::PlanDrains()
{
  for (auto& [id, worker] : this->workers) {
    if (!worker.description.draining) {
      continue;
    }
    std::vector<std::string> leaving;
    for (const auto& [task, commitment] : worker.Commitments()) {
      if (commitment.step.longRunning &&
          commitment.phase != CommitmentPhase::Starting) {
        leaving.push_back(task);
      }
    }
    for (const std::string& task : leaving) {
      this->PlanRelocation(worker, task);
    }
  }
}

void
CellScheduler::PlanRelocation(ScheduledWorker& aWorker,
                              const std::string& aTaskName)
{
  const std::optional<TaskName> name = ParseTaskName(aTaskName);
  Entry* const entry = name ? this->FindJob(name->job) : nullptr;
  if (entry == nullptr || entry->job.Find(*name) == nullptr) {
    return;
  }
  const WorkflowStep& step = entry->job.StepOf(*name);
  const std::string key = FormatStepKey(*name);
  const TaskToPlace placed{ entry->job.Submission(), step, key, "" };
  ScheduledWorker* const place = this->ChooseWorker(placed);
  if (place != nullptr) {
    place->Reserve(step);
  } else {
    this->ReserveCapacity(aTaskName, placed);
  }
  // A task for which no other worker is found is not stopped until shortly
  // before the end of the time for which its worker is guaranteed to run.
  const bool due =
    this->clock.Now() - aWorker.drainingSince >
    this->bounds.drain - this->bounds.RegistryInterval() - kDrainReserve;
  if (place != nullptr || due) {
    this->StopRun(aWorker, aTaskName, "worker drains");
  }
}

void
CellScheduler::NoteUnplaceable(const TaskName& aName, const TaskToPlace& aTask)
{
  // If fewer than half of the workers that should accept starts do so, the
  // owner itself is probably disconnected, and handing over tasks would be
  // wrong.
  const auto expected = std::count_if(
    this->workers.begin(), this->workers.end(), [this](const auto& aWorker) {
      const WorkerDescription& description = aWorker.second.description;
      return !description.draining &&
             !this->closedZones.IsClosed(description.zone);
    });
  if (this->availableWorkers.size() * 2 < static_cast<std::size_t>(expected)) {
    return;
  }
  const WorkflowStep& step = aTask.step;
  const bool simple =
    aTask.submission.recurrence.count == 0 && !step.gang && step.after.empty();
  if (simple && aTask.waited > kHandOverWait) {
    this->unplaceable.push_back(aName);
  }
}

std::vector<HandOver>
CellScheduler::HandOvers() const
{
  const TimePoint now = this->clock.Now();
  std::map<std::pair<std::string, std::uint32_t>, HandOver> byStep;
  for (const TaskName& name : this->unplaceable) {
    const auto found = this->jobs.find(name.job);
    if (found == this->jobs.end()) {
      continue;
    }
    const WorkflowJob& job = found->second.job;
    const WorkflowStep& step = job.StepOf(name);
    const WorkflowTask& task =
      job.Occurrences()[0].steps[name.step].tasks[name.index];
    if (now < task.handOverNotBefore) {
      continue;
    }
    HandOver& entry = byStep[{ name.job, name.step }];
    entry.submission = job.Submission();
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - task.pendingSince);
    TaskRun& offered = entry.tasks.emplace_back();
    offered.step = name.step;
    offered.index = name.index;
    offered.run = task.run;
    offered.waitedMs =
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, waited.count()));
    offered.crashes = task.crashedRuns;
    entry.demand.service = entry.submission.service;
    entry.demand.requiredLabel = step.requiredLabel;
    entry.demand.size =
      FreePiece{ step.cpuMilli, step.memoryMb, step.accelerators };
    entry.demand.maxPerWorker = step.maxPerWorker;
    ++entry.demand.tasks;
  }
  std::vector<HandOver> result;
  for (auto& [step, entry] : byStep) {
    result.push_back(std::move(entry));
  }
  return result;
}

std::optional<WorkflowProgress>
CellScheduler::BeginHandOver(const HandOver& aHandOver)
{
  const std::string& id = aHandOver.submission.id;
  Entry* const entry = this->FindJob(id);
  if (entry == nullptr) {
    return std::nullopt;
  }
  const auto nameOf = [&id](const TaskRun& aTask) {
    return TaskName{ id, 0, aTask.step, aTask.index };
  };
  const bool allPending = std::all_of(
    aHandOver.tasks.begin(), aHandOver.tasks.end(), [&](const TaskRun& aTask) {
      const WorkflowTask* const task = entry->job.Find(nameOf(aTask));
      return task != nullptr && task->status == TaskStatus::Pending;
    });
  if (!allPending) {
    return std::nullopt;
  }
  for (const TaskRun& task : aHandOver.tasks) {
    entry->job.HandOver(nameOf(task));
  }
  return entry->job.Progress(WorkflowState::Running);
}

void
CellScheduler::CancelHandOver(const HandOver& aHandOver)
{
  Entry* const entry = this->FindJob(aHandOver.submission.id);
  if (entry == nullptr) {
    return;
  }
  for (const TaskRun& task : aHandOver.tasks) {
    const TaskName name{ aHandOver.submission.id, 0, task.step, task.index };
    WorkflowTask& handedOver = *entry->job.Find(name);
    if (handedOver.status != TaskStatus::HandedOver) {
      continue;
    }
    // The task has not run in the meantime, so its wait goes on.
    entry->job.Reclaim(name, handedOver.pendingSince);
    handedOver.handOverNotBefore = this->clock.Now() + kHandOverRetryWait;
  }
}

LongRunningCapacity
CellScheduler::CapacityForLongRunning() const
{
  const TimePoint now = this->clock.Now();
  std::map<std::pair<std::string, std::set<std::string>>, WorkerGroupCapacity>
    groups;
  for (const auto& [id, worker] : this->workers) {
    if (!AcceptsNewTasks(worker, now) ||
        this->quarantine.IsQuarantined(now, id)) {
      continue;
    }
    WorkerCapacity left = worker.description.capacity;
    for (const auto& [task, commitment] : worker.Commitments()) {
      if (commitment.step.longRunning) {
        left.cpuMilli -= commitment.step.cpuMilli;
        left.memoryMb -= commitment.step.memoryMb;
        left.accelerators -= commitment.step.accelerators;
      }
    }
    left.cpuMilli -= worker.Reserved().cpuMilli;
    left.memoryMb -= worker.Reserved().memoryMb;
    left.accelerators -= worker.Reserved().accelerators;
    if (left.cpuMilli <= 0 || left.memoryMb <= 0) {
      continue;
    }
    std::set<std::string> labels = worker.description.labels;
    labels.erase(worker.description.rack);
    WorkerGroupCapacity& group =
      groups[{ worker.description.service, std::move(labels) }];
    const FreePiece piece{ static_cast<std::uint64_t>(left.cpuMilli),
                           static_cast<std::uint64_t>(left.memoryMb),
                           static_cast<std::uint64_t>(
                             std::max<std::int64_t>(0, left.accelerators)) };
    group.freeCpuMilli += piece.cpuMilli;
    group.pieces.push_back(piece);
  }
  LongRunningCapacity result;
  for (auto& [key, group] : groups) {
    std::sort(group.pieces.begin(),
              group.pieces.end(),
              [](const FreePiece& aLeft, const FreePiece& aRight) {
                return aLeft.cpuMilli > aRight.cpuMilli;
              });
    group.pieces.resize(std::min(group.pieces.size(), kPublishedPieces));
    group.service = key.first;
    group.labels.assign(key.second.begin(), key.second.end());
    result.groups.push_back(std::move(group));
  }
  return result;
}

} // namespace sequoiakeel
