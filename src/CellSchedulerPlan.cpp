#include "CellScheduler.h"

#include "CellUsage.h"
#include "Log.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace sequoiakeel {

namespace {

/** Limits the starts of one planning pass, so that a burst of jobs does not
 * delay responses. */
constexpr std::size_t kMaxStartsPerPass = 64;

/** A stop command is repeated at this interval until a worker report lists the
 * end of the run. */
constexpr std::chrono::milliseconds kStopRepeat{ 500 };

/** Interval at which the usage of the cell is measured and logged with its
 * delays. */
constexpr std::chrono::milliseconds kUsageInterval{ 1000 };

/** Wait from which an interrupted long-running task is logged. */
constexpr std::chrono::milliseconds kLoggedWait{ 1500 };

/** Time since a job's acceptance from which a short task that waits is logged.
 * Most short jobs are due earlier. */
constexpr std::chrono::seconds kLoggedShortWait{ 10 };

/** Time since its acceptance, or since it was due, after which a job counts as
 * overdue even if it could still meet its objective: objectives follow from the
 * callers' estimates, which can be off by a multiple. */
constexpr std::chrono::seconds kOverdueAfter{ 30 };

/** Wait after which the first task of a job that was never started may share
 * processors with other fillers. Before, it waits for unused ones, with which
 * it ends sooner. A job that has begun may share at once, since its steps would
 * otherwise be separated by such waits. */
constexpr std::chrono::seconds kWaitBeforeSharing{ 3 };

/** Lowest speed in percent down to which the second run of a job slows fillers,
 * so that processors are left to share for the first runs of other jobs. */
constexpr int kMinSuccessorPercent = 60;

/** Waiting demand of fillers that can still meet their objective, relative to
 * the processor time available to fillers, up to which other jobs may slow them
 * down. */
constexpr double kFewWaitingShare = 0.1;

/** Number of workers that are named in a log line. */
constexpr std::size_t kLoggedWorkers = 5;

} // namespace

PlannedCommands
CellScheduler::Plan()
{
  PlannedCommands orders;
  this->ExpireLeases();
  this->BeginPlanningPass();
  this->ReleaseHeldStarts(orders);
  this->UpdateIdleTimes();
  const auto nowUnixMs = static_cast<double>(this->wallClock.UnixMs());
  std::vector<Candidate> candidates = this->Candidates();
  this->UpdateHeadroom(candidates);
  this->MeasureCellUsage(candidates);
  this->fewWaitInTime = this->FewWaitInTime(candidates);
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [&](const Candidate& aLeft, const Candidate& aRight) {
                     return this->policies.order.Precedes(
                       aLeft.order, aRight.order, nowUnixMs);
                   });
  // Interrupted tasks are placed first, then tasks that are about to be
  // interrupted by a drain, then all others.
  const auto others = std::stable_partition(
    candidates.begin(), candidates.end(), [](const Candidate& aCandidate) {
      return aCandidate.order.interrupted;
    });
  this->PlanSteps({ candidates.begin(), others }, orders);
  this->PlanDrains();
  this->ReserveForAwaitedTasks();
  auto last = candidates.end();
  if (this->DelaysFirstStarts()) {
    last = std::stable_partition(others, last, [](const Candidate& aCandidate) {
      return !aCandidate.order.longRunning;
    });
  }
  this->PlanSteps({ others, last }, orders);
  this->LogDelays(candidates);
  this->LogWaitingTask(candidates);
  this->LogIdleJobs(candidates);
  this->PlanStops(orders);
  this->PlanThrottles(orders);
  return orders;
}

void
CellScheduler::UpdateHeadroom(std::span<const Candidate> aWaiting)
{
  if (!this->policies.shortTaskHeadroom) {
    return;
  }
  ProcessorDemand demand;
  for (const ScheduledWorker* const worker : this->availableWorkers) {
    const std::int64_t shortRuns = worker->UsedByShortRuns().cpuMilli;
    demand.capacity += worker->description.capacity.cpuMilli;
    demand.shortRunning += shortRuns;
    demand.longRunning += worker->Committed().cpuMilli - shortRuns;
  }
  const auto now = static_cast<double>(this->wallClock.UnixMs());
  for (const Candidate& candidate : aWaiting) {
    if (candidate.order.longRunning || candidate.order.filler ||
        ExpectedOutcomeOf(candidate.order, now) == ExpectedOutcome::Useless) {
      continue;
    }
    const WorkflowStep& step =
      this->jobs.at(candidate.job).job.Submission().steps[candidate.step];
    demand.shortWaiting +=
      static_cast<std::int64_t>(step.cpuMilli) * candidate.pending;
  }
  this->headroom.Begin(demand, this->clock.Now());
}

