#include "CellScheduler.h"

#include "Log.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace sequoiakeel {

namespace {

/** Workers report latencies over the last 500 ms, so the speed of best-effort
 * tasks is adjusted at most once in that time. */
constexpr std::chrono::milliseconds kLatencyWindow{ 500 };

constexpr std::chrono::milliseconds kInterferenceInterval{ 1000 };

/** Interval at which the estimated effects of best-effort tasks on tail
 * latencies are logged. They change within seconds, but the log needs only
 * their approximate size. */
constexpr std::chrono::seconds kInterferenceLogInterval{ 10 };

/** Smallest change of a best-effort task's speed that is worth a command, in
 * percent. */
constexpr int kSpeedStep = 10;

/** After this many consecutive readings above a latency target all best-effort
 * tasks are slowed, since the learned effects no longer explain the latency.
 * Best-effort tasks may cause a missed target for four seconds at most. */
constexpr int kSuspectAllAfter = 3;

/** All fillers of a worker are paused when a latency target has been missed for
 * this long. Fillers may cause a missed target for four seconds at most; a
 * pause and its effect on the reported latency take about one second, and
 * another one passes between two reports. */
constexpr std::chrono::milliseconds kPauseAllAfter{ 1500 };

/** Ratio of latency to target below which a target counts as kept again.
 * Reported latencies are rounded and vary around the actual ones. */
constexpr double kKeptRatio = 0.95;

} // namespace

void
CellScheduler::ObserveTailLatencies(const ScheduledWorker& aWorker)
{
  const TimePoint now = this->clock.Now();
  const auto isSettled = [now](const Commitment& aCommitment) {
    return aCommitment.phase == CommitmentPhase::Running &&
           now - aCommitment.confirmedAt > Commitment::kSettleTime;
  };
  std::vector<FillerLoad> fillers;
  for (const auto& [image, share] : aWorker.FillerShares(now, kLatencyWindow)) {
    fillers.push_back(FillerLoad{ image, share });
  }
  if (this->FillersContend(aWorker)) {
    // Ignores the readings: with all processors in use every tail latency
    // grows, so that the readings do not show the effect of single images.
    return;
  }
  struct Tails
  {
    std::string_view image;
    double sumMs = 0;
    int tasks = 0;
  };
  std::map<std::string, Tails> tails;
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    // Effects are factors on the latency; a latency of 0 shows none.
    if (commitment.HasLatencyTarget() && isSettled(commitment) &&
        commitment.usage > 0) {
      // The tasks of one job share its load, so their mean latency is used.
      Tails& group = tails[aWorker.description.id + "/" + commitment.stepKey];
      group.image = commitment.step.image;
      group.sumMs += static_cast<double>(commitment.usage);
      ++group.tasks;
    }
  }
  for (const auto& [group, tail] : tails) {
    this->interference.Observe(
      { group, tail.image, tail.sumMs / tail.tasks, fillers, now });
  }
}

void
CellScheduler::ObserveInterference(const ScheduledWorker& aWorker)
{
  this->ObserveTailLatencies(aWorker);
  const TimePoint now = this->clock.Now();
  if (now - this->interferenceUpdatedAt > kInterferenceInterval) {
    this->interferenceUpdatedAt = now;
    this->interference.Update(now);
  }
  if (now - this->interferenceLoggedAt > kInterferenceLogInterval) {
    this->interferenceLoggedAt = now;
    for (const auto& [image, effects] : this->interference.Summary()) {
      Event("interference").Add("image", image).Add("effects", effects);
    }
  }
}

bool
CellScheduler::FillersContend(const ScheduledWorker& aWorker) const
{
  std::int64_t inUse = 0;
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    inUse += commitment.step.filler ? commitment.usage : 0;
  }
  return static_cast<double>(inUse) >
         CpuAvailableToFillers(aWorker, this->interference);
}

int
CellScheduler::UncontendedPercent(const ScheduledWorker& aWorker) const
{
  const auto wanted = static_cast<double>(aWorker.Committed().fillerCpuMilli);
  const double spare = CpuAvailableToFillers(aWorker, this->interference);
  if (wanted <= spare) {
    return 100;
  }
  const int percent = static_cast<int>(100 * std::max(spare, 0.0) / wanted);
  return percent / kSpeedStep * kSpeedStep;
}

