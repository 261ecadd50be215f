/**
 * Guards against fillers that stay at a speed which the owner does not know of:
 * an earlier owner slowed them, an order was not carried out, or an order was
 * carried out late, after newer ones.
 */
#include "support/SchedulerHarness.h"

#include <doctest/doctest.h>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace sequoiakeel;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kServingTask = "5e41000000000000.0.0.0";
constexpr const char* kFillerTask = "f111000000000000.0.0.0";
constexpr std::int64_t kTargetMs = 50;
constexpr std::int64_t kLowTailMs = 10;
/** Makes the owner pause all fillers. */
constexpr std::int64_t kHighTailMs = 100;
constexpr milliseconds kStep{ 200 };

/** What the worker does with a speed order. */
enum class Delivery
{
  Answered,
  /** Rejects the order. */
  Refused,
  /** Carries the order out and gives no answer. */
  AnswerLost,
  /** Gives no answer and does not carry the order out. */
  Lost,
  /** Gives no answer and carries the order out 8 s later. */
  Late,
};

/** One worker with a serving task and a filler, which keeps its speed across
 * owners. */
class FillerOnWorker
{
public:
  /** aPercent: the speed that an earlier owner left; unset: there was no
   * earlier owner. */
  explicit FillerOnWorker(std::optional<int> aPercent)
  {
    WorkflowSubmission serving = this->harness.Job("5e41000000000000");
    serving.steps[0].longRunning = true;
    serving.steps[0].image = "web";
    serving.steps[0].latencyTargetMs = kTargetMs;
    WorkflowSubmission filler = this->harness.Job("f111000000000000");
    filler.steps[0].filler = true;
    filler.steps[0].image = "batch";
    InterferenceEvidence evidence;
    evidence.effects.push_back(EffectEvidence{ "web", "batch", 0.1, 1e6 });
    this->harness.scheduler.SetPeerEvidence("other", evidence);
    if (aPercent) {
      this->percent = *aPercent;
      this->running = { kServingTask, kFillerTask };
      this->harness.scheduler.Restore(serving, WorkflowProgress{});
      this->harness.scheduler.Restore(filler, WorkflowProgress{});
    }
    this->harness.AddWorkers({});
    WorkerDescription worker = SchedulerHarness::Worker("w");
    this->harness.scheduler.UpdateWorkers({ &worker, 1 });
    this->harness.scheduler.RosterWritten(
      this->harness.scheduler.RosterToWrite());
    if (!aPercent) {
      this->harness.scheduler.Accept(serving);
      this->Simulate(seconds(1));
      this->harness.scheduler.Accept(filler);
    }
    this->Simulate(seconds(1));
    REQUIRE(this->running.size() == 2);
  }

  /** Sets what happens to the next orders; those after them are answered. */
  void SetDeliveries(std::vector<Delivery> aDeliveries)
  {
    this->deliveries = std::move(aDeliveries);
  }

  void SetTail(std::int64_t aTailMs) { this->tailMs = aTailMs; }

  void Simulate(milliseconds aTime)
  {
    for (milliseconds past{ 0 }; past < aTime; past += kStep) {
      this->Step();
    }
  }

  /** Returns the speed at which the filler works. */
  int Percent() const { return this->percent; }

  /** Returns how many orders were sent since the last call. */
  int TakeOrders() { return std::exchange(this->orders, 0); }

private:
  void Step()
  {
    this->harness.clock.Advance(kStep);
    const TimePoint now = this->harness.clock.Now();
    std::erase_if(this->late, [&](const auto& aItem) {
      const bool due = aItem.first <= now;
      this->percent = due ? aItem.second : this->percent;
      return due;
    });
    std::vector<RunningRun> rows;
    for (const std::string& task : this->running) {
      const bool serving = task == kServingTask;
      rows.push_back(
        { task, 1, "", 50, serving ? this->tailMs : 10L * this->percent });
    }
    this->harness.scheduler.NoteLease("w", this->harness.WorkerMs() + 5000);
    this->harness.Report("w", 1, rows, {});
    // The second pass sends the starts that were held for the first write.
    for (int pass = 0; pass < 2; ++pass) {
      const PlannedCommands commands = this->harness.scheduler.Plan();
      for (const PlannedStart& start : commands.starts) {
        this->running.push_back(start.command.task);
        this->harness.scheduler.HandleStart(
          start.worker,
          start.command.task,
          start.command.run,
          WorkerCommandReply{ WorkerCommandResult::Done,
                              this->harness.WorkerMs() },
          false);
      }
      for (const PlannedThrottle& order : commands.throttles) {
        this->Deliver(order);
      }
      this->harness.WriteProgress();
    }
  }

