#include "CapacityForecast.h"

#include <algorithm>
#include <span>

namespace sequoiakeel {

namespace {

/** Expected time from now to the end of a run that is being stopped. A stop
 * takes effect within this time in all but one of the users' deployments; in
 * that one it takes 0.9 s. */
constexpr std::chrono::milliseconds kStopTime{ 400 };

/** From this progress on, the remaining time of a run is computed from the
 * run's measured speed. Below it, the estimate in the step is used, which can
 * be off by a factor of two. */
constexpr int kMinProgressPercent = 10;

/** Work time that a run with a checkpoint loses when it is restarted. */
constexpr std::chrono::milliseconds kRestoreTime{ 600 };

/** Fraction of the processor time of all workers that preemption may waste. */
constexpr double kBudgetShare = 0.005;

/** Time over which unused budget accumulates. */
constexpr std::chrono::seconds kBudgetWindow{ 10 };

/** Smallest value of the maximum to which unused preemption budget accumulates,
 * in core-seconds of lost work. In a pool of a few workers, this budget allows
 * two large tasks to preempt short runs that are a few seconds old. */
constexpr double kMinBudgetCoreSeconds = 100;

/** A task may use a reservation if the time until the reservation is expected
 * to be usable is at least this multiple of the task's estimate. The estimates
 * of the task and of the runs that the reservation waits for can both be off by
 * a factor of two. */
constexpr int kEstimateFactor = 4;

/** Time that is added for the start of a task, the report of its end, and the
 * error of the time at which a reservation is expected to be usable. Where all
 * tasks are short, reservations are usable sooner and are not used by others.
 */
constexpr std::chrono::seconds kBackfillMargin{ 4 };

/** A reservation that is not usable for this long after the expected time may
 * be used by other tasks again, for kReuseTime. With the time before in which
 * no task of up to a second may use it, this is less than the 14 s within which
 * short jobs have to start. */
constexpr std::chrono::seconds kMaxOverdue{ 5 };

/** Enough for tasks of up to 3 s by their estimate. */
constexpr std::chrono::seconds kReuseTime{ 16 };

/** Resources that a task needs on a worker beyond the free capacity. */
class Shortfall
{
public:
  Shortfall(const ScheduledWorker& aWorker, const WorkflowStep& aStep)
  {
    const WorkerCapacity& room = aWorker.description.capacity;
    const CommittedCapacity& used = aWorker.Committed();
    const ReservedCapacity& reserved = aWorker.Reserved();
    this->cpuMilli =
      used.cpuMilli + reserved.cpuMilli + aStep.cpuMilli - room.cpuMilli;
    this->memoryMb =
      used.memoryMb + reserved.memoryMb + aStep.memoryMb - room.memoryMb;
    this->accelerators = used.accelerators + reserved.accelerators +
                         aStep.accelerators - room.accelerators;
  }

  /** Subtracts the resources of a run that is expected to end (aSign -1), or
   * adds those of a run that is to keep running after all (+1). */
  void Add(const WorkflowStep& aRun, int aSign)
  {
    this->cpuMilli +=
      aSign * (aRun.filler ? 0 : static_cast<std::int64_t>(aRun.cpuMilli));
    this->memoryMb += aSign * static_cast<std::int64_t>(aRun.memoryMb);
    this->accelerators += aSign * static_cast<std::int64_t>(aRun.accelerators);
  }

  void Subtract(const WorkerCapacity& aUse)
  {
    this->cpuMilli -= aUse.cpuMilli;
    this->memoryMb -= aUse.memoryMb;
    this->accelerators -= aUse.accelerators;
  }

  bool None() const
  {
    return this->cpuMilli <= 0 && this->memoryMb <= 0 &&
           this->accelerators <= 0;
  }

private:
  std::int64_t cpuMilli = 0;
  std::int64_t memoryMb = 0;
  std::int64_t accelerators = 0;
};

double
Milliseconds(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

double
RemainingMs(const Commitment& aRun, TimePoint aNow)
{
  if (aRun.phase == CommitmentPhase::Stopping) {
    return Milliseconds(kStopTime);
  }
  const double left = 100.0 - aRun.progressPercent;
  const double byEstimate = aRun.step.estimateMs * left / 100;
  const double remaining =
    aRun.progressPercent >= kMinProgressPercent
      ? Milliseconds(aNow - aRun.startedAt) * left / aRun.progressPercent
      : byEstimate;
  return remaining * 100 / std::max(1, aRun.speed.Percent());
}

double
LostCoreSeconds(const Commitment& aRun, TimePoint aNow)
{
  const double elapsedMs = Milliseconds(aNow - aRun.startedAt);
  const double lostMs = aRun.step.checkpointing
                          ? std::min(elapsedMs, Milliseconds(kRestoreTime))
                          : elapsedMs;
  return lostMs / 1000 * aRun.step.cpuMilli / 1000;
}

/** A short run with its sort key. */
struct ShortRun
{
  const std::string* task = nullptr;
  const Commitment* commitment = nullptr;
  double sortKey = 0;
};

/** Returns the short runs of a worker sorted by ascending key. */
template<typename SortKey>
std::vector<ShortRun>
ShortRuns(const ScheduledWorker& aWorker, SortKey aSortKey)
{
  std::vector<ShortRun> runs;
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    if (!commitment.IsShort()) {
      continue;
    }
    runs.push_back(ShortRun{ &task, &commitment, aSortKey(commitment) });
  }
  std::stable_sort(runs.begin(),
                   runs.end(),
                   [](const ShortRun& aLeft, const ShortRun& aRight) {
                     return aLeft.sortKey < aRight.sortKey;
                   });
  return runs;
}

/** Returns the time after which a task of a step fits on a worker if each short
 * run has the remaining time that aRemainingMs returns; nothing if it would not
 * fit without them. */
template<typename RemainingTime>
std::optional<Duration>
WaitForShortRuns(const ScheduledWorker& aWorker,
                 const WorkflowStep& aStep,
                 RemainingTime aRemainingMs)
{
  Shortfall shortfall(aWorker, aStep);
  if (shortfall.None()) {
    return Duration::zero();
  }
  for (const ShortRun& run : ShortRuns(aWorker, aRemainingMs)) {
    shortfall.Add(run.commitment->step, -1);
    if (shortfall.None()) {
      return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(run.sortKey));
    }
  }
  return std::nullopt;
}

} // namespace

