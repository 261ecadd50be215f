#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

namespace sequoiakeel {

/** Durations that the platform guarantees or requires. */
struct SchedulerTimings
{
  /** Lease that the owner asks for. */
  std::chrono::milliseconds workerLease{ 6000 };
  /** Longest lease that a worker grants. */
  std::chrono::milliseconds longestWorkerLease{ 6000 };
  /** Shortest time for which a draining worker keeps running. */
  std::chrono::milliseconds drain{ 2000 };
  /** How long before its due time an instance of a recurring job may start. */
  std::chrono::milliseconds earlyStart{ 250 };
  /** How long the state of an ended job can be queried. */
  std::chrono::milliseconds stateRetention{ 120000 };
  /** Age of the list of workers up to which starts are decided on it; unset:
   * any. A worker may have begun to drain since. */
  std::optional<std::chrono::milliseconds> longestRegistryAge;
  /** Time after the operator's request to close a zone from which no task may
   * start there; unset if zones cannot be closed. */
  std::optional<std::chrono::milliseconds> zoneClose;

  /** Validity of a start command. A command without an answer can arrive up to
   * 12 s later; after its validity the worker rejects it, and the task may be
   * started on another worker. */
  static constexpr std::chrono::milliseconds kStartValidity{ 1500 };

  /** The same by the owner's clock: the worker compares the validity with its
   * own clock, which may run slow. */
  static constexpr std::chrono::milliseconds kLongestStart{
    kStartValidity + kStartValidity / 20
  };

  /** Returns the interval at which the list of workers is read from the
   * registry. It is derived from the drain time, since a start command must
   * not reach a worker later than the drain time after the worker's drain
   * notice, and the command can be in transit for 1.5 s. The upper bound
   * follows from the 3 s after which a smaller capacity counts: 1.6 s of
   * transit on a slow clock and 0.2 s for the reading itself remain. */
  std::chrono::milliseconds RegistryInterval() const
  {
    return std::clamp(this->drain / 3,
                      std::chrono::milliseconds(700),
                      std::chrono::milliseconds(1200));
  }
};

} // namespace sequoiakeel
