#pragma once

#include "PlacementRound.h"

#include <deque>
#include <span>
#include <vector>

namespace sequoiakeel {

/**
 * Reserves capacity for the next burst of urgent tasks, so that they start at
 * once without an eviction. The size of the reserve is that of the largest
 * recent burst; without a recent burst nothing is reserved. Not thread safe.
 */
class UrgentHeadroom
{
public:
  /** Begins a planning pass: records new urgent tasks and determines the free
   * capacity for them. */
  void Begin(PlacementRound& aRound, std::span<const TaskView> aQueue);

  /** Returns whether the task may be placed on the worker without using
   * capacity reserved for urgent tasks. */
  bool Allows(const PlacementRound& aRound,
              std::size_t aWorker,
              const TaskView& aTask) const;

  /** Updates the free capacity of the worker after a placement on it. */
  void RecordPlacement(const PlacementRound& aRound, std::size_t aWorker);

private:
  struct Arrival
  {
    TimePoint at;
    Resources resources;
  };

  std::int64_t SlotsIn(const Resources& aFree) const;
  void UpdateReserve(TimePoint aNow, std::span<const TaskView> aQueue);

  std::deque<Arrival> arrivals;
  TimePoint lastArrivalAt = TimePoint::min();
  /** Resources that suffice for any recent urgent task (taskSize), and number
   * of such tasks to reserve capacity for (reservedSlots). */
  Resources taskSize;
  std::int64_t reservedSlots = 0;
  /** Number of tasks of the size taskSize that fit into the free capacity, by
   * worker and in total. */
  std::vector<std::int64_t> slots;
  std::int64_t totalSlots = 0;
};

} // namespace sequoiakeel
