#pragma once

#include "ScheduledWorker.h"

#include <optional>
#include <string>
#include <vector>

namespace sequoiakeel {

/**
 * Returns the time after which a task of a step is expected to fit on a worker,
 * estimated from the progress of the worker's short runs; nothing if it would
 * not fit even without them. Capacity reserved for other tasks counts as used.
 *
 * Reserving the worker that is expected to be free first, as in EASY
 * backfilling (Lifka, 1995), lets a large task start in a full pool without
 * stopping other tasks. Thread safe, like all functions below.
 */
std::optional<Duration>
ExpectedWait(const ScheduledWorker& aWorker,
             const WorkflowStep& aStep,
             TimePoint aNow);

/** Like ExpectedWait(), but assumes that all runs on reserved capacity have
 * ended. The result is zero only if no other run has to end. */
std::optional<Duration>
ExpectedWaitForOtherRuns(const ScheduledWorker& aWorker,
                         const WorkflowStep& aStep,
                         TimePoint aNow);

/** Returns whether a task of a step may start on a worker: it fits beside the
 * worker's runs and reservations, or it is expected to end well before the
 * reservations that it uses are needed. Long-running tasks use no reservation,
 * and neither do fillers, which can be paused and then do not end. */
bool
FitsOrBackfills(const ScheduledWorker& aWorker,
                const WorkflowStep& aStep,
                TimePoint aNow);

/**
 * The time at which the reservation of a task is expected to be usable, as far
 * as it depends on runs that do not use reservations. It only becomes earlier
 * until it has passed for a time limit while such a run is still needed to end:
 * then the estimates were wrong, and other tasks may use the reservation again.
 * So tasks that use a reservation delay it at most by the rest of their runs,
 * and short tasks do not wait for the end of the other runs. Not thread safe.
 */
class ReservationForecast
{
public:
  /** Follows the runs of the worker on which capacity is reserved for a task of
   * a step. Precondition: the worker's reservations do not include this one. */
  void Update(const ScheduledWorker& aWorker,
              const WorkflowStep& aStep,
              TimePoint aNow);

  TimePoint ExpectedAt() const { return this->expectedAt; }

private:
  TimePoint expectedAt = TimePoint::max();
  /** The expected time is not earlier than this, whatever the estimates are. */
  TimePoint reusedUntil;
};

/** Returns whether ExpectedWait() returns a time. Much cheaper, since the
 * worker caches the sum over its short runs. Not thread safe for that reason.
 */
bool
FitsWithoutShortRuns(const ScheduledWorker& aWorker, const WorkflowStep& aStep);

/** Runs to be preempted for a task, and the work that is lost with them. */
struct Preemption
{
  std::vector<std::string> tasks;
  double lostCoreSeconds = 0;
};

/** Chooses the short runs with the least work to lose that have to be preempted
 * on a worker so that a task of a step fits. Runs that are already being
 * stopped count as ended. Returns nothing if the task would not fit even
 * without all short runs. Members of gangs are not preempted, since that would
 * end the other members too. */
std::optional<Preemption>
ChoosePreemption(const ScheduledWorker& aWorker,
                 const WorkflowStep& aStep,
                 TimePoint aNow);

/** Limits the work that preemption may waste to a fraction of the capacity of
 * all workers. Budget that is not used accumulates up to the budget of a few
 * seconds. Not thread safe. */
class PreemptionBudget
{
public:
  /** Deducts aCoreSeconds of lost work from the budget; returns false and
   * deducts nothing if the remaining budget is too small. aCores: number of
   * processors of all workers together. */
  bool TrySpend(double aCoreSeconds, double aCores, TimePoint aNow);

private:
  double spent = 0;
  TimePoint updatedAt;
};

} // namespace sequoiakeel
