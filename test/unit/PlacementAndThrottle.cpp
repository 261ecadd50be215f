#include "FillerInterference.h"
#include "FillerThrottle.h"
#include "StepOrder.h"
#include "WorkerChoice.h"
#include "support/SchedulerHarness.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>

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

/** Adds a reading of a new group, which has no earlier reading to be compared
 * with. */
void
ObserveUncorrelated(FillerInterference& aInterference,
                    const std::string& aImage,
                    double aTailMs,
                    std::span<const FillerLoad> aFillers)
{
  static int worker = 0;
  aInterference.Observe({ "w" + std::to_string(worker++),
                          aImage,
                          aTailMs,
                          aFillers,
                          TimePoint(std::chrono::hours(1)) });
}

/** Returns a model trained on readings in which fillers of image "heavy"
 * interfere with tasks of image "web" and those of image "light" do not. */
FillerInterference
TrainedModel()
{
  FillerInterference interference;
  ObserveUncorrelated(interference, "web", 10.0, {});
  ObserveUncorrelated(interference, "other", 10.0, {});
  for (int i = 0; i < 60; ++i) {
    const double heavy = 0.1 * (i % 4);
    const double light = 0.1 * (i % 3);
    const double tail = 10 / (1 - 0.4) * std::exp(4 * heavy + 0.1 * light);
    const FillerLoad loads[] = { { "heavy", heavy }, { "light", light } };
    ObserveUncorrelated(interference, "web", tail, loads);
    ObserveUncorrelated(interference, "web", 10 / (1 - 0.4), {});
    ObserveUncorrelated(interference, "other", 12.0, {});
  }
  interference.Update(TimePoint(std::chrono::hours(1)));
  return interference;
}

/** Simulates six seconds of oscillating load on five workers. Returns how many
 * of two filler images are misclassified as harmless or harmful. aCompared:
 * readings of a worker share a group and are compared with each other. */
int
SimulateOscillatingLoad(unsigned aSeed, bool aCompared)
{
  std::mt19937_64 random(aSeed);
  std::normal_distribution<double> noise(0, 0.05);
  FillerInterference interference;
  const TimePoint begin{ std::chrono::hours(1) };
  constexpr int kWorkers = 5;
  constexpr int kReadings = 6;
  for (int reading = 0; reading < kReadings; ++reading) {
    const TimePoint now = begin + std::chrono::seconds(reading);
    for (int worker = 0; worker < kWorkers; ++worker) {
      const double load = 0.45 + 0.27 * std::sin(0.45 * reading + worker);
      const double heavy = 0.1 * static_cast<double>(random() % 2);
      const double light = 0.1 * static_cast<double>(random() % 3);
      const double logTail =
        std::log(10 / (1 - load)) + 3.5 * heavy + 0.1 * light + noise(random);
      const FillerLoad fillers[] = { { "heavy", heavy }, { "light", light } };
      const std::string group = "w" + std::to_string(worker) +
                                (aCompared ? "" : std::to_string(reading));
      interference.Observe({ group, "web", std::exp(logTail), fillers, now });
    }
    interference.Update(now);
  }
  const double middle = 1.6;
  return (interference.Effect("web", "heavy") < middle ? 1 : 0) +
         (interference.Effect("web", "light") > middle ? 1 : 0);
}

} // namespace

// Guards against fillers that are rejected or throttled for interference that
// other fillers cause.
TEST_CASE("effects of fillers are distinguished by image")
{
  const FillerInterference interference = TrainedModel();
  CHECK(interference.Effect("web", "heavy") > 2.5);
  CHECK(interference.Effect("web", "light") <
        FillerInterference::kHarmlessEffect);
  CHECK(interference.Effect("web", "unknown") ==
        FillerInterference::kPriorEffect);
  CHECK(interference.Load("web", 10.0) == doctest::Approx(0.0));
  CHECK(interference.Load("web", 50.0) == doctest::Approx(0.8));
  CHECK(interference.Load("unread", 50.0) == 1);
}

// Simulates serving tasks whose load oscillates by more than the fillers beside
// them add, as in an order-processing deployment. Guards against harmless
// fillers that are rejected because they ran while the load was high, and
// against harmful ones that are not recognized within six seconds.
TEST_CASE("effects are learnt within seconds although the load oscillates")
{
  int mistaken = 0;
  int mistakenAlone = 0;
  for (unsigned seed = 1; seed <= 100; ++seed) {
    mistaken += SimulateOscillatingLoad(seed, true);
    mistakenAlone += SimulateOscillatingLoad(seed, false);
  }
  CHECK(mistaken == 0);
  // The baseline, which uses each reading by itself, attributes the
  // oscillations to the fillers.
  CHECK(mistakenAlone > 5);
}

// Guards against an owner that is new, or whose cell is small, having to
// disturb serving tasks to learn effects that other cells know already.
TEST_CASE("a cell adopts the evidence of another cell")
{
  const InterferenceEvidence evidence = TrainedModel().Evidence();
  FillerInterference other;
  other.SetPeerEvidence("cell", evidence);
  other.SetPeerEvidence("cell", evidence);
  other.Update(TimePoint(std::chrono::hours(1)));
  CHECK(other.Effect("web", "heavy") > 2.5);
  CHECK(other.Effect("web", "light") < FillerInterference::kHarmlessEffect);
  CHECK(other.Effect("web", "unknown") == FillerInterference::kPriorEffect);
  CHECK(other.Evidence().effects.empty());
}

