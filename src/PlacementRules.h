#pragma once

#include "PlacementPolicy.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoiakeel {

/** Quota that each team has left during one planning pass. Not thread safe. */
class QuotaCount
{
public:
  explicit QuotaCount(std::span<const TeamView> aTeams);

  /** Returns the name of the first resource of which the task would exceed its
   * team's remaining quota; empty if it exceeds none. */
  std::string Exceeded(const TaskView& aTask) const;

  /** Subtracts a placed task from its team's remaining quota. */
  void Add(const TaskView& aTask);

private:
  std::map<std::string, Resources, std::less<>> left;
};

/** Detects tasks that do not fit on any worker of the cell, even an empty one.
 * Refers to the views passed to the constructor, which must outlive it. Not
 * thread safe. */
class CapacityCheck
{
public:
  explicit CapacityCheck(std::span<const WorkerView> aWorkers);

  /** Returns why the task fits no worker even if that is empty, with the
   * limiting resource and the largest worker; empty if the task fits a worker,
   * or if no worker is known. */
  std::string WhyNowhere(const TaskView& aTask) const;

  /** Largest capacity of any worker, for each resource separately. */
  const Resources& Largest() const { return this->largest; }

private:
  std::vector<const WorkerView*> distinct;
  Resources largest;
};

} // namespace sequoiakeel
