#pragma once

#include "CellScheduler.h"
#include "Random.h"
#include "support/SchedulerHarness.h"

#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sequoiakeel {

/** Starts of a crashing task that the users allow: two after the third crash.
 */
inline constexpr int kMaxStarts = 5;

/** Whether a crashed worker is back under its id or as another one. */
enum class Rebirth : std::uint8_t
{
  NewId,
  SameId,
};

/** A start as the worker saw it. */
struct StartSeen
{
  std::string task;
  std::uint64_t run = 0;
  int machine = 0;
  TimePoint at;
  /** Age of the youngest other run on the worker. */
  Duration youngestBeside = Duration::max();
};

/**
 * Simulates one cell whose tasks may crash their workers. Each machine runs one
 * worker at a time; after a crash the next one is up at the same address. The
 * owner's progress and roster go to a store, from which another owner can take
 * over.
 */
class CrashingCell
{
public:
  static constexpr std::chrono::milliseconds kStep{ 10 };

  explicit CrashingCell(int aMachines,
                        Rebirth aRebirth = Rebirth::NewId,
                        std::uint64_t aSeed = 1)
    : random(aSeed)
    , rebirth(aRebirth)
  {
    for (int i = 0; i < aMachines; ++i) {
      Machine machine;
      machine.worker = SchedulerHarness::Worker("w" + std::to_string(i));
      machine.worker.endpoint =
        Endpoint{ "127.0.0.1", static_cast<std::uint16_t>(1000 + i) };
      machine.worker.rack = "r" + std::to_string(i / 4);
      machine.worker.labels = { "a", machine.worker.rack };
      this->machines.push_back(machine);
    }
    this->Owner().SetRoster({});
    this->List();
    for (int i = 0; i < aMachines; ++i) {
      this->Report(i);
    }
    this->List();
  }

  /** Submits a job of tasks of one core each. */
  void Submit(const std::string& aId,
              std::uint32_t aTasks,
              std::chrono::milliseconds aDuration,
              bool aLongRunning = false)
  {
    WorkflowSubmission job = this->harness.Job(aId, aTasks);
    job.steps[0].estimateMs = static_cast<std::uint32_t>(aDuration.count());
    job.steps[0].longRunning = aLongRunning;
    this->Accept(job);
  }

  void Accept(const WorkflowSubmission& aJob)
  {
    this->submissions[aJob.id] = aJob;
    this->Owner().Accept(aJob);
  }

  /** Has every run of a task crash its worker after aDelay. */
  void CrashAfter(const std::string& aTask, std::chrono::milliseconds aDelay)
  {
    this->crashDelays[aTask] = aDelay;
  }

  void Simulate(std::chrono::milliseconds aTime)
  {
    const TimePoint end = this->Now() + aTime;
    while (this->Now() < end) {
      this->Step();
    }
  }

  /** Simulates until aHolds returns true, for at most aTime. */
  template<typename Condition>
  bool SimulateUntil(std::chrono::milliseconds aTime, Condition aHolds)
  {
    const TimePoint end = this->Now() + aTime;
    while (this->Now() < end && !aHolds()) {
      this->Step();
    }
    return aHolds();
  }

  void Step()
  {
    this->harness.clock.Advance(kStep);
    const TimePoint now = this->Now();
    for (std::size_t i = 0; i < this->machines.size(); ++i) {
      this->StepMachine(static_cast<int>(i));
    }
    if (now - this->listedAt >= this->harness.bounds.RegistryInterval()) {
      this->List();
    }
    const PlannedCommands commands = this->Owner().Plan();
    for (const PlannedStart& start : commands.starts) {
      this->ExecuteStart(start);
    }
    for (const PlannedStop& stop : commands.stops) {
      this->ExecuteStop(stop);
    }
    this->Write();
  }

  /** Ends a worker without notice. It is back after aDownTime, if at all.
   * aContactAge: how long before now the owner had its last contact. */
  void Crash(
    int aMachine,
    std::optional<std::chrono::milliseconds> aDownTime,
    std::chrono::milliseconds aContactAge = std::chrono::milliseconds(0))
  {
    Machine& machine = this->machines[aMachine];
    if (!machine.up) {
      return;
    }
    machine.up = false;
    const std::map<std::string, Run> lost = std::exchange(machine.runs, {});
    for (const auto& [task, run] : lost) {
      this->BreakGang(*ParseTaskName(task));
    }
    machine.ended.clear();
    machine.unlistedAt = this->Now() + std::chrono::milliseconds(1500);
    machine.upAt = aDownTime ? this->Now() + *aDownTime : TimePoint::max();
    this->Owner().HandleUnresponsive(machine.worker.id,
                                     this->Now() - aContactAge);
  }

