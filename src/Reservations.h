#pragma once

#include "PlacementRound.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoiakeel {

/**
 * Keeps room on a worker for a large task that small ones would overtake
 * forever. Other tasks may still start there if they are expected to end
 * before the reserved task can start, or fit beside it. A reservation is kept
 * over the rounds until the task is placed or leaves the queue. Not thread
 * safe.
 */
class Reservations
{
public:
  /** Begins a round: drops reservations of tasks that are gone from the queue
   * and of workers that accept nothing. */
  void Begin(PlacementRound& aRound, std::span<const TaskView> aQueue);

  /** Reserves room for a task that has none now, if the limit allows. */
  void Reserve(PlacementRound& aRound,
               const TaskView& aTask,
               const Resources& aRoom);

  /** Whether the worker's room may be used by the task. */
  bool Allows(PlacementRound& aRound,
              std::size_t aWorker,
              const TaskView& aTask) const;

  /** Counts a placement on the worker. */
  void Placed(PlacementRound& aRound,
              std::size_t aWorker,
              const TaskView& aTask);

  /** Name of the worker reserved for the task; empty if none. */
  std::string WorkerOf(const std::string& aTask) const;

private:
  struct Reservation
  {
    std::string worker;
    std::size_t index = 0;
    Resources resources;
    TimePoint startsAt;
    /** Room beside the reserved task once it has started. */
    Resources spare;
  };

  void Update(PlacementRound& aRound, Reservation& aReservation) const;

  std::map<std::string, Reservation> reservations;
  /** Reservation of each worker of the round; null: none. */
  std::vector<const Reservation*> byWorker;
};

} // namespace sequoiakeel
