#pragma once

#include "Clock.h"

#include <optional>

namespace sequoiakeel {

/**
 * Bounds the age of what was read from outside and is relied on by decisions.
 * The age counts from the begin of the read, so that it is never
 * underestimated. Not thread safe.
 */
class Freshness
{
public:
  /** aLongestAge: age up to which the information may be relied on; unset: it
   * may be relied on forever, and also before it was read. */
  explicit Freshness(std::optional<Duration> aLongestAge)
    : longestAge(aLongestAge)
  {
  }

  /** Records that the information was read. aReadAt: when the read began. */
  void Renew(TimePoint aReadAt) { this->readAt = aReadAt; }

  /** Returns whether the information may be relied on. */
  bool IsFresh(TimePoint aNow) const
  {
    return !this->longestAge ||
           (this->readAt && aNow - *this->readAt <= *this->longestAge);
  }

  /** Returns the age of the information, or nothing if it was never read. */
  std::optional<Duration> Age(TimePoint aNow) const
  {
    return this->readAt ? std::optional<Duration>(aNow - *this->readAt)
                        : std::nullopt;
  }

private:
  std::optional<Duration> longestAge;
  std::optional<TimePoint> readAt;
};

} // namespace sequoiakeel
