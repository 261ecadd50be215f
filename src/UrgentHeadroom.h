#pragma once

#include "PlacementRound.h"

#include <deque>
#include <span>
#include <vector>

namespace sequoiakeel {

/**
 * Keeps room for the next burst of urgent tasks, so that these start at once
 * without an eviction. The size of a burst is learnt from the last ones; with
 * none in the recent past nothing is kept. Not thread safe.
 */
class UrgentHeadroom
{
public:
  /** Begins a round: takes in new urgent tasks and counts the room there is. */
  void Begin(PlacementRound& aRound, std::span<const TaskView> aQueue);

  /** Whether the task may use the worker's room. */
  bool Allows(const PlacementRound& aRound,
              std::size_t aWorker,
              const TaskView& aTask) const;

  /** Counts a placement on the worker; call after it was made. */
  void Placed(const PlacementRound& aRound, std::size_t aWorker);

private:
  struct Arrival
  {
    TimePoint at;
    Resources resources;
  };

  std::int64_t SlotsIn(const Resources& aFree) const;
  void Learn(TimePoint aNow, std::span<const TaskView> aQueue);

  std::deque<Arrival> arrivals;
  TimePoint newest = TimePoint::min();
  /** Size of an urgent task and number of tasks in a burst. */
  Resources shape;
  std::int64_t wanted = 0;
  /** Tasks of that size that fit now, by worker and in all. */
  std::vector<std::int64_t> slots;
  std::int64_t total = 0;
};

} // namespace sequoiakeel
