#include "StepOrder.h"

namespace sequoiakeel {

namespace {

/** A late result is of use to callers until this multiple of the time from the
 * job's acceptance to its objective has passed since the acceptance. */
constexpr double kUsefulTimeFactor = 3;

} // namespace

ExpectedOutcome
ExpectedOutcomeOf(const WaitingStep& aStep, double aNowUnixMs)
{
  const double end = aNowUnixMs + aStep.remainingMs;
  if (end <= aStep.objectiveUnixMs) {
    return ExpectedOutcome::InTime;
  }
  const auto accepted = static_cast<double>(aStep.acceptedUnixMs);
  const double useful =
    accepted + kUsefulTimeFactor * (aStep.objectiveUnixMs - accepted);
  return end <= useful ? ExpectedOutcome::Late : ExpectedOutcome::Useless;
}

bool
ArrivalOrder::Precedes(const WaitingStep& aLeft,
                       const WaitingStep& aRight,
                       double /*aNowUnixMs*/) const
{
  if (aLeft.priority != aRight.priority) {
    return aLeft.priority < aRight.priority;
  }
  return aLeft.acceptedUnixMs < aRight.acceptedUnixMs;
}

bool
LeastWorkOrder::Precedes(const WaitingStep& aLeft,
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
  if (aLeft.longRunning) {
    return aLeft.acceptedUnixMs < aRight.acceptedUnixMs;
  }
  const ExpectedOutcome left = ExpectedOutcomeOf(aLeft, aNowUnixMs);
  const ExpectedOutcome right = ExpectedOutcomeOf(aRight, aNowUnixMs);
  if (left != right) {
    return left < right;
  }
  if (left == ExpectedOutcome::Useless) {
    if (aLeft.idle != aRight.idle) {
      return aLeft.idle;
    }
    return aLeft.acceptedUnixMs < aRight.acceptedUnixMs;
  }
  return aLeft.remainingWork < aRight.remainingWork;
}

} // namespace sequoiakeel
