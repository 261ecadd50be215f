#include "ClosedZones.h"

#include "support/SchedulerHarness.h"

#include <doctest/doctest.h>

using namespace sequoiakeel;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds kStopWithin{ 5000 };

/** A cell with two workers in zone a and two in zone b. Zones can be closed. */
struct TwoZones
{
  TwoZones()
    : TwoZones(std::optional(kStopWithin))
  {
  }

  explicit TwoZones(std::optional<std::chrono::milliseconds> aStopWithin)
    : harness(Timings(aStopWithin))
  {
    this->harness.scheduler.SetRoster({});
    this->List();
    this->harness.scheduler.RosterWritten(
      this->harness.scheduler.RosterToWrite());
    this->ReportAll();
  }

  static SchedulerTimings Timings(
    std::optional<std::chrono::milliseconds> aStopWithin)
  {
    SchedulerTimings timings;
    timings.zoneClose = aStopWithin;
    return timings;
  }

  void List()
  {
    std::vector<WorkerDescription> workers;
    for (const char* const id : { "a1", "a2", "b1", "b2" }) {
      WorkerDescription worker = SchedulerHarness::Worker(id);
      worker.zone = std::string(1, id[0]);
      workers.push_back(worker);
    }
    this->harness.scheduler.UpdateWorkers(workers);
  }

  void ReportAll()
  {
    for (const char* const id : { "a1", "a2", "b1", "b2" }) {
      this->harness.Report(id, 1, {}, {});
    }
  }

  void Close(std::set<std::string> aZones)
  {
    this->harness.scheduler.UpdateClosedZones(std::move(aZones),
                                              this->harness.clock.Now());
  }

  /** Submits a job and returns the first letters of the workers on which its
   * tasks are started. */
  std::set<char> ZonesOfStarts(const std::string& aJob, std::uint32_t aTasks)
  {
    this->harness.scheduler.Accept(this->harness.Job(aJob, aTasks));
    std::set<char> zones;
    for (const PlannedStart& start : this->harness.PlanAndConfirm()) {
      zones.insert(start.worker.front());
    }
    return zones;
  }

  SchedulerHarness harness;
};

} // namespace

// Guards against starts in a zone that the operator has closed, and against a
// zone that stays closed after the request was withdrawn.
TEST_CASE("a closed zone takes no starts until it is opened")
{
  TwoZones cell;
  cell.Close({ "a" });
  CHECK(cell.ZonesOfStarts("j1", 40) == std::set<char>{ 'b' });
  cell.Close({ "b" });
  CHECK(cell.ZonesOfStarts("j2", 40) == std::set<char>{ 'a' });
  cell.Close({ "a", "b" });
  CHECK(cell.ZonesOfStarts("j3", 4).empty());
  cell.Close({});
  CHECK(cell.ZonesOfStarts("j4", 4).size() >= 1);
}

// Guards against work that is thrown away when a zone is closed: what runs in
// it may end there.
TEST_CASE("runs in a zone that is closed are not stopped")
{
  TwoZones cell;
  cell.Close({ "b" });
  CHECK(cell.ZonesOfStarts("j1", 8) == std::set<char>{ 'a' });
  cell.Close({ "a" });
  CHECK(cell.harness.scheduler.Plan().stops.empty());
  CHECK_FALSE(cell.harness.scheduler.WorkersToRenew().empty());
}

// Guards against starts that are decided on what was known before a zone was
// closed: by an owner that cannot reach the store, was paused, or is new.
TEST_CASE("nothing is started while the closed zones are not known")
{
  TwoZones cell;
  CHECK_FALSE(cell.harness.scheduler.KnowsClosedZones());
  CHECK(cell.ZonesOfStarts("j1", 4).empty());
  cell.Close({});
  CHECK(cell.harness.scheduler.KnowsClosedZones());
  CHECK_FALSE(cell.ZonesOfStarts("j2", 4).empty());
  cell.harness.clock.Advance(kStopWithin);
  cell.ReportAll();
  CHECK(cell.ZonesOfStarts("j3", 4).empty());
  cell.Close({});
  CHECK_FALSE(cell.ZonesOfStarts("j4", 4).empty());
}

