#pragma once

#include <cstdint>
#include <memory>

namespace sequoiakeel {

/** What the order of waiting steps may depend on. */
struct WaitingStep
{
  /** 0 is the most urgent. */
  std::uint32_t priority = 0;
  bool longRunning = false;
  /** It was at work before: its callers miss it now. */
  bool interrupted = false;
  bool filler = false;
  /** By when the job should be completed, in milliseconds since 1970. */
  double objectiveUnixMs = 0;
  /** Time that the job needs at least from here. */
  double remainingMs = 0;
  /** Work of the job's tasks that have not begun, in core-milliseconds. */
  double remainingWork = 0;
  std::uint64_t acceptedUnixMs = 0;
};

/** Strategy that orders steps with tasks to start. Stateless; thread safe. */
class StepOrder
{
public:
  virtual ~StepOrder() = default;

  /** Tells whether aLeft goes before aRight. A strict weak order. */
  virtual bool Before(const WaitingStep& aLeft,
                      const WaitingStep& aRight,
                      double aNowUnixMs) const = 0;
};

/** First come, first served within a priority. The baseline for differential
 * tests. */
class ArrivalOrder : public StepOrder
{
public:
  bool Before(const WaitingStep& aLeft,
              const WaitingStep& aRight,
              double aNowUnixMs) const override;
};

/**
 * Answers an overload in which not all jobs can be in time, on workers that are
 * mostly full of long-running tasks:
 * - long-running tasks that were interrupted go first, whatever their priority,
 *   since each second without them is a second without service;
 * - within a priority, long-running tasks go before others, in order of
 *   arrival: being late makes them no less useful;
 * - then jobs that can still meet their objective, then those that are late and
 *   still of use; of each the one with the least work that is left, so that
 *   most jobs are completed in time and what was begun is finished;
 * - jobs that nobody waits for any more come last, in order of arrival.
 */
class LeastWorkOrder : public StepOrder
{
public:
  bool Before(const WaitingStep& aLeft,
              const WaitingStep& aRight,
              double aNowUnixMs) const override;
};

} // namespace sequoiakeel
