#pragma once

#include "support/CellSimulation.h"

#include <stdexcept>

namespace sequoiakeel {

inline constexpr Resources kWorkerSize{ 32000, 125000, 2 };
inline constexpr Resources kTaskSize{ 4000, 8000, 0 };

/** A simulated cell in which planner p1 owns workers w1 and w2 and is ready to
 * place tasks. */
class ReadyCell : public CellSimulation
{
public:
  explicit ReadyCell(std::uint64_t aSeed, std::uint32_t aPlannersExpected = 1)
    : CellSimulation(aSeed, aPlannersExpected)
  {
    this->AddWorker("w1", kWorkerSize);
    this->AddWorker("w2", kWorkerSize);
    this->AddPlanner("p1");
    if (!this->RunUntil([this] { return this->Owner() != nullptr; })) {
      throw std::runtime_error("no planner became owner of the cell");
    }
    this->Run(std::chrono::seconds(8));
  }

  CellMachine& Machine(const std::string& aPlanner)
  {
    return *this->planners.at(aPlanner)->machine;
  }

  /** Advances the simulation until a job has finished; returns false after ten
   * minutes. */
  bool RunUntilFinished(const std::string& aJob)
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

  /** Returns the name of the worker that runs a task; empty if none does. */
  std::string WorkerRunning(const std::string& aTaskId) const
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

  /** Advances the simulation until a task runs on some worker; returns false
   * after ten minutes. */
  bool RunUntilStarted(const std::string& aTaskId)
  {
    return this->RunUntil(
      [&] { return !this->WorkerRunning(aTaskId).empty(); });
  }
};

} // namespace sequoiakeel
