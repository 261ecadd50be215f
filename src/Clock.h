#pragma once

#include <chrono>

namespace sequoiakeel {

/** A point in monotonic time. Comparable only within one process. */
using TimePoint = std::chrono::steady_clock::time_point;

/** Type of all durations in decision code. */
using Duration = std::chrono::steady_clock::duration;

/** Source of monotonic time. Decision code reads the time only through this
 * interface, so that tests can control it. */
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
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
};

} // namespace sequoiakeel
