#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sequoiakeel::soak {

/** Size and length of one soak. */
struct SoakPlan
{
  std::uint64_t seed = 1;
  int nodes = 5;
  int workers = 8;
  int callers = 6;
  std::chrono::seconds faults{ 8 };
  /** Folder for settings and logs; it exists. */
  std::string folder;
};

/** What came of one soak. */
struct SoakResult
{
  std::vector<std::string> broken;
  /** The faults in order, with their times. */
  std::vector<std::string> faults;
  std::size_t jobs = 0;
  std::uint64_t starts = 0;
};

/** Runs scheduler processes against stand-ins, injects faults from outside, and
 * checks the promises from what callers and workers see. Not thread safe. */
SoakResult
RunSoak(const SoakPlan& aPlan);

} // namespace sequoiakeel::soak
