#include "EvictionPolicy.h"
#include "FakeWorkers.h"
#include "LakeshoreFigures.h"
#include "LakeshoreLoad.h"
#include "PlacementKnowledge.h"
#include "PlacementPolicy.h"
#include "Scenario.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace sequoiakeel {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(500);
/** Delay between the decision to evict a task and the confirmation of its stop
 * by the worker. */
constexpr Duration kStopTime = std::chrono::milliseconds(500);
/** Share of stops whose checkpoint fails. */
constexpr double kCheckpointFails = 0.2;
/** Seconds of work lost at each restart from a checkpoint. */
constexpr double kRestartSeconds = 15;
constexpr int kMaxFailures = 6;
/** Evictions per minute that the operators allow: 6 for each of three zones. */
constexpr std::int64_t kEvictionsPerMinute = 18;
constexpr std::size_t kPlacementsPerRound = 100;
/** Time after which the tasks of a lost worker are queued again, which is the
 * duration of their leases. */
constexpr Duration kLeaseTime = std::chrono::seconds(30);

/** Simulates one pair of placement and eviction policies under one load shape.
 */
class LakeshoreRun
{
public:
  LakeshoreRun(LoadShape aShape,
               const std::string& aPolicy,
               const std::string& aEvictionPolicy,
               std::uint64_t aSeed,
               Duration aLength)
    : shape(aShape)
    , length(aLength)
    , load(aShape, aSeed, this->start)
    , workers(this->load.Workers(), this->load.SlowdownTable())
    , teams(this->load.Teams())
    , random(aSeed + 1)
    , placement(MakePlacementPolicy(aPolicy, this->knowledge, aSeed))
    , eviction(MakeEvictionPolicy(aEvictionPolicy, this->knowledge))
  {
  }

  Figures Run()
  {
    while (this->now - this->start < this->length) {
      this->now += kTick;
      ++this->ticks;
      for (LoadTask& task : this->load.Arrivals(this->now)) {
        this->Accept(std::move(task));
      }
      this->Disturb();
      this->FinishStops();
      if (this->ticks % 2 == 0) {
        this->Advance();
      }
      this->Place();
      this->Relieve();
    }
    this->CountOpenDeadlines();
    for (std::size_t i = 0; i < this->waited.size(); ++i) {
      const auto block = static_cast<PlacementBlock>(i);
      this->figures.refused[std::string(ToString(block))] += this->waited[i];
    }
    return std::move(this->figures);
  }

private:
  CellView Cell() const
  {
    return { this->now, this->workers.Views(), this->teams };
  }

  void Accept(LoadTask aTask)
  {
    const std::optional<std::size_t> pinned = aTask.pinnedTo;
    const std::string name = aTask.view.task;
    this->Enqueue(std::move(aTask));
    if (!pinned) {
      return;
    }
    this->views.pop_back();
    PlacementDecision decision;
    decision.task = name;
    decision.worker = this->workers.Views()[*pinned].name;
    this->Start(decision);
  }

  void Enqueue(LoadTask aTask)
  {
    aTask.view.queuedSince = this->now;
    this->views.push_back(aTask.view);
    this->tasks[aTask.view.task] = std::move(aTask);
  }

  void Commit(const TaskView& aTask, int aSign)
  {
    for (TeamView& team : this->teams) {
      if (team.team != aTask.team) {
        continue;
      }
      team.committed = aSign > 0 ? Sum(team.committed, aTask.resources)
                                 : Difference(team.committed, aTask.resources);
    }
  }

  void Place()
  {
    const std::vector<PlacementDecision> decisions = this->placement->PlanRound(
      this->Cell(), this->views, kPlacementsPerRound);
    std::unordered_set<std::string> gone;
    for (const PlacementDecision& decision : decisions) {
      if (decision.outcome == PlacementOutcome::Placed) {
        gone.insert(decision.task);
        this->Start(decision);
        continue;
      }
      if (decision.outcome == PlacementOutcome::Unplaceable) {
        gone.insert(decision.task);
        this->tasks.erase(decision.task);
        this->figures.refused["fits-nowhere"] += 1;
        continue;
      }
      this->waited[static_cast<std::size_t>(decision.block)] += Seconds(kTick);
    }
    if (gone.empty()) {
      return;
    }
    std::erase_if(this->views, [&](const TaskView& aView) {
      return gone.contains(aView.task);
    });
  }