bool
CellScheduler::LeavesHeadroom(const TaskToPlace& aTask) const
{
  const bool delayable = this->policies.shortTaskHeadroom &&
                         aTask.step.longRunning && aTask.firstStart;
  return !delayable ||
         this->headroom.AllowsFirstStart(aTask.step.cpuMilli, aTask.waited);
}

void
CellScheduler::MeasureCellUsage(std::span<const Candidate> aWaiting)
{
  const TimePoint now = this->clock.Now();
  if (now - this->usageMeasuredAt < kUsageInterval) {
    return;
  }
  this->usageMeasuredAt = now;
  std::int64_t waitingLongRunning = 0;
  std::int64_t waitingShort = 0;
  std::int64_t waitingFillers = 0;
  for (const Candidate& candidate : aWaiting) {
    const Entry& entry = this->jobs.at(candidate.job);
    const WorkflowStep& step = entry.job.Submission().steps[candidate.step];
    const std::int64_t cpu =
      static_cast<std::int64_t>(step.cpuMilli) * candidate.pending;
    std::int64_t& sum = step.longRunning ? waitingLongRunning
                        : step.filler    ? waitingFillers
                                         : waitingShort;
    sum += cpu;
  }
  const CellUsage usage = MeasureUsage(this->workers, this->interference, now);
  this->availableToFillers = usage.availableToFillers;
  Event("cell_usage")
    .Add("capacity_milli", usage.capacity)
    .Add("long_running_milli", usage.longRunning)
    .Add("short_milli", usage.shortTasks)
    .Add("filler_demand_milli", usage.fillerDemand)
    .Add("filler_use_milli", usage.fillerUse)
    .Add("filler_available_milli", usage.availableToFillers)
    .Add("filler_held_back_milli", usage.fillersHeldBack)
    .Add("waiting_long_running_milli", waitingLongRunning)
    .Add("waiting_short_milli", waitingShort)
    .Add("waiting_filler_milli", waitingFillers)
    .Add("workers_over_target", usage.workersOverTarget)
    .Add("headroom_milli", this->headroom.Target())
    .Add("delayed_steps", std::exchange(this->delayedSteps, 0));
}

