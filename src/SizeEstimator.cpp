#include "SizeEstimator.h"

#include <algorithm>
#include <cmath>

namespace sequoiakeel {

namespace {

/** Weight of the declared size in the mean, as a number of samples. */
constexpr double kPriorWeight = 5;
/** Upper limit of the weight of earlier samples, so that the mean follows a
 * change. */
constexpr double kMaxWeight = 200;
/** The expected size is the mean plus this many mean deviations: underestimated
 * sizes cost evictions, overestimated ones only a less even spread. */
constexpr double kMargin = 0.5;
/** Maximum number of kinds that are kept, which limits memory use. */
constexpr std::size_t kMaxKinds = 4096;

std::int64_t
Scaled(std::int64_t aDeclared, double aRatio)
{
  return static_cast<std::int64_t>(
    std::llround(static_cast<double>(aDeclared) * aRatio));
}

} // namespace

void
SizeEstimator::Mean::Add(double aSample)
{
  this->weight = std::min(this->weight + 1, kMaxWeight);
  this->value += (aSample - this->value) / this->weight;
  this->deviation +=
    (std::abs(aSample - this->value) - this->deviation) / this->weight;
}

SizeEstimator::Entry*
SizeEstimator::EntryOf(std::string_view aKind)
{
  std::string kind(aKind);
  const auto found = this->entries.find(kind);
  if (found != this->entries.end()) {
    return &found->second;
  }
  if (this->entries.size() >= kMaxKinds) {
    return nullptr;
  }
  return &this->entries[std::move(kind)];
}

const SizeEstimator::Entry*
SizeEstimator::Find(std::string_view aKind) const
{
  const auto found = this->entries.find(std::string(aKind));
  return found == this->entries.end() ? nullptr : &found->second;
}

void
SizeEstimator::LearnUsage(std::string_view aKind,
                          const Resources& aDeclared,
                          const Resources& aUsage,
                          Duration aAge)
{
  Entry* entry = this->EntryOf(aKind);
  if (entry == nullptr) {
    return;
  }
  if (aDeclared.cpuMillis > 0) {
    entry->cpuRatio.Add(static_cast<double>(aUsage.cpuMillis) /
                        static_cast<double>(aDeclared.cpuMillis));
  }
  // A young task that already uses more than its declared memory is a valid
  // sample: its size is at least that.
  const bool tells =
    aAge >= kMinAgeForMemory || aUsage.memoryMb > aDeclared.memoryMb;
  if (aDeclared.memoryMb > 0 && tells) {
    entry->memoryRatio.Add(static_cast<double>(aUsage.memoryMb) /
                           static_cast<double>(aDeclared.memoryMb));
  }
}

void
SizeEstimator::LearnRunTime(std::string_view aKind, Duration aRanFor)
{
  if (Entry* entry = this->EntryOf(aKind)) {
    entry->runSeconds.Add(std::chrono::duration<double>(aRanFor).count());
  }
}

Resources
SizeEstimator::Expected(std::string_view aKind,
                        const Resources& aDeclared) const
{
  const Entry* entry = this->Find(aKind);
  if (entry == nullptr) {
    return aDeclared;
  }
  const auto ratio = [](const Mean& aMean) {
    const double learnt = aMean.value + kMargin * aMean.deviation;
    return (learnt * aMean.weight + kPriorWeight) /
           (aMean.weight + kPriorWeight);
  };
  return { Scaled(aDeclared.cpuMillis, ratio(entry->cpuRatio)),
           Scaled(aDeclared.memoryMb, ratio(entry->memoryRatio)),
           aDeclared.accelerators };
}

Duration
SizeEstimator::ExpectedRunTime(std::string_view aKind, Duration aDeclared) const
{
  const Entry* entry = this->Find(aKind);
  if (entry == nullptr || entry->runSeconds.weight == 0) {
    return aDeclared;
  }
  const Mean& mean = entry->runSeconds;
  const double declared = std::chrono::duration<double>(aDeclared).count();
  const double prior = declared > 0 ? kPriorWeight : 0;
  const double seconds =
    (mean.value * mean.weight + declared * prior) / (mean.weight + prior);
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(seconds));
}

} // namespace sequoiakeel
