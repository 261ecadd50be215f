#include "WorkerChoice.h"

#include <algorithm>
#include <cmath>

namespace sequoiakeel {

namespace {

/** A filler with an effect of at least this size is not started beside the
 * serving task unless its job is overdue: the task's own load can peak while
 * the filler runs, and one second of a missed latency target costs more than
 * the work that the filler does in several seconds. */
constexpr double kHarmfulEffect = 2.0;

/** Effect assumed for a filler until its effect is known. It is at the upper
 * end of the usual range, so that the assumption is cautious. */
constexpr double kAssumedEffect = 4.5;

/** Highest ratio of tail latency to target that is projected for a serving task
 * with a filler that is not known to be harmless, under the assumed effect. */
constexpr double kMaxProjectedRatio = 0.8;

/** The same for a filler that is known to be harmless, under its estimated
 * effect. Several small effects together make a task miss its target. */
constexpr double kMaxHarmlessRatio = 0.9;

/** Weight of the effect on serving tasks relative to unused processor time. */
constexpr double kEffectWeight = 4.0;

/** Highest utilization of a worker's processors. Beyond it the tail latency of
 * serving tasks grows by a multiple, whatever runs beside them. */
constexpr double kMaxUtilization = 0.92;

/** Bounds of the estimated load of a serving task, as a share of its
 * processors. Effects of fillers that are not learnt yet make the estimate
 * exceed the actual load. The upper bound is also assumed before the first
 * reading. */
constexpr double kMinLoad = 0.3;
constexpr double kMaxLoad = 0.75;

/** Time until worker reports reflect the effect of a newly started filler. */
constexpr std::chrono::milliseconds kEffectDelay{ 1000 };

/** Bonus of a worker for a serving task if all serving tasks there have the
 * same image, and if there are none. Both outweigh any difference in free
 * capacity. */
constexpr double kSameImageBonus = 2e6;
constexpr double kNoServingBonus = 1e6;

/** Minimum share of a filler's requested processor time that must be unused on
 * a worker; with less, the filler would slow down itself and all other tasks
 * there. */
constexpr double kMinUnusedShare = 0.8;

/** The same for the first task of an overdue job: a large one would otherwise
 * wait for as long as smaller ones take what becomes free. */
constexpr double kMinUnusedShareIdle = 0.4;

/** Number of run ends that a worker keeps from which it gets no new tasks. It
 * lists at most 500 ends at a time, so that it would not list newer ones. */
constexpr std::uint64_t kMostKeptEnds = 300;

/** Age from which the last report counts as overdue. Workers report at least
 * once a second; one that is late may hang. */
constexpr std::chrono::milliseconds kReportOverdue{ 1500 };

/** Preference for a worker in the rack that holds the data. */
constexpr double kDataRackBonus = 1e6;

double
RackBonus(const ScheduledWorker& aWorker, const WorkflowStep& aStep)
{
  const bool near = !aStep.dataRack.empty() &&
                    aWorker.description.labels.contains(aStep.dataRack);
  return near ? kDataRackBonus : 0;
}

/** Returns the expected increase of log(tail latency) by fillers that started
 * too recently for reports to reflect them. */
double
UnreportedEffect(const ScheduledWorker& aWorker,
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
  return aWorker.ShareOf(sum);
}

/** The largest effect of a filler on the serving tasks of a worker, unless an
 * obstacle forbids the filler there. */
struct ServingEffect
{
  FillerObstacle obstacle = FillerObstacle::None;
  double worst = 0;
};

ServingEffect
EffectOnServing(const ScheduledWorker& aWorker,
                const WorkerRequest& aRequest,
                const FillerInterference& aInterference,
                TimePoint aNow)
{
  const WorkflowStep& step = aRequest.step;
  const double share = aWorker.ShareOf(step.cpuMilli);
  ServingEffect result;
  for (const auto& [task, serving] : aWorker.Commitments()) {
    if (!serving.HasLatencyTarget()) {
      continue;
    }
    if (!serving.HasReading()) {
      return { FillerObstacle::LatencyUnknown };
    }
    const std::string& image = serving.step.image;
    const double effect = aInterference.Effect(image, step.image);
    const bool harmless = effect <= FillerInterference::kHarmlessEffect;
    if (effect >= kHarmfulEffect && aRequest.limits == FillerLimits::Usual) {
      return { FillerObstacle::HarmfulImage };
    }
    const double growth =
      UnreportedEffect(aWorker, image, aInterference, aNow) +
      (harmless ? effect : std::max(effect, kAssumedEffect)) * share;
    const double limit = harmless ? kMaxHarmlessRatio : kMaxProjectedRatio;
    if (serving.LatencyRatio() * std::exp(growth) > limit) {
      return { FillerObstacle::TargetNear };
    }
    result.worst = std::max(result.worst, harmless ? 0 : effect);
  }
  return result;
}

/** Returns the processor time left for one more filler on a worker. */
double
SpareForFiller(const ScheduledWorker& aWorker,
               const FillerInterference& aInterference)
{
  if (!aWorker.fillerSpare) {
    aWorker.fillerSpare =
      CpuAvailableToFillers(aWorker, aInterference) -
      static_cast<double>(aWorker.Committed().fillerCpuMilli);
  }
  return *aWorker.fillerSpare;
}

/** Returns whether the processor time that no filler of a worker demands yet
 * suffices for one more. */
bool
SufficesFor(const ScheduledWorker& aWorker,
            const WorkerRequest& aRequest,
            double aSpare)
{
  const double wanted = aRequest.step.cpuMilli;
  const double share = aRequest.limits == FillerLimits::OverdueIdle
                         ? kMinUnusedShareIdle
                         : kMinUnusedShare;
  if (aSpare >= share * wanted) {
    return true;
  }
  const auto demand = static_cast<double>(aWorker.Committed().fillerCpuMilli);
  return aRequest.minPercent < kFullPercent &&
         100 * (aSpare + demand) >= aRequest.minPercent * (demand + wanted);
}

/** Returns the first obstacle that does not depend on the effect on serving
 * tasks, which takes longer to compute. */
FillerObstacle
ObstacleOnWorker(const ScheduledWorker& aWorker,
                 const WorkerRequest& aRequest,
                 double aSpare)
{
  if (!SufficesFor(aWorker, aRequest, aSpare)) {
    return FillerObstacle::ProcessorsInUse;
  }
  if (aWorker.FillerPercent(aRequest.step.image) < aRequest.minPercent) {
    return FillerObstacle::Slowed;
  }
  return aWorker.WorstLatencyRatio() > 1 ? FillerObstacle::TargetMissed
                                         : FillerObstacle::None;
}

std::optional<double>
ScoreFiller(const ScheduledWorker& aWorker,
            const WorkerRequest& aRequest,
            const FillerInterference& aInterference,
            TimePoint aNow,
            double aAtLeast)
{
  const double spare = SpareForFiller(aWorker, aInterference);
  // The effect on serving tasks can only lower the score.
  if (spare <= aAtLeast ||
      ObstacleOnWorker(aWorker, aRequest, spare) != FillerObstacle::None) {
    return std::nullopt;
  }
  const ServingEffect effect =
    EffectOnServing(aWorker, aRequest, aInterference, aNow);
  if (effect.obstacle != FillerObstacle::None) {
    return std::nullopt;
  }
  return spare - kEffectWeight * effect.worst * aRequest.step.cpuMilli;
}

/** Returns the increase of log(tail latency) of tasks of aServingImage that the
 * fillers running on a worker account for. */
double
EffectOfRunning(const ScheduledWorker& aWorker,
                const std::string& aServingImage,
                const FillerInterference& aInterference)
{
  double sum = 0;
  for (const auto& [task, filler] : aWorker.Commitments()) {
    if (filler.step.filler && filler.phase != CommitmentPhase::Starting) {
      sum += aInterference.Effect(aServingImage, filler.step.image) *
             static_cast<double>(filler.usage);
    }
  }
  return aWorker.ShareOf(sum);
}

/** Returns the load of a serving task as a share of its processors. The load is
 * derived from the tail latency without the effect of the fillers. */
double
LoadOf(const ScheduledWorker& aWorker,
       const Commitment& aServing,
       const FillerInterference& aInterference)
{
  if (!aServing.HasReading()) {
    return kMaxLoad;
  }
  if (aServing.usage == 0) {
    return kMinLoad;
  }
  const std::string& image = aServing.step.image;
  const double undisturbedMs =
    static_cast<double>(aServing.usage) /
    std::exp(EffectOfRunning(aWorker, image, aInterference));
  return std::clamp(
    aInterference.Load(image, undisturbedMs), kMinLoad, kMaxLoad);
}

/** Returns the bonus of a worker for a serving task: highest if all its serving
 * tasks have the same image, lower if it has none, 0 otherwise. */
double
ImageBonus(const ScheduledWorker& aWorker, const WorkflowStep& aStep)
{
  bool any = false;
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    if (!commitment.HasLatencyTarget()) {
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

std::string_view
ToString(FillerObstacle aObstacle)
{
  switch (aObstacle) {
    case FillerObstacle::None:
      return "none";
    case FillerObstacle::ProcessorsInUse:
      return "processors_in_use";
    case FillerObstacle::Slowed:
      return "slowed";
    case FillerObstacle::TargetMissed:
      return "target_missed";
    case FillerObstacle::LatencyUnknown:
      return "latency_unknown";
    case FillerObstacle::HarmfulImage:
      return "harmful_image";
    case FillerObstacle::TargetNear:
      return "target_near";
  }
  return "invalid";
}

FillerObstacle
ObstacleFor(const ScheduledWorker& aWorker,
            const WorkerRequest& aRequest,
            const FillerInterference& aInterference,
            TimePoint aNow)
{
  const FillerObstacle obstacle =
    ObstacleOnWorker(aWorker, aRequest, SpareForFiller(aWorker, aInterference));
  return obstacle == FillerObstacle::None
           ? EffectOnServing(aWorker, aRequest, aInterference, aNow).obstacle
           : obstacle;
}

double
CpuAvailableToFillers(const ScheduledWorker& aWorker,
                      const FillerInterference& aInterference)
{
  const CommittedCapacity& used = aWorker.Committed();
  double inUse = static_cast<double>(used.cpuMilli - used.servingCpuMilli);
  for (const auto& [task, serving] : aWorker.Commitments()) {
    if (!serving.HasLatencyTarget()) {
      continue;
    }
    inUse += LoadOf(aWorker, serving, aInterference) * serving.step.cpuMilli;
  }
  return kMaxUtilization *
           static_cast<double>(aWorker.description.capacity.cpuMilli) -
         inUse;
}

std::optional<double>
FirstFitChoice::Score(const ScheduledWorker& /*aWorker*/,
                      const WorkerRequest& /*aRequest*/,
                      const FillerInterference& /*aInterference*/,
                      TimePoint /*aNow*/,
                      double /*aAtLeast*/) const
{
  return 0.0;
}

std::optional<double>
ColocationChoice::Score(const ScheduledWorker& aWorker,
                        const WorkerRequest& aRequest,
                        const FillerInterference& aInterference,
                        TimePoint aNow,
                        double aAtLeast) const
{
  const WorkflowStep& step = aRequest.step;
  double score = RackBonus(aWorker, step);
  if (step.filler) {
    const std::optional<double> filler =
      ScoreFiller(aWorker, aRequest, aInterference, aNow, aAtLeast - score);
    return filler ? std::optional(*filler + score) : std::nullopt;
  }
  if (step.latencyTargetMs > 0) {
    score += ImageBonus(aWorker, step);
  }
  return score - static_cast<double>(aWorker.description.capacity.cpuMilli -
                                     aWorker.Committed().cpuMilli);
}

bool
AcceptsNewTasks(const ScheduledWorker& aWorker, TimePoint aNow)
{
  const bool silent =
    aWorker.unresponsive || aNow - aWorker.lastReportAt > kReportOverdue;
  // The registry may still describe the earlier incarnation, which may have had
  // other labels and more capacity.
  const std::uint64_t described = aWorker.description.incarnation;
  const bool outdated =
    described != 0 && described < aWorker.reportedIncarnation;
  const bool keepsTooMany =
    !aWorker.endsToKeep.empty() &&
    aWorker.handledEnds - aWorker.EndsToAcknowledge() > kMostKeptEnds;
  return aWorker.listed && aWorker.reported && !silent && !outdated &&
         !keepsTooMany && !aWorker.foreignRuns && !aWorker.takesStaleCommands &&
         aWorker.Committed().unknownSizes == 0 &&
         !aWorker.description.draining && aWorker.zoneTakesStarts &&
         aNow >= aWorker.backoffUntil && aWorker.clockReadingMs != 0;
}

bool
SatisfiesConstraints(const ScheduledWorker& aWorker,
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