void
CellScheduler::LogDelays(std::span<const Candidate> aWaiting)
{
  const TimePoint now = this->clock.Now();
  if (now - this->delaysLoggedAt < kUsageInterval) {
    return;
  }
  this->delaysLoggedAt = now;
  if (!this->recovered) {
    std::string awaited;
    std::size_t named = 0;
    for (const std::string& worker : this->awaitedWorkers) {
      if (named++ == kLoggedWorkers) {
        break;
      }
      awaited += (awaited.empty() ? "" : ",") + worker;
    }
    Event("recovery_waits", LogLevel::Warning)
      .Add("jobs", static_cast<std::uint64_t>(this->jobs.size()))
      .Add("awaited", static_cast<std::uint64_t>(this->awaitedWorkers.size()))
      .Add("workers", awaited);
  }
  const WorkflowStep* step = nullptr;
  TaskName longest;
  bool mayStillRun = false;
  TimePoint since = now - kLoggedWait;
  for (const Candidate& candidate : aWaiting) {
    if (!candidate.order.interrupted) {
      continue;
    }
    const WorkflowJob& job = this->jobs.at(candidate.job).job;
    const std::vector<WorkflowTask>& tasks =
      job.Occurrences()[candidate.occurrence].steps[candidate.step].tasks;
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
      if (tasks[i].status != TaskStatus::Pending || !tasks[i].hasRun ||
          tasks[i].pendingSince >= since) {
        continue;
      }
      since = tasks[i].pendingSince;
      step = &job.Submission().steps[candidate.step];
      longest =
        TaskName{ candidate.job, candidate.occurrence, candidate.step, i };
      mayStillRun = this->MayStillRun(job, longest, tasks[i]);
    }
  }
  if (step == nullptr) {
    return;
  }
  std::int64_t largestFree = 0;
  std::int64_t largestUnreserved = 0;
  for (const ScheduledWorker* const worker : this->availableWorkers) {
    const std::int64_t free =
      worker->description.capacity.cpuMilli - worker->Committed().cpuMilli;
    largestFree = std::max(largestFree, free);
    largestUnreserved =
      std::max(largestUnreserved, free - worker->Reserved().cpuMilli);
  }
  Event("long_running_waits", LogLevel::Warning)
    .Add("task", FormatTaskName(longest))
    .Add("waited_ms",
         static_cast<std::int64_t>(
           std::chrono::duration_cast<std::chrono::milliseconds>(now - since)
             .count()))
    .Add("cpu_milli", step->cpuMilli)
    .Add("largest_free_milli", largestFree)
    .Add("largest_unreserved_milli", largestUnreserved)
    .Add("available_workers",
         static_cast<std::uint64_t>(this->availableWorkers.size()))
    .Add("quarantined_workers",
         static_cast<std::uint64_t>(this->quarantinedWorkers.size()))
    .Add("workers", static_cast<std::uint64_t>(this->workers.size()))
    .Add("may_run_on_silent_worker", mayStillRun)
    .Add("start_open",
         this->openStarts.RestrictionOf(FormatTaskName(longest)).kind !=
           StartRestriction::Kind::AnyWorker)
    .Add("reservations", static_cast<std::uint64_t>(this->reservations.size()))
    .Add("not_searched", this->notSearched)
    .Add("offered", static_cast<std::uint64_t>(this->unplaceable.size()));
}

std::string_view
CellScheduler::ObstacleOn(const ScheduledWorker& aWorker,
                          const std::string& aService,
                          const std::string& aStepKey,
                          const WorkerRequest& aRequest) const
{
  const WorkflowStep& step = aRequest.step;
  if (!SatisfiesConstraints(aWorker, aService, step, aStepKey)) {
    return "not_allowed";
  }
  if (!aWorker.FitsBesideRuns(step)) {
    return "full";
  }
  if (!FitsOrBackfills(aWorker, step, this->clock.Now())) {
    return "reserved";
  }
  return step.filler
           ? ToString(ObstacleFor(
               aWorker, aRequest, this->interference, this->clock.Now()))
           : "none";
}

void
CellScheduler::LogWaitingTask(std::span<const Candidate> aWaiting)
{
  const TimePoint now = this->clock.Now();
  if (now - this->waitLoggedAt < kUsageInterval) {
    return;
  }
  this->waitLoggedAt = now;
  const auto pendingOf = [this](const Candidate& aCandidate) {
    return this->jobs.at(aCandidate.job)
      .job.Occurrences()[aCandidate.occurrence]
      .steps[aCandidate.step]
      .pending;
  };
  const Candidate* longest = nullptr;
  for (const Candidate& candidate : aWaiting) {
    // The tasks of other candidates were started in this pass.
    if (candidate.order.longRunning || pendingOf(candidate) == 0) {
      continue;
    }
    if (longest == nullptr ||
        candidate.order.acceptedUnixMs < longest->order.acceptedUnixMs) {
      longest = &candidate;
    }
  }
  if (longest == nullptr) {
    return;
  }
  const auto waited = static_cast<double>(this->wallClock.UnixMs()) -
                      static_cast<double>(longest->order.acceptedUnixMs);
  if (waited <
      std::chrono::duration<double, std::milli>(kLoggedShortWait).count()) {
    return;
  }
  const WorkflowStep& step =
    this->jobs.at(longest->job).job.Submission().steps[longest->step];
  const std::string key =
    FormatStepKey({ longest->job, longest->occurrence, longest->step, 0 });
  Event("task_waits", LogLevel::Warning)
    .Add("step", key)
    .Add("pending", pendingOf(*longest))
    .Add("priority", longest->order.priority)
    .Add("gang", step.gang)
    .Add("filler", step.filler)
    .Add("image", step.image)
    .Add("cpu_milli", step.cpuMilli)
    .Add("memory_mb", step.memoryMb)
    .Add("accepted_ms_ago", static_cast<std::int64_t>(waited))
    .Add("workers", this->CountObstacles(*longest));
}

