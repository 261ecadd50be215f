#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sequoiakeel::soak {

/** Configuration of one soak run. */
struct SoakPlan
{
  std::uint64_t seed = 1;
  int nodes = 5;
  int workers = 8;
  int callers = 6;
  std::chrono::seconds faults{ 8 };
  /** Some jobs have a task that crashes its worker. */
  bool crashingTasks = false;
  /** Workers shrink and grow while they run. */
  bool resizes = false;
  /** In place of the usual faults, many workers restart under their ids at the
   * same time and are cut off soon after. Even seeds have the usual faults
   * beside it. */
  bool restarts = false;
  /** Time without faults of processes and the store after the other faults, in
   * which crashes and resizes go on; only with one of these options. */
  std::chrono::seconds calm{ 15 };
  /** Folder for settings and logs. It must exist. */
  std::string folder;
};

/** Result of one soak run. */
struct SoakResult
{
  std::vector<std::string> violations;
  /** Injected faults in order, with their times. */
  std::vector<std::string> faults;
  std::size_t jobs = 0;
  std::uint64_t starts = 0;
};

/** Runs scheduler processes against simulated platform services, injects faults
 * from outside the processes, and checks the scheduler's guarantees from the
 * point of view of callers and workers. Not thread safe. */
SoakResult
RunSoak(const SoakPlan& aPlan);

} // namespace sequoiakeel::soak
