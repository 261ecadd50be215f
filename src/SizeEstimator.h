#pragma once

#include "Clock.h"
#include "generated/Resources.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace sequoiakeel {

/** Learns actual sizes and run times for each kind of task, as a ratio to the
 * declared ones. Used for scores only, never for committed amounts. Not thread
 * safe. */
class SizeEstimator
{
public:
  /** Takes in one report of a running task's usage. */
  void LearnUsage(std::string_view aKind,
                  const Resources& aDeclared,
                  const Resources& aUsage);

  /** Takes in the run time of a finished attempt. */
  void LearnRunTime(std::string_view aKind, Duration aRanFor);

  /** Expected usage of a task; the declared sizes if nothing is known. */
  Resources Expected(std::string_view aKind, const Resources& aDeclared) const;

  /** Expected run time; aDeclared if nothing is known. */
  Duration ExpectedRunTime(std::string_view aKind, Duration aDeclared) const;

private:
  struct Entry
  {
    double cpuRatio = 1;
    double memoryRatio = 1;
    double usageWeight = 0;
    double runSeconds = 0;
    double runWeight = 0;
  };

  const Entry* Find(std::string_view aKind) const;

  std::unordered_map<std::string, Entry> entries;
};

} // namespace sequoiakeel