void
CellScheduler::UpdateIdleTimes()
{
  const TimePoint now = this->clock.Now();
  for (auto& [id, entry] : this->jobs) {
    entry.activity.Update(entry.job.AnyAssigned(), now);
  }
}

void
CellScheduler::LogIdleJobs(std::span<const Candidate> aWaiting)
{
  const TimePoint now = this->clock.Now();
  if (now - this->idleLoggedAt < kUsageInterval) {
    return;
  }
  this->idleLoggedAt = now;
  const auto nowUnixMs = static_cast<double>(this->wallClock.UnixMs());
  std::map<ExpectedOutcome, std::uint64_t> jobs;
  const Candidate* longest = nullptr;
  TimePoint since = now;
  std::set<std::string_view> counted;
  for (const Candidate& candidate : aWaiting) {
    const Entry& entry = this->jobs.at(candidate.job);
    // A job that was started in this pass is still noted as idle.
    const std::optional<TimePoint> idleSince = entry.activity.IdleSince();
    if (candidate.order.longRunning || !idleSince || entry.job.AnyAssigned() ||
        !counted.insert(candidate.job).second) {
      continue;
    }
    ++jobs[ExpectedOutcomeOf(candidate.order, nowUnixMs)];
    if (longest == nullptr || *idleSince < since) {
      longest = &candidate;
      since = *idleSince;
    }
  }
  const StartCounts starts = std::exchange(this->startCounts, {});
  if (longest == nullptr) {
    return;
  }
  const auto idle =
    std::chrono::duration_cast<std::chrono::milliseconds>(now - since);
  Event("idle_jobs")
    .Add("in_time", jobs[ExpectedOutcome::InTime])
    .Add("late", jobs[ExpectedOutcome::Late])
    .Add("useless", jobs[ExpectedOutcome::Useless])
    .Add("longest", longest->job)
    .Add("longest_ms", static_cast<std::int64_t>(idle.count()))
    .Add("workers", this->CountObstacles(*longest))
    .Add("first_starts", starts.first)
    .Add("further_starts_in_time", starts.furtherInTime)
    .Add("further_starts_not_in_time", starts.furtherNotInTime);
}

std::string
CellScheduler::CountObstacles(const Candidate& aCandidate) const
{
  const WorkflowSubmission& submission =
    this->jobs.at(aCandidate.job).job.Submission();
  const std::string key = FormatStepKey(
    { aCandidate.job, aCandidate.occurrence, aCandidate.step, 0 });
  const WorkerRequest request{ submission.steps[aCandidate.step],
                               this->LimitsFor(aCandidate),
                               this->MinPercentFor(aCandidate) };
  std::map<std::string_view, int> workersBy;
  for (const ScheduledWorker* const worker : this->availableWorkers) {
    ++workersBy[this->ObstacleOn(*worker, submission.service, key, request)];
  }
  std::string obstacles;
  for (const auto& [obstacle, count] : workersBy) {
    obstacles += (obstacles.empty() ? "" : ",") + std::string(obstacle) + ":" +
                 std::to_string(count);
  }
  return obstacles;
}

void
CellScheduler::PlanSteps(std::span<const Candidate> aCandidates,
                         PlannedCommands& aOrders)
{
  std::vector<const Candidate*> begun;
  for (const Candidate& candidate : aCandidates) {
    if (aOrders.starts.size() + aOrders.heldStarts >= kMaxStartsPerPass) {
      return;
    }
    const bool firstOnly = this->StartsFirstOnly(candidate);
    this->PlanStep(candidate, aOrders, firstOnly);
    if (firstOnly && this->jobs.at(candidate.job).job.AnyAssigned()) {
      begun.push_back(&candidate);
    }
  }
  // Every job had its turn, so that what is left goes to their other tasks.
  for (const Candidate* const candidate : begun) {
    this->PlanStep(*candidate, aOrders, false);
  }
}

