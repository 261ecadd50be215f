#include "LakeshoreLoad.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace sequoiakeel {

namespace {

/** Indices of the task kinds in kSpecs and kSlowdown. */
constexpr std::size_t kQuotePrice = 0;
constexpr std::size_t kQuoteLookup = 1;
constexpr std::size_t kWatcher = 2;
constexpr std::size_t kCureThermal = 3;
constexpr std::size_t kCureMesh = 4;
constexpr std::size_t kCureReport = 5;
constexpr std::size_t kCurePour = 6;
constexpr std::size_t kRecheck = 7;
constexpr std::size_t kScan = 8;
constexpr std::size_t kKinds = 9;

struct KindSpec
{
  const char* name;
  const char* taskClass;
  std::int64_t priority;
  double cores;
  double memoryGb;
  double minutes;
  std::size_t tasksPerJob;
  /** Share of the kind in the offered batch load, by processor time. */
  double share;
  bool hasDeadline;
  double checkpointSeconds;
};

constexpr std::array<KindSpec, kKinds> kSpecs{ {
  { "quote-price", "service", 90, 4, 8, 0, 1, 0, false, 0 },
  { "quote-lookup", "service", 90, 2, 4, 0, 1, 0, false, 0 },
  { "mould-watch", "watcher", 70, 1, 2, 0, 1, 0, false, 300 },
  { "cure-thermal", "cure-plan", 50, 4, 12, 10, 12, 0.40, true, 180 },
  { "cure-mesh", "cure-plan", 50, 2, 8, 5, 16, 0.25, true, 180 },
  { "cure-report", "report", 40, 1, 2, 1.5, 20, 0.12, false, 0 },
  { "cure-pour", "cure-plan", 50, 16, 60, 12, 1, 0.13, true, 300 },
  { "recheck", "urgent", 80, 2, 4, 1, 4, 0, false, 0 },
  { "surface-scan", "scan", 30, 4, 6, 8, 10, 0.10, false, 180 },
} };

/** Slowdown of the row's kind caused by one core of the column's kind when the
 * worker is fully loaded. */
constexpr std::array<std::array<double, kKinds>, kKinds> kSlowdown{ {
  { .002, .002, .001, .020, .006, .002, .015, .003, .055 },
  { .002, .002, .001, .008, .004, .002, .008, .002, .030 },
  { .001, .001, .000, .003, .002, .001, .003, .001, .008 },
  { .004, .002, .000, .018, .004, .001, .012, .002, .030 },
  { .002, .001, .000, .004, .004, .001, .004, .001, .010 },
  { .001, .001, .000, .001, .001, .001, .001, .001, .003 },
  { .003, .002, .000, .010, .004, .001, .010, .002, .025 },
  { .002, .001, .000, .003, .002, .001, .003, .001, .010 },
  { .004, .002, .000, .014, .005, .001, .012, .002, .010 },
} };

constexpr std::size_t kWorkers = 65;
constexpr std::size_t kRackSize = 11;
constexpr std::size_t kZones = 3;
constexpr double kWorkerCores = 32;
constexpr double kWorkerGb = 125;
constexpr std::size_t kPriceTasks = 65;
constexpr std::size_t kLookupTasks = 40;
constexpr std::size_t kWatchers = 80;
/** Ratio of the offered batch load to the processors that services and watchers
 * leave free. */
constexpr double kOffered = 1.0;
constexpr double kShiftSeconds = 8 * 3600;
constexpr double kLargestFactor = 4;

const std::array<const char*, 4> kTeams{ "moulds", "pours", "nights", "lab" };

double
LeftForBatch()
{
  return kWorkers * kWorkerCores - kPriceTasks * kSpecs[kQuotePrice].cores -
         kLookupTasks * kSpecs[kQuoteLookup].cores -
         kWatchers * kSpecs[kWatcher].cores;
}

/** Mean work of a job of the kind in core-seconds. */
double
WorkOf(const KindSpec& aSpec)
{
  return aSpec.cores * aSpec.minutes * 60 *
         static_cast<double>(aSpec.tasksPerJob);
}

/** Maps aPick, 0 to 1, to the index of a team. The lab submits few jobs, but
 * sometimes exceeds its quota. */
std::size_t
PickTeam(double aPick)
{
  constexpr double kLabShare = 0.08;
  const auto others = static_cast<double>(kTeams.size() - 1);
  return aPick < kLabShare
           ? kTeams.size() - 1
           : std::min(kTeams.size() - 2,
                      static_cast<std::size_t>((aPick - kLabShare) /
                                               (1 - kLabShare) * others));
}

/** Maps aPick, 0 to 1, to a kind. Kinds are weighted so that each contributes
 * its share of the work. */
std::size_t
PickKind(double aPick)
{
  std::array<double, kKinds> weights{};
  double total = 0;
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    const KindSpec& spec = kSpecs[kind];
    weights[kind] = spec.share > 0 ? spec.share / WorkOf(spec) : 0;
    total += weights[kind];
  }
  double left = aPick * total;
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    left -= weights[kind];
    if (left < 0) {
      return kind;
    }
  }
  return kScan;
}

} // namespace

