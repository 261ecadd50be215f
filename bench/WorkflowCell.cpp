/**
 * Measures the processor time of the decisions of one cell under the load of
 * the users' enlarged order desk: long-running tasks on four fifths of the
 * processors, quotes, and cure plans that use the remaining capacity.
 */
#include "Log.h"
#include "Scenario.h"
#include "support/SchedulerHarness.h"

#include <chrono>
#include <map>
#include <queue>
#include <random>
#include <string>

namespace sequoiakeel {

namespace {

/** Jobs per worker: arrivals per second, or the number at the start for
 * long-running jobs. Derived from the users' figures: 490 workers, 18.2 quotes
 * and 22.3 plans per second, 163 permanent watchers. */
constexpr double kQuotesPerWorker = 18.2 / 490;
constexpr double kPlansPerWorker = 22.3 / 490;
constexpr double kWatchersPerWorker = 163.0 / 490;

constexpr int kFillerImages = 18;
constexpr int kServingImages = 10;

constexpr std::chrono::milliseconds kStep{ 5 };
constexpr std::chrono::milliseconds kReportInterval{ 1000 };

/** One run of a task on a simulated worker. */
struct SimulatedRun
{
  std::uint64_t run = 0;
  TimePoint endsAt;
  std::int64_t usage = 0;
};

struct SimulatedWorker
{
  std::map<std::string, SimulatedRun> runs;
  std::vector<EndedRun> ended;
  std::uint64_t nextEnd = 1;
  TimePoint reportedAt;
};

/** Number of calls of one kind and the time spent in them. */
struct CallCost
{
  std::uint64_t calls = 0;
  std::chrono::steady_clock::duration total{};

  template<class Call>
  void Measure(Call aCall)
  {
    const auto begun = std::chrono::steady_clock::now();
    aCall();
    this->total += std::chrono::steady_clock::now() - begun;
    ++this->calls;
  }

  double Microseconds() const
  {
    return std::chrono::duration<double, std::micro>(this->total).count();
  }
};

/** Simulates the load on one cell and measures its decisions. */
class CellLoadGame
{
public:
  CellLoadGame(std::size_t aWorkers, std::uint64_t aSeed)
    : random(aSeed)
  {
    std::vector<WorkerDescription> descriptions;
    for (std::size_t i = 0; i < aWorkers; ++i) {
      WorkerDescription worker =
        SchedulerHarness::Worker("w" + std::to_string(i));
      worker.rack = "r" + std::to_string(i / 12);
      worker.capacity.cpuMilli = i % 3 == 2 ? 48000 : 32000;
      descriptions.push_back(worker);
      this->workers[worker.id];
    }
    this->harness.scheduler.SetRoster({});
    this->harness.scheduler.UpdateWorkers(descriptions);
    this->harness.scheduler.RosterWritten(
      this->harness.scheduler.RosterToWrite());
    for (auto& [id, worker] : this->workers) {
      this->SendReport(id, worker);
    }
    const auto watchers =
      static_cast<int>(static_cast<double>(aWorkers) * kWatchersPerWorker);
    for (int i = 0; i < watchers; ++i) {
      this->SubmitWatcher();
    }
  }

  void Play(std::chrono::seconds aLength)
  {
    const TimePoint end = this->harness.clock.Now() + aLength;
    const double perStep = std::chrono::duration<double>(kStep).count() *
                           static_cast<double>(this->workers.size());
    std::poisson_distribution<int> quotes(kQuotesPerWorker * perStep);
    std::poisson_distribution<int> plans(kPlansPerWorker * perStep);
    while (this->harness.clock.Now() < end) {
      this->harness.clock.Advance(kStep);
      for (int i = quotes(this->random); i > 0; --i) {
        this->SubmitQuote();
      }
      for (int i = plans(this->random); i > 0; --i) {
        this->SubmitPlan();
      }
      this->EndRuns();
      PlannedCommands orders;
      this->plan.Measure([&] { orders = this->harness.scheduler.Plan(); });
      this->CarryOut(orders);
      this->harness.WriteProgress();
    }
  }

  CallCost plan;
  CallCost report;
  std::uint64_t starts = 0;

  std::size_t Jobs() const { return this->harness.scheduler.Jobs(); }

private:
  double Draw(double aMean, double aSpread)
  {
    std::uniform_real_distribution<double> spread(1 - aSpread, 1 + aSpread);
    return aMean * spread(this->random);
  }

  std::string NextId() { return "job" + std::to_string(this->nextJob++); }

  void SubmitQuote()
  {
    WorkflowSubmission job = this->harness.Job(this->NextId(), 10);
    job.steps[0].cpuMilli = static_cast<std::uint32_t>(Draw(5700, 0.45));
    job.steps[0].memoryMb = 11000;
    job.steps[0].estimateMs = 640;
    this->harness.scheduler.Accept(job);
  }

