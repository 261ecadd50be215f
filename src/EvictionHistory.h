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
  /** Forgets what no limit refers to any more. */
  void Begin(TimePoint aNow);

  /** Whether the limits of the cell and of the worker allow one more. */
  bool Allows(const EvictionLimits& aLimits,
              TimePoint aNow,
              const std::string& aWorker) const;

  /** Counts an eviction. */
  void Add(TimePoint aNow,
           const std::string& aWorker,
           const std::string& aTask);

  /** Time of the task's last eviction; TimePoint::min() if none is known. */
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
