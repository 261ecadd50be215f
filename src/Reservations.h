#pragma once

#include "PlacementRound.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoiakeel {

/**
 * Reserves capacity on a worker for a large task, which would otherwise never
 * start because small tasks keep using the capacity that becomes free. Other
 * tasks may still start there if they are expected to end before the reserved
 * task can start, or fit beside it; urgent and latency-critical tasks always
 * may. A reservation persists across planning passes until the task is placed
 * or leaves the queue, or the worker becomes unsuitable. Not thread safe.
 */
class Reservations
{
public:
  /** Begins a planning pass: drops reservations for tasks that are no longer in
   * the queue, on workers that accept no tasks, and on workers where the task
   * is not expected to fit soon enough. Updates the expected starts of the
   * rest. */
  void Begin(PlacementRound& aRound, std::span<const TaskView> aQueue);

  /** Reserves aRoom for the task on the worker where it is expected to fit
   * first. Does nothing if the task has a reservation already, the limit on the
   * number of reservations is reached or no worker is suitable. */
  void Reserve(PlacementRound& aRound,
               const TaskView& aTask,
               const Resources& aRoom);

  /** Returns whether the task may start on the worker despite reservations. */
  bool Allows(PlacementRound& aRound,
              std::size_t aWorker,
              const TaskView& aTask) const;

  /** Records a placement: ends the task's own reservation and, if the worker is
   * reserved for another task, updates the capacity left beside that task. */
  void Placed(PlacementRound& aRound,
              std::size_t aWorker,
              const TaskView& aTask);

  /** Returns the name of the worker with a reservation for the task; empty if
   * there is none. */
  std::string WorkerOf(const std::string& aTask) const;

private:
  struct Reservation
  {
    std::string worker;
    std::size_t index = 0;
    Resources resources;
    TimePoint startsAt;
    /** Capacity left on the worker once the reserved task has started. */
    Resources spare;
  };

  void Update(PlacementRound& aRound, Reservation& aReservation) const;

  std::map<std::string, Reservation> reservations;
  /** Reservation on each worker, by the worker's index in the current planning
   * pass; null: none. */
  std::vector<const Reservation*> byWorker;
};

} // namespace sequoiakeel
