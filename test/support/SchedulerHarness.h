#pragma once

#include "CellScheduler.h"
#include "ManualClock.h"

#include <algorithm>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace sequoiakeel {

/** A wall clock that follows a manual clock. */
class ManualWallClock : public WallClock
{
public:
  explicit ManualWallClock(const Clock& aClock)
    : clock(aClock)
  {
  }

  std::uint64_t UnixMs() const override
  {
    return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
        this->clock.Now().time_since_epoch())
        .count());
  }

private:
  const Clock& clock;
};

/** A scheduler with its policies and a manual clock. */
struct SchedulerHarness
{
  explicit SchedulerHarness(SchedulerTimings aBounds = SchedulerTimings(),
                            bool aHeadroom = false)
    : bounds(aBounds)
    , headroom(aHeadroom)
  {
  }

  ManualClock clock;
  ManualWallClock wallClock{ clock };
  LeastWorkOrder order;
  ColocationChoice choice;
  MultiplicativeThrottle throttle;
  SchedulerObserver observer;
  SchedulerTimings bounds;
  /** See SchedulerPolicies::shortTaskHeadroom. */
  bool headroom = false;
  CellScheduler scheduler{ bounds,
                           { order, choice, throttle, observer, headroom },
                           clock,
                           wallClock,
                           clock.Now() + std::chrono::seconds(8) };
  std::uint64_t storeRevision = 1;
  /** Durable progress by job. */
  std::map<std::string, WorkflowProgress> progress;

  /** Replaces the scheduler by that of a new owner, which knows only what is
   * durable. */
  void TakeOver(std::span<const WorkflowSubmission> aSubmissions,
                const WorkerRoster& aRoster)
  {
    std::destroy_at(&this->scheduler);
    std::construct_at(&this->scheduler,
                      this->bounds,
                      SchedulerPolicies{ this->order,
                                         this->choice,
                                         this->throttle,
                                         this->observer,
                                         this->headroom },
                      this->clock,
                      this->wallClock,
                      this->clock.Now() + std::chrono::seconds(8));
    for (const WorkflowSubmission& submission : aSubmissions) {
      const WorkflowProgress& known = this->progress[submission.id];
      if (known.endedUnixMs > 0) {
        this->scheduler.RestoreEnded(known);
        continue;
      }
      this->scheduler.Restore(submission, known);
    }
    this->scheduler.SetRoster(aRoster);
  }

  static WorkerDescription Worker(const std::string& aId,
                                  std::uint64_t aIncarnation = 1)
  {
    WorkerDescription worker;
    worker.id = aId;
    worker.incarnation = aIncarnation;
    worker.service = "desk";
    worker.endpoint = Endpoint{ "127.0.0.1", 1 };
    worker.rack = "r1";
    worker.labels = { "a", "r1" };
    worker.capacity = WorkerCapacity{ 32000, 128000, 0 };
    return worker;
  }

  /** Returns a job of one step with aCount tasks of one core each. */
  WorkflowSubmission Job(const std::string& aId, std::uint32_t aCount = 1) const
  {
    WorkflowSubmission job;
    job.id = aId;
    job.queue = "quotes";
    job.service = "desk";
    job.maxAttempts = 3;
    job.acceptedUnixMs = this->wallClock.UnixMs();
    WorkflowStep step;
    step.count = aCount;
    step.cpuMilli = 1000;
    step.memoryMb = 100;
    step.estimateMs = 500;
    job.steps.push_back(step);
    return job;
  }

  /** Returns the worker's clock, which starts at zero with the manual clock. */
  std::uint64_t WorkerMs() const { return this->wallClock.UnixMs(); }

  /** Lists workers, adds them to the durable roster and has them report. */
  void AddWorkers(const std::vector<std::string>& aIds)
  {
    std::vector<WorkerDescription> workers;
    for (const std::string& id : aIds) {
      workers.push_back(Worker(id));
    }
    this->scheduler.SetRoster({});
    this->scheduler.UpdateWorkers(workers);
    this->scheduler.RosterWritten(this->scheduler.RosterToWrite());
    for (const std::string& id : aIds) {
      this->Report(id, 1, {}, {});
    }
  }

  void Report(const std::string& aWorker,
              std::uint64_t aIncarnation,
              std::vector<RunningRun> aRunning,
              std::vector<EndedRun> aEnded)
  {
    const TimePoint sentAt = this->clock.Now();
    this->clock.Advance(std::chrono::milliseconds(2));
    this->scheduler.HandleReport(
      aWorker,
      sentAt,
      this->WorkerMs(),
      WorkerReport{ aIncarnation, std::move(aRunning), std::move(aEnded) });
    this->BringFencingToken(aWorker, aIncarnation);
  }

  /** Has a restarted worker see its new fencing token. */
  void BringFencingToken(const std::string& aWorker, std::uint64_t aIncarnation)
  {
    if (this->scheduler.NeedsFencingToken(aWorker)) {
      this->scheduler.AssignFencingTokens(++this->storeRevision);
    }
    this->scheduler.HandleFencingToken(
      aWorker, aIncarnation, this->scheduler.FencingToken(aWorker));
  }

  /** Runs a planning pass. If it holds starts until progress is durable, writes
   * the progress and runs another pass. Returns the starts of both. */
  std::vector<PlannedStart> PlanStarts()
  {
    std::vector<PlannedStart> starts = this->scheduler.Plan().starts;
    if (this->scheduler.HasHeldStarts()) {
      this->WriteProgress();
      for (PlannedStart& start : this->scheduler.Plan().starts) {
        starts.push_back(std::move(start));
      }
    }
    return starts;
  }

  /** Runs PlanStarts() and confirms every start. */
  std::vector<PlannedStart> PlanAndConfirm()
  {
    std::vector<PlannedStart> starts = this->PlanStarts();
    for (const PlannedStart& start : starts) {
      this->scheduler.HandleStart(
        start.worker,
        start.command.task,
        start.command.run,
        WorkerCommandReply{ WorkerCommandResult::Done, this->WorkerMs() },
        false);
    }
    return starts;
  }

  /** Reports all progress as written. */
  void WriteProgress()
  {
    const ProgressBatch batch = this->scheduler.TakeProgress();
    for (const ProgressRecord& record : batch.records) {
      this->scheduler.ProgressWritten(record);
      this->progress[record.progress.id] = record.progress;
    }
    this->scheduler.BatchWritten(batch.change);
  }
};

} // namespace sequoiakeel
