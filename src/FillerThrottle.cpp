#include "FillerThrottle.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

constexpr double kPauseRatio = 1.5;
constexpr double kDecreaseRatio = 0.9;
constexpr double kIncreaseRatio = 0.6;
constexpr int kIncreasePercent = 20;
/** Lower speeds are rounded down to 0, which pauses the fillers. */
constexpr int kMinPercent = 20;

} // namespace

int
MultiplicativeThrottle::NextPercent(int aPercent, double aLatencyRatio) const
{
  if (aLatencyRatio > kPauseRatio) {
    return 0;
  }
  if (aLatencyRatio > kDecreaseRatio) {
    const int slower = aPercent * 2 / 5;
    return slower < kMinPercent ? 0 : slower;
  }
  if (aLatencyRatio < kIncreaseRatio) {
    return std::min(100, aPercent + kIncreasePercent);
  }
  return aPercent;
}

} // namespace sequoiakeel