bool
CellScheduler::StartsFirstOnly(const Candidate& aCandidate) const
{
  return this->LimitsFor(aCandidate) == FillerLimits::OverdueIdle ||
         TakesTurns(aCandidate.order,
                    static_cast<double>(this->wallClock.UnixMs()));
}

void
CellScheduler::CountStart(const Candidate& aCandidate)
{
  if (aCandidate.order.longRunning) {
    return;
  }
  if (!this->jobs.at(aCandidate.job).job.AnyAssigned()) {
    ++this->startCounts.first;
    return;
  }
  const auto now = static_cast<double>(this->wallClock.UnixMs());
  const bool inTime =
    ExpectedOutcomeOf(aCandidate.order, now) == ExpectedOutcome::InTime;
  ++(inTime ? this->startCounts.furtherInTime
            : this->startCounts.furtherNotInTime);
}

FillerLimits
CellScheduler::LimitsFor(const Candidate& aCandidate) const
{
  if (!aCandidate.order.filler) {
    return FillerLimits::Usual;
  }
  const WorkflowJob& job = this->jobs.at(aCandidate.job).job;
  const auto now = static_cast<double>(this->wallClock.UnixMs());
  const std::uint64_t since =
    std::max(aCandidate.order.acceptedUnixMs,
             job.Occurrences()[aCandidate.occurrence].dueUnixMs);
  const double waitedMs = now - static_cast<double>(since);
  const bool overdue =
    ExpectedOutcomeOf(aCandidate.order, now) == ExpectedOutcome::Useless ||
    waitedMs > std::chrono::duration<double, std::milli>(kOverdueAfter).count();
  if (!overdue) {
    return FillerLimits::Usual;
  }
  return job.AnyAssigned() ? FillerLimits::Overdue : FillerLimits::OverdueIdle;
}

bool
CellScheduler::FewWaitInTime(std::span<const Candidate> aWaiting) const
{
  const auto now = static_cast<double>(this->wallClock.UnixMs());
  double demand = 0;
  for (const Candidate& candidate : aWaiting) {
    if (!candidate.order.filler ||
        ExpectedOutcomeOf(candidate.order, now) != ExpectedOutcome::InTime) {
      continue;
    }
    const WorkflowStep& step =
      this->jobs.at(candidate.job).job.Submission().steps[candidate.step];
    demand += static_cast<double>(step.cpuMilli) * candidate.pending;
  }
  return demand <=
         kFewWaitingShare * static_cast<double>(this->availableToFillers);
}

int
CellScheduler::MinPercentFor(const Candidate& aCandidate) const
{
  if (!this->fewWaitInTime || !aCandidate.order.filler) {
    return kFullPercent;
  }
  const Entry& entry = this->jobs.at(aCandidate.job);
  const WorkflowJob& job = entry.job;
  if (!job.AnyAssigned()) {
    const bool shares =
      job.Started() || aCandidate.order.idleFor >= kWaitBeforeSharing;
    return shares ? kMinSharedPercent : kFullPercent;
  }
  // The end of a run becomes known only with a later report of its worker, so
  // that without a successor the job stands still until then.
  const bool needsSuccessor =
    job.AssignedTasks() == 1 && entry.activity.NearsEnd(this->clock.Now());
  return needsSuccessor ? kMinSuccessorPercent : kFullPercent;
}

void
CellScheduler::SlowToShare(ScheduledWorker& aWorker)
{
  const int percent = this->UncontendedPercent(aWorker);
  if (percent >= 100) {
    return;
  }
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    if (!commitment.step.filler) {
      continue;
    }
    const std::string& image = commitment.step.image;
    aWorker.fillerPercents[image] =
      std::min(aWorker.FillerPercent(image), percent);
  }
}

bool
CellScheduler::StepIsDue(const Entry& aEntry, std::uint32_t aOccurrence) const
{
  const std::uint64_t due = aEntry.job.Occurrences()[aOccurrence].dueUnixMs;
  return due == 0 || this->wallClock.UnixMs() >= due;
}

