#include "Interference.h"

#include <algorithm>
#include <cmath>

namespace sequoiakeel {

namespace {

/** Slowdown per core assumed before any measurement. */
constexpr double kInitialPrior = 0.005;
/** Weight of the initial prior, in measurements. */
constexpr double kInitialPriorWeight = 50;
/** Weight of the prior in the estimate of a pair, in measurements. */
constexpr double kPriorWeight = 4;
/** Half-life of the weight of evidence; it decays because loads change. */
constexpr std::chrono::duration<double> kHalfLife = std::chrono::minutes(30);
/** Upper limit of a pair's weight, so that the estimate still adapts to
 * changes. */
constexpr double kMaxWeight = 200;
/** Minimum learning rate. */
constexpr double kMinRate = 0.02;
/** Largest plausible slowdown by one core. */
constexpr double kMaxSlowdownPerCore = 1.0;
/** Maximum number of task kinds; bounds memory, since the number of pairs grows
 * with the square of the kinds. */
constexpr std::size_t kMaxKinds = 512;

std::uint64_t
PairKey(std::uint32_t aVictim, std::uint32_t aNeighbour)
{
  return (static_cast<std::uint64_t>(aVictim) << 32U) | aNeighbour;
}

double
Decayed(double aWeight, Duration aAge)
{
  const std::chrono::duration<double> age = aAge;
  return age.count() <= 0
           ? aWeight
           : aWeight * std::exp2(-age.count() / kHalfLife.count());
}

} // namespace

std::uint32_t
Interference::InternKind(std::string_view aKind)
{
  const auto found = this->ids.find(aKind);
  if (found != this->ids.end()) {
    return found->second;
  }
  if (this->ids.size() >= kMaxKinds) {
    return kMaxKinds - 1;
  }
  const auto id = static_cast<std::uint32_t>(this->ids.size());
  this->ids.emplace(std::string(aKind), id);
  return id;
}

double
Interference::Prior() const
{
  const double weight = this->overallWeight + kInitialPriorWeight;
  return (this->overallPerCore * this->overallWeight +
          kInitialPrior * kInitialPriorWeight) /
         weight;
}

Interference::Pair&
Interference::PairOf(TimePoint aNow,
                     std::uint32_t aVictim,
                     std::uint32_t aNeighbour)
{
  const auto [entry, added] =
    this->pairs.try_emplace(PairKey(aVictim, aNeighbour));
  Pair& pair = entry->second;
  if (added) {
    pair.estimate = this->Prior();
  } else {
    pair.weight = Decayed(pair.weight, aNow - pair.updated);
  }
  pair.updated = aNow;
  return pair;
}

void
Interference::Learn(TimePoint aNow,
                    std::uint32_t aVictim,
                    std::span<const NeighbourLoad> aNeighbours,
                    double aSlowdown)
{
  double cores = 0;
  double squares = 0;
  double expected = 0;
  for (const NeighbourLoad& neighbour : aNeighbours) {
    cores += neighbour.cores;
    squares += neighbour.cores * neighbour.cores;
    expected +=
      neighbour.cores * this->PairOf(aNow, aVictim, neighbour.kind).estimate;
  }
  // The effect of less load cannot be distinguished from noise.
  constexpr double kMinCores = 0.5;
  if (cores < kMinCores) {
    return;
  }
  this->overallWeight = std::min(this->overallWeight + 1, kMaxWeight);
  this->overallPerCore +=
    (aSlowdown / cores - this->overallPerCore) / this->overallWeight;
  const double error = aSlowdown - expected;
  for (const NeighbourLoad& neighbour : aNeighbours) {
    Pair& pair = this->PairOf(aNow, aVictim, neighbour.kind);
    const double rate = std::max(kMinRate, 1 / (1 + pair.weight));
    pair.estimate =
      std::clamp(pair.estimate + rate * error * neighbour.cores / squares,
                 0.0,
                 kMaxSlowdownPerCore);
    const double share = neighbour.cores / cores;
    pair.weight = std::min(pair.weight + share, kMaxWeight);
  }
}

double
Interference::SlowdownPerCore(TimePoint aNow,
                              std::uint32_t aVictim,
                              std::uint32_t aNeighbour) const
{
  const auto found = this->pairs.find(PairKey(aVictim, aNeighbour));
  if (found == this->pairs.end()) {
    return this->Prior();
  }
  const Pair& pair = found->second;
  const double weight = Decayed(pair.weight, aNow - pair.updated);
  return (pair.estimate * weight + this->Prior() * kPriorWeight) /
         (weight + kPriorWeight);
}

double
Interference::EvidenceWeight(TimePoint aNow,
                             std::uint32_t aVictim,
                             std::uint32_t aNeighbour) const
{
  const auto found = this->pairs.find(PairKey(aVictim, aNeighbour));
  return found == this->pairs.end()
           ? 0
           : Decayed(found->second.weight, aNow - found->second.updated);
}

} // namespace sequoiakeel
