#include "UrgentHeadroom.h"

#include <algorithm>
#include <limits>

namespace sequoiakeel {

namespace {

/** Time for which arrivals of urgent tasks are kept. */
constexpr Duration kArrivalRetention = std::chrono::minutes(15);
/** Urgent tasks that arrive within this time form a burst. */
constexpr Duration kBurstWindow = std::chrono::seconds(5);
/** Bounds the reserve: at most one slot per this number of workers. */
constexpr std::size_t kWorkersPerSlot = 4;
/** Bounds memory. */
constexpr std::size_t kMaxArrivals = 4096;

} // namespace

void
UrgentHeadroom::UpdateReserve(TimePoint aNow, std::span<const TaskView> aQueue)
{
  TimePoint latest = this->lastArrivalAt;
  for (const TaskView& task : aQueue) {
    // An evicted task is queued again without being part of a new burst.
    if (!task.urgent || task.evictions > 0 ||
        task.queuedSince <= this->lastArrivalAt) {
      continue;
    }
    latest = std::max(latest, task.queuedSince);
    this->arrivals.push_back({ task.queuedSince, task.resources });
  }
  this->lastArrivalAt = latest;
  while (!this->arrivals.empty() &&
         (aNow - this->arrivals.front().at > kArrivalRetention ||
          this->arrivals.size() > kMaxArrivals)) {
    this->arrivals.pop_front();
  }
  this->taskSize = {};
  this->reservedSlots = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < this->arrivals.size(); ++i) {
    this->taskSize = Larger(this->taskSize, this->arrivals[i].resources);
    while (this->arrivals[i].at - this->arrivals[first].at > kBurstWindow) {
      ++first;
    }
    this->reservedSlots =
      std::max(this->reservedSlots, static_cast<std::int64_t>(i - first + 1));
  }
}

std::int64_t
UrgentHeadroom::SlotsIn(const Resources& aFree) const
{
  std::int64_t fit = std::numeric_limits<std::int64_t>::max();
  const auto limit = [&](std::int64_t aHas, std::int64_t aNeeds) {
    if (aNeeds > 0) {
      fit = std::min(fit, std::max<std::int64_t>(0, aHas / aNeeds));
    }
  };
  limit(aFree.cpuMillis, this->taskSize.cpuMillis);
  limit(aFree.memoryMb, this->taskSize.memoryMb);
  limit(aFree.accelerators, this->taskSize.accelerators);
  return fit == std::numeric_limits<std::int64_t>::max() ? 0 : fit;
}

void
UrgentHeadroom::Begin(PlacementRound& aRound, std::span<const TaskView> aQueue)
{
  this->UpdateReserve(aRound.Cell().now, aQueue);
  const std::size_t workers = aRound.Workers().size();
  this->reservedSlots = std::min(
    this->reservedSlots, static_cast<std::int64_t>(workers / kWorkersPerSlot));
  this->slots.clear();
  this->totalSlots = 0;
  if (this->reservedSlots == 0) {
    return;
  }
  for (std::size_t i = 0; i < workers; ++i) {
    const bool healthy =
      aRound.Workers()[i].view->quarantine == QuarantineState::Healthy;
    this->slots.push_back(healthy ? this->SlotsIn(aRound.Free().Free(i)) : 0);
    this->totalSlots += this->slots.back();
  }
}

bool
UrgentHeadroom::Allows(const PlacementRound& aRound,
                       std::size_t aWorker,
                       const TaskView& aTask) const
{
  if (this->reservedSlots == 0 || aTask.urgent || aTask.latencyCritical) {
    return true;
  }
  const std::int64_t before = this->slots[aWorker];
  const std::int64_t after =
    this->SlotsIn(Difference(aRound.Free().Free(aWorker), aTask.resources));
  return after >= before ||
         this->totalSlots - before + after >= this->reservedSlots;
}

void
UrgentHeadroom::RecordPlacement(const PlacementRound& aRound,
                                std::size_t aWorker)
{
  if (this->reservedSlots == 0) {
    return;
  }
  const std::int64_t after = this->SlotsIn(aRound.Free().Free(aWorker));
  this->totalSlots += after - this->slots[aWorker];
  this->slots[aWorker] = after;
}

} // namespace sequoiakeel
