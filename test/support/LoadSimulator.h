#pragma once

#include "SchedulerHarness.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sequoiakeel {

/**
 * Simulates the workers and the load of one cell on a manual clock. The workers
 * carry out the scheduler's commands, end runs after a random time and send
 * reports. The simulation is deterministic for a given seed.
 */
class LoadSimulator
{
public:
  static constexpr std::chrono::milliseconds kStep{ 20 };
  static constexpr std::chrono::milliseconds kReportInterval{ 200 };
  static constexpr std::chrono::milliseconds kStopTime{ 100 };
  /** Longest time from a change of a worker's capacity to the write of the
   * worker's registry entry. */
  static constexpr std::chrono::milliseconds kHeartbeat{ 500 };
  /** Longest transit of a start command, by its validity on the clock of a
   * worker that runs at the slowest rate. */
  static constexpr std::chrono::milliseconds kMaxTransit{ 1575 };

  LoadSimulator(int aWorkers, std::uint64_t aSeed, bool aHeadroom = false)
    : harness(SchedulerTimings(), aHeadroom)
    , random(aSeed)
  {
    for (int i = 0; i < aWorkers; ++i) {
      const std::string id = "w" + std::to_string(i);
      WorkerDescription worker = SchedulerHarness::Worker(id);
      worker.rack = "r" + std::to_string(i / 4);
      worker.labels = { "a", worker.rack };
      this->descriptions[id] = worker;
      this->workers[id];
    }
    this->harness.scheduler.SetRoster({});
    this->ListWorkers();
    this->harness.scheduler.RosterWritten(
      this->harness.scheduler.RosterToWrite());
    for (auto& [id, worker] : this->workers) {
      this->Report(id);
    }
  }

  /** Submits a job of one step of long-running tasks. */
  void SubmitLongRunning(const std::string& aId,
                         std::uint32_t aTasks,
                         std::uint32_t aCpuMilli)
  {
    WorkflowSubmission job = this->harness.Job(aId, aTasks);
    job.steps[0].cpuMilli = aCpuMilli;
    job.steps[0].memoryMb = 1000;
    job.steps[0].longRunning = true;
    this->harness.scheduler.Accept(job);
  }

  /** Submits a job of one step of short tasks. Its completion objective is
   * aObjective after the current time. */
  void SubmitShort(const std::string& aId,
                   std::uint32_t aTasks,
                   std::uint32_t aCpuMilli,
                   std::chrono::milliseconds aEstimate,
                   std::chrono::milliseconds aObjective)
  {
    WorkflowSubmission job = this->harness.Job(aId, aTasks);
    job.steps[0].cpuMilli = aCpuMilli;
    job.steps[0].memoryMb = 1000;
    job.steps[0].estimateMs = static_cast<std::uint32_t>(aEstimate.count());
    job.objectiveStretch = 0;
    job.objectiveMs = static_cast<std::uint32_t>(aObjective.count());
    this->harness.scheduler.Accept(job);
  }

  /** Changes the capacity of a worker while it runs. The registry shows the
   * new capacity within kHeartbeat, and the scheduler reads the registry at its
   * interval. From the first call on, starts that exceed a capacity are
   * recorded. */
  void Resize(const std::string& aWorker, WorkerCapacity aCapacity)
  {
    std::uniform_int_distribution<int> delay(
      0, static_cast<int>(kHeartbeat.count()));
    Worker& worker = this->workers[aWorker];
    const TimePoint now = this->harness.clock.Now();
    if (worker.capacities.empty()) {
      worker.capacities.push_back(
        { TimePoint(), this->descriptions[aWorker].capacity });
    }
    worker.capacities.push_back({ now, aCapacity });
    worker.entryWrittenAt =
      now + std::chrono::milliseconds(delay(this->random));
    this->resizes = true;
  }

  /** Delays each start command by a random time of up to kMaxTransit. */
  void DelayStarts() { this->delaysStarts = true; }

