#pragma once

#include "Clock.h"

#include <ctime>

namespace sequoiakeel {

/** Reads CLOCK_BOOTTIME, which also counts the time during which the host was
 * suspended. The validity of leases must be measured with it: the steady clock
 * stops during a suspension, while the clocks of the store and of the workers
 * continue. */
class BootClock : public Clock
{
public:
  TimePoint Now() const override
  {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
  }
};

/** Source of wall-clock time. Thread safe. */
class WallClock
{
public:
  virtual ~WallClock() = default;

  /** Returns milliseconds since the Unix epoch. Thread safe. */
  virtual std::uint64_t UnixMs() const
  {
    return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count());
  }
};

} // namespace sequoiakeel
