#include "EvictionPolicy.h"
#include "PlacementKnowledge.h"
#include "PlacementPolicy.h"
#include "Scenario.h"

#include <chrono>
#include <fstream>
#include <random>
#include <string>

namespace sequoiakeel {

namespace {

constexpr std::size_t kTasksPerWorker = 12;
constexpr std::size_t kQueuePerWorker = 4;
constexpr int kRounds = 5;
const std::vector<std::string> kKinds{ "quote",  "thermal", "mesh",
                                       "report", "scan",    "watch" };

struct LargeCell
{
  std::vector<WorkerView> workers;
  std::vector<TeamView> teams;
  std::vector<TaskView> queue;
  TimePoint now{ std::chrono::hours(10) };

  CellView View() const { return { this->now, this->workers, this->teams }; }
};

LargeCell
MakeCell(std::size_t aWorkers, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  const auto below = [&](std::uint64_t aLimit) {
    return static_cast<std::int64_t>(random() % aLimit);
  };
  LargeCell cell;
  for (std::size_t i = 0; i < aWorkers; ++i) {
    WorkerView worker;
    worker.name = "w" + std::to_string(i);
    worker.rack = "r" + std::to_string(i / 11);
    worker.zone = "z" + std::to_string(i / 11 % 3);
    worker.capacity = { 32000, 125000, 0 };
    for (std::size_t t = 0; t < kTasksPerWorker; ++t) {
      RunningTaskView task;
      task.task = worker.name + "." + std::to_string(t);
      task.job = "j" + std::to_string(below(aWorkers));
      task.kind = kKinds[random() % kKinds.size()];
      task.latencyCritical = task.kind == "quote";
      task.evictable = !task.latencyCritical;
      task.committed = { 1000 + below(1500), 2000 + below(8000), 0 };
      task.usage = { task.committed.cpuMillis * (600 + below(400)) / 1000,
                     task.committed.memoryMb * (600 + below(400)) / 1000,
                     0 };
      task.slowdownPermille = 1000 + below(300);
      task.startedAt = cell.now - std::chrono::minutes(5);
      task.runTime = std::chrono::minutes(10);
      worker.committed = Sum(worker.committed, task.committed);
      worker.observed = Sum(worker.observed, task.usage);
      worker.tasks.push_back(std::move(task));
    }
    cell.workers.push_back(std::move(worker));
  }
  for (std::size_t i = 0; i < 96; ++i) {
    const auto share = static_cast<std::int64_t>(aWorkers) * 32000;
    cell.teams.push_back(
      { "team" + std::to_string(i), { share, 4 * share, 0 }, {} });
  }
  for (std::size_t i = 0; i < kQueuePerWorker * aWorkers; ++i) {
    TaskView task;
    task.task = "q" + std::to_string(i);
    task.job = "qj" + std::to_string(i / 10);
    task.team = "team" + std::to_string(i % 96);
    task.kind = kKinds[1 + random() % (kKinds.size() - 1)];
    task.resources = { 1000 + below(8000), 2000 + below(20000), 0 };
    task.runTime = std::chrono::minutes(5);
    task.queuedSince = cell.now - std::chrono::seconds(below(600));
    cell.queue.push_back(std::move(task));
  }
  return cell;
}

/** Returns the resident memory of the process in megabytes. */
double
ResidentMb()
{
  std::ifstream file("/proc/self/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::stod(line.substr(6)) / 1024;
    }
  }
  return 0;
}

template<class Work>
double
MeanMicros(const Work& aWork)
{
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    aWork();
  }
  const std::chrono::duration<double, std::micro> took =
    std::chrono::steady_clock::now() - begin;
  return took.count() / kRounds;
}

void
RunSize(std::size_t aWorkers,
        const std::string& aPolicy,
        const ScenarioOptions& aOptions,
        const Report& aReport)
{
  const LargeCell cell = MakeCell(aWorkers, aOptions.seed);
  PlacementKnowledge knowledge;
  const double before = ResidentMb();
  const auto placement = MakePlacementPolicy(aPolicy, knowledge, aOptions.seed);
  const auto eviction = MakeEvictionPolicy(aPolicy, knowledge);
  const double observe = MeanMicros([&] {
    for (const WorkerView& worker : cell.workers) {
      knowledge.ObserveWorker(cell.now, worker);
    }
  });
  std::size_t decisions = 0;
  std::size_t placed = 0;
  const double round = MeanMicros([&] {
    const auto made =
      placement->PlanRound(cell.View(), cell.queue, cell.queue.size());
    decisions = made.size();
    placed = 0;
    for (const PlacementDecision& decision : made) {
      placed += decision.outcome == PlacementOutcome::Placed ? 1 : 0;
    }
  });
  const double one =
    MeanMicros([&] { placement->Choose(cell.View(), cell.queue.front()); });
  const double relief = MeanMicros(
    [&] { eviction->Decide(cell.View(), cell.queue, EvictionLimits()); });
  Measurement base;
  base.scenario = "decision-cost";
  base.policy = aPolicy;
  base.seed = aOptions.seed;
  base.labels["workers"] = std::to_string(aWorkers);
  const auto report =
    [&](const char* aMeasure, double aValue, const char* aUnit) {
      base.measure = aMeasure;
      base.value = aValue;
      base.unit = aUnit;
      aReport(base);
    };
  report("placement-round", round, "us");
  report("placement-round-decisions", static_cast<double>(decisions), "count");
  report("placement-round-placed", static_cast<double>(placed), "count");
  report("time-per-decision", round / static_cast<double>(decisions), "us");
  report("single-choose", one, "us");
  report("eviction-round", relief, "us");
  report("reports-of-all-workers", observe, "us");
  report("memory-added", ResidentMb() - before, "MB");
}

void
RunDecisionCost(const ScenarioOptions& aOptions, const Report& aReport)
{
  for (const std::size_t workers : { 65, 108, 1000, 5600 }) {
    for (const char* policy : { "naive", "current" }) {
      RunSize(workers, policy, aOptions, aReport);
    }
  }
}

const RegisterScenario kDecisionCost(
  "decision-cost",
  "time per decision and memory at 65, 108, 1,000 and 5,600 workers",
  RunDecisionCost);

} // namespace

} // namespace sequoiakeel
