#include "StepOrder.h"

namespace sequoiakeel {

namespace {

/** A late result is of use to callers until this multiple of the time from the
 * job's acceptance to its objective has passed since the acceptance. */
constexpr double kUsefulTimeFactor = 3;

/** Time without a run after which a job precedes those that can still meet
 * their objective. */
constexpr std::chrono::seconds kMaxIdleTime{ 30 };

/** Classes of short steps in order of precedence. */
enum class ShortStepClass : std::uint8_t
{
  IdleForLong,
  InTime,
  IdleNotInTime,
  Late,
  Useless,
};

ShortStepClass
ClassOf(const WaitingStep& aStep, double aNowUnixMs)
{
  if (aStep.idle && aStep.idleFor >= kMaxIdleTime) {
    return ShortStepClass::IdleForLong;
  }
  const ExpectedOutcome outcome = ExpectedOutcomeOf(aStep, aNowUnixMs);
  if (outcome == ExpectedOutcome::InTime) {
    return ShortStepClass::InTime;
  }
  if (aStep.idle) {
    return ShortStepClass::IdleNotInTime;
  }
  return outcome == ExpectedOutcome::Late ? ShortStepClass::Late
                                          : ShortStepClass::Useless;
}

/** Returns whether a step precedes those of higher priorities. Fillers use only
 * processors that other tasks leave unused, so that one that has waited for
 * long delays at most other fillers. */
bool
PrecedesPriorities(const WaitingStep& aStep, double aNowUnixMs)
{
  return aStep.filler && !aStep.longRunning &&
         ClassOf(aStep, aNowUnixMs) == ShortStepClass::IdleForLong;
}

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
TakesTurns(const WaitingStep& aStep, double aNowUnixMs)
{
  const ShortStepClass stepClass = ClassOf(aStep, aNowUnixMs);
  return !aStep.longRunning && (stepClass == ShortStepClass::IdleForLong ||
                                stepClass == ShortStepClass::IdleNotInTime);
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
  const bool leftFirst = PrecedesPriorities(aLeft, aNowUnixMs);
  if (leftFirst != PrecedesPriorities(aRight, aNowUnixMs)) {
    return leftFirst;
  }
  if (!leftFirst && aLeft.priority != aRight.priority) {
    return aLeft.priority < aRight.priority;
  }
  if (aLeft.longRunning != aRight.longRunning) {
    return aLeft.longRunning;
  }
  if (aLeft.longRunning) {
    return aLeft.acceptedUnixMs < aRight.acceptedUnixMs;
  }
  const ShortStepClass left = ClassOf(aLeft, aNowUnixMs);
  const ShortStepClass right = ClassOf(aRight, aNowUnixMs);
  if (left != right) {
    return left < right;
  }
  switch (left) {
    case ShortStepClass::IdleForLong:
    case ShortStepClass::IdleNotInTime:
      return aLeft.idleFor > aRight.idleFor;
    case ShortStepClass::InTime:
    case ShortStepClass::Late:
      return aLeft.remainingWork < aRight.remainingWork;
    case ShortStepClass::Useless:
      break;
  }
  return aLeft.acceptedUnixMs < aRight.acceptedUnixMs;
}

} // namespace sequoiakeel
