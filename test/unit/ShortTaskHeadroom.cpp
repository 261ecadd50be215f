#include "ShortTaskHeadroom.h"

#include "support/LoadSimulator.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;
using namespace std::chrono_literals;

namespace {

constexpr int kServices = 8;
constexpr int kLaterServices = 4;

/** Objective of the short jobs; their tasks take 0.35 to 1.05 s. */
constexpr std::chrono::milliseconds kObjective{ 2000 };

/** What the callers of one simulated load got. */
struct Outcome
{
  int shortJobs = 0;
  int shortJobsInTime = 0;
  int servicesRunning = 0;
};

/**
 * Twelve workers of 32 cores, three quarters of them in use by services. Short
 * jobs of the same priority need an eighth, two and a half times as much in a
 * burst; services that arrive before and during the burst would take all but a
 * sixteenth.
 */
Outcome
PlayServicesInBurst(std::uint64_t aSeed, bool aHeadroom)
{
  LoadSimulator load(12, aSeed, aHeadroom);
  for (int i = 0; i < kServices; ++i) {
    load.SubmitLongRunning("service" + std::to_string(i), 6, 6000);
  }
  load.Simulate(2s);
  const TimePoint begin = load.harness.clock.Now();
  TimePoint nextShort = begin;
  TimePoint nextService = begin + 2s;
  int services = 0;
  Outcome outcome;
  std::map<std::string, TimePoint> waiting;
  while (load.harness.clock.Now() < begin + 30s) {
    const TimePoint now = load.harness.clock.Now();
    const bool burst = now > begin + 5s && now < begin + 9s;
    if (now >= nextShort && now < begin + 25s) {
      const std::string id = "short" + std::to_string(outcome.shortJobs++);
      load.SubmitShort(id, 4, 3000, 700ms, kObjective);
      waiting[id] = now;
      nextShort = now + (burst ? 80ms : 200ms);
    }
    if (now >= nextService && services < kLaterServices) {
      load.SubmitLongRunning("later" + std::to_string(services++), 3, 6000);
      nextService = now + 1s;
    }
    load.Step();
    std::erase_if(waiting, [&](const auto& aItem) {
      const bool done =
        load.harness.scheduler.StateOf(aItem.first) == WorkflowState::Completed;
      const bool inTime = load.harness.clock.Now() - aItem.second <= kObjective;
      outcome.shortJobsInTime += done && inTime ? 1 : 0;
      return done;
    });
  }
  for (int i = 0; i < kLaterServices; ++i) {
    outcome.servicesRunning +=
      load.Running("later" + std::to_string(i)) == 3 ? 1 : 0;
  }
  return outcome;
}

} // namespace

// Guards against callers of short jobs that wait for long since new services of
// the same priority take the last processors, and against services that wait
// without limit instead.
TEST_CASE("short jobs keep their processors while services arrive in a burst")
{
  for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
    const Outcome naive = PlayServicesInBurst(seed, false);
    const Outcome current = PlayServicesInBurst(seed, true);
    INFO("seed ",
         seed,
         " of ",
         current.shortJobs,
         " in time ",
         naive.shortJobsInTime,
         " without and ",
         current.shortJobsInTime);
    CHECK(current.shortJobs == naive.shortJobs);
    CHECK(current.shortJobsInTime > naive.shortJobsInTime);
    CHECK(current.servicesRunning == kLaterServices);
  }
}

// Guards against a service that stays down since its processors are kept for
// short tasks.
TEST_CASE("an interrupted task is not delayed for the headroom")
{
  LoadSimulator load(12, 1, true);
  for (int i = 0; i < kServices; ++i) {
    load.SubmitLongRunning("service" + std::to_string(i), 6, 6000);
  }
  load.Simulate(1s);
  for (int i = 0; i < 60; ++i) {
    load.SubmitShort("short" + std::to_string(i), 4, 3000, 700ms, 2s);
  }
  load.Simulate(1s);
  load.Drain("w3");
  load.Simulate(4s);
  CHECK(load.LongestDowntime() <= 2s);
}

// Guards against a headroom that is too late for a burst, is gone before the
// next one, or takes the cell from its services.
TEST_CASE("the headroom follows a burst at once and shrinks slowly")
{
  constexpr std::int64_t kCapacity = 1000000;
  double target = 0;
  target = NextHeadroom(target, 200000, kCapacity, 2s);
  CHECK(target > 150000);
  target = NextHeadroom(target, 0, kCapacity, 5s);
  CHECK(target > 80000);
  target = NextHeadroom(target, 0, kCapacity, 60s);
  CHECK(target < 1000);
  target = NextHeadroom(target, 5 * kCapacity, kCapacity, 60s);
  CHECK(target <= kCapacity / 4);
}

TEST_CASE("a first start waits for the headroom, but not without limit")
{
  ShortTaskHeadroom headroom;
  const TimePoint begin{ 100s };
  headroom.Begin({ 100000, 80000, 10000, 0 }, begin);
  headroom.Begin({ 100000, 80000, 10000, 0 }, begin + 20s);
  CHECK(headroom.AllowsFirstStart(9000, 1s));
  CHECK_FALSE(headroom.AllowsFirstStart(11000, 1s));
  CHECK(headroom.AllowsFirstStart(11000, ShortTaskHeadroom::kLongestDelay));
  headroom.RecordPlacement(9000);
  CHECK_FALSE(headroom.AllowsFirstStart(9000, 1s));
}
