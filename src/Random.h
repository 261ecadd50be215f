#pragma once

#include <random>

namespace sequoiakeel {

/** Random number generator of decision code, seeded by the caller. Not thread
 * safe. */
using Random = std::mt19937_64;

/** Returns a uniformly distributed number in [0, 1). */
inline double
DrawUnit(Random& aRandom)
{
  constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>(aRandom() >> 11) * kScale;
}

/** Returns a uniformly distributed integer in [0, aCount). Precondition: 0 <
 * aCount < 2^32. */
inline std::size_t
DrawIndex(Random& aRandom, std::size_t aCount)
{
  return static_cast<std::size_t>(((aRandom() >> 32) * aCount) >> 32);
}

} // namespace sequoiakeel
