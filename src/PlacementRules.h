#pragma once

#include "PlacementPolicy.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoiakeel {

/** What a team may still commit within one round. Not thread safe. */
class QuotaCount
{
public:
  explicit QuotaCount(std::span<const TeamView> aTeams);

  /** Name of the resource of which the task exceeds its team's quota; empty
   * if it is within. */
  std::string Exceeded(const TaskView& aTask) const;

  /** Counts a placement of this round. */
  void Add(const TaskView& aTask);

private:
  std::map<std::string, Resources, std::less<>> left;
};

/** Tells tasks that are larger than every worker. Not thread safe. */
class CapacityCheck
{
public:
  explicit CapacityCheck(std::span<const WorkerView> aWorkers);

  /** Why the task fits no worker even if that is empty, with the limiting
   * resource and the largest worker; empty if it fits one, or if no worker is
   * known. */
  std::string WhyNowhere(const TaskView& aTask) const;

  /** Largest capacity for each resource. */
  const Resources& Largest() const { return this->largest; }

private:
  std::vector<const WorkerView*> distinct;
  Resources largest;
};

} // namespace sequoiakeel
