#pragma once

#include "Clock.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sequoiakeel {

/** A neighbour at the time of a measurement. */
struct NeighbourLoad
{
  std::string_view kind;
  /** Processors that it used or is expected to use, in cores. */
  double cores = 0;
};

/**
 * Learns for each ordered pair of task kinds how much one core of the
 * neighbour's load slows the victim down. A prior per pair is replaced as
 * evidence accumulates; old evidence decays, since interference changes with
 * load. Not thread safe.
 */
class Interference
{
public:
  /** Interns a kind; the id is valid for the life of the object. */
  std::uint32_t IdOf(std::string_view aKind);

  /** Takes in one late measurement: the slowdown (0: undisturbed, 0.5: takes
   * 1.5 times as long) of a victim beside its neighbours. */
  void Learn(TimePoint aNow,
             std::string_view aVictim,
             std::span<const NeighbourLoad> aNeighbours,
             double aSlowdown);

  /** Expected slowdown of the victim by one core of the neighbour's load;
   * between the prior and the learnt value by the weight of the evidence. */
  double PerCore(TimePoint aNow,
                 std::uint32_t aVictim,
                 std::uint32_t aNeighbour);

  /** Weight of the evidence on a pair, after decay. */
  double Evidence(TimePoint aNow,
                  std::uint32_t aVictim,
                  std::uint32_t aNeighbour) const;

private:
  struct Cell
  {
    double estimate = 0;
    double weight = 0;
    TimePoint updated;
  };

  std::uint64_t Key(std::uint32_t aVictim, std::uint32_t aNeighbour) const;
  void Decay(TimePoint aNow, Cell& aCell) const;

  std::unordered_map<std::string, std::uint32_t> ids;
  std::unordered_map<std::uint64_t, Cell> cells;
  /** Mean slowdown per core over all pairs, the prior of a new pair. */
  Cell overall;
};

} // namespace sequoiakeel