  /** Time for which a start may count on the capacity that a worker had before:
   * the registry entry is up to one heartbeat old when it is read, and a start
   * decided just before the next reading is in transit for kMaxTransit. */
  std::chrono::milliseconds CapacityDelay() const
  {
    return kHeartbeat + this->harness.bounds.RegistryInterval() + kMaxTransit +
           2 * kStep;
  }

  /** Marks a worker as draining in the registry. */
  void Drain(const std::string& aWorker)
  {
    this->descriptions[aWorker].draining = true;
    this->ListWorkers();
  }

  /** Restarts a worker under a new incarnation. Its runs and their reports are
   * lost. */
  void Restart(const std::string& aWorker)
  {
    Worker& worker = this->workers[aWorker];
    worker.runs.clear();
    worker.ended.clear();
    worker.nextEnd = 1;
    ++this->descriptions[aWorker].incarnation;
    this->ListWorkers();
  }

  /** Advances the simulation by kStep. */
  void Step()
  {
    this->harness.clock.Advance(kStep);
    const TimePoint now = this->harness.clock.Now();
    this->ExecuteDelayedStarts();
    if (this->resizes) {
      this->WriteRegistryEntries();
    }
    for (auto& [id, worker] : this->workers) {
      const bool ended = this->EndRuns(worker);
      if (ended || now - worker.reportedAt >= kReportInterval) {
        this->Report(id);
      }
    }
    this->ExecuteCommands(this->harness.scheduler.Plan());
    this->harness.WriteProgress();
  }

  void Simulate(std::chrono::milliseconds aTime)
  {
    const TimePoint end = this->harness.clock.Now() + aTime;
    while (this->harness.clock.Now() < end) {
      this->Step();
    }
  }

  /** Returns the number of running tasks of a job on all workers. */
  int Running(const std::string& aJob) const
  {
    int count = 0;
    for (const auto& [id, worker] : this->workers) {
      for (const auto& [task, run] : worker.runs) {
        count += task.starts_with(aJob + ".") ? 1 : 0;
      }
    }
    return count;
  }

  /** Returns the longest time for which a long-running task was not running
   * after its first start. */
  std::chrono::milliseconds LongestDowntime() const
  {
    std::chrono::milliseconds longest = this->longestDowntime;
    for (const auto& [task, since] : this->downSince) {
      longest = std::max(longest,
                         std::chrono::duration_cast<std::chrono::milliseconds>(
                           this->harness.clock.Now() - since));
    }
    return longest;
  }

  /** Number of runs that were commanded to stop. */
  int stops = 0;
  /** Number of starts that workers carried out. */
  int starts = 0;
  /** Starts that brought a worker over every capacity that it had within
   * CapacityDelay(). */
  std::vector<std::string> startsOverCapacity;
  SchedulerHarness harness;

private:
  struct Run
  {
    std::uint64_t run = 0;
    bool longRunning = false;
    TimePoint begun;
    TimePoint endsAt;
    RunEnd end = RunEnd::Done;
    /** Capacity in use; a filler uses no processor time that counts. */
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
  };
  struct DelayedStart
  {
    PlannedStart start;
    WorkflowStep step;
    TimePoint arrivesAt;
  };
  struct Worker
  {
    std::map<std::string, Run> runs;
    std::vector<EndedRun> ended;
    std::uint64_t nextEnd = 1;
    TimePoint reportedAt;
    /** Capacities by the time since when they apply. */
    std::deque<std::pair<TimePoint, WorkerCapacity>> capacities;
    std::optional<TimePoint> entryWrittenAt;
  };

  void ListWorkers()
  {
    std::vector<WorkerDescription> listed;
    for (const auto& [id, description] : this->descriptions) {
      listed.push_back(description);
    }
    this->harness.scheduler.UpdateWorkers(listed);
    this->listedAt = this->harness.clock.Now();
  }

