#include "FillerThrottle.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

constexpr double kStopRatio = 1.5;
constexpr double kSlowRatio = 0.9;
constexpr double kClimbRatio = 0.6;
constexpr int kClimbPercent = 20;
/** Lower speeds are rounded down to 0, which pauses the fillers. */
constexpr int kMinPercent = 20;

} // namespace

int
MultiplicativeThrottle::Next(int aPercent, double aLatencyRatio) const
{
  if (aLatencyRatio > kStopRatio) {
    return 0;
  }
  if (aLatencyRatio > kSlowRatio) {
    const int slower = aPercent * 2 / 5;
    return slower < kMinPercent ? 0 : slower;
  }
  if (aLatencyRatio < kClimbRatio) {
    return std::min(100, aPercent + kClimbPercent);
  }
  return aPercent;
}

} // namespace sequoiakeel
