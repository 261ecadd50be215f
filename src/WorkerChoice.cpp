#include "WorkerChoice.h"

namespace sequoiakeel {

namespace {

/** Fillers keep off a worker whose serving tasks are this close to their
 * latency target, as a share of it. */
constexpr double kFillerLatencyRatio = 0.7;

/** A filler starts only where this share of the processor time that it wants is
 * unused; with less it would slow down itself and all others there. */
constexpr double kFillerMinShare = 0.6;

/** Weight of a worker in the rack that holds the data, above any other
 * preference. */
constexpr double kDataRackBonus = 1e6;

double
RackBonus(const ScheduledWorker& aWorker, const WorkflowStep& aStep)
{
  const bool near = !aStep.dataRack.empty() &&
                    aWorker.description.labels.contains(aStep.dataRack);
  return near ? kDataRackBonus : 0;
}

std::optional<double>
RateFiller(const ScheduledWorker& aWorker, const WorkflowStep& aStep)
{
  const std::int64_t spare = aWorker.SpareForFillers();
  if (static_cast<double>(spare) <
      kFillerMinShare * static_cast<double>(aStep.cpuMilli)) {
    return std::nullopt;
  }
  if (aWorker.WorstLatencyRatio() > kFillerLatencyRatio ||
      aWorker.fillerPercent < 100) {
    return std::nullopt;
  }
  return static_cast<double>(spare);
}

} // namespace

std::optional<double>
FirstFitChoice::Rate(const ScheduledWorker& /*aWorker*/,
                     const WorkflowStep& /*aStep*/) const
{
  return 0.0;
}

std::optional<double>
ColocationChoice::Rate(const ScheduledWorker& aWorker,
                       const WorkflowStep& aStep) const
{
  const double bonus = RackBonus(aWorker, aStep);
  if (aStep.filler) {
    const std::optional<double> rate = RateFiller(aWorker, aStep);
    return rate ? std::optional(*rate + bonus) : std::nullopt;
  }
  const auto freeCpu = static_cast<double>(aWorker.description.room.cpuMilli -
                                           aWorker.Committed().cpuMilli);
  return bonus + (aStep.longRunning ? freeCpu : -freeCpu);
}

bool
MayRun(const ScheduledWorker& aWorker,
       const std::string& aService,
       const WorkflowStep& aStep,
       const std::string& aStepKey,
       TimePoint aNow)
{
  const WorkerDescription& worker = aWorker.description;
  if (!aWorker.listed || !aWorker.reported || aWorker.foreignRuns ||
      aWorker.Committed().unknownSizes > 0 || worker.draining ||
      aNow < aWorker.backoffUntil || aWorker.clockMs == 0) {
    return false;
  }
  if (worker.service != aService || !aWorker.Fits(aStep)) {
    return false;
  }
  if (!aStep.requiredLabel.empty() &&
      !worker.labels.contains(aStep.requiredLabel)) {
    return false;
  }
  return aStep.maxPerWorker == 0 ||
         aWorker.CountOfStep(aStepKey) < aStep.maxPerWorker;
}

} // namespace sequoiakeel
