#include "ShortTaskHeadroom.h"

#include <algorithm>
#include <cmath>

namespace sequoiakeel {

namespace {

/** Time constants with which the headroom follows the demand. Bursts of short
 * jobs last for a few seconds and come back after ten or more. */
constexpr double kGrowSeconds = 1;
constexpr double kShrinkSeconds = 10;

/** Largest share of a cell's processors that is kept for short tasks. */
constexpr double kMostHeadroomShare = 0.25;

} // namespace

double
NextHeadroom(double aTarget,
             std::int64_t aDemand,
             std::int64_t aCapacity,
             Duration aElapsed)
{
  const double wanted =
    std::min(static_cast<double>(aDemand),
             kMostHeadroomShare * static_cast<double>(aCapacity));
  const double constant = wanted > aTarget ? kGrowSeconds : kShrinkSeconds;
  const double elapsed = std::chrono::duration<double>(aElapsed).count();
  return wanted + (aTarget - wanted) * std::exp(-elapsed / constant);
}

void
ShortTaskHeadroom::Begin(const ProcessorDemand& aDemand, TimePoint aNow)
{
  const Duration elapsed = aNow - this->updatedAt;
  this->target = NextHeadroom(this->target,
                              aDemand.shortRunning + aDemand.shortWaiting,
                              aDemand.capacity,
                              elapsed);
  this->updatedAt = aNow;
  this->demand = aDemand;
}

bool
ShortTaskHeadroom::AllowsFirstStart(std::int64_t aCpuMilli,
                                    Duration aWaited) const
{
  return aWaited >= kLongestDelay ||
         this->demand.longRunning + aCpuMilli + this->Target() <=
           this->demand.capacity;
}

void
ShortTaskHeadroom::RecordPlacement(std::int64_t aCpuMilli)
{
  this->demand.longRunning += aCpuMilli;
}

} // namespace sequoiakeel
