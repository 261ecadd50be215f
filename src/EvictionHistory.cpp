#include "EvictionHistory.h"

namespace sequoiakeel {

namespace {

constexpr Duration kCellWindow = std::chrono::minutes(1);
constexpr Duration kWorkerWindow = std::chrono::minutes(10);
/** Time for which evictions are kept; at least the longest window of a limit
 * and the minimum time between two evictions of a task. */
constexpr Duration kKept = std::chrono::minutes(10);

} // namespace

void
EvictionHistory::Begin(TimePoint aNow)
{
  while (!this->entries.empty() && aNow - this->entries.front().at > kKept) {
    const Entry& old = this->entries.front();
    const auto task = this->tasks.find(old.task);
    if (task != this->tasks.end() && task->second == old.at) {
      this->tasks.erase(task);
    }
    this->entries.pop_front();
  }
}

bool
EvictionHistory::Allows(const EvictionLimits& aLimits,
                        TimePoint aNow,
                        const std::string& aWorker) const
{
  if (!aLimits.mayStop) {
    return false;
  }
  std::int64_t inCell = 0;
  std::int64_t onWorker = 0;
  for (const Entry& entry : this->entries) {
    inCell += aNow - entry.at < kCellWindow ? 1 : 0;
    const bool here = entry.worker == aWorker;
    onWorker += here && aNow - entry.at < kWorkerWindow ? 1 : 0;
  }
  return inCell < aLimits.perMinute && onWorker < aLimits.perWorker;
}

void
EvictionHistory::Add(TimePoint aNow,
                     const std::string& aWorker,
                     const std::string& aTask)
{
  this->entries.push_back({ aNow, aWorker, aTask });
  this->tasks[aTask] = aNow;
}

TimePoint
EvictionHistory::LastOf(const std::string& aTask) const
{
  const auto found = this->tasks.find(aTask);
  return found == this->tasks.end() ? TimePoint::min() : found->second;
}

} // namespace sequoiakeel
