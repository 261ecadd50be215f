#include "StepOrder.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace sequoiakeel;

namespace {

/** A job of a single step on a simulated pool of cores. */
struct SimulatedJob
{
  WaitingStep step;
  double cores = 0;
  double lengthMs = 0;
  double startedMs = -1;

  bool InTime() const
  {
    return this->startedMs >= 0 &&
           this->startedMs + this->lengthMs <= this->step.objectiveUnixMs;
  }
};

/** Returns jobs with a burst of 2.6 times the normal arrival rate, as on the
 * busiest days of a large deployment. The normal rate uses four fifths of the
 * pool. */
std::vector<SimulatedJob>
BurstOfJobs(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  std::uniform_real_distribution<double> lengths(300, 1000);
  std::uniform_real_distribution<double> widths(1, 12);
  std::vector<SimulatedJob> jobs;
  double at = 0;
  while (at < 30000) {
    const bool burst = at > 8000 && at < 14000;
    std::exponential_distribution<double> gaps(burst ? 2.6 / 100 : 1.0 / 100);
    at += gaps(random);
    SimulatedJob job;
    job.lengthMs = lengths(random);
    job.cores = widths(random);
    job.step.acceptedUnixMs = static_cast<std::uint64_t>(at);
    job.step.remainingMs = job.lengthMs;
    job.step.remainingWork = job.lengthMs * job.cores;
    job.step.objectiveUnixMs = at + 1.5 * job.lengthMs + 250;
    jobs.push_back(job);
  }
  return jobs;
}

/** Simulates the jobs on a pool; returns how many are completed in time. */
std::ptrdiff_t
CountJobsInTime(std::vector<SimulatedJob> aJobs, const StepOrder& aOrder)
{
  constexpr double kCores = 52;
  constexpr double kStepMs = 10;
  for (double now = 0; now < 60000; now += kStepMs) {
    double used = 0;
    std::vector<SimulatedJob*> waiting;
    for (SimulatedJob& job : aJobs) {
      if (job.startedMs >= 0) {
        used += now < job.startedMs + job.lengthMs ? job.cores : 0;
      } else if (static_cast<double>(job.step.acceptedUnixMs) <= now) {
        waiting.push_back(&job);
      }
    }
    std::stable_sort(
      waiting.begin(),
      waiting.end(),
      [&](const SimulatedJob* aLeft, const SimulatedJob* aRight) {
        return aOrder.Precedes(aLeft->step, aRight->step, now);
      });
    for (SimulatedJob* const job : waiting) {
      if (used + job->cores > kCores) {
        break;
      }
      job->startedMs = now;
      used += job->cores;
    }
  }
  return std::count_if(aJobs.begin(),
                       aJobs.end(),
                       [](const SimulatedJob& aJob) { return aJob.InTime(); });
}

} // namespace

// Guards against a burst after which every job is a little late, as with first
// come, first served: the whole queue stays late until the backlog is cleared.
TEST_CASE("more jobs are completed in time in a burst than in arrival order")
{
  for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
    const std::vector<SimulatedJob> jobs = BurstOfJobs(seed);
    const std::ptrdiff_t naive = CountJobsInTime(jobs, ArrivalOrder());
    const std::ptrdiff_t current = CountJobsInTime(jobs, LeastWorkOrder());
    INFO("seed ", seed, " naive ", naive, " current ", current);
    CHECK(current > naive);
    CHECK(current > static_cast<std::ptrdiff_t>(jobs.size()) * 7 / 10);
  }
}

// Guards against a long-running task that waits behind short ones because its
// estimate makes it late, and against an interrupted one that waits behind jobs
// of a higher priority.
TEST_CASE("long-running tasks precede short ones, interrupted ones all others")
{
  const LeastWorkOrder order;
  WaitingStep shortStep;
  shortStep.objectiveUnixMs = 5000;
  shortStep.remainingMs = 500;
  WaitingStep lasting;
  lasting.longRunning = true;
  lasting.acceptedUnixMs = 10;
  CHECK(order.Precedes(lasting, shortStep, 1000));
  CHECK(!order.Precedes(shortStep, lasting, 1000));
  lasting.priority = 1;
  CHECK(order.Precedes(shortStep, lasting, 1000));
  lasting.interrupted = true;
  CHECK(order.Precedes(lasting, shortStep, 1000));
}

// Guards against a job that occupies capacity although its result is of no use
// any more, while the results of other jobs still are.
TEST_CASE("jobs whose result is of no use any more come last")
{
  const LeastWorkOrder order;
  WaitingStep useless;
  useless.objectiveUnixMs = 1000;
  useless.remainingMs = 100;
  useless.remainingWork = 1;
  WaitingStep late = useless;
  late.objectiveUnixMs = 2000;
  late.remainingWork = 100;
  CHECK(order.Precedes(late, useless, 4000));
  CHECK(!order.Precedes(useless, late, 4000));
}
