#pragma once

#include "EvictionPolicy.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace sequoiakeel {

/** Counts evictions against the operators' limits. Not thread safe. */
class EvictionHistory
{
public:
  /** Drops the evictions that are too old to count for any limit. Call at the
   * beginning of each pass. */
  void Begin(TimePoint aNow);

  /** Returns whether the limits of the cell and of the worker allow one more
   * eviction. */
  bool Allows(const EvictionLimits& aLimits,
              TimePoint aNow,
              const std::string& aWorker) const;

  /** Records an eviction. */
  void Add(TimePoint aNow,
           const std::string& aWorker,
           const std::string& aTask);

  /** Returns the time of the task's last eviction; TimePoint::min() if none is
   * known. */
  TimePoint LastOf(const std::string& aTask) const;

private:
  struct Entry
  {
    TimePoint at;
    std::string worker;
    std::string task;
  };

  std::deque<Entry> entries;
  std::unordered_map<std::string, TimePoint> tasks;
};

} // namespace sequoiakeel