  /** Sets when a crashed worker is back. */
  void Delay(int aMachine, std::chrono::milliseconds aDownTime)
  {
    this->machines[aMachine].upAt = this->Now() + aDownTime;
  }

  /** Cuts a worker off from the owner for some time. */
  void Silence(int aMachine, std::chrono::milliseconds aTime)
  {
    this->machines[aMachine].silentUntil = this->Now() + aTime;
    this->Owner().HandleUnresponsive(this->machines[aMachine].worker.id,
                                     this->Now());
  }

  /** Announces the planned end of a worker. */
  void Drain(int aMachine)
  {
    this->machines[aMachine].worker.draining = true;
    this->List();
  }

  /** Replaces the owner by one that knows only what is in the store. */
  void TakeOver() { this->TakeOver(this->roster); }

  void TakeOver(const WorkerRoster& aRoster)
  {
    this->successor = std::make_unique<CellScheduler>(
      this->harness.bounds,
      SchedulerPolicies{ this->harness.order,
                         this->harness.choice,
                         this->harness.throttle,
                         this->harness.observer },
      this->harness.clock,
      this->harness.wallClock,
      this->Now() + std::chrono::seconds(8));
    for (const auto& [id, job] : this->submissions) {
      WorkflowProgress stored;
      stored.id = id;
      if (this->progress.contains(id)) {
        stored = this->progress[id];
      }
      if (stored.endedUnixMs > 0) {
        this->Owner().RestoreEnded(stored);
      } else {
        this->Owner().Restore(job, stored);
      }
    }
    this->Owner().SetRoster(aRoster);
    this->List();
  }

  void WriteRoster()
  {
    this->roster = this->Owner().RosterToWrite();
    this->Owner().RosterWritten(this->roster);
  }

  /** Returns the number of crashes that the store counts against a job's tasks.
   */
  std::size_t StoredCrashes(const std::string& aJob) const
  {
    const auto found = this->progress.find(aJob);
    std::size_t count = 0;
    if (found != this->progress.end()) {
      for (const TaskCrashes& crashes : found->second.crashes) {
        count += crashes.runs.size();
      }
    }
    return count;
  }

  int Starts(const std::string& aTask) const
  {
    return static_cast<int>(std::count_if(
      this->starts.begin(), this->starts.end(), [&](const StartSeen& aStart) {
        return aStart.task == aTask;
      }));
  }

  /** Returns the machine on which a task runs. */
  std::optional<int> MachineOf(const std::string& aTask) const
  {
    for (std::size_t i = 0; i < this->machines.size(); ++i) {
      if (this->machines[i].runs.contains(aTask)) {
        return static_cast<int>(i);
      }
    }
    return std::nullopt;
  }

  WorkflowState StateOf(const std::string& aJob)
  {
    return this->Owner().StateOf(aJob);
  }

  TimePoint Now() const { return this->harness.clock.Now(); }

  CellScheduler& Owner()
  {
    return this->successor ? *this->successor : this->harness.scheduler;
  }

  SchedulerHarness harness;
  std::vector<StartSeen> starts;
  /** Starts of a task that was running on another worker. */
  std::vector<std::string> secondRuns;
  std::map<std::string, WorkflowSubmission> submissions;
  WorkerRoster roster;
  /** Jobs of which any crash was ever written to the store. */
  std::set<std::string> counted;
  /** Progress is written to the store. */
  bool writes = true;
  /** Workers carry out starts, but their answers are late. */
  bool unanswered = false;

private:
  struct Run
  {
    std::uint64_t run = 0;
    TimePoint begun;
    TimePoint endsAt;
    TimePoint crashesAt = TimePoint::max();
    bool longRunning = false;
  };
  struct Machine
  {
    WorkerDescription worker;
    bool up = true;
    TimePoint upAt;
    TimePoint unlistedAt = TimePoint::max();
    TimePoint silentUntil;
    TimePoint reportedAt;
    std::map<std::string, Run> runs;
    std::vector<EndedRun> ended;
    std::uint64_t nextEnd = 1;
    int lives = 1;
  };

