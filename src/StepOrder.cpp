#include "StepOrder.h"

namespace sequoiakeel {

namespace {

double
LatestStartUnixMs(const WaitingStep& aStep)
{
  return aStep.objectiveUnixMs - aStep.remainingMs;
}

} // namespace

bool
ArrivalOrder::Before(const WaitingStep& aLeft,
                     const WaitingStep& aRight,
                     double /*aNowUnixMs*/) const
{
  if (aLeft.priority != aRight.priority) {
    return aLeft.priority < aRight.priority;
  }
  return aLeft.acceptedUnixMs < aRight.acceptedUnixMs;
}

bool
SlackOrder::Before(const WaitingStep& aLeft,
                   const WaitingStep& aRight,
                   double aNowUnixMs) const
{
  if (aLeft.interrupted != aRight.interrupted) {
    return aLeft.interrupted;
  }
  if (aLeft.priority != aRight.priority) {
    return aLeft.priority < aRight.priority;
  }
  if (aLeft.longRunning != aRight.longRunning) {
    return aLeft.longRunning;
  }
  const double left = LatestStartUnixMs(aLeft);
  const double right = LatestStartUnixMs(aRight);
  const bool leftLate = aLeft.longRunning || left < aNowUnixMs;
  const bool rightLate = aRight.longRunning || right < aNowUnixMs;
  if (leftLate != rightLate) {
    return rightLate;
  }
  if (leftLate) {
    return aLeft.acceptedUnixMs < aRight.acceptedUnixMs;
  }
  return left < right;
}

} // namespace sequoiakeel
