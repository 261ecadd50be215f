#pragma once

#include "FillerInterference.h"
#include "ScheduledWorker.h"

#include <limits>
#include <optional>

namespace sequoiakeel {

/**
 * Strategy that rates workers for one task. Only workers that may run the task
 * by every hard rule are offered to it. Stateless; thread safe.
 */
class WorkerChoice
{
public:
  virtual ~WorkerChoice() = default;

  /** Bound that every rate is above. */
  static constexpr double kAnyRate = -std::numeric_limits<double>::infinity();

  /** Returns how well a worker suits a task, higher is better; empty: the task
   * should rather wait, or the worker suits it no better than aAtLeast. */
  virtual std::optional<double> Rate(const ScheduledWorker& aWorker,
                                     const WorkflowStep& aStep,
                                     const FillerInterference& aInterference,
                                     TimePoint aNow,
                                     double aAtLeast) const = 0;
};

/** Takes any worker with room. The baseline for differential tests. */
class FirstFitChoice : public WorkerChoice
{
public:
  std::optional<double> Rate(const ScheduledWorker& aWorker,
                             const WorkflowStep& aStep,
                             const FillerInterference& aInterference,
                             TimePoint aNow,
                             double aAtLeast) const override;
};

/**
 * Answers a pool that is mostly full of long-running tasks, beside which short
 * jobs and fillers come and go:
 * - tasks that serve requests are packed with others of their image, so that
 *   each filler finds workers on which it disturbs nobody, and some workers
 * stay free of serving tasks;
 * - other tasks take the worker with the least room that is enough, so that
 *   large tasks still find a place;
 * - fillers go where most processor time is unused and where they press serving
 *   tasks least.
 */
class ColocationChoice : public WorkerChoice
{
public:
  std::optional<double> Rate(const ScheduledWorker& aWorker,
                             const WorkflowStep& aStep,
                             const FillerInterference& aInterference,
                             TimePoint aNow,
                             double aAtLeast) const override;
};

/** Returns the processor time that a worker's other tasks leave to all its
 * fillers together, in thousandths of a core; less than 0 if there is none.
 * aLoadRise: by how much the load of serving tasks may grow meanwhile. */
double
SpareForFillers(const ScheduledWorker& aWorker,
                const FillerInterference& aInterference,
                double aLoadRise);

/** Tells whether a worker takes starts at all now, whatever its room. */
bool
TakesStarts(const ScheduledWorker& aWorker, TimePoint aNow);

/** Tells whether a worker may run a task of a step by every rule that depends
 * neither on preferences nor on room: service, labels, limits by step.
 * aMoreOfStep: tasks of the step that are about to come beside those that run
 * there. */
bool
Suits(const ScheduledWorker& aWorker,
      const std::string& aService,
      const WorkflowStep& aStep,
      const std::string& aStepKey,
      std::uint32_t aMoreOfStep = 0);

} // namespace sequoiakeel