double
CellScheduler::LatencyRatioFor(const ScheduledWorker& aWorker,
                               const std::string& aFillerImage) const
{
  const bool suspectAll = aWorker.readingsOverTarget >= kSuspectAllAfter;
  double worst = 0;
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    if (!commitment.HasLatencyTarget() ||
        commitment.phase != CommitmentPhase::Running) {
      continue;
    }
    const double effect =
      this->interference.Effect(commitment.step.image, aFillerImage);
    if (!suspectAll && effect <= FillerInterference::kHarmlessEffect) {
      continue;
    }
    worst = std::max(worst, commitment.LatencyRatio());
  }
  return worst;
}

void
CellScheduler::LogMissedTarget(const ScheduledWorker& aWorker) const
{
  const Commitment* worst = nullptr;
  int over = 0;
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    if (!commitment.HasLatencyTarget() ||
        commitment.phase != CommitmentPhase::Running ||
        commitment.LatencyRatio() <= 1) {
      continue;
    }
    ++over;
    if (worst == nullptr || commitment.LatencyRatio() > worst->LatencyRatio()) {
      worst = &commitment;
    }
  }
  if (worst == nullptr) {
    return;
  }
  const TimePoint now = this->clock.Now();
  std::ostringstream fillers;
  fillers << std::fixed << std::setprecision(2);
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    if (!commitment.step.filler) {
      continue;
    }
    fillers << commitment.step.image << ":effect="
            << this->interference.Effect(worst->step.image,
                                         commitment.step.image)
            << ",cpu_milli=" << commitment.usage
            << ",percent=" << commitment.speed.Percent() << ",age_ms="
            << std::chrono::duration_cast<std::chrono::milliseconds>(
                 now - commitment.startedAt)
                 .count()
            << ";";
  }
  Event("target_missed")
    .Add("worker", aWorker.description.id)
    .Add("job", worst->stepKey)
    .Add("image", worst->step.image)
    .Add("tasks_over", over)
    .Add("worst_ratio", worst->LatencyRatio())
    .Add("readings_over", aWorker.readingsOverTarget)
    .Add("contended", this->FillersContend(aWorker))
    .Add("fillers", fillers.str());
}

void
CellScheduler::AdjustFillers(ScheduledWorker& aWorker)
{
  const TimePoint now = this->clock.Now();
  if (now - aWorker.fillersAdjustedAt < kLatencyWindow) {
    return;
  }
  aWorker.fillersAdjustedAt = now;
  this->ObserveInterference(aWorker);
  const double ratio = aWorker.WorstLatencyRatio();
  aWorker.readingsOverTarget = ratio > 1 ? aWorker.readingsOverTarget + 1 : 0;
  if (ratio >= 1 && !aWorker.overTargetSince) {
    aWorker.overTargetSince = now;
  } else if (ratio < kKeptRatio) {
    aWorker.overTargetSince.reset();
  }
  const bool pauseAll =
    aWorker.overTargetSince && now - *aWorker.overTargetSince >= kPauseAllAfter;
  if (ratio > 1) {
    this->LogMissedTarget(aWorker);
  }
  std::set<std::string> images;
  for (const auto& [task, commitment] : aWorker.Commitments()) {
    if (commitment.step.filler) {
      images.insert(commitment.step.image);
    }
  }
  std::erase_if(aWorker.fillerPercents, [&images](const auto& aItem) {
    return !images.contains(aItem.first);
  });
  const int uncontended = this->UncontendedPercent(aWorker);
  for (const std::string& image : images) {
    const int before = aWorker.FillerPercent(image);
    const double own = this->LatencyRatioFor(aWorker, image);
    const int percent =
      pauseAll ? 0
               : std::min(this->policies.throttle.NextPercent(before, own),
                          uncontended);
    if (percent == before) {
      continue;
    }
    aWorker.fillerPercents[image] = percent;
    this->policies.observer.FillersAdjusted();
    Event("filler_speed")
      .Add("worker", aWorker.description.id)
      .Add("image", image)
      .Add("from_percent", before)
      .Add("percent", percent)
      .Add("uncontended_percent", uncontended)
      .Add("latency_ratio", own)
      .Add("worst_ratio", ratio)
      .Add("over_target", aWorker.readingsOverTarget);
  }
}

} // namespace sequoiakeel
