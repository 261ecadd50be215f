#include "ClosedZones.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sequoiakeel {

namespace {

/** Part of the allowed time that is kept for the differences between the clocks
 * of the store, the owner and the worker. */
constexpr std::chrono::milliseconds kClockMargin{ 200 };

std::optional<Duration>
LongestAge(std::optional<Duration> aStopWithin, Duration aStartTime)
{
  if (!aStopWithin) {
    return std::nullopt;
  }
  return std::max<Duration>(Duration::zero(),
                            *aStopWithin - aStartTime - kClockMargin);
}

} // namespace

ClosedZones::ClosedZones(std::optional<Duration> aStopWithin,
                         Duration aStartTime)
  : freshness(LongestAge(aStopWithin, aStartTime))
{
}

ZoneChanges
ClosedZones::Update(std::set<std::string> aZones, TimePoint aReadAt)
{
  this->freshness.Renew(aReadAt);
  ZoneChanges changes;
  std::ranges::set_difference(
    aZones, this->zones, std::back_inserter(changes.closed));
  std::ranges::set_difference(
    this->zones, aZones, std::back_inserter(changes.opened));
  this->zones = std::move(aZones);
  return changes;
}

} // namespace sequoiakeel
