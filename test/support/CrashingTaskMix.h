#pragma once

#include "support/CrashingCell.h"

namespace sequoiakeel {

/** Crashing tasks of a random play. */
enum class RandomMix : std::uint8_t
{
  CrashAtOnce,
  CrashAtOnceAndTakeOvers,
  CrashLate,
  BothAndTakeOvers,
};

/** Plays fresh short tasks, long-running tasks and a few crashing ones on a
 * dozen machines, and checks the results. */
inline void
PlayRandomMix(RandomMix aMix, std::uint64_t aSeed)
{
  Random random(aSeed);
  CrashingCell cell(
    12, aSeed % 2 == 0 ? Rebirth::SameId : Rebirth::NewId, aSeed);
  std::vector<std::string> crashing;
  std::vector<std::string> harmless;
  std::vector<std::string> services;
  for (int i = 0; i < 3; ++i) {
    services.push_back("service" + std::to_string(i));
    cell.Submit(services.back(),
                1 + DrawIndex(random, 6),
                std::chrono::milliseconds(500),
                true);
  }
  const bool takeOvers = aMix == RandomMix::CrashAtOnceAndTakeOvers ||
                         aMix == RandomMix::BothAndTakeOvers;
  const auto submitCrashing = [&] {
    const std::string id = "bad" + std::to_string(crashing.size());
    const bool late =
      aMix == RandomMix::CrashLate ||
      (aMix == RandomMix::BothAndTakeOvers && DrawIndex(random, 2) == 0);
    cell.CrashAfter(TaskOf(id), std::chrono::milliseconds(late ? 2000 : 10));
    cell.Submit(id, 1, std::chrono::seconds(4), DrawIndex(random, 4) == 0);
    crashing.push_back(id);
  };
  for (int i = 0; i < 400; ++i) {
    if (i < 150 && crashing.size() < 5 && DrawIndex(random, 20) == 0) {
      submitCrashing();
    }
    harmless.push_back("job" + std::to_string(i));
    cell.Submit(harmless.back(),
                1 + DrawIndex(random, 4),
                std::chrono::milliseconds(100 + DrawIndex(random, 1500)));
    cell.Simulate(std::chrono::milliseconds(50 + DrawIndex(random, 200)));
    if (takeOvers && DrawIndex(random, 80) == 0) {
      cell.TakeOver();
    }
  }
  cell.Simulate(std::chrono::seconds(60));
  int mostStarts = 0;
  for (const std::string& id : crashing) {
    mostStarts = std::max(mostStarts, cell.Starts(TaskOf(id)));
    CHECK(cell.StateOf(id) == WorkflowState::Failed);
  }
  CHECK(mostStarts <= kMaxStarts);
  std::string failed;
  std::string unfinished;
  for (const std::string& id : harmless) {
    const WorkflowState state = cell.StateOf(id);
    if (state == WorkflowState::Failed) {
      failed += id + " ";
    } else if (state != WorkflowState::Completed) {
      unfinished += id + " ";
    }
  }
  for (const std::string& id : services) {
    if (cell.StateOf(id) != WorkflowState::Running) {
      failed += id + " ";
    }
  }
  CHECK(failed == "");
  CHECK(unfinished == "");
  CHECK(cell.secondRuns.size() == 0);
}

inline void
PlayRandomMixes(RandomMix aMix)
{
  for (std::uint64_t seed = 1; seed <= 24; ++seed) {
    CAPTURE(seed);
    PlayRandomMix(aMix, seed);
  }
}

} // namespace sequoiakeel