const std::vector<std::pair<LoadShape, std::string>>&
LoadShapes()
{
  static const std::vector<std::pair<LoadShape, std::string>> kShapes{
    { LoadShape::Steady, "steady" },
    { LoadShape::LoadShift, "load-shift" },
    { LoadShape::NoisyWave, "noisy-wave" },
    { LoadShape::CancellationWave, "cancellation-wave" },
    { LoadShape::SizesWrong, "sizes-wrong" },
    { LoadShape::FailingWorkers, "failing-workers" },
    { LoadShape::ZoneLost, "zone-lost" },
  };
  return kShapes;
}

LakeshoreLoad::LakeshoreLoad(LoadShape aShape,
                             std::uint64_t aSeed,
                             TimePoint aStart)
  : shape(aShape)
  , random(aSeed)
  , start(aStart)
  , now(aStart)
  , nextWave(20 * 60)
{
  const double spread = std::log(kLargestFactor);
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    std::vector<double> factor;
    for (int i = 0; i < 3; ++i) {
      const bool wrong = aShape == LoadShape::SizesWrong && kind > kWatcher;
      factor.push_back(wrong ? std::exp(this->Uniform(-spread, spread))
                             : this->Uniform(0.75, 1.0));
    }
    this->factors.push_back(factor);
  }
  if (aShape == LoadShape::FailingWorkers) {
    // 5% of the workers.
    while (this->failing.size() < 3) {
      const std::size_t worker = this->random() % kWorkers;
      if (std::ranges::find(this->failing, worker) == this->failing.end()) {
        this->failing.push_back(worker);
      }
    }
  }
}

double
LakeshoreLoad::Uniform(double aLow, double aHigh)
{
  return std::uniform_real_distribution<double>(aLow, aHigh)(this->random);
}

std::vector<WorkerView>
LakeshoreLoad::Workers() const
{
  std::vector<WorkerView> workers;
  for (std::size_t i = 0; i < kWorkers; ++i) {
    WorkerView worker;
    const std::size_t rack = i / kRackSize;
    worker.name = "w" + std::to_string(i);
    worker.rack = "r" + std::to_string(rack);
    worker.zone = "z" + std::to_string(rack % kZones);
    worker.capacity = { static_cast<std::int64_t>(kWorkerCores * 1000),
                        static_cast<std::int64_t>(kWorkerGb * 1000),
                        0 };
    workers.push_back(std::move(worker));
  }
  return workers;
}

std::vector<TeamView>
LakeshoreLoad::Teams() const
{
  std::vector<TeamView> teams;
  for (const char* name : kTeams) {
    // The lab may use a tenth of the processors.
    const double share = std::string(name) == "lab" ? 0.1 : 1;
    TeamView team;
    team.team = name;
    team.quota = {
      static_cast<std::int64_t>(share * kWorkers * kWorkerCores * 1000),
      static_cast<std::int64_t>(share * kWorkers * kWorkerGb * 1000),
      0
    };
    teams.push_back(std::move(team));
  }
  return teams;
}

std::vector<std::vector<double>>
LakeshoreLoad::SlowdownTable() const
{
  std::vector<std::vector<double>> table;
  for (const auto& row : kSlowdown) {
    table.emplace_back(row.begin(), row.end());
  }
  return table;
}

double
LakeshoreLoad::ServiceLoad(TimePoint aNow) const
{
  const double minutes =
    std::chrono::duration<double>(aNow - this->start).count() / 60;
  if (this->shape != LoadShape::LoadShift) {
    return 0.5 + 0.1 * std::sin(minutes / 7);
  }
  const bool high = (minutes >= 20 && minutes < 50) || minutes >= 80;
  return high ? 0.95 : 0.25;
}

