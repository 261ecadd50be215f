#pragma once

#include "ScheduledWorker.h"

#include <optional>
#include <string>
#include <vector>

namespace sequoiakeel {

/**
 * Returns in what time a task of a step is expected to fit on a worker, from
 * the progress of the short runs there; empty if it would not fit even without
 * them. Room that is held for others counts as taken.
 *
 * Answers a full pool: holding the worker that is free first, as in EASY
 * backfilling (Lifka, 1995), lets a large task start without stopping any.
 * Thread safe, as is everything below.
 */
std::optional<Duration>
ExpectedWait(const ScheduledWorker& aWorker,
             const WorkflowStep& aStep,
             TimePoint aNow);

/** Runs that give way to a task, and the work that is lost with them. */
struct Preemption
{
  std::vector<std::string> tasks;
  double lostCoreSeconds = 0;
};

/**
 * Chooses the short runs on a worker that give way so that a task of a step
 * fits: those with the least work to lose. Runs that are being stopped already
 * count as gone. Empty if the step would not fit even without all of them.
 * Members of gangs are spared, since the others would end with them.
 */
std::optional<Preemption>
ChoosePreemption(const ScheduledWorker& aWorker,
                 const WorkflowStep& aStep,
                 TimePoint aNow);

/**
 * Bounds the work that preemption may throw away: a share of what the workers
 * do, with some seconds of it saved up. Not thread safe.
 */
class PreemptionBudget
{
public:
  /** Takes aCoreSeconds from the budget; returns false, and takes nothing, if
   * it is used up. aCores: processors of all workers together. */
  bool Take(double aCoreSeconds, double aCores, TimePoint aNow);

private:
  double spent = 0;
  TimePoint updatedAt;
};

} // namespace sequoiakeel
