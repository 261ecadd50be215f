#include "WorkerChoice.h"

#include <algorithm>
#include <cmath>

namespace sequoiakeel {

namespace {

/** A filler with a larger effect does not start beside the serving task: the
 * task's own load swings up within the filler's duration, and a target that is
 * missed for a second costs more than the filler's work of several. */
constexpr double kHarmfulEffect = 2.0;

/** Effect that a filler is assumed to have while it is not known: one of the
 * larger ones. */
constexpr double kAssumedEffect = 4.5;

/** Tail against its target that serving tasks may have with a filler of unknown
 * effect, if that effect is as assumed. */
constexpr double kTrialRatio = 0.8;

/** Weight of the effect on serving tasks against unused processor time. */
constexpr double kEffectWeight = 4.0;

/** Part of a worker's processors that may be in use. With more, the tails of
 * serving tasks grow by a multiple, whatever works beside them. */
constexpr double kMaxUtilization = 0.92;

/** By how much the load of serving tasks can grow while a filler runs: a swing
 * by 0.27 around the mean, over 14 to 20 s, in two seconds. */
constexpr double kLoadRise = 0.12;

/** Bounds of the load of serving tasks. Tails of disturbed tasks make it seem
 * higher than it gets. */
constexpr double kMinLoad = 0.3;
constexpr double kMaxLoad = 0.75;

/** Reports show a filler's effect only after this time. */
constexpr std::chrono::milliseconds kEffectDelay{ 1000 };

/** Preferences for serving tasks, above any difference in room. */
constexpr double kSameImageBonus = 2e6;
constexpr double kNoServingBonus = 1e6;

/** A filler starts only where this share of the processor time that it wants is
 * unused; with less it would slow down itself and all others there. */
constexpr double kFillerMinShare = 0.8;

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

/** Returns the growth of log(tail) by fillers that started too recently to show
 * in reports. */
double
UnseenEffect(const ScheduledWorker& aWorker,
             const std::string& aServingImage,
             const FillerInterference& aInterference,
             TimePoint aNow)
{
  double sum = 0;
  for (const auto& [task, filler] : aWorker.Commitments()) {
    if (!filler.step.filler || aNow - filler.startedAt > kEffectDelay) {
      continue;
    }
    const double effect =
      aInterference.Effect(aServingImage, filler.step.image);
    const bool harmless = effect <= FillerInterference::kHarmlessEffect;
    sum += (harmless ? 0 : kAssumedEffect) * filler.step.cpuMilli;
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
    if (serving.usage == 0) {
      return std::nullopt;
    }
    const std::string& image = serving.step.image;
    const double effect = aInterference.Effect(image, aStep.image);
    if (effect <= FillerInterference::kHarmlessEffect) {
      continue;
    }
    if (effect >= kHarmfulEffect) {
      return std::nullopt;
    }
    const double share = static_cast<double>(aStep.cpuMilli) /
                         static_cast<double>(aWorker.description.room.cpuMilli);
    const double growth = UnseenEffect(aWorker, image, aInterference, aNow) +
                          kAssumedEffect * share;
    const double ratio = static_cast<double>(serving.usage) /
                         serving.step.latencyTargetMs * std::exp(growth);
    if (ratio > kTrialRatio) {
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
           TimePoint aNow,
           double aAtLeast)
{
  if (!aWorker.fillerSpare) {
    aWorker.fillerSpare =
      SpareForFillers(aWorker, aInterference, kLoadRise) -
      static_cast<double>(aWorker.Committed().fillerCpuMilli);
  }
  const double spare = *aWorker.fillerSpare;
  const auto wanted = static_cast<double>(aStep.cpuMilli);
  // Effects on serving tasks only lower the rate.
  if (spare < kFillerMinShare * wanted || spare <= aAtLeast ||
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

double
SpareForFillers(const ScheduledWorker& aWorker,
                const FillerInterference& aInterference,
                double aLoadRise)
{
  const CommittedRoom& used = aWorker.Committed();
  double inUse = static_cast<double>(used.cpuMilli - used.servingCpuMilli);
  for (const auto& [task, serving] : aWorker.Commitments()) {
    if (!serving.Serves()) {
      continue;
    }
    const double load =
      serving.usage == 0
        ? kMaxLoad
        : std::clamp(aInterference.Load(serving.step.image,
                                        static_cast<double>(serving.usage)) +
                       aLoadRise,
                     kMinLoad,
                     kMaxLoad);
    inUse += load * serving.step.cpuMilli;
  }
  return kMaxUtilization *
           static_cast<double>(aWorker.description.room.cpuMilli) -
         inUse;
}

std::optional<double>
FirstFitChoice::Rate(const ScheduledWorker& /*aWorker*/,
                     const WorkflowStep& /*aStep*/,
                     const FillerInterference& /*aInterference*/,
                     TimePoint /*aNow*/,
                     double /*aAtLeast*/) const
{
  return 0.0;
}

std::optional<double>
ColocationChoice::Rate(const ScheduledWorker& aWorker,
                       const WorkflowStep& aStep,
                       const FillerInterference& aInterference,
                       TimePoint aNow,
                       double aAtLeast) const
{
  double rate = RackBonus(aWorker, aStep);
  if (aStep.filler) {
    const std::optional<double> filler =
      RateFiller(aWorker, aStep, aInterference, aNow, aAtLeast - rate);
    return filler ? std::optional(*filler + rate) : std::nullopt;
  }
  if (aStep.latencyTargetMs > 0) {
    rate += ImageBonus(aWorker, aStep);
  }
  return rate - static_cast<double>(aWorker.description.room.cpuMilli -
                                    aWorker.Committed().cpuMilli);
}

bool
TakesStarts(const ScheduledWorker& aWorker, TimePoint aNow)
{
  const bool silent =
    aWorker.silent || aNow - aWorker.lastReportAt > kReportOverdue;
  return aWorker.listed && aWorker.reported && !silent &&
         !aWorker.foreignRuns && aWorker.Committed().unknownSizes == 0 &&
         !aWorker.description.draining && aNow >= aWorker.backoffUntil &&
         aWorker.clockReadingMs != 0;
}

bool
Suits(const ScheduledWorker& aWorker,
      const std::string& aService,
      const WorkflowStep& aStep,
      const std::string& aStepKey,
      std::uint32_t aMoreOfStep)
{
  const WorkerDescription& worker = aWorker.description;
  if (worker.service != aService) {
    return false;
  }
  if (!aStep.requiredLabel.empty() &&
      !worker.labels.contains(aStep.requiredLabel)) {
    return false;
  }
  return aStep.maxPerWorker == 0 ||
         aWorker.CountOfStep(aStepKey) + aMoreOfStep < aStep.maxPerWorker;
}

} // namespace sequoiakeel
