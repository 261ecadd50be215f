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
  /** Age of a task from which its reported memory use indicates its size. */
  static constexpr Duration kMinAgeForMemory = std::chrono::seconds(90);

  /** Records one report of a running task's usage. aAge is the age of the task
   * at the report; the memory use of a young task is still growing. */
  void LearnUsage(std::string_view aKind,
                  const Resources& aDeclared,
                  const Resources& aUsage,
                  Duration aAge);

  /** Records the full run time of a finished task whose progress was not
   * interrupted. */
  void LearnRunTime(std::string_view aKind, Duration aRanFor);

  /** Expected usage of a task; the declared sizes if nothing is known. */
  Resources Expected(std::string_view aKind, const Resources& aDeclared) const;

  /** Expected run time of a whole task; aDeclared if nothing is known, zero if
   * neither is. */
  Duration ExpectedRunTime(std::string_view aKind, Duration aDeclared) const;

private:
  /** Running mean and mean deviation. */
  struct Mean
  {
    double value = 0;
    double deviation = 0;
    double weight = 0;

    void Add(double aSample);
  };
  struct Entry
  {
    Mean cpuRatio;
    Mean memoryRatio;
    Mean runSeconds;
  };

  Entry* EntryOf(std::string_view aKind);
  const Entry* Find(std::string_view aKind) const;

  std::unordered_map<std::string, Entry> entries;
};

} // namespace sequoiakeel
