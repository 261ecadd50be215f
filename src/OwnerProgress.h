#pragma once

#include "Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace sequoiakeel {

/** Longest time without progress of work that is due. It exceeds the outages of
 * the store, which last up to 4.5 s, and the calls that wait when one ends. */
inline constexpr std::chrono::seconds kStallLimit{ 10 };

/** Work of a cell's owner without which the cell stands still. */
enum class OwnerDuty : std::uint8_t
{
  LoadState,
  ReadInbox,
  ReadRegistry,
  WriteProgress,
};

/** Tracks whether the work of a cell's owner gets anywhere. An owner that
 * renews its ownership and answers probes may still fail in one of its duties
 * for good. Not thread safe. */
class OwnerProgress
{
public:
  /** Starts to expect progress in a duty. No effect if it is expected. */
  void Begin(OwnerDuty aDuty, TimePoint aNow);

  /** Records progress in a duty, and expects more of it. */
  void Advance(OwnerDuty aDuty, TimePoint aNow);

  /** Ends the expectation. */
  void Finish(OwnerDuty aDuty);

  /** Returns the longest time for which a duty has made no progress that is
   * expected of it. */
  Duration StalledFor(TimePoint aNow) const;

private:
  static constexpr std::size_t kDuties = 4;

  std::optional<TimePoint>& Last(OwnerDuty aDuty)
  {
    return this->last[static_cast<std::size_t>(aDuty)];
  }

  /** Time of the last progress; empty if none is expected. */
  std::array<std::optional<TimePoint>, kDuties> last;
};

/**
 * Determines for how long an owner may stall before another process removes it.
 * The limit doubles with each owner in a row that never served, since removing
 * it helps only if the next one does better. Not thread safe.
 */
class StallLimit
{
public:
  /** Records that the cell has a new owner. */
  void OwnerChanged();

  /** Records that the present owner serves the cell. */
  void OwnerServes() { this->served = true; }

  Duration Get() const;

private:
  bool served = true;
  int unserved = 0;
};

} // namespace sequoiakeel