  void SubmitPlan()
  {
    WorkflowSubmission job = this->harness.Job(this->NextId(), 20);
    job.priority = 2;
    job.steps[0].cpuMilli = static_cast<std::uint32_t>(Draw(3500, 0.3));
    job.steps[0].memoryMb = 6400;
    job.steps[0].estimateMs = 2200;
    job.steps[0].filler = true;
    job.steps[0].image =
      "plan" + std::to_string(this->random() % kFillerImages);
    job.steps.push_back(job.steps[0]);
    job.steps[1].after = { 0 };
    this->harness.scheduler.Accept(job);
  }

  void SubmitWatcher()
  {
    WorkflowSubmission job = this->harness.Job(this->NextId(), 14);
    job.steps[0].cpuMilli = static_cast<std::uint32_t>(Draw(6400, 0.25));
    job.steps[0].memoryMb = 13000;
    job.steps[0].longRunning = true;
    job.steps[0].latencyTargetMs = 50;
    job.steps[0].image =
      "watch" + std::to_string(this->random() % kServingImages);
    this->harness.scheduler.Accept(job);
  }

  void EndRuns()
  {
    const TimePoint now = this->harness.clock.Now();
    for (auto& [id, worker] : this->workers) {
      bool changed = false;
      for (auto it = worker.runs.begin(); it != worker.runs.end();) {
        if (now < it->second.endsAt) {
          ++it;
          continue;
        }
        worker.ended.push_back(EndedRun{
          worker.nextEnd++, it->first, it->second.run, RunEnd::Done, "" });
        it = worker.runs.erase(it);
        changed = true;
      }
      if (changed || now - worker.reportedAt > kReportInterval) {
        this->SendReport(id, worker);
      }
    }
  }

  void SendReport(const std::string& aId, SimulatedWorker& aWorker)
  {
    const TimePoint now = this->harness.clock.Now();
    WorkerReport rows;
    rows.incarnation = 1;
    rows.ended = std::move(aWorker.ended);
    aWorker.ended.clear();
    for (const auto& [task, run] : aWorker.runs) {
      rows.running.push_back(RunningRun{ task, run.run, "", 50, run.usage });
    }
    aWorker.reportedAt = now;
    this->harness.scheduler.NoteLease(aId,
                                      this->harness.scheduler.LeaseUntil(aId));
    this->report.Measure([&] {
      this->harness.scheduler.HandleReport(
        aId, now, this->harness.WorkerMs(), rows);
    });
  }

  void CarryOut(const PlannedCommands& aOrders)
  {
    const TimePoint now = this->harness.clock.Now();
    for (const PlannedStart& start : aOrders.starts) {
      ++this->starts;
      SimulatedWorker& worker = this->workers.at(start.worker);
      const Commitment& commitment =
        this->harness.scheduler.FindWorker(start.worker)
          ->Commitments()
          .at(start.command.task);
      SimulatedRun run;
      run.run = start.command.run;
      const bool lasts = commitment.step.longRunning;
      run.usage = lasts ? 12 : commitment.step.cpuMilli;
      run.endsAt = lasts ? now + std::chrono::hours(1)
                         : now + std::chrono::milliseconds(static_cast<int>(
                                   Draw(commitment.step.estimateMs, 0.5)));
      worker.runs[start.command.task] = run;
      this->harness.scheduler.HandleStart(
        start.worker,
        start.command.task,
        start.command.run,
        WorkerCommandReply{ WorkerCommandResult::Done,
                            this->harness.WorkerMs() },
        false);
    }
  }

  std::mt19937_64 random;
  SchedulerHarness harness;
  std::map<std::string, SimulatedWorker> workers;
  std::uint64_t nextJob = 1;
};

void
RunWorkflowCell(const ScenarioOptions& aOptions, const Report& aReport)
{
  SetLogLevel(LogLevel::Error);
  for (const std::size_t workers : { 66, 123, 245, 490 }) {
    CellLoadGame game(workers, aOptions.seed);
    constexpr std::chrono::seconds kLength{ 20 };
    game.Play(kLength);
    const auto report = [&](const std::string& aMeasure,
                            double aValue,
                            const std::string& aUnit) {
      Measurement figure;
      figure.scenario = "workflow-cell";
      figure.policy = "current";
      figure.measure = aMeasure;
      figure.value = aValue;
      figure.unit = aUnit;
      figure.seed = aOptions.seed;
      figure.labels["workers"] = std::to_string(workers);
      aReport(figure);
    };
    const auto starts = static_cast<double>(game.starts);
    report("starts_per_second", starts / kLength.count(), "1/s");
    report("plan_per_start", game.plan.Microseconds() / starts, "us");
    report("report_per_start", game.report.Microseconds() / starts, "us");
    report("core_share",
           (game.plan.Microseconds() + game.report.Microseconds()) / 1e6 /
             kLength.count(),
           "cores");
    report("jobs_open_at_end", static_cast<double>(game.Jobs()), "jobs");
  }
}

const RegisterScenario kWorkflowCell(
  "workflow-cell",
  "Processor time of the decisions of one cell by its number of workers",
  RunWorkflowCell);

} // namespace

} // namespace sequoiakeel