// Guards against fillers that use up the processors beside serving tasks: with
// no processor time unused, tail latency grows by a multiple for all images.
TEST_CASE("fillers get what serving tasks leave unused at their current load")
{
  const FillerInterference interference = TrainedModel();
  ScheduledWorker worker = WorkerWith("w1", Serving("web"), 0);
  const double unread = CpuAvailableToFillers(worker, interference);
  worker.Find("task")->usage = 15;
  const double calm = CpuAvailableToFillers(worker, interference);
  CHECK(calm > unread);
  worker.Find("task")->usage = 40;
  CHECK(CpuAvailableToFillers(worker, interference) < calm);
}

// Guards against processors that stay unused because the latency that a filler
// causes is taken for load of the serving tasks.
TEST_CASE("the effect of running fillers does not count as load")
{
  const FillerInterference interference = TrainedModel();
  ScheduledWorker worker = WorkerWith("w1", Serving("web"), 20);
  const double alone = CpuAvailableToFillers(worker, interference);
  Commitment filler;
  filler.step = Filler("heavy");
  filler.stepKey = "f";
  filler.phase = CommitmentPhase::Running;
  filler.usage = 3200;
  worker.Commit("filler", filler);
  const double growth = std::exp(interference.Effect("web", "heavy") * 0.1);
  REQUIRE(growth > 1.2);
  worker.Find("task")->usage = static_cast<std::int64_t>(20 * growth + 0.5);
  CHECK(CpuAvailableToFillers(worker, interference) ==
        doctest::Approx(alone).epsilon(0.01));
}

// Guards against a filler that is placed beside a serving task close to its
// latency target while another worker has free capacity.
TEST_CASE("a filler is placed where it does not endanger a latency target")
{
  const FillerInterference interference = TrainedModel();
  const ColocationChoice choice;
  const TimePoint now{ std::chrono::hours(1) };
  const ScheduledWorker busy = WorkerWith("w1", Serving("web"), 30);
  const ScheduledWorker calm = WorkerWith("w2", Serving("other"), 12);
  CHECK(!choice.Score(busy,
                      WorkerRequest{ Filler("heavy") },
                      interference,
                      now,
                      WorkerChoice::kAnyScore));
  CHECK(choice.Score(calm,
                     WorkerRequest{ Filler("heavy") },
                     interference,
                     now,
                     WorkerChoice::kAnyScore));
  const FirstFitChoice naive;
  CHECK(naive.Score(busy,
                    WorkerRequest{ Filler("heavy") },
                    interference,
                    now,
                    WorkerChoice::kAnyScore));
}

// Guards against several fillers with small effects that together make a
// serving task miss its target.
TEST_CASE("a harmless filler waits while the latency is close to its target")
{
  const FillerInterference interference = TrainedModel();
  REQUIRE(interference.Effect("web", "light") <
          FillerInterference::kHarmlessEffect);
  const ColocationChoice choice;
  const TimePoint now(std::chrono::hours(1));
  const auto mayStart = [&](std::int64_t aTailMs) {
    return choice
      .Score(WorkerWith("w", Serving("web"), aTailMs),
             WorkerRequest{ Filler("light") },
             interference,
             now,
             WorkerChoice::kAnyScore)
      .has_value();
  };
  CHECK(mayStart(30));
  CHECK(!mayStart(48));
}

// Guards against fillers beside serving tasks whose latency is not known yet.
TEST_CASE("a filler waits for the first reading of a serving task")
{
  const FillerInterference interference;
  const ColocationChoice choice;
  const TimePoint now{ std::chrono::hours(1) };
  const ScheduledWorker unread = WorkerWith("w1", Serving("web"), 0);
  CHECK(!choice.Score(unread,
                      WorkerRequest{ Filler("heavy") },
                      interference,
                      now,
                      WorkerChoice::kAnyScore));
}

// Guards against serving tasks of all images being spread over all workers,
// where each filler interferes with some task on every worker.
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
  const auto score = [&](const ScheduledWorker& aWorker) {
    return *choice.Score(aWorker,
                         WorkerRequest{ step },
                         interference,
                         now,
                         WorkerChoice::kAnyScore);
  };
  CHECK(score(same) > score(empty));
  CHECK(score(empty) > score(other));
}

// Guards against a latency target that is missed for seconds because of
// fillers.
TEST_CASE("two readings above the target, or one far above it, pause fillers")
{
  const MultiplicativeThrottle throttle;
  CHECK(throttle.NextPercent(100, 1.6) == 0);
  CHECK(throttle.NextPercent(throttle.NextPercent(100, 1.1), 1.1) == 0);
  CHECK(throttle.NextPercent(0, 0.3) > 0);
  CHECK(throttle.NextPercent(100, 0.3) == 100);
}

// Guards against late jobs that displace, during an overload, those that could
// still be completed in time.
TEST_CASE("jobs that can be completed in time are ordered before late ones")
{
  const LeastWorkOrder order;
  const ArrivalOrder naive;
  WaitingStep late;
  late.objectiveUnixMs = 900;
  late.remainingMs = 200;
  late.acceptedUnixMs = 1;
  WaitingStep fresh;
  fresh.objectiveUnixMs = 1500;
  fresh.remainingMs = 200;
  fresh.acceptedUnixMs = 2;
  CHECK(order.Precedes(fresh, late, 1000));
  CHECK(naive.Precedes(late, fresh, 1000));
  WaitingStep urgent = late;
  urgent.priority = 0;
  fresh.priority = 1;
  CHECK(order.Precedes(urgent, fresh, 1000));
}
