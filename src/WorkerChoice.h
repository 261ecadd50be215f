#pragma once

#include "FillerInterference.h"
#include "ScheduledWorker.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>

namespace sequoiakeel {

/** The limits that apply to the start of a filler. They widen once its job is
 * overdue, so that no accepted job waits without limit while workers have free
 * capacity. */
enum class FillerLimits : std::uint8_t
{
  /** The job's result can still be of use. */
  Usual,
  /** The job is overdue: its tasks may also start beside serving tasks that
   * they slow down, if the projected latency of these keeps the target. */
  Overdue,
  /** None of the overdue job's tasks runs: one may also start where less of the
   * processor time that it demands is unused. */
  OverdueIdle,
};

/** Speed in percent of a filler that is not slowed. */
inline constexpr int kFullPercent = 100;

/** The properties of a task on which the choice of its worker depends. */
struct WorkerRequest
{
  const WorkflowStep& step;
  FillerLimits limits = FillerLimits::Usual;
  /** A filler may also start where all fillers of the worker would then run at
   * a lower speed, down to this one in percent. The caller slows them. */
  int minPercent = kFullPercent;
};

/** Lowest speed in percent down to which the fillers of a worker share its
 * processors. */
inline constexpr int kMinSharedPercent = 40;

/**
 * Strategy that scores workers for one task. It is only called for workers that
 * satisfy every hard constraint of the task. Stateless; thread safe.
 */
class WorkerChoice
{
public:
  virtual ~WorkerChoice() = default;

  /** Lower bound that excludes no score. */
  static constexpr double kAnyScore = -std::numeric_limits<double>::infinity();

  /** Returns the score of a worker for a task; higher is better. Empty if the
   * task should wait rather than start there, or if the score does not exceed
   * aAtLeast. */
  virtual std::optional<double> Score(const ScheduledWorker& aWorker,
                                      const WorkerRequest& aRequest,
                                      const FillerInterference& aInterference,
                                      TimePoint aNow,
                                      double aAtLeast) const = 0;
};

/** Scores all workers alike, so that any worker with free capacity will do. The
 * baseline of differential tests. */
class FirstFitChoice : public WorkerChoice
{
public:
  std::optional<double> Score(const ScheduledWorker& aWorker,
                              const WorkerRequest& aRequest,
                              const FillerInterference& aInterference,
                              TimePoint aNow,
                              double aAtLeast) const override;
};

/**
 * Colocates latency-critical and best-effort tasks in a pool that is mostly
 * occupied by long-running tasks:
 * - serving tasks (long-running tasks with a latency target) are packed with
 *   others of the same image, so that for each filler (best-effort task) there
 *   are workers on which it causes no interference, and some workers stay free
 *   of serving tasks;
 * - other tasks are placed by best fit, so that capacity for large tasks
 *   remains;
 * - fillers are placed where the most processor time is unused and where their
 *   effect on serving tasks is smallest, within FillerLimits.
 */
class ColocationChoice : public WorkerChoice
{
public:
  std::optional<double> Score(const ScheduledWorker& aWorker,
                              const WorkerRequest& aRequest,
                              const FillerInterference& aInterference,
                              TimePoint aNow,
                              double aAtLeast) const override;
};

/** Why a filler is not started on a worker on which it fits. */
enum class FillerObstacle : std::uint8_t
{
  None,
  /** The other tasks leave too little processor time unused. */
  ProcessorsInUse,
  /** Fillers of its image are slowed there. */
  Slowed,
  /** A serving task exceeds its latency target. */
  TargetMissed,
  /** The latency of a serving task has not been measured yet. */
  LatencyUnknown,
  /** The image is known to harm a serving task. */
  HarmfulImage,
  /** A serving task would come too close to its latency target. */
  TargetNear,
};

/** Returns the name of an obstacle for log lines. Thread safe. */
std::string_view
ToString(FillerObstacle aObstacle);

/** Returns why ColocationChoice does not start a filler on a worker that
 * satisfies every hard constraint of its step. Not thread safe: caches the
 * unused processor time in the worker. */
FillerObstacle
ObstacleFor(const ScheduledWorker& aWorker,
            const WorkerRequest& aRequest,
            const FillerInterference& aInterference,
            TimePoint aNow);

/** Returns the processor time that a worker's other tasks leave to all its
 * fillers together, in thousandths of a core; negative if the other tasks
 * already exceed the utilization limit. */
double
CpuAvailableToFillers(const ScheduledWorker& aWorker,
                      const FillerInterference& aInterference);

/** Returns whether a worker currently accepts new tasks, regardless of its free
 * capacity. */
bool
AcceptsNewTasks(const ScheduledWorker& aWorker, TimePoint aNow);

/** Returns whether a worker satisfies the constraints of a step that depend
 * neither on preferences nor on capacity: service, required label and tasks of
 * the step per worker. aMoreOfStep: tasks of the step that are planned on the
 * worker in addition to those committed to it. */
bool
SatisfiesConstraints(const ScheduledWorker& aWorker,
                     const std::string& aService,
                     const WorkflowStep& aStep,
                     const std::string& aStepKey,
                     std::uint32_t aMoreOfStep = 0);

} // namespace sequoiakeel