std::optional<Duration>
ExpectedWait(const ScheduledWorker& aWorker,
             const WorkflowStep& aStep,
             TimePoint aNow)
{
  return WaitForShortRuns(aWorker, aStep, [aNow](const Commitment& aRun) {
    return RemainingMs(aRun, aNow);
  });
}

std::optional<Duration>
ExpectedWaitForOtherRuns(const ScheduledWorker& aWorker,
                         const WorkflowStep& aStep,
                         TimePoint aNow)
{
  return WaitForShortRuns(aWorker, aStep, [aNow](const Commitment& aRun) {
    return aRun.backfill ? 0 : std::max(1.0, RemainingMs(aRun, aNow));
  });
}

bool
FitsOrBackfills(const ScheduledWorker& aWorker,
                const WorkflowStep& aStep,
                TimePoint aNow)
{
  if (aWorker.Fits(aStep)) {
    return true;
  }
  if (aStep.longRunning || aStep.filler || aStep.estimateMs == 0) {
    return false;
  }
  const auto estimate = std::chrono::milliseconds(aStep.estimateMs);
  return aWorker.FitsUntil(aStep,
                           aNow + kEstimateFactor * estimate + kBackfillMargin);
}

void
ReservationForecast::Update(const ScheduledWorker& aWorker,
                            const WorkflowStep& aStep,
                            TimePoint aNow)
{
  const Duration wait =
    ExpectedWaitForOtherRuns(aWorker, aStep, aNow).value_or(Duration::zero());
  if (wait == Duration::zero()) {
    this->expectedAt = std::min(this->expectedAt, aNow);
    return;
  }
  if (this->expectedAt != TimePoint::max() &&
      aNow > this->expectedAt + kMaxOverdue) {
    this->reusedUntil = aNow + kReuseTime;
    this->expectedAt = TimePoint::max();
  }
  this->expectedAt =
    std::min(this->expectedAt, std::max(this->reusedUntil, aNow + wait));
}

bool
FitsWithoutShortRuns(const ScheduledWorker& aWorker, const WorkflowStep& aStep)
{
  Shortfall shortfall(aWorker, aStep);
  shortfall.Subtract(aWorker.UsedByShortRuns());
  return shortfall.None();
}

std::optional<Preemption>
ChoosePreemption(const ScheduledWorker& aWorker,
                 const WorkflowStep& aStep,
                 TimePoint aNow)
{
  Shortfall shortfall(aWorker, aStep);
  const std::vector<ShortRun> runs =
    ShortRuns(aWorker, [aNow](const Commitment& aRun) {
      const bool ending = aRun.phase == CommitmentPhase::Stopping;
      return ending ? 0 : LostCoreSeconds(aRun, aNow);
    });
  std::vector<const ShortRun*> chosen;
  for (const ShortRun& run : runs) {
    if (shortfall.None()) {
      break;
    }
    if (run.commitment->phase == CommitmentPhase::Stopping) {
      shortfall.Add(run.commitment->step, -1);
      continue;
    }
    if (run.commitment->step.gang ||
        run.commitment->phase != CommitmentPhase::Running) {
      continue;
    }
    shortfall.Add(run.commitment->step, -1);
    chosen.push_back(&run);
  }
  if (!shortfall.None()) {
    return std::nullopt;
  }
  Preemption result;
  // Excludes chosen runs whose preemption is not needed to free enough capacity
  // for the step. The runs that would lose the most work are considered first.
  for (auto run = chosen.rbegin(); run != chosen.rend(); ++run) {
    Shortfall without = shortfall;
    without.Add((*run)->commitment->step, 1);
    if (without.None()) {
      shortfall = without;
      continue;
    }
    result.tasks.push_back(*(*run)->task);
    result.lostCoreSeconds += (*run)->sortKey;
  }
  return result;
}

bool
PreemptionBudget::TrySpend(double aCoreSeconds, double aCores, TimePoint aNow)
{
  const double perSecond = kBudgetShare * aCores;
  const double elapsed =
    std::chrono::duration<double>(aNow - this->updatedAt).count();
  this->spent = std::max(0.0, this->spent - elapsed * perSecond);
  this->updatedAt = aNow;
  const double most =
    std::max(kMinBudgetCoreSeconds,
             perSecond * static_cast<double>(kBudgetWindow.count()));
  if (this->spent + aCoreSeconds > most) {
    return false;
  }
  this->spent += aCoreSeconds;
  return true;
}

} // namespace sequoiakeel