std::chrono::milliseconds
CellScheduler::IdleTime(const Entry& aEntry, std::uint32_t aOccurrence) const
{
  using std::chrono::milliseconds;
  const std::optional<TimePoint> idleSince = aEntry.activity.IdleSince();
  if (!idleSince) {
    return milliseconds(0);
  }
  const WorkflowJob& job = aEntry.job;
  const auto sinceUnixMs = [&](std::uint64_t aUnixMs) {
    return milliseconds(static_cast<std::int64_t>(this->wallClock.UnixMs()) -
                        static_cast<std::int64_t>(aUnixMs));
  };
  auto idle =
    std::chrono::duration_cast<milliseconds>(this->clock.Now() - *idleSince);
  if (!job.Started()) {
    // The wait under earlier owners counts as well.
    idle = std::max(idle, sinceUnixMs(job.Submission().acceptedUnixMs));
  }
  const std::uint64_t due = job.Occurrences()[aOccurrence].dueUnixMs;
  return due == 0 ? idle : std::min(idle, sinceUnixMs(due));
}

std::vector<CellScheduler::Candidate>
CellScheduler::Candidates() const
{
  std::vector<Candidate> result;
  for (const auto& [id, entry] : this->jobs) {
    const bool unsettled = entry.fromEarlierOwner && !this->recovered;
    if (unsettled && !this->restoredRecorded) {
      continue;
    }
    const WorkflowSubmission& submission = entry.job.Submission();
    const double remainingWork = entry.job.RemainingWork();
    for (std::uint32_t k = 0; k < entry.job.Occurrences().size(); ++k) {
      if (!this->StepIsDue(entry, k)) {
        continue;
      }
      const WorkflowOccurrence& occurrence = entry.job.Occurrences()[k];
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        if (occurrence.steps[s].pending == 0 ||
            !entry.job.DependenciesDone(k, s)) {
          continue;
        }
        const WorkflowStep& step = submission.steps[s];
        // Runs of other tasks are not recorded, so they may be anywhere.
        if (unsettled && !step.longRunning) {
          continue;
        }
        WaitingStep order;
        order.priority = submission.priority;
        order.longRunning = step.longRunning;
        order.filler = step.filler;
        order.idle = !entry.job.AnyAssigned();
        order.idleFor = this->IdleTime(entry, k);
        order.objectiveUnixMs = entry.job.ObjectiveUnixMs();
        order.remainingMs = entry.job.RemainingPathMs(s);
        order.remainingWork = remainingWork;
        order.acceptedUnixMs = submission.acceptedUnixMs;
        // Tasks of a step that have run and those that have not are placed
        // separately. A gang is placed as a whole.
        const std::uint32_t pending = occurrence.steps[s].pending;
        std::uint32_t interrupted =
          step.longRunning ? occurrence.steps[s].CountInterrupted() : 0;
        interrupted = step.gang && interrupted > 0 ? pending : interrupted;
        if (interrupted > 0) {
          order.interrupted = true;
          result.push_back(Candidate{ id, k, s, order, interrupted });
        }
        if (interrupted < pending) {
          order.interrupted = false;
          result.push_back(Candidate{ id, k, s, order, pending - interrupted });
        }
      }
    }
  }
  return result;
}

