#pragma once

#include "Clock.h"

#include <chrono>
#include <cstdint>

namespace sequoiakeel {

/** Processors of a cell at the begin of a planning pass, in thousandths of a
 * core. Fillers count nowhere, since they use what others leave unused. */
struct ProcessorDemand
{
  std::int64_t capacity = 0;
  /** Requested by long-running tasks that run or are being started. */
  std::int64_t longRunning = 0;
  /** Requested by the short tasks that run. */
  std::int64_t shortRunning = 0;
  /** Requested by the short tasks that wait for a worker. */
  std::int64_t shortWaiting = 0;
};

/**
 * Keeps processors free for short tasks while the capacity of a cell is short,
 * by delaying the first starts of long-running tasks.
 *
 * It answers the load in which long-running jobs arrive faster than others end,
 * until they occupy nearly all processors for good: the callers of short jobs
 * with the same priority wait ten times longer than their objective, while
 * nobody depends on a long-running task yet that has not started. A task that
 * was interrupted is never delayed. Not thread safe.
 */
class ShortTaskHeadroom
{
public:
  /** Longest delay of a first start, so that no accepted job waits without
   * limit. */
  static constexpr std::chrono::seconds kLongestDelay{ 15 };

  /** Records the demand at the begin of a planning pass. */
  void Begin(const ProcessorDemand& aDemand, TimePoint aNow);

  /** Returns whether the first start of a long-running task leaves the headroom
   * free, or has waited for kLongestDelay. */
  bool AllowsFirstStart(std::int64_t aCpuMilli, Duration aWaited) const;

  /** Records that a long-running task was placed in this pass. */
  void RecordPlacement(std::int64_t aCpuMilli);

  /** Returns the processors that are kept free for short tasks or used by them,
   * in thousandths of a core. */
  std::int64_t Target() const
  {
    return static_cast<std::int64_t>(this->target);
  }

private:
  ProcessorDemand demand;
  double target = 0;
  TimePoint updatedAt;
};

/** Returns the headroom after a demand of aDemand for aElapsed, if it was
 * aTarget before: it grows with a time constant of a burst and shrinks with one
 * of several bursts, and is at most kMostHeadroomShare of aCapacity. Thread
 * safe. */
double
NextHeadroom(double aTarget,
             std::int64_t aDemand,
             std::int64_t aCapacity,
             Duration aElapsed);

} // namespace sequoiakeel
