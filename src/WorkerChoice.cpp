#include "WorkerChoice.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

/** Pressure that serving tasks may have after a filler was added, against the
 * pressure at their target. The rest is for the swings of their own load, by up
 * to a half. */
constexpr double kFillerPressureShare = 0.65;

/** A filler with a smaller effect counts as harmless. */
constexpr double kHarmlessEffect = 0.2;

/** Weight of the effect on serving tasks against unused processor time. */
constexpr double kEffectWeight = 8.0;

/** Reports show a filler's effect only after this time. */
constexpr std::chrono::milliseconds kEffectDelay{ 1000 };

/** Preferences for serving tasks, above any difference in room. */
constexpr double kSameImageBonus = 2e6;
constexpr double kNoServingBonus = 1e6;

/** A filler starts only where this share of the processor time that it wants is
 * unused; with less it would slow down itself and all others there. */
constexpr double kFillerMinShare = 0.6;

/** A worker reports at least once a second; one that is late may hang. */
constexpr std::chrono::milliseconds kReportOverdue{ 1500 };

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

/** Returns the pressure that fillers add which started too recently to show in
 * reports. */
double
UnseenPressure(const ScheduledWorker& aWorker,
               const std::string& aServingImage,
               const FillerInterference& aInterference,
               TimePoint aNow)
{
  double sum = 0;
  for (const auto& [task, filler] : aWorker.Commitments()) {
    if (!filler.step.filler || aNow - filler.startedAt > kEffectDelay) {
      continue;
    }
    sum += aInterference.Effect(aServingImage, filler.step.image) *
           filler.step.cpuMilli;
  }
  return sum / static_cast<double>(aWorker.description.room.cpuMilli);
}

/** Returns the largest effect of a filler on serving tasks of a worker; empty
 * if one of them would come too close to its target. */
std::optional<double>
EffectOnServing(const ScheduledWorker& aWorker,
                const WorkflowStep& aStep,
                const FillerInterference& aInterference,
                TimePoint aNow)
{
  double worst = 0;
  for (const auto& [task, serving] : aWorker.Commitments()) {
    if (!serving.Serves()) {
      continue;
    }
    const std::string& image = serving.step.image;
    const double effect = aInterference.Effect(image, aStep.image);
    if (effect <= kHarmlessEffect) {
      continue;
    }
    const double share = static_cast<double>(aStep.cpuMilli) /
                         static_cast<double>(aWorker.description.room.cpuMilli);
    const double pressure =
      aInterference.Pressure(image, static_cast<double>(serving.usage)) +
      UnseenPressure(aWorker, image, aInterference, aNow) + effect * share;
    const double limit =
      kFillerPressureShare *
      aInterference.PressureAtTarget(image, serving.step.latencyTargetMs);
    if (pressure > limit) {
      return std::nullopt;
    }
    worst = std::max(worst, effect);
  }
  return worst;
}

std::optional<double>
RateFiller(const ScheduledWorker& aWorker,
           const WorkflowStep& aStep,
           const FillerInterference& aInterference,
           TimePoint aNow)
{
  const auto spare = static_cast<double>(aWorker.SpareForFillers());
  const auto wanted = static_cast<double>(aStep.cpuMilli);
  if (spare < kFillerMinShare * wanted ||
      aWorker.FillerPercent(aStep.image) < 100) {
    return std::nullopt;
  }
  const std::optional<double> effect =
    EffectOnServing(aWorker, aStep, aInterference, aNow);
  if (!effect) {
    return std::nullopt;
  }
  return spare - kEffectWeight * *effect * wanted;
}

/** Prefers workers on which only tasks of the same image serve, then those
 * without any. */
double
ImageBonus(const ScheduledWorker& aWorker, const WorkflowStep& aStep)
{
  bool any = false;
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    if (!commitment.Serves()) {
      continue;
    }
    if (commitment.step.image != aStep.image) {
      return 0;
    }
    any = true;
  }
  return any ? kSameImageBonus : kNoServingBonus;
}

} // namespace

std::optional<double>
FirstFitChoice::Rate(const ScheduledWorker& /*aWorker*/,
                     const WorkflowStep& /*aStep*/,
                     const FillerInterference& /*aInterference*/,
                     TimePoint /*aNow*/) const
{
  return 0.0;
}

std::optional<double>
ColocationChoice::Rate(const ScheduledWorker& aWorker,
                       const WorkflowStep& aStep,
                       const FillerInterference& aInterference,
                       TimePoint aNow) const
{
  double rate = RackBonus(aWorker, aStep);
  if (aStep.filler) {
    const std::optional<double> filler =
      RateFiller(aWorker, aStep, aInterference, aNow);
    return filler ? std::optional(*filler + rate) : std::nullopt;
  }
  if (aStep.latencyTargetMs > 0) {
    rate += ImageBonus(aWorker, aStep);
  }
  return rate - static_cast<double>(aWorker.description.room.cpuMilli -
                                    aWorker.Committed().cpuMilli);
}

bool
MayRun(const ScheduledWorker& aWorker,
       const std::string& aService,
       const WorkflowStep& aStep,
       const std::string& aStepKey,
       TimePoint aNow)
{
  const WorkerDescription& worker = aWorker.description;
  const bool silent =
    aWorker.silent || aNow - aWorker.lastReportAt > kReportOverdue;
  if (!aWorker.listed || !aWorker.reported || silent || aWorker.foreignRuns ||
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