void
CellScheduler::PlanStep(const Candidate& aCandidate,
                        PlannedCommands& aOrders,
                        bool aFirstOnly)
{
  Entry& entry = this->jobs.at(aCandidate.job);
  const WorkflowStep& step = entry.job.Submission().steps[aCandidate.step];
  if (step.gang) {
    this->PlanGang(aCandidate, aOrders);
    return;
  }
  const std::string key = FormatStepKey(
    { aCandidate.job, aCandidate.occurrence, aCandidate.step, 0 });
  const std::vector<WorkflowTask>& tasks =
    entry.job.Occurrences()[aCandidate.occurrence].steps[aCandidate.step].tasks;
  TaskToPlace placed{ entry.job.Submission(), step, key, "" };
  placed.limits = this->LimitsFor(aCandidate);
  const TimePoint now = this->clock.Now();
  // A task that has waited longer may be placed where this one may not.
  std::optional<Duration> longestMissed;
  bool noWorker = false;
  for (std::uint32_t i = 0; i < tasks.size(); ++i) {
    if (tasks[i].status != TaskStatus::Pending ||
        (step.longRunning && tasks[i].hasRun != aCandidate.order.interrupted)) {
      continue;
    }
    const TaskName name{
      aCandidate.job, aCandidate.occurrence, aCandidate.step, i
    };
    if (this->MayStillRun(entry.job, name, tasks[i])) {
      if (step.longRunning) {
        this->awaitedTasks.push_back(name);
      }
      continue;
    }
    if (aOrders.starts.size() + aOrders.heldStarts >= kMaxStartsPerPass) {
      return;
    }
    if (IsWithheld(tasks[i])) {
      continue;
    }
    placed.waited = now - tasks[i].pendingSince;
    placed.minPercent = this->MinPercentFor(aCandidate);
    placed.interrupted = aCandidate.order.interrupted;
    placed.firstStart = !tasks[i].hasRun;
    placed.suspect = this->IsSuspect(name, tasks[i]);
    if (!this->LeavesHeadroom(placed)) {
      ++this->delayedSteps;
      return;
    }
    const StartRestriction restriction =
      this->openStarts.RestrictionOf(FormatTaskName(name));
    const bool restricted =
      restriction.kind != StartRestriction::Kind::AnyWorker;
    const bool missed =
      !restricted && longestMissed && placed.waited <= *longestMissed;
    ScheduledWorker* const worker =
      missed ? nullptr : this->ChooseWorkerWithin(restriction, placed);
    if (worker == nullptr && restricted) {
      continue;
    }
    if (worker == nullptr && this->AwaitsIsolation(placed)) {
      continue;
    }
    if (worker == nullptr) {
      this->NoteUnplaced(placed);
      longestMissed =
        std::max(longestMissed.value_or(placed.waited), placed.waited);
      if (!step.longRunning) {
        return;
      }
      if (!noWorker) {
        const ReservationOutcome outcome =
          this->ReserveCapacity(FormatTaskName(name), placed);
        noWorker = outcome == ReservationOutcome::NoWorker;
        this->notSearched += outcome == ReservationOutcome::NotTried ? 1 : 0;
      }
      if (noWorker) {
        this->NoteUnplaceable(name, placed);
      }
      continue;
    }
    if (worker->Find(FormatTaskName(name)) != nullptr) {
      // The end of an earlier run on this worker is not known yet.
      continue;
    }
    if (!this->openStarts.BeginFurtherStart(FormatTaskName(name))) {
      aOrders.awaitsRoster = true;
      continue;
    }
    placed.rack = worker->description.rack;
    this->CountStart(aCandidate);
    this->PlanStart(entry, name, tasks[i].run + 1, *worker, key, aOrders);
    if (step.longRunning) {
      this->headroom.RecordPlacement(step.cpuMilli);
    }
    if (placed.minPercent < kFullPercent) {
      this->SlowToShare(*worker);
    }
    if (aFirstOnly) {
      return;
    }
  }
}