  void StepMachine(int aMachine)
  {
    Machine& machine = this->machines[aMachine];
    const TimePoint now = this->Now();
    if (!machine.up) {
      if (now >= machine.upAt) {
        this->Revive(aMachine);
      }
      return;
    }
    bool ended = false;
    for (auto run = machine.runs.begin(); run != machine.runs.end();) {
      if (now >= run->second.crashesAt) {
        this->Crash(
          aMachine,
          std::chrono::milliseconds(2000 + 10 * DrawIndex(this->random, 300)));
        return;
      }
      if (now < run->second.endsAt) {
        ++run;
        continue;
      }
      machine.ended.push_back(EndedRun{
        machine.nextEnd++, run->first, run->second.run, RunEnd::Done, "" });
      run = machine.runs.erase(run);
      ended = true;
    }
    if (now >= machine.silentUntil &&
        (ended || now - machine.reportedAt >= std::chrono::milliseconds(200))) {
      this->Report(aMachine);
    }
  }

  /** Ends the other members of a gang if the step of a task is one. */
  void BreakGang(const TaskName& aLost)
  {
    if (!this->submissions.at(aLost.job).steps[aLost.step].gang) {
      return;
    }
    const std::string prefix = FormatStepKey(aLost) + ".";
    for (Machine& machine : this->machines) {
      std::erase_if(machine.runs, [&](const auto& aItem) {
        const bool member = aItem.first.starts_with(prefix);
        if (member) {
          machine.ended.push_back(EndedRun{ machine.nextEnd++,
                                            aItem.first,
                                            aItem.second.run,
                                            RunEnd::GangBroken,
                                            "" });
        }
        return member;
      });
    }
  }

  void Revive(int aMachine)
  {
    Machine& machine = this->machines[aMachine];
    machine.up = true;
    machine.nextEnd = 1;
    machine.unlistedAt = TimePoint::max();
    ++machine.lives;
    machine.worker.incarnation += 1000;
    machine.worker.draining = false;
    if (this->rebirth == Rebirth::NewId) {
      machine.worker.id =
        "w" + std::to_string(aMachine) + "-" + std::to_string(machine.lives);
    }
  }

  /** Reads the registry and writes the roster if that is due. */
  void List()
  {
    std::vector<WorkerDescription> listed;
    for (const Machine& machine : this->machines) {
      if (this->Now() < machine.unlistedAt) {
        listed.push_back(machine.worker);
      }
    }
    this->Owner().UpdateWorkers(listed);
    this->listedAt = this->Now();
    if (this->Owner().RosterIsStale()) {
      this->WriteRoster();
    }
  }

  void Report(int aMachine)
  {
    Machine& machine = this->machines[aMachine];
    const std::string& id = machine.worker.id;
    const ScheduledWorker* const known = this->Owner().FindWorker(id);
    if (known == nullptr) {
      return;
    }
    if (known->reportedIncarnation == machine.worker.incarnation) {
      std::erase_if(machine.ended, [&](const EndedRun& aRow) {
        return aRow.sequence <= known->EndsToAcknowledge();
      });
    }
    machine.reportedAt = this->Now();
    WorkerReport report;
    report.incarnation = machine.worker.incarnation;
    report.ended = machine.ended;
    for (const auto& [task, run] : machine.runs) {
      report.running.push_back(RunningRun{ task, run.run, "", 100, 0 });
    }
    this->Owner().NoteLease(id, this->Owner().LeaseUntil(id));
    const std::uint64_t token = this->Owner().FencingToken(id);
    this->Owner().HandleReport(
      id, this->Now(), this->harness.WorkerMs(), report);
    this->Owner().HandleFencingToken(id, report.incarnation, token);
    if (this->Owner().NeedsFencingToken(id)) {
      this->Owner().AssignFencingTokens(++this->harness.storeRevision);
    }
  }

  Machine* UpMachine(const std::string& aWorker)
  {
    for (Machine& machine : this->machines) {
      if (machine.up && machine.worker.id == aWorker &&
          this->Now() >= machine.silentUntil) {
        return &machine;
      }
    }
    return nullptr;
  }

