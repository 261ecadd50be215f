#pragma once

#include "Freshness.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Reads which availability zones the operator has closed. Thread safe. */
class ClosedZoneSource
{
public:
  virtual ~ClosedZoneSource() = default;

  /** Returns the names of the closed zones, or nullopt if they could not be
   * read. The result is not older than the begin of the call. */
  virtual boost::asio::awaitable<std::optional<std::set<std::string>>>
  List() = 0;
};

/** Zones that were closed or opened between two reads. */
struct ZoneChanges
{
  std::vector<std::string> closed;
  std::vector<std::string> opened;
};

/**
 * The availability zones whose workers get no new tasks, as they were last
 * read. While the last read is too old to rule out that a zone was closed
 * meanwhile, no zone takes starts. Not thread safe.
 */
class ClosedZones
{
public:
  /** aStopWithin: time after the operator's request from which no task may
   * start in the zone; unset: zones cannot be closed. aStartTime: longest time
   * between a decision to start a task and its start. */
  ClosedZones(std::optional<Duration> aStopWithin, Duration aStartTime);

  /** Applies a read that began at aReadAt and returns what it changed. */
  ZoneChanges Update(std::set<std::string> aZones, TimePoint aReadAt);

  /** Returns whether a start may be decided on for a worker of a zone. */
  bool MayStart(const std::string& aZone, TimePoint aNow) const
  {
    return this->IsKnown(aNow) && !this->IsClosed(aZone);
  }

  /** Returns whether the last read is recent enough to decide on starts. */
  bool IsKnown(TimePoint aNow) const { return this->freshness.IsFresh(aNow); }

  /** Returns whether a zone was closed when it was last read. */
  bool IsClosed(const std::string& aZone) const
  {
    return this->zones.contains(aZone);
  }

  const std::set<std::string>& Zones() const { return this->zones; }

  /** Returns the age of the last read, or nothing before the first one. */
  std::optional<Duration> Age(TimePoint aNow) const
  {
    return this->freshness.Age(aNow);
  }

private:
  Freshness freshness;
  std::set<std::string> zones;
};

} // namespace sequoiakeel
