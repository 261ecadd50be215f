#include "FillerInterference.h"
#include "FillerThrottle.h"
#include "StepOrder.h"
#include "WorkerChoice.h"
#include "support/SchedulerHarness.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;

namespace {

WorkflowStep
Serving(const std::string& aImage)
{
  WorkflowStep step;
  step.cpuMilli = 6000;
  step.memoryMb = 1000;
  step.longRunning = true;
  step.image = aImage;
  step.latencyTargetMs = 50;
  return step;
}

WorkflowStep
Filler(const std::string& aImage)
{
  WorkflowStep step;
  step.cpuMilli = 3200;
  step.memoryMb = 1000;
  step.filler = true;
  step.image = aImage;
  return step;
}

ScheduledWorker
WorkerWith(const std::string& aId,
           const WorkflowStep& aStep,
           std::int64_t aTail)
{
  ScheduledWorker worker;
  worker.description = SchedulerHarness::Worker(aId);
  Commitment commitment;
  commitment.step = aStep;
  commitment.stepKey = "s";
  commitment.phase = CommitmentPhase::Running;
  commitment.usage = aTail;
  worker.Commit("task", commitment);
  return worker;
}

/** Teaches that fillers of image "heavy" press tasks of image "web", and those
 * of image "light" do not. */
FillerInterference
Taught()
{
  FillerInterference interference;
  interference.Observe("web", 10.0, {});
  interference.Observe("other", 10.0, {});
  for (int i = 0; i < 60; ++i) {
    const double heavy = 0.1 * (i % 4);
    const double light = 0.1 * (i % 3);
    const double pressure = 0.4 + 1.1 * heavy;
    const FillerLoad loads[] = { { "heavy", heavy }, { "light", light } };
    interference.Observe("web", 10.0 / (1 - pressure), loads);
    interference.Observe("web", 10.0 / (1 - 0.4), {});
    interference.Observe("other", 12.0, {});
  }
  interference.Update();
  return interference;
}

} // namespace

// Guards against fillers that are kept off, or slowed, for what they do not
// cause.
TEST_CASE("effects of fillers are told apart by image")
{
  const FillerInterference interference = Taught();
  CHECK(interference.Effect("web", "heavy") > 0.5);
  CHECK(interference.Effect("web", "light") < 0.3);
  CHECK(interference.Effect("web", "unknown") ==
        FillerInterference::kPriorEffect);
  CHECK(interference.Pressure("web", 10.0) == doctest::Approx(0.0));
  CHECK(interference.Pressure("web", 50.0) == doctest::Approx(0.8));
}

// Guards against a filler beside a serving task that is close to its target
// while another worker has room.
TEST_CASE("a filler goes where it presses nobody")
{
  const FillerInterference interference = Taught();
  const ColocationChoice choice;
  const TimePoint now{ std::chrono::hours(1) };
  const ScheduledWorker busy = WorkerWith("w1", Serving("web"), 30);
  const ScheduledWorker calm = WorkerWith("w2", Serving("other"), 12);
  CHECK(!choice.Rate(busy, Filler("heavy"), interference, now));
  CHECK(choice.Rate(calm, Filler("heavy"), interference, now));
  const FirstFitChoice naive;
  CHECK(naive.Rate(busy, Filler("heavy"), interference, now));
}

// Guards against fillers beside serving tasks of which no latency is known yet.
TEST_CASE("a filler waits for the first reading of a serving task")
{
  const FillerInterference interference;
  const ColocationChoice choice;
  const TimePoint now{ std::chrono::hours(1) };
  const ScheduledWorker unread = WorkerWith("w1", Serving("web"), 0);
  CHECK(!choice.Rate(unread, Filler("heavy"), interference, now));
}

// Guards against serving tasks of all images on all workers, where each filler
// disturbs somebody everywhere.
TEST_CASE("serving tasks are grouped by image")
{
  const FillerInterference interference;
  const ColocationChoice choice;
  const TimePoint now{ std::chrono::hours(1) };
  const ScheduledWorker same = WorkerWith("w1", Serving("web"), 12);
  const ScheduledWorker other = WorkerWith("w2", Serving("other"), 12);
  ScheduledWorker empty;
  empty.description = SchedulerHarness::Worker("w3");
  const WorkflowStep step = Serving("web");
  const auto rate = [&](const ScheduledWorker& aWorker) {
    return *choice.Rate(aWorker, step, interference, now);
  };
  CHECK(rate(same) > rate(empty));
  CHECK(rate(empty) > rate(other));
}

// Guards against a target that is missed for seconds because of fillers.
TEST_CASE("two readings far over the target bring fillers to a stand-still")
{
  const MultiplicativeThrottle throttle;
  CHECK(throttle.Next(100, 1.6) == 0);
  CHECK(throttle.Next(throttle.Next(100, 1.1), 1.1) == 0);
  CHECK(throttle.Next(0, 0.3) > 0);
  CHECK(throttle.Next(100, 0.3) == 100);
}

// Guards against an overload in which jobs that are late already push out all
// that could still be in time.
TEST_CASE("jobs that can be in time go before late ones")
{
  const SlackOrder order;
  const ArrivalOrder naive;
  WaitingStep late;
  late.objectiveUnixMs = 900;
  late.remainingMs = 200;
  late.acceptedUnixMs = 1;
  WaitingStep fresh;
  fresh.objectiveUnixMs = 1500;
  fresh.remainingMs = 200;
  fresh.acceptedUnixMs = 2;
  CHECK(order.Before(fresh, late, 1000));
  CHECK(naive.Before(late, fresh, 1000));
  WaitingStep urgent = late;
  urgent.priority = 0;
  fresh.priority = 1;
  CHECK(order.Before(urgent, fresh, 1000));
}
