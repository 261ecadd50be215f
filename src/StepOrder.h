#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

namespace sequoiakeel {

/** Properties of a waiting step that its position may depend on. */
struct WaitingStep
{
  /** 0 is the most urgent. */
  std::uint32_t priority = 0;
  bool longRunning = false;
  /** A task of the step ran before and was interrupted, so that its callers are
   * without service. */
  bool interrupted = false;
  bool filler = false;
  /** No task of the job has a run. */
  bool idle = false;
  /** Time for which that has been so while the step could have run. */
  std::chrono::milliseconds idleFor{ 0 };
  /** Time by which the job should be completed, in milliseconds since 1970. */
  double objectiveUnixMs = 0;
  /** Shortest time in which the rest of the job can be completed. */
  double remainingMs = 0;
  /** Work of the job's tasks that have not begun, in core-milliseconds. */
  double remainingWork = 0;
  std::uint64_t acceptedUnixMs = 0;
};

/** Outcome of a job if its next step is started now, in order of precedence. */
enum class ExpectedOutcome : std::uint8_t
{
  InTime,
  Late,
  /** The result is of no use to callers any more. */
  Useless,
};

/** Returns the expected outcome of a step's job. Thread safe. */
ExpectedOutcome
ExpectedOutcomeOf(const WaitingStep& aStep, double aNowUnixMs);

/** Returns whether a step takes turns: its first task is started, and the
 * others only after the first tasks of all other waiting steps. It does if none
 * of its job's tasks runs and the result will be late, or nothing has run for
 * long. Thread safe. */
bool
TakesTurns(const WaitingStep& aStep, double aNowUnixMs);

/** Strategy that orders steps with tasks to start. Stateless; thread safe. */
class StepOrder
{
public:
  virtual ~StepOrder() = default;

  /** Returns whether aLeft precedes aRight. A strict weak ordering for a fixed
   * aNowUnixMs. */
  virtual bool Precedes(const WaitingStep& aLeft,
                        const WaitingStep& aRight,
                        double aNowUnixMs) const = 0;
};

/** First come, first served within a priority. The baseline of differential
 * tests. */
class ArrivalOrder : public StepOrder
{
public:
  bool Precedes(const WaitingStep& aLeft,
                const WaitingStep& aRight,
                double aNowUnixMs) const override;
};

/**
 * Least remaining work first, for overloads in which not all jobs can be
 * completed in time, on workers that are mostly occupied by long-running tasks:
 * - interrupted long-running tasks come first, whatever their priority, since
 *   each second without them is a second without service;
 * - then the first task of each job of fillers of which nothing has run for
 *   kMaxIdleTime, whatever its priority, since fillers delay only each other;
 * - within a priority, long-running tasks precede others and are ordered by
 *   arrival, since they are no less useful when they are started late;
 * - then the first task of each other job of which nothing has run for
 *   kMaxIdleTime, so that no accepted job waits without limit for later ones;
 * - then jobs that can still meet their objective, the one with the least
 *   remaining work first, so that most jobs are completed in time and those
 *   under way are finished;
 * - then the first task of each other job of which nothing runs;
 * - then jobs whose result will be late but still of use, again by remaining
 *   work, and at last those whose result will be of no use any more, by
 *   arrival.
 * First tasks are ordered by the time for which nothing has run, so that jobs
 * take turns.
 */
class LeastWorkOrder : public StepOrder
{
public:
  bool Precedes(const WaitingStep& aLeft,
                const WaitingStep& aRight,
                double aNowUnixMs) const override;
};

} // namespace sequoiakeel