  void Start(const PlacementDecision& aDecision)
  {
    LoadTask& task = this->tasks.at(aDecision.task);
    const std::size_t worker = this->workers.IndexOf(aDecision.worker);
    const TaskView& view = task.view;
    RunningTaskView running;
    running.task = view.task;
    running.job = view.job;
    running.team = view.team;
    running.taskClass = view.taskClass;
    running.kind = view.kind;
    running.committed = view.resources;
    running.priority = view.priority;
    running.urgent = view.urgent;
    running.latencyCritical = view.latencyCritical;
    running.longRunning = view.longRunning;
    running.evictable = view.evictable;
    running.deadline = view.deadline;
    running.startedAt = this->now;
    running.runTime = view.runTime;
    running.progressPermille = view.checkpointPermille;
    running.checkpointPermille = view.checkpointPermille;
    running.evictions = view.evictions;
    SimulatedTaskState truth = task.truth;
    truth.sinceCheckpoint = 0;
    truth.ranSeconds = 0;
    if (std::ranges::find(this->load.Failing(), worker) !=
        this->load.Failing().end()) {
      truth.failsAfter =
        std::uniform_real_distribution<double>(2, 6)(this->random);
    }
    const double waited = Seconds(this->now - view.queuedSince);
    const bool first = view.evictions == 0 && task.failures == 0;
    if (view.urgent && first) {
      this->figures.urgentWaits.push_back(waited);
    }
    if (view.kind == "cure-pour" && first) {
      this->figures.largeWaits.push_back(waited);
    }
    this->Commit(view, 1);
    this->workers.Start(worker, std::move(running), truth);
  }

  /** Puts a stopped task back into the queue with its saved progress: all of
   * its work if aCheckpointed, else its last checkpoint. */
  void Requeue(const FakeEnd& aEnd, bool aCheckpointed)
  {
    LoadTask& task = this->tasks.at(aEnd.view.task);
    const double saved =
      aCheckpointed ? aEnd.truth.doneSeconds : aEnd.truth.savedSeconds;
    this->figures.lostCoreHours +=
      (aEnd.truth.doneSeconds - saved + kRestartSeconds) * aEnd.truth.cores /
      3600;
    task.truth = aEnd.truth;
    task.truth.failsAfter = -1;
    task.truth.savedSeconds = saved;
    task.truth.doneSeconds =
      task.view.longRunning ? saved : saved - kRestartSeconds;
    task.view.checkpointPermille = static_cast<std::int64_t>(
      task.truth.workSeconds > 0 ? 1000 * saved / task.truth.workSeconds : 0);
    LoadTask queued = task;
    this->Enqueue(std::move(queued));
  }

  void Advance()
  {
    this->workers.SetServiceLoad(this->load.ServiceLoad(this->now));
    for (const FakeEnd& end : this->workers.Step(this->now, 1)) {
      this->Ended(end);
    }
    for (const std::size_t worker : this->workers.Reported()) {
      this->knowledge.ObserveWorker(this->now, this->workers.Views()[worker]);
    }
    const std::vector<WorkerView>& all = this->workers.Views();
    for (std::size_t i = 0; i < all.size(); ++i) {
      this->workers.View(i).quarantine =
        this->knowledge.StateOf(this->now, all[i].name);
      this->Measure(i);
    }
  }

  void Ended(const FakeEnd& aEnd)
  {
    LoadTask& task = this->tasks.at(aEnd.view.task);
    this->Commit(task.view, -1);
    TaskEnd end;
    end.job = aEnd.view.job;
    end.kind = aEnd.view.kind;
    end.worker = aEnd.worker;
    end.rack = aEnd.rack;
    end.failed = aEnd.failed;
    end.longRunning = aEnd.view.longRunning;
    end.exceededMemory =
      aEnd.view.usage.memoryMb > aEnd.view.committed.memoryMb;
    end.ranFor = this->now - aEnd.view.startedAt;
    end.startedFromPermille = task.view.checkpointPermille;
    this->knowledge.TaskEnded(this->now, end);
    if (aEnd.failed) {
      this->figures.failedAttempts += 1;
      this->figures.outOfMemory += aEnd.outOfMemory ? 1 : 0;
      ++task.failures;
      task.view.failedOn.push_back(aEnd.worker);
      if (task.failures < kMaxFailures || task.view.latencyCritical) {
        this->Requeue(aEnd, false);
        return;
      }
      this->figures.abandoned += 1;
    } else if (!aEnd.view.longRunning) {
      this->figures.finished += 1;
      this->figures.coreHours +=
        aEnd.truth.cores * aEnd.truth.workSeconds / 3600;
    }
    if (task.view.deadline) {
      this->figures.withDeadline += 1;
      const bool met = !aEnd.failed && this->now <= *task.view.deadline;
      this->figures.onTime += met ? 1 : 0;
    }
    this->tasks.erase(aEnd.view.task);
  }

