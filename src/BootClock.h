#pragma once

#include "Clock.h"

#include <ctime>

namespace sequoiakeel {

/** Reads CLOCK_BOOTTIME, which also counts the time in which the host was
 * suspended. Leases must be judged by it: the steady clock stands still while
 * the store's clock and the workers' clocks go on. */
class BootClock : public Clock
{
public:
  /** Returns the current time. Thread safe. */
  TimePoint Now() const override
  {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
  }
};

/** Source of the time of day. Thread safe. */
class WallClock
{
public:
  virtual ~WallClock() = default;

  /** Returns milliseconds since 1970. Thread safe. */
  virtual std::uint64_t UnixMs() const
  {
    return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count());
  }
};

} // namespace sequoiakeel