  bool EndRuns(Worker& aWorker)
  {
    const TimePoint now = this->harness.clock.Now();
    bool any = false;
    for (auto run = aWorker.runs.begin(); run != aWorker.runs.end();) {
      if (now < run->second.endsAt) {
        ++run;
        continue;
      }
      any = true;
      aWorker.ended.push_back(EndedRun{
        aWorker.nextEnd++, run->first, run->second.run, run->second.end, "" });
      run = aWorker.runs.erase(run);
    }
    return any;
  }

  void Report(const std::string& aId)
  {
    Worker& worker = this->workers[aId];
    const TimePoint now = this->harness.clock.Now();
    worker.reportedAt = now;
    const std::uint64_t token = this->harness.scheduler.FencingToken(aId);
    WorkerReport report;
    report.incarnation = this->descriptions[aId].incarnation;
    report.ended = worker.ended;
    worker.ended.clear();
    for (const auto& [task, run] : worker.runs) {
      const double span =
        std::chrono::duration<double>(run.endsAt - run.begun).count();
      const double done =
        std::chrono::duration<double>(now - run.begun).count();
      const int percent =
        run.longRunning ? 100 : static_cast<int>(100 * done / span);
      report.running.push_back(RunningRun{ task, run.run, "", percent, 0 });
    }
    CellScheduler& scheduler = this->harness.scheduler;
    scheduler.NoteLease(aId, scheduler.LeaseUntil(aId));
    scheduler.HandleReport(aId, now, this->harness.WorkerMs(), report);
    scheduler.HandleFencingToken(aId, report.incarnation, token);
    if (scheduler.NeedsFencingToken(aId)) {
      scheduler.AssignFencingTokens(++this->harness.storeRevision);
    }
    this->RecordDowntimes();
  }

