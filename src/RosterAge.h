#pragma once

#include "Clock.h"
#include "ScheduledWorker.h"
#include "generated/Workflow.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sequoiakeel {

/**
 * Tells a new owner how old the roster is that an earlier owner wrote. Owners
 * share no clock: their steady clocks are local, and wall clocks can jump. The
 * steady clocks of workers are read by both owners, and no such clock runs
 * fast, so that the difference of two readings is a lower bound of the time
 * between them. Not thread safe.
 */
class RosterAge
{
public:
  /** Number of workers whose clocks a roster names. One is enough, but workers
   * may restart or be lost together with the earlier owner. */
  static constexpr std::size_t kMaxClocks = 16;

  /** Returns the highest readings that the clocks of up to kMaxClocks workers
   * can have at aNow. */
  static std::vector<WorkerClock> ReadClocks(
    const std::map<std::string, ScheduledWorker>& aWorkers,
    TimePoint aNow);

  /** Sets the readings that the loaded roster names. */
  void Restore(std::span<const WorkerClock> aClocks);

  /** Records a reading of a worker's clock that was received at aNow. Returns
   * whether WrittenBefore() has changed. */
  bool HandleReading(const WorkerClock& aReading, TimePoint aNow);

  /** Returns the readings that the loaded roster names. */
  std::vector<WorkerClock> Loaded() const;

  /** Returns the latest time at which the loaded roster can have been written;
   * unset if no worker of which it has a reading has reported. */
  std::optional<TimePoint> WrittenBefore() const { return this->writtenBefore; }

private:
  std::map<std::string, WorkerClock> recorded;
  std::optional<TimePoint> writtenBefore;
};

} // namespace sequoiakeel