void
LakeshoreLoad::AddJob(std::size_t aKind,
                      std::size_t aTasks,
                      std::vector<LoadTask>& aOut)
{
  const KindSpec& spec = kSpecs[aKind];
  const std::string job = "j" + std::to_string(this->jobs++);
  // The lab gets no urgent jobs: their wait for its quota would be counted as
  // a scheduling delay.
  const double pick = this->Uniform(0, 1);
  const std::string team = kTeams[aKind == kRecheck ? 0 : PickTeam(pick)];
  const double slack = this->Uniform(3, 6);
  for (std::size_t i = 0; i < aTasks; ++i) {
    LoadTask task;
    TaskView& view = task.view;
    view.task = job + "." + std::to_string(i);
    view.job = job;
    view.team = team;
    view.taskClass = spec.taskClass;
    view.kind = spec.name;
    view.resources = { static_cast<std::int64_t>(spec.cores * 1000),
                       static_cast<std::int64_t>(spec.memoryGb * 1000),
                       0 };
    view.priority = spec.priority;
    view.urgent = aKind == kRecheck;
    view.latencyCritical = aKind <= kQuoteLookup;
    view.longRunning = aKind == kWatcher;
    view.evictable = !view.latencyCritical;
    view.queuedSince = this->now;
    task.firstQueued = this->now;
    const double seconds = spec.minutes * 60;
    view.runTime = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
    if (spec.hasDeadline) {
      view.deadline =
        this->now + std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(seconds * slack + 300));
    }
    const std::vector<double>& factor = this->factors[aKind];
    const auto actual = [&](double aDeclared, double aFactor) {
      const double noisy = aFactor * this->Uniform(0.9, 1.1);
      return aDeclared * std::clamp(noisy, 1 / kLargestFactor, kLargestFactor);
    };
    SimulatedTaskState& truth = task.truth;
    truth.kind = aKind;
    truth.cores = std::min(actual(spec.cores, factor[0]), 24.0);
    truth.memoryMb = std::min(actual(spec.memoryGb, factor[1]), 90.0) * 1000;
    truth.workSeconds = actual(seconds, factor[2]);
    truth.checkpointSeconds = spec.checkpointSeconds;
    aOut.push_back(std::move(task));
  }
}

void
LakeshoreLoad::AddServices(std::vector<LoadTask>& aOut)
{
  this->AddJob(kQuotePrice, kPriceTasks, aOut);
  for (std::size_t i = 0; i < kPriceTasks; ++i) {
    aOut[i].pinnedTo = i;
  }
  this->AddJob(kQuoteLookup, kLookupTasks, aOut);
  for (LoadTask& task : aOut) {
    task.view.team = kTeams[0];
  }
}

void
LakeshoreLoad::AddWatchers(std::vector<LoadTask>& aOut)
{
  for (std::size_t i = 0; i < kWatchers; ++i) {
    this->AddJob(kWatcher, 1, aOut);
    LoadTask& task = aOut.back();
    task.view.team = kTeams[0];
    // Shifts overlap, so watchers start at a random point of their shift: some
    // end during the run, others would end after it.
    task.truth.workSeconds = kShiftSeconds;
    task.truth.doneSeconds = this->Uniform(0, kShiftSeconds);
    task.truth.savedSeconds = task.truth.doneSeconds;
    task.view.checkpointPermille =
      static_cast<std::int64_t>(1000 * task.truth.doneSeconds / kShiftSeconds);
  }
}

void
LakeshoreLoad::AddOversizedJob(std::vector<LoadTask>& aOut)
{
  this->AddJob(kCurePour, 1, aOut);
  Resources& size = aOut.back().view.resources;
  if (this->random() % 2 == 0) {
    size.memoryMb = 200000;
  } else {
    size.cpuMillis = 48000;
  }
}

std::vector<LoadTask>
LakeshoreLoad::Arrivals(TimePoint aNow)
{
  std::vector<LoadTask> tasks;
  const bool first = this->jobs == 0;
  this->now = aNow;
  if (first) {
    this->AddServices(tasks);
    this->AddWatchers(tasks);
  }
  const double elapsed =
    std::chrono::duration<double>(aNow - this->start).count();
  while (this->nextJob <= elapsed) {
    const std::size_t kind = PickKind(this->Uniform(0, 1));
    const KindSpec& spec = kSpecs[kind];
    const std::size_t count = 1 + this->random() % (2 * spec.tasksPerJob - 1);
    this->AddJob(kind, count, tasks);
    const double mean = WorkOf(spec) / (kOffered * LeftForBatch());
    this->nextJob +=
      mean * std::exponential_distribution<double>(1)(this->random);
  }
  while (this->nextUrgent <= elapsed) {
    this->AddJob(kRecheck, kSpecs[kRecheck].tasksPerJob, tasks);
    this->nextUrgent += this->Uniform(20, 100);
  }
  while (this->nextOversized <= elapsed) {
    this->AddOversizedJob(tasks);
    this->nextOversized += 600;
  }
  if (this->shape == LoadShape::NoisyWave && this->nextWave <= elapsed) {
    for (int i = 0; i < 12; ++i) {
      this->AddJob(kScan, 10, tasks);
    }
    this->nextWave += 40 * 60;
  }
  return tasks;
}

} // namespace sequoiakeel
