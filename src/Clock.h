#pragma once

#include <chrono>

namespace sequoiakeel {

/** A point on the monotonic time line of one process. */
using TimePoint = std::chrono::steady_clock::time_point;

/** The unit of all durations that decision code handles. */
using Duration = std::chrono::steady_clock::duration;

/** Source of monotonic time. Decision code never reads the system's clock
 * directly. */
class Clock
{
public:
  virtual ~Clock() = default;

  /** Returns the current time. Thread safe; never goes backwards. */
  virtual TimePoint Now() const = 0;
};

/** Reads std::chrono::steady_clock. */
class SystemClock : public Clock
{
public:
  /** Returns the current time. Thread safe. */
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
};

} // namespace sequoiakeel