bool
CellScheduler::PlanGang(const Candidate& aCandidate, PlannedCommands& aOrders)
{
  Entry& entry = this->jobs.at(aCandidate.job);
  const WorkflowStep& step = entry.job.Submission().steps[aCandidate.step];
  const WorkflowStepTasks& members =
    entry.job.Occurrences()[aCandidate.occurrence].steps[aCandidate.step];
  if (members.pending != members.tasks.size()) {
    return false;
  }
  const std::string key = FormatStepKey(
    { aCandidate.job, aCandidate.occurrence, aCandidate.step, 0 });
  std::uint64_t run = 0;
  TimePoint pendingSince;
  bool anySuspect = false;
  std::string checkpoint;
  for (std::uint32_t i = 0; i < members.tasks.size(); ++i) {
    const WorkflowTask& task = members.tasks[i];
    const TaskName name{
      aCandidate.job, aCandidate.occurrence, aCandidate.step, i
    };
    if (this->MayStillRun(entry.job, name, task) || IsWithheld(task)) {
      return false;
    }
    anySuspect = anySuspect || this->IsSuspect(name, task);
    run = std::max(run, task.run);
    pendingSince = std::max(pendingSince, task.pendingSince);
    if (!task.checkpoint.empty()) {
      checkpoint = task.checkpoint;
    }
  }
  // Capacity is committed for all members before the first command is sent,
  // since a gang that lacks a member only wastes the time of the others.
  std::vector<ScheduledWorker*> chosen;
  TaskToPlace placed{ entry.job.Submission(), step, key, "" };
  placed.limits = this->LimitsFor(aCandidate);
  placed.minPercent = this->MinPercentFor(aCandidate);
  placed.suspect = anySuspect;
  placed.waited = this->clock.Now() - pendingSince;
  for (std::uint32_t i = 0; i < step.count; ++i) {
    const StartRestriction restriction =
      this->openStarts.RestrictionOf(FormatTaskName(
        { aCandidate.job, aCandidate.occurrence, aCandidate.step, i }));
    ScheduledWorker* const worker =
      this->ChooseWorkerWithin(restriction, placed);
    const bool restricted =
      restriction.kind != StartRestriction::Kind::AnyWorker;
    // Later searches see the capacity of the members before, so that what they
    // miss says nothing about other steps.
    if (worker == nullptr && chosen.empty() && !restricted &&
        !this->AwaitsIsolation(placed)) {
      this->NoteUnplaced(placed);
    }
    const bool earlierRun =
      worker != nullptr &&
      worker->Find(FormatTaskName(
        { aCandidate.job, aCandidate.occurrence, aCandidate.step, i })) !=
        nullptr;
    if (worker == nullptr || earlierRun) {
      break;
    }
    placed.rack = worker->description.rack;
    Commitment reserved;
    reserved.step = step;
    reserved.stepKey = key;
    worker->Commit(
      FormatTaskName(
        { aCandidate.job, aCandidate.occurrence, aCandidate.step, i }),
      reserved);
    chosen.push_back(worker);
  }
  for (std::uint32_t i = 0; i < chosen.size(); ++i) {
    chosen[i]->Release(FormatTaskName(
      { aCandidate.job, aCandidate.occurrence, aCandidate.step, i }));
  }
  if (chosen.size() != step.count) {
    return false;
  }
  bool mayStart = true;
  for (std::uint32_t i = 0; i < step.count; ++i) {
    const std::string task = FormatTaskName(
      { aCandidate.job, aCandidate.occurrence, aCandidate.step, i });
    mayStart = this->openStarts.BeginFurtherStart(task) && mayStart;
  }
  if (!mayStart) {
    aOrders.awaitsRoster = true;
    return false;
  }
  for (std::uint32_t i = 0; i < step.count; ++i) {
    const TaskName name{
      aCandidate.job, aCandidate.occurrence, aCandidate.step, i
    };
    entry.job.Find(name)->checkpoint = checkpoint;
    this->CountStart(aCandidate);
    this->PlanStart(entry, name, run + 1, *chosen[i], key, aOrders);
    if (placed.minPercent < kFullPercent) {
      this->SlowToShare(*chosen[i]);
    }
  }
  return true;
}

void
CellScheduler::PlanStops(PlannedCommands& aOrders)
{
  const TimePoint now = this->clock.Now();
  for (auto& [id, worker] : this->workers) {
    for (const auto& [task, unused] : worker.Commitments()) {
      Commitment& commitment = *worker.Find(task);
      if (commitment.phase != CommitmentPhase::Stopping ||
          now - commitment.stopSentAt < kStopRepeat) {
        continue;
      }
      commitment.stopSentAt = now;
      aOrders.stops.push_back(PlannedStop{
        id, worker.description.endpoint, task, commitment.run, "" });
    }
  }
}

void
CellScheduler::PlanThrottles(PlannedCommands& aOrders)
{
  const TimePoint now = this->clock.Now();
  for (auto& [id, worker] : this->workers) {
    if (worker.unresponsive) {
      continue;
    }
    for (const auto& [task, unused] : worker.Commitments()) {
      Commitment& commitment = *worker.Find(task);
      const int percent = worker.FillerPercent(commitment.step.image);
      if (!commitment.step.filler ||
          commitment.phase != CommitmentPhase::Running ||
          !commitment.speed.NeedsOrder(percent, now)) {
        continue;
      }
      aOrders.throttles.push_back(
        PlannedThrottle{ id,
                         worker.description.endpoint,
                         task,
                         commitment.run,
                         percent,
                         commitment.speed.BeginOrder(percent, now) });
    }
  }
}

} // namespace sequoiakeel
