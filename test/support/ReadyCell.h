#pragma once

#include "support/CellWorld.h"

#include <stdexcept>

namespace sequoiakeel {

inline constexpr Resources kWorkerSize{ 32000, 125000, 2 };
inline constexpr Resources kTaskSize{ 4000, 8000, 0 };

/** A world with planner p1 as the owner of workers w1 and w2, ready to place.
 */
class ReadyCell : public CellWorld
{
public:
  explicit ReadyCell(std::uint64_t aSeed, std::uint32_t aPlannersExpected = 1)
    : CellWorld(aSeed, aPlannersExpected)
  {
    this->AddWorker("w1", kWorkerSize);
    this->AddWorker("w2", kWorkerSize);
    this->AddPlanner("p1");
    if (!this->RunUntil([this] { return this->Owner() != nullptr; })) {
      throw std::runtime_error("no planner took the cell");
    }
    this->Run(std::chrono::seconds(8));
  }

  CellMachine& Machine(const std::string& aPlanner)
  {
    return *this->planners.at(aPlanner)->machine;
  }

  /** Lets time pass until a job has finished; false after ten minutes. */
  bool Finishes(const std::string& aJob)
  {
    return this->RunUntil([&] { return this->StateOf(aJob) == "finished"; });
  }

  /** Submits one job to the owner. */
  std::uint64_t SubmitOne(const std::string& aJob,
                          std::int64_t aRunTimeMs,
                          std::int64_t aTasks = 1,
                          Resources aSize = kTaskSize)
  {
    return this->Submit(*this->Owner(), aJob, aTasks, aSize, aRunTimeMs);
  }

  /** Name of the worker that runs a task; empty if none does. */
  std::string RunsOn(const std::string& aTaskId) const
  {
    for (const auto& [name, worker] : this->workers) {
      const auto run = worker->runs.find(aTaskId);
      if (run != worker->runs.end() &&
          run->second.state == WorkerTaskState::Running) {
        return name;
      }
    }
    return "";
  }

  /** Lets time pass until a task runs on some worker. */
  bool Starts(const std::string& aTaskId)
  {
    return this->RunUntil([&] { return !this->RunsOn(aTaskId).empty(); });
  }
};

} // namespace sequoiakeel
