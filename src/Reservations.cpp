#include "Reservations.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace sequoiakeel {

namespace {

/** Number of workers of the cell for each reservation that may exist at the
 * same time. At least one may exist. */
constexpr std::size_t kWorkersPerReservation = 24;
/** If the reserved task is expected to start later than this, no reservation is
 * made and an existing one is dropped: the capacity would be idle for too
 * long. */
constexpr Duration kLongestWait = std::chrono::hours(1);

struct FutureRoom
{
  TimePoint at = TimePoint::max();
  Resources free;
};

/** Returns when aNeeded will fit on the worker and the capacity that is free at
 * that time, from the expected ends of the worker's tasks. The time is
 * TimePoint::max() if aNeeded does not fit within kLongestWait. */
FutureRoom
RoomFor(PlacementRound& aRound, std::size_t aWorker, const Resources& aNeeded)
{
  const TimePoint now = aRound.Cell().now;
  FutureRoom room{ now, aRound.Free().Free(aWorker) };
  if (Within(aNeeded, room.free)) {
    return room;
  }
  std::vector<std::pair<Duration, Resources>> ends;
  for (const RunningTaskView& task : aRound.Workers()[aWorker].view->tasks) {
    const Duration remaining = ExpectedRemaining(task, now, aRound.Knowledge());
    if (remaining > kLongestWait) {
      continue;
    }
    ends.emplace_back(remaining, Larger(task.committed, task.usage));
  }
  std::ranges::sort(ends, {}, &std::pair<Duration, Resources>::first);
  for (const auto& [remaining, amount] : ends) {
    room.free = Sum(room.free, amount);
    room.at = now + remaining;
    if (Within(aNeeded, room.free)) {
      return room;
    }
  }
  room.at = TimePoint::max();
  return room;
}

} // namespace

void
Reservations::Update(PlacementRound& aRound, Reservation& aReservation) const
{
  const FutureRoom room =
    RoomFor(aRound, aReservation.index, aReservation.resources);
  aReservation.startsAt = room.at;
  aReservation.spare = Difference(room.free, aReservation.resources);
}

void
Reservations::Begin(PlacementRound& aRound, std::span<const TaskView> aQueue)
{
  const std::vector<RoundWorker>& workers = aRound.Workers();
  this->byWorker.assign(workers.size(), nullptr);
  if (this->reservations.empty()) {
    return;
  }
  std::unordered_set<std::string_view> queued;
  for (const TaskView& task : aQueue) {
    queued.insert(task.task);
  }
  std::unordered_map<std::string_view, std::size_t> indices;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    if (workers[i].accepts) {
      indices.emplace(workers[i].view->name, i);
    }
  }
  std::erase_if(this->reservations, [&](const auto& aEntry) {
    return !queued.contains(aEntry.first) ||
           !indices.contains(aEntry.second.worker);
  });
  for (auto& [task, reservation] : this->reservations) {
    reservation.index = indices.at(reservation.worker);
    this->Update(aRound, reservation);
    this->byWorker[reservation.index] = &reservation;
  }
  std::erase_if(this->reservations, [&](const auto& aEntry) {
    const bool never = aEntry.second.startsAt == TimePoint::max();
    if (never) {
      this->byWorker[aEntry.second.index] = nullptr;
    }
    return never;
  });
}

void
Reservations::Reserve(PlacementRound& aRound,
                      const TaskView& aTask,
                      const Resources& aRoom)
{
  const std::vector<RoundWorker>& workers = aRound.Workers();
  const std::size_t allowed =
    std::max<std::size_t>(1, workers.size() / kWorkersPerReservation);
  if (this->reservations.size() >= allowed ||
      this->reservations.contains(aTask.task)) {
    return;
  }
  Reservation best;
  best.startsAt = TimePoint::max();
  for (std::size_t i = 0; i < workers.size(); ++i) {
    const bool usable =
      workers[i].accepts && this->byWorker[i] == nullptr &&
      workers[i].view->quarantine == QuarantineState::Healthy &&
      Within(aRoom, workers[i].view->capacity);
    if (!usable) {
      continue;
    }
    const FutureRoom room = RoomFor(aRound, i, aRoom);
    if (room.at < best.startsAt) {
      best = {
        workers[i].view->name, i, aRoom, room.at, Difference(room.free, aRoom)
      };
    }
  }
  if (best.startsAt == TimePoint::max()) {
    return;
  }
  const std::size_t index = best.index;
  const auto [entry, added] =
    this->reservations.emplace(aTask.task, std::move(best));
  this->byWorker[index] = &entry->second;
}

bool
Reservations::Allows(PlacementRound& aRound,
                     std::size_t aWorker,
                     const TaskView& aTask) const
{
  const Reservation* reservation = this->byWorker[aWorker];
  if (reservation == nullptr || aTask.urgent || aTask.latencyCritical) {
    return true;
  }
  const auto own = this->reservations.find(aTask.task);
  if (own != this->reservations.end() && &own->second == reservation) {
    return true;
  }
  if (Within(aTask.resources, reservation->spare)) {
    return true;
  }
  const Duration whole =
    aRound.Knowledge().sizes.ExpectedRunTime(aTask.kind, aTask.runTime);
  const bool known = !aTask.longRunning && whole > Duration::zero();
  return known && aRound.Cell().now + whole <= reservation->startsAt;
}

void
Reservations::Placed(PlacementRound& aRound,
                     std::size_t aWorker,
                     const TaskView& aTask)
{
  const auto own = this->reservations.find(aTask.task);
  if (own != this->reservations.end()) {
    this->byWorker[own->second.index] = nullptr;
    this->reservations.erase(own);
  }
  if (this->byWorker[aWorker] == nullptr) {
    return;
  }
  for (auto& [task, reservation] : this->reservations) {
    if (reservation.index != aWorker) {
      continue;
    }
    const Duration whole =
      aRound.Knowledge().sizes.ExpectedRunTime(aTask.kind, aTask.runTime);
    const bool endsBefore = !aTask.longRunning && whole > Duration::zero() &&
                            aRound.Cell().now + whole <= reservation.startsAt;
    if (!endsBefore) {
      reservation.spare = Difference(reservation.spare, aTask.resources);
    }
  }
}

std::string
Reservations::WorkerOf(const std::string& aTask) const
{
  const auto found = this->reservations.find(aTask);
  return found == this->reservations.end() ? std::string()
                                           : found->second.worker;
}

} // namespace sequoiakeel