  void Measure(std::size_t aWorker)
  {
    const WorkerView& view = this->workers.Views()[aWorker];
    const std::vector<SimulatedTaskState>& truths =
      this->workers.Truths(aWorker);
    const double minutes = Seconds(2 * kTick) / 60;
    double wanted = 0;
    // Overcommitment counts the larger of declared and actual use, independent
    // of the worker's last report.
    double cores = 0;
    double memory = 0;
    for (std::size_t i = 0; i < view.tasks.size(); ++i) {
      const RunningTaskView& task = view.tasks[i];
      const double load =
        task.latencyCritical ? this->load.ServiceLoad(this->now) : 1;
      const double millis =
        truths[i].cores * load * static_cast<double>(task.throttlePermille);
      wanted += millis;
      cores += std::max(millis, static_cast<double>(task.committed.cpuMillis));
      memory += std::max(truths[i].memoryMb,
                         static_cast<double>(task.committed.memoryMb));
      if (!task.latencyCritical) {
        continue;
      }
      const double slowdown = truths[i].slowdown;
      this->figures.AddSlowdown(slowdown);
      if (task.kind == "quote-price") {
        this->figures.pinnedSum += slowdown;
        this->figures.pinnedSeconds += 1;
      }
    }
    if (cores > 1.001 * static_cast<double>(view.capacity.cpuMillis) ||
        memory > 1.001 * static_cast<double>(view.capacity.memoryMb)) {
      this->figures.overcommittedMinutes += minutes;
    }
    if (wanted > 1.001 * static_cast<double>(view.capacity.cpuMillis)) {
      this->figures.overloadedMinutes += minutes;
    }
  }

  void Relieve()
  {
    const EvictionLimits limits{ kEvictionsPerMinute, 3, true };
    for (const ReliefDecision& decision :
         this->eviction->Decide(this->Cell(), this->views, limits)) {
      const std::size_t worker = this->workers.IndexOf(decision.worker);
      switch (decision.action) {
        case ReliefAction::Throttle:
          this->figures.throttles += 1;
          this->workers.Throttle(
            worker, decision.task, decision.throttlePermille);
          break;
        case ReliefAction::Checkpoint:
          this->workers.Checkpoint(worker, decision.task, this->now);
          break;
        case ReliefAction::Move:
        case ReliefAction::Evict:
          this->workers.MarkEvicting(worker, decision.task);
          this->stops.push_back(
            { this->now + kStopTime, worker, decision.task });
          break;
      }
    }
  }

  void FinishStops()
  {
    for (const Stop& stop : this->stops) {
      FakeEnd end;
      if (stop.at > this->now ||
          !this->workers.Stop(stop.worker, stop.task, end)) {
        continue;
      }
      LoadTask& task = this->tasks.at(stop.task);
      this->Commit(task.view, -1);
      ++task.view.evictions;
      this->figures.evictions += 1;
      this->figures.evictedWatchers += task.view.longRunning ? 1 : 0;
      const bool saved = std::uniform_real_distribution<double>(0, 1)(
                           this->random) >= kCheckpointFails &&
                         end.truth.checkpointSeconds > 0;
      this->Requeue(end, saved);
    }
    std::erase_if(this->stops,
                  [&](const Stop& aStop) { return aStop.at <= this->now; });
  }