// Guards against a start that is decided on in time and takes effect too late:
// the age counts from the begin of the read, and a command without an answer
// may be carried out until its validity ends.
TEST_CASE("the last start that is decided on takes effect in time")
{
  ClosedZones zones(kStopWithin, SchedulerTimings::kLongestStart);
  const TimePoint readAt{ 100s };
  zones.Update({}, readAt);
  TimePoint last = readAt;
  for (TimePoint now = readAt; now < readAt + 10s; now += 10ms) {
    last = zones.MayStart("a", now) ? now : last;
  }
  CHECK(last > readAt + 2s);
  CHECK(last + SchedulerTimings::kLongestStart < readAt + kStopWithin);
}

// Guards against a change for deployments whose operators cannot close zones.
TEST_CASE("where zones cannot be closed starts need no read")
{
  TwoZones cell(std::nullopt);
  CHECK(cell.harness.scheduler.KnowsClosedZones());
  CHECK_FALSE(cell.ZonesOfStarts("j1", 4).empty());
}

// Guards against a request for a zone that does not exist.
TEST_CASE("a closed zone without workers changes nothing")
{
  TwoZones cell;
  cell.Close({ "zone-of-nobody" });
  // Each job fills one zone.
  CHECK(cell.ZonesOfStarts("j1", 64) == std::set<char>{ 'a' });
  CHECK(cell.ZonesOfStarts("j2", 64) == std::set<char>{ 'b' });
}

// Guards against a start that was decided on before the zone was closed and
// sent afterwards, since its assignment had to be durable first.
TEST_CASE("a held start is not sent to a zone that was closed meanwhile")
{
  TwoZones cell;
  cell.Close({ "b" });
  WorkflowSubmission service = cell.harness.Job("j1");
  service.steps.front().longRunning = true;
  cell.harness.scheduler.Accept(service);
  CHECK(cell.harness.scheduler.Plan().starts.empty());
  REQUIRE(cell.harness.scheduler.HasHeldStarts());
  cell.Close({ "a" });
  cell.harness.WriteProgress();
  for (const PlannedStart& start : cell.harness.PlanStarts()) {
    CHECK(start.worker.front() == 'b');
  }
  cell.harness.WriteProgress();
  cell.harness.PlanStarts();
  CHECK_FALSE(cell.harness.scheduler.HasHeldStarts());
}

// Guards against capacity of a closed zone that is offered to other cells.
TEST_CASE("a closed zone offers no capacity to other cells")
{
  TwoZones cell;
  cell.Close({});
  REQUIRE(cell.harness.scheduler.CapacityForLongRunning().groups.size() == 1);
  const std::uint64_t all =
    cell.harness.scheduler.CapacityForLongRunning().groups[0].freeCpuMilli;
  cell.Close({ "a" });
  CHECK(
    cell.harness.scheduler.CapacityForLongRunning().groups[0].freeCpuMilli ==
    all / 2);
}

// Guards against starts on a worker that began to drain while its owner could
// not read the list of workers.
TEST_CASE("nothing is started on a list of workers that is too old")
{
  SchedulerTimings timings;
  timings.longestRegistryAge = 1700ms;
  SchedulerHarness harness(timings);
  harness.AddWorkers({ "w1" });
  harness.scheduler.Accept(harness.Job("j1"));
  CHECK(harness.PlanAndConfirm().size() == 1);
  harness.clock.Advance(1701ms);
  harness.Report("w1", 1, {}, {});
  harness.scheduler.Accept(harness.Job("j2"));
  CHECK(harness.PlanAndConfirm().empty());
  const std::vector<WorkerDescription> listed{ SchedulerHarness::Worker("w1") };
  harness.scheduler.UpdateWorkers(listed);
  CHECK_FALSE(harness.PlanAndConfirm().empty());
}