  void Deliver(const PlannedThrottle& aOrder)
  {
    ++this->orders;
    Delivery delivery = Delivery::Answered;
    if (!this->deliveries.empty()) {
      delivery = this->deliveries.front();
      this->deliveries.erase(this->deliveries.begin());
    }
    WorkerCommandReply reply{ WorkerCommandResult::Unknown, 0 };
    if (delivery == Delivery::Answered) {
      reply.result = WorkerCommandResult::Done;
    } else if (delivery == Delivery::Refused) {
      reply.result = WorkerCommandResult::Refused;
    }
    if (delivery == Delivery::Answered || delivery == Delivery::AnswerLost) {
      this->percent = aOrder.percent;
    } else if (delivery == Delivery::Late) {
      this->late.emplace_back(this->harness.clock.Now() + seconds(8),
                              aOrder.percent);
    }
    this->harness.scheduler.HandleThrottle(aOrder, reply);
  }

  SchedulerHarness harness;
  std::vector<std::string> running;
  std::vector<Delivery> deliveries;
  std::vector<std::pair<TimePoint, int>> late;
  std::int64_t tailMs = kLowTailMs;
  int percent = 100;
  int orders = 0;
};

} // namespace

// Guards against a filler that an earlier owner paused and nobody resumes.
TEST_CASE("a filler that an earlier owner paused is resumed")
{
  FillerOnWorker cell(0);
  cell.Simulate(seconds(10));
  CHECK(cell.Percent() == 100);
  CHECK(cell.TakeOrders() == 1);
}

// Guards against a filler whose resumption is not carried out.
TEST_CASE("an order that the worker refuses or does not answer is repeated")
{
  for (const Delivery delivery : { Delivery::Refused, Delivery::Lost }) {
    FillerOnWorker cell(std::nullopt);
    cell.SetTail(kHighTailMs);
    cell.Simulate(seconds(4));
    REQUIRE(cell.Percent() == 0);
    cell.SetTail(kLowTailMs);
    cell.SetDeliveries(std::vector<Delivery>(20, delivery));
    cell.Simulate(seconds(40));
    CHECK(cell.Percent() == 100);
  }
}

// Guards against a late order that is carried out after newer ones.
TEST_CASE("a filler that a late order pauses is resumed")
{
  FillerOnWorker cell(std::nullopt);
  cell.SetDeliveries({ Delivery::Late });
  cell.SetTail(kHighTailMs);
  cell.Simulate(seconds(3));
  cell.SetTail(kLowTailMs);
  cell.Simulate(seconds(5));
  REQUIRE(cell.Percent() == 100);
  cell.Simulate(seconds(4));
  REQUIRE(cell.Percent() == 0);
  cell.Simulate(seconds(5));
  CHECK(cell.Percent() == 100);
}

// Guards against a late order that resumes a filler beside a missed target.
TEST_CASE("a filler that a late order resumes is paused again")
{
  FillerOnWorker cell(std::nullopt);
  cell.SetTail(kHighTailMs);
  cell.Simulate(seconds(4));
  REQUIRE(cell.Percent() == 0);
  cell.SetDeliveries({ Delivery::Late });
  cell.SetTail(kLowTailMs);
  cell.Simulate(milliseconds(600));
  cell.SetTail(kHighTailMs);
  cell.Simulate(seconds(10));
  REQUIRE(cell.Percent() > 0);
  cell.Simulate(seconds(6));
  CHECK(cell.Percent() == 0);
}

// Guards against orders without end, each of which is billed.
TEST_CASE("an order is sent only where the speed changes or may be another one")
{
  FillerOnWorker cell(std::nullopt);
  CHECK(cell.TakeOrders() == 0);
  cell.Simulate(seconds(30));
  CHECK(cell.TakeOrders() == 0);
  cell.SetTail(kHighTailMs);
  cell.Simulate(seconds(30));
  CHECK(cell.TakeOrders() == 1);
  cell.SetTail(kLowTailMs);
  cell.Simulate(seconds(30));
  CHECK(cell.TakeOrders() == 5);
  cell.Simulate(seconds(30));
  CHECK(cell.TakeOrders() == 0);
  // An order without an answer is repeated once, and an equal late copy needs
  // no confirmation.
  FillerOnWorker unanswered(std::nullopt);
  unanswered.SetDeliveries({ Delivery::AnswerLost });
  unanswered.SetTail(kHighTailMs);
  unanswered.Simulate(seconds(30));
  CHECK(unanswered.Percent() == 0);
  CHECK(unanswered.TakeOrders() == 2);
}