  /** Injects the faults of the load shape that are due. */
  void Disturb()
  {
    const double minutes = Seconds(this->now - this->start) / 60;
    if (this->shape == LoadShape::CancellationWave &&
        minutes >= this->nextCancellation) {
      this->nextCancellation += 30;
      this->CancelHalf();
    }
    if (this->shape != LoadShape::ZoneLost) {
      return;
    }
    constexpr double kLost = 40;
    constexpr double kBack = 70;
    const bool lost = minutes >= kLost && minutes < kBack;
    for (std::size_t i = 0; i < this->workers.Views().size(); ++i) {
      WorkerView& view = this->workers.View(i);
      if (view.zone != "z2" || view.unreachable == lost) {
        continue;
      }
      view.unreachable = lost;
      if (lost) {
        this->knowledge.WorkerLost(this->now, view);
        this->lostAt = this->now;
      }
    }
    if (lost && this->now - this->lostAt >= kLeaseTime) {
      this->RequeueLost();
    }
  }

  void RequeueLost()
  {
    for (std::size_t i = 0; i < this->workers.Views().size(); ++i) {
      if (!this->workers.Views()[i].unreachable) {
        continue;
      }
      for (const FakeEnd& end : this->workers.StopAll(i)) {
        this->Commit(this->tasks.at(end.view.task).view, -1);
        this->Requeue(end, false);
      }
    }
  }

  void CancelHalf()
  {
    std::map<std::string, bool> cancelled;
    const auto cancel = [&](const std::string& aJob) {
      const auto known = cancelled.find(aJob);
      if (known != cancelled.end()) {
        return known->second;
      }
      return cancelled[aJob] = std::hash<std::string>{}(aJob) % 2 == 0;
    };
    std::erase_if(this->views, [&](const TaskView& aView) {
      const bool gone =
        !aView.latencyCritical && !aView.longRunning && cancel(aView.job);
      if (gone) {
        this->tasks.erase(aView.task);
      }
      return gone;
    });
    for (std::size_t i = 0; i < this->workers.Views().size(); ++i) {
      std::vector<std::string> gone;
      for (const RunningTaskView& task : this->workers.Views()[i].tasks) {
        if (!task.latencyCritical && !task.longRunning && cancel(task.job)) {
          gone.push_back(task.task);
        }
      }
      for (const std::string& task : gone) {
        FakeEnd end;
        this->workers.Stop(i, task, end);
        this->Commit(this->tasks.at(task).view, -1);
        this->tasks.erase(task);
      }
    }
  }

  /** Counts unfinished tasks whose deadline has passed as late. */
  void CountOpenDeadlines()
  {
    for (const auto& [name, task] : this->tasks) {
      if (task.view.deadline && *task.view.deadline <= this->now) {
        this->figures.withDeadline += 1;
      }
    }
  }

  struct Stop
  {
    TimePoint at;
    std::size_t worker = 0;
    std::string task;
  };

  TimePoint start{ std::chrono::hours(1) };
  TimePoint now = start;
  std::uint64_t ticks = 0;
  LoadShape shape;
  Duration length;
  LakeshoreLoad load;
  FakeWorkers workers;
  std::vector<TeamView> teams;
  std::mt19937_64 random;
  PlacementKnowledge knowledge;
  std::unique_ptr<PlacementPolicy> placement;
  std::unique_ptr<EvictionPolicy> eviction;
  std::unordered_map<std::string, LoadTask> tasks;
  std::vector<TaskView> views;
  std::vector<Stop> stops;
  double nextCancellation = 30;
  TimePoint lostAt;
  std::array<double, 6> waited{};
  Figures figures;
};

void
RunLakeshore(const ScenarioOptions& aOptions, const Report& aReport)
{
  const std::string wanted = aOptions.Get("shape", "all");
  const std::string only = aOptions.Get("policy", "all");
  const double hours = std::stod(aOptions.Get("hours", "2"));
  for (const auto& [shape, name] : LoadShapes()) {
    if (wanted != "all" && wanted != name) {
      continue;
    }
    for (const std::string policy : { "naive", "current" }) {
      if (only != "all" && only != policy) {
        continue;
      }
      const auto length = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(hours * 3600));
      LakeshoreRun run(
        shape, policy, aOptions.Get("eviction", policy), aOptions.seed, length);
      Measurement base;
      base.scenario = "lakeshore";
      base.policy = policy;
      base.seed = aOptions.seed;
      base.labels["shape"] = name;
      ReportFigures(run.Run(), hours, base, aReport);
    }
  }
}

const RegisterScenario kLakeshore(
  "lakeshore",
  "placement and eviction on 65 workers; --set shape=NAME, policy=, hours=",
  RunLakeshore);

} // namespace

} // namespace sequoiakeel
