#pragma once

#include "Clock.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sequoiakeel {

/** Load of a task that runs on the same worker as the measured one. */
struct NeighbourLoad
{
  std::uint32_t kind = 0;
  /** Processor use, in cores. */
  double cores = 0;
};

/**
 * Estimates for each ordered pair of task kinds how much one core of the
 * neighbour's load slows the victim down. Each pair starts from a common prior,
 * whose influence shrinks as evidence accumulates; old evidence decays, since
 * interference changes with load. Not thread safe.
 */
class Interference
{
public:
  /** Returns the id of a kind; assigns one on first use. Ids count up from 0
   * and are valid for the lifetime of the object. Kinds beyond the limit share
   * the last id. */
  std::uint32_t InternKind(std::string_view aKind);

  /** Returns the number of ids assigned. */
  std::size_t Kinds() const { return this->ids.size(); }

  /** Updates the estimates with a measured slowdown of a victim beside its
   * neighbours, which may arrive with a delay. 0: undisturbed; 0.5: takes 1.5
   * times as long. aNeighbours does not include the victim. */
  void Learn(TimePoint aNow,
             std::uint32_t aVictim,
             std::span<const NeighbourLoad> aNeighbours,
             double aSlowdown);

  /** Returns the expected slowdown of the victim by one core of the neighbour's
   * load: the estimate, shrunk towards the prior where evidence is sparse. */
  double SlowdownPerCore(TimePoint aNow,
                         std::uint32_t aVictim,
                         std::uint32_t aNeighbour) const;

  /** Returns the weight of the evidence on a pair, after decay. */
  double EvidenceWeight(TimePoint aNow,
                        std::uint32_t aVictim,
                        std::uint32_t aNeighbour) const;

private:
  struct Pair
  {
    double estimate = 0;
    double weight = 0;
    TimePoint updated;
  };

  struct StringHash
  {
    using is_transparent = void; // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view aText) const
    {
      return std::hash<std::string_view>{}(aText);
    }
  };

  Pair& PairOf(TimePoint aNow, std::uint32_t aVictim, std::uint32_t aNeighbour);
  double Prior() const;

  std::unordered_map<std::string, std::uint32_t, StringHash, std::equal_to<>>
    ids;
  std::unordered_map<std::uint64_t, Pair> pairs;
  /** Mean slowdown per core of load over all measurements. */
  double overallPerCore = 0;
  double overallWeight = 0;
};

} // namespace sequoiakeel
