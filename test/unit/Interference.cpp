#include "Interference.h"

#include "PlacementKnowledge.h"
#include "SizeEstimator.h"
#include "support/RandomCell.h"

#include <doctest/doctest.h>

#include <array>
#include <random>

using namespace sequoiakeel;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

/** Adds measurements of a victim beside two kinds whose slowdown per core is
 * 0.04 and 0.001. Returns the time after the last one. */
TimePoint
LearnTwoKinds(Interference& aInterference, int aMeasurements)
{
  std::mt19937_64 random(7);
  TimePoint now = kStart;
  const std::uint32_t victim = aInterference.InternKind("quote");
  for (int i = 0; i < aMeasurements; ++i) {
    const double noisy = static_cast<double>(random() % 16);
    const double quiet = static_cast<double>(random() % 16);
    const std::array<NeighbourLoad, 2> loads{
      { { aInterference.InternKind("noisy"), noisy },
        { aInterference.InternKind("quiet"), quiet } }
    };
    aInterference.Learn(now, victim, loads, 0.04 * noisy + 0.001 * quiet);
    now += std::chrono::seconds(5);
  }
  return now;
}

} // namespace

// Guards against slowdown that is attributed to the wrong neighbour on a worker
// that runs several kinds.
TEST_CASE("the slowdown is attributed to the kind that causes it")
{
  Interference interference;
  const TimePoint now = LearnTwoKinds(interference, 400);
  const std::uint32_t victim = interference.InternKind("quote");
  CHECK(interference.SlowdownPerCore(
          now, victim, interference.InternKind("noisy")) ==
        doctest::Approx(0.04).epsilon(0.2));
  CHECK(interference.SlowdownPerCore(
          now, victim, interference.InternKind("quiet")) < 0.008);
}

// Guards against decisions that rest on a single outlier.
TEST_CASE("estimates from little evidence are shrunk to the prior")
{
  Interference interference;
  const std::uint32_t victim = interference.InternKind("quote");
  const std::uint32_t neighbour = interference.InternKind("noisy");
  const double prior = interference.SlowdownPerCore(kStart, victim, neighbour);
  const std::array<NeighbourLoad, 1> loads{ { { neighbour, 1.0 } } };
  interference.Learn(kStart, victim, loads, 0.8);
  const double once = interference.SlowdownPerCore(kStart, victim, neighbour);
  CHECK(once > prior);
  CHECK(once < 0.3);
}

// Guards against old measurements that still dominate the estimate after the
// load has changed.
TEST_CASE("evidence decays towards the prior")
{
  Interference interference;
  const TimePoint now = LearnTwoKinds(interference, 400);
  const std::uint32_t victim = interference.InternKind("quote");
  const std::uint32_t noisy = interference.InternKind("noisy");
  const double fresh = interference.SlowdownPerCore(now, victim, noisy);
  const TimePoint later = now + std::chrono::hours(6);
  CHECK(interference.EvidenceWeight(later, victim, noisy) <
        0.01 * interference.EvidenceWeight(now, victim, noisy));
  CHECK(interference.SlowdownPerCore(later, victim, noisy) < 0.7 * fresh);
}

// Guards against measurements of throttled tasks and saturated workers: their
// slowdown is not caused by the pair of kinds.
TEST_CASE("reports of saturated workers and throttled tasks are ignored")
{
  PlacementKnowledge knowledge;
  WorkerView worker = MakeWorker("w");
  AddRunning(worker, "a", 16, 10).slowdownPermille = 3000;
  AddRunning(worker, "b", 16, 10).kind = "noisy";
  knowledge.ObserveWorker(kStart, worker);
  const std::uint32_t victim = knowledge.interference.InternKind("thermal");
  const std::uint32_t noisy = knowledge.interference.InternKind("noisy");
  CHECK(knowledge.interference.EvidenceWeight(kStart, victim, noisy) == 0);
  worker.observed.cpuMillis = 20000;
  worker.tasks[0].throttlePermille = 500;
  knowledge.ObserveWorker(kStart, worker);
  CHECK(knowledge.interference.EvidenceWeight(kStart, victim, noisy) == 0);
  worker.tasks[0].throttlePermille = 1000;
  knowledge.ObserveWorker(kStart, worker);
  CHECK(knowledge.interference.EvidenceWeight(kStart, victim, noisy) > 0);
}

// Guards against sizes learnt from tasks whose memory use is still growing, and
// against a first sample that replaces the declared size.
TEST_CASE("learnt sizes converge from the declared to the reported ones")
{
  SizeEstimator sizes;
  const Resources declared{ 2000, 8000, 0 };
  CHECK(sizes.Expected("mesh", declared) == declared);
  sizes.LearnUsage(
    "mesh", declared, { 2000, 1000, 0 }, std::chrono::seconds(5));
  CHECK(sizes.Expected("mesh", declared).memoryMb == 8000);
  sizes.LearnUsage(
    "mesh", declared, { 2000, 24000, 0 }, std::chrono::minutes(3));
  CHECK(sizes.Expected("mesh", declared).memoryMb < 13000);
  for (int i = 0; i < 100; ++i) {
    sizes.LearnUsage(
      "mesh", declared, { 2000, 24000, 0 }, std::chrono::minutes(3));
  }
  CHECK(sizes.Expected("mesh", declared).memoryMb > 22000);
  CHECK(sizes.ExpectedRunTime("mesh", std::chrono::seconds(60)) ==
        std::chrono::seconds(60));
}
