#include "PlacementRules.h"

#include <algorithm>

namespace sequoiakeel {

QuotaCount::QuotaCount(std::span<const TeamView> aTeams)
{
  for (const TeamView& team : aTeams) {
    this->left[team.team] = Difference(team.quota, team.committed);
  }
}

std::string
QuotaCount::Exceeded(const TaskView& aTask) const
{
  const auto found = this->left.find(aTask.team);
  return found == this->left.end()
           ? std::string()
           : LimitingResource(aTask.resources, found->second);
}

void
QuotaCount::Add(const TaskView& aTask)
{
  const auto found = this->left.find(aTask.team);
  if (found != this->left.end()) {
    found->second = Difference(found->second, aTask.resources);
  }
}

CapacityCheck::CapacityCheck(std::span<const WorkerView> aWorkers)
{
  for (const WorkerView& worker : aWorkers) {
    if (worker.leaving) {
      continue;
    }
    this->largest = Larger(this->largest, worker.capacity);
    const bool known =
      std::ranges::any_of(this->distinct, [&](const WorkerView* aOther) {
        return aOther->capacity == worker.capacity;
      });
    if (!known) {
      this->distinct.push_back(&worker);
    }
  }
}

std::string
CapacityCheck::WhyNowhere(const TaskView& aTask) const
{
  const WorkerView* largestWorker = nullptr;
  std::string limiting;
  for (const WorkerView* worker : this->distinct) {
    std::string missing = LimitingResource(aTask.resources, worker->capacity);
    if (missing.empty()) {
      return {};
    }
    const auto amount = [&](const WorkerView& aWorker) {
      if (missing == "cpu") {
        return aWorker.capacity.cpuMillis;
      }
      return missing == "memory" ? aWorker.capacity.memoryMb
                                 : aWorker.capacity.accelerators;
    };
    if (largestWorker == nullptr || amount(*worker) > amount(*largestWorker)) {
      largestWorker = worker;
      limiting = std::move(missing);
    }
  }
  if (largestWorker == nullptr) {
    return {};
  }
  return "fits no worker: limiting resource " + limiting + ", needs " +
         Format(aTask.resources) + ", largest worker " + largestWorker->name +
         " has " + Format(largestWorker->capacity);
}

} // namespace sequoiakeel
