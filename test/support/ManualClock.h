#pragma once

#include "Clock.h"

#include <atomic>

namespace sequoiakeel {

/** A clock that advances only when a test calls Advance(). Thread safe. */
class ManualClock : public Clock
{
public:
  TimePoint Now() const override
  {
    return TimePoint(Duration(this->ticks.load()));
  }

  void Advance(Duration aStep) { this->ticks += aStep.count(); }

private:
  std::atomic<Duration::rep> ticks{
    std::chrono::duration_cast<Duration>(std::chrono::hours(1)).count()
  };
};

} // namespace sequoiakeel