  void ExecuteStart(const PlannedStart& aStart)
  {
    const std::string& task = aStart.command.task;
    Machine* const machine = this->UpMachine(aStart.worker);
    if (machine == nullptr) {
      this->Owner().HandleStart(
        aStart.worker,
        task,
        aStart.command.run,
        WorkerCommandReply{ WorkerCommandResult::Unknown, 0 },
        true);
      return;
    }
    if (this->MachineOf(task)) {
      this->secondRuns.push_back(task);
    }
    const TimePoint now = this->Now();
    StartSeen seen;
    seen.task = task;
    seen.run = aStart.command.run;
    seen.machine = static_cast<int>(machine - this->machines.data());
    seen.at = now;
    for (const auto& [other, run] : machine->runs) {
      seen.youngestBeside = std::min(seen.youngestBeside, now - run.begun);
    }
    this->starts.push_back(seen);
    const WorkflowStep& step =
      this->submissions.at(ParseTaskName(task)->job).steps[0];
    Run run;
    run.run = aStart.command.run;
    run.begun = now;
    run.endsAt = step.longRunning
                   ? TimePoint::max()
                   : now + std::chrono::milliseconds(step.estimateMs);
    if (this->crashDelays.contains(task)) {
      run.crashesAt = now + this->crashDelays[task];
    }
    machine->runs[task] = run;
    if (this->unanswered) {
      return;
    }
    this->Owner().HandleStart(
      aStart.worker,
      task,
      run.run,
      WorkerCommandReply{ WorkerCommandResult::Done, this->harness.WorkerMs() },
      false);
  }

  void ExecuteStop(const PlannedStop& aStop)
  {
    Machine* const machine = this->UpMachine(aStop.worker);
    if (machine == nullptr) {
      return;
    }
    if (machine->runs.erase(aStop.task) > 0) {
      machine->ended.push_back(EndedRun{
        machine->nextEnd++, aStop.task, aStop.run, RunEnd::Stopped, "" });
    }
    this->Owner().HandleStop(aStop.worker,
                             aStop.task,
                             aStop.run,
                             WorkerCommandReply{ WorkerCommandResult::Done,
                                                 this->harness.WorkerMs() });
  }

  void Write()
  {
    if (!this->writes) {
      return;
    }
    const ProgressBatch batch = this->Owner().TakeProgress();
    for (const ProgressRecord& record : batch.records) {
      this->progress[record.progress.id] = record.progress;
      if (!record.progress.crashes.empty()) {
        this->counted.insert(record.progress.id);
      }
      this->Owner().ProgressWritten(record);
    }
    this->Owner().BatchWritten(batch.change);
  }

  Random random;
  Rebirth rebirth;
  std::vector<Machine> machines;
  std::map<std::string, std::chrono::milliseconds> crashDelays;
  std::map<std::string, WorkflowProgress> progress;
  std::unique_ptr<CellScheduler> successor;
  TimePoint listedAt;
};

/** Name of the only task of a job of one task. */
inline std::string
TaskOf(const std::string& aJob, std::uint32_t aIndex = 0)
{
  return FormatTaskName({ aJob, 0, 0, aIndex });
}

/** Submits a job whose only task crashes each worker that starts it. */
inline void
SubmitCrashing(CrashingCell& aCell,
               const std::string& aId,
               std::chrono::milliseconds aDelay = std::chrono::milliseconds(10),
               bool aLongRunning = false)
{
  aCell.CrashAfter(TaskOf(aId), aDelay);
  aCell.Submit(aId, 1, std::chrono::milliseconds(500), aLongRunning);
}

/** Simulates for aTime while a short job is submitted at each interval, and
 * returns the ids of these jobs. */
inline std::vector<std::string>
SimulateWithShortJobs(
  CrashingCell& aCell,
  std::chrono::milliseconds aTime,
  std::chrono::milliseconds aInterval,
  std::chrono::milliseconds aDuration = std::chrono::milliseconds(400),
  std::uint32_t aTasks = 1)
{
  std::vector<std::string> ids;
  const TimePoint end = aCell.Now() + aTime;
  while (aCell.Now() < end) {
    ids.push_back("short" + std::to_string(aCell.submissions.size()));
    aCell.Submit(ids.back(), aTasks, aDuration);
    aCell.Simulate(aInterval);
  }
  return ids;
}

/** Returns a service of one task that needs more than half of a worker. */
inline WorkflowSubmission
LargeService(const CrashingCell& aCell, const std::string& aId)
{
  WorkflowSubmission job = aCell.harness.Job(aId);
  job.steps[0].cpuMilli = 20000;
  job.steps[0].longRunning = true;
  return job;
}

inline void
CheckAllCompleted(CrashingCell& aCell, const std::vector<std::string>& aJobs)
{
  for (const std::string& id : aJobs) {
    CAPTURE(id);
    CHECK(aCell.StateOf(id) == WorkflowState::Completed);
  }
}

} // namespace sequoiakeel