  void RecordDowntimes()
  {
    std::set<std::string> present;
    for (const auto& [id, worker] : this->workers) {
      for (const auto& [task, run] : worker.runs) {
        if (run.longRunning) {
          present.insert(task);
        }
      }
    }
    const TimePoint now = this->harness.clock.Now();
    for (const std::string& task : this->seenLongRunningTasks) {
      if (!present.contains(task)) {
        this->downSince.try_emplace(task, now);
        continue;
      }
      const auto down = this->downSince.find(task);
      if (down == this->downSince.end()) {
        continue;
      }
      this->longestDowntime =
        std::max(this->longestDowntime,
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                   now - down->second));
      this->downSince.erase(down);
    }
    this->seenLongRunningTasks.merge(present);
  }

  void WriteRegistryEntries()
  {
    const TimePoint now = this->harness.clock.Now();
    for (auto& [id, worker] : this->workers) {
      if (worker.entryWrittenAt && now >= *worker.entryWrittenAt) {
        this->descriptions[id].capacity = worker.capacities.back().second;
        worker.entryWrittenAt.reset();
      }
    }
    if (now - this->listedAt >= this->harness.bounds.RegistryInterval()) {
      this->ListWorkers();
    }
  }

  void ExecuteDelayedStarts()
  {
    const TimePoint now = this->harness.clock.Now();
    std::vector<DelayedStart> due;
    std::erase_if(this->delayedStarts, [&](const DelayedStart& aDelayed) {
      const bool arrived = now >= aDelayed.arrivesAt;
      if (arrived) {
        due.push_back(aDelayed);
      }
      return arrived;
    });
    for (const DelayedStart& delayed : due) {
      this->ExecuteStart(delayed.start, delayed.step);
    }
  }

  void ExecuteStart(const PlannedStart& aStart, const WorkflowStep& aStep)
  {
    const TimePoint now = this->harness.clock.Now();
    Worker& worker = this->workers[aStart.worker];
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const auto span = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(aStep.estimateMs *
                                                spread(this->random)));
    Run run{ aStart.command.run, aStep.longRunning, now, now + span };
    run.cpuMilli = aStep.filler ? 0 : aStep.cpuMilli;
    run.memoryMb = aStep.memoryMb;
    if (run.longRunning) {
      run.endsAt = now + std::chrono::hours(1);
    }
    worker.runs[aStart.command.task] = run;
    ++this->starts;
    this->CheckCapacity(aStart, worker, aStep);
    this->harness.scheduler.HandleStart(
      aStart.worker,
      aStart.command.task,
      aStart.command.run,
      WorkerCommandReply{ WorkerCommandResult::Done, this->harness.WorkerMs() },
      false);
  }

  void CheckCapacity(const PlannedStart& aStart,
                     const Worker& aWorker,
                     const WorkflowStep& aStep)
  {
    if (aWorker.capacities.empty()) {
      return;
    }
    const TimePoint since = this->harness.clock.Now() - this->CapacityDelay();
    WorkerCapacity allowed;
    for (std::size_t i = 0; i < aWorker.capacities.size(); ++i) {
      const bool replaced = i + 1 < aWorker.capacities.size() &&
                            aWorker.capacities[i + 1].first < since;
      if (replaced) {
        continue;
      }
      const WorkerCapacity& one = aWorker.capacities[i].second;
      allowed.cpuMilli = std::max(allowed.cpuMilli, one.cpuMilli);
      allowed.memoryMb = std::max(allowed.memoryMb, one.memoryMb);
    }
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    for (const auto& [task, run] : aWorker.runs) {
      cpu += run.cpuMilli;
      memory += run.memoryMb;
    }
    // A filler adds no processor time, so it cannot exceed that capacity.
    const bool overCpu = !aStep.filler && cpu > allowed.cpuMilli;
    if (overCpu || memory > allowed.memoryMb) {
      this->startsOverCapacity.push_back(
        aStart.command.task + " on " + aStart.worker + ": cpu " +
        std::to_string(cpu) + " of " + std::to_string(allowed.cpuMilli) +
        ", memory " + std::to_string(memory) + " of " +
        std::to_string(allowed.memoryMb));
    }
  }

  void ExecuteCommands(const PlannedCommands& aCommands)
  {
    const TimePoint now = this->harness.clock.Now();
    CellScheduler& scheduler = this->harness.scheduler;
    for (const PlannedStart& start : aCommands.starts) {
      const Commitment& commitment = scheduler.FindWorker(start.worker)
                                       ->Commitments()
                                       .at(start.command.task);
      if (!this->delaysStarts) {
        this->ExecuteStart(start, commitment.step);
        continue;
      }
      std::uniform_int_distribution<int> transit(
        0, static_cast<int>(kMaxTransit.count()));
      this->delayedStarts.push_back(
        DelayedStart{ start,
                      commitment.step,
                      now + std::chrono::milliseconds(transit(this->random)) });
    }
    for (const PlannedStop& stop : aCommands.stops) {
      // A worker rejects a run that it was told to stop before the start.
      std::erase_if(this->delayedStarts, [&](const DelayedStart& aDelayed) {
        return aDelayed.start.command.task == stop.task &&
               aDelayed.start.command.run <= stop.run;
      });
      const auto run = this->workers[stop.worker].runs.find(stop.task);
      if (run == this->workers[stop.worker].runs.end()) {
        continue;
      }
      ++this->stops;
      run->second.end = RunEnd::Stopped;
      run->second.endsAt = now + kStopTime;
    }
  }

  std::mt19937_64 random;
  std::map<std::string, WorkerDescription> descriptions;
  std::map<std::string, Worker> workers;
  std::vector<DelayedStart> delayedStarts;
  TimePoint listedAt;
  bool resizes = false;
  bool delaysStarts = false;
  std::set<std::string> seenLongRunningTasks;
  std::map<std::string, TimePoint> downSince;
  std::chrono::milliseconds longestDowntime{ 0 };
};

} // namespace sequoiakeel
