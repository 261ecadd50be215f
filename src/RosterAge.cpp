#include "RosterAge.h"

#include <algorithm>

namespace sequoiakeel {

namespace {

/** Covers the rounding of the readings. */
constexpr std::chrono::milliseconds kRounding{ 2 };

} // namespace

std::vector<WorkerClock>
RosterAge::ReadClocks(const std::map<std::string, ScheduledWorker>& aWorkers,
                      TimePoint aNow)
{
  std::vector<const ScheduledWorker*> readable;
  for (const auto& [id, worker] : aWorkers) {
    if (worker.reported && !worker.unresponsive && worker.clockReadingMs > 0) {
      readable.push_back(&worker);
    }
  }
  const std::size_t stride =
    std::max<std::size_t>(1, (readable.size() + kMaxClocks - 1) / kMaxClocks);
  std::vector<WorkerClock> clocks;
  for (std::size_t i = 0; i < readable.size(); i += stride) {
    const ScheduledWorker& worker = *readable[i];
    // The worker read its clock after the report was requested.
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      aNow - worker.clockRequestedAt + kRounding);
    clocks.push_back(WorkerClock{
      worker.description.id,
      worker.reportedIncarnation,
      worker.clockReadingMs + static_cast<std::uint64_t>(elapsed.count()) });
  }
  return clocks;
}

void
RosterAge::Restore(std::span<const WorkerClock> aClocks)
{
  this->recorded.clear();
  this->writtenBefore.reset();
  for (const WorkerClock& clock : aClocks) {
    this->recorded[clock.worker] = clock;
  }
}

std::vector<WorkerClock>
RosterAge::Loaded() const
{
  std::vector<WorkerClock> clocks;
  for (const auto& [worker, clock] : this->recorded) {
    clocks.push_back(clock);
  }
  return clocks;
}

bool
RosterAge::HandleReading(const WorkerClock& aReading, TimePoint aNow)
{
  const auto found = this->recorded.find(aReading.worker);
  // The clock of another incarnation begins anew.
  if (found == this->recorded.end() ||
      found->second.incarnation != aReading.incarnation ||
      aReading.readingMs < found->second.readingMs) {
    return false;
  }
  const TimePoint before =
    aNow -
    std::chrono::milliseconds(aReading.readingMs - found->second.readingMs);
  if (this->writtenBefore && *this->writtenBefore <= before) {
    return false;
  }
  this->writtenBefore = before;
  return true;
}

} // namespace sequoiakeel
