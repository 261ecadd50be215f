/**
 * Guards against a gang that fits on no set of workers and thereby keeps other
 * jobs from starting on workers with free capacity.
 */
#include "support/SchedulerHarness.h"

#include <doctest/doctest.h>
#include <string>

using namespace sequoiakeel;
using std::chrono::milliseconds;

namespace {

/** Two workers with room for 64 tasks of one core. */
struct GangCell
{
  SchedulerHarness harness;

  GangCell() { this->harness.AddWorkers({ "w1", "w2" }); }

  /** Accepts a gang that lacks room for one member, at the highest priority. */
  void AcceptGang(const std::string& aId, bool aFiller = false)
  {
    WorkflowSubmission gang = this->Job(aId, 65, aFiller);
    gang.steps[0].gang = true;
    this->harness.scheduler.Accept(gang);
  }

  /** Accepts a job that is no gang, after the gang in order. */
  void AcceptJob(const std::string& aId, bool aFiller = false)
  {
    WorkflowSubmission job = this->Job(aId, 4, aFiller);
    job.priority = 2;
    this->harness.scheduler.Accept(job);
  }

  /** Runs planning passes for a second; returns the number of starts. */
  std::size_t StartsInASecond()
  {
    std::size_t starts = 0;
    for (int i = 0; i < 10; ++i) {
      starts += this->harness.PlanAndConfirm().size();
      this->harness.clock.Advance(milliseconds(100));
    }
    return starts;
  }

private:
  /** Limits fillers by memory, as their processor demand is not counted. */
  WorkflowSubmission Job(const std::string& aId,
                         std::uint32_t aCount,
                         bool aFiller) const
  {
    WorkflowSubmission job = this->harness.Job(aId, aCount);
    job.steps[0].filler = aFiller;
    job.steps[0].image = "image";
    job.steps[0].cpuMilli = aFiller ? 10 : 1000;
    job.steps[0].memoryMb = aFiller ? 4000 : 100;
    return job;
  }
};

} // namespace

// Guards against the size of a gang's member that is noted as fitting on no
// worker while the other members' capacity is only committed for the attempt.
TEST_CASE("a gang without room does not block jobs of a lower priority")
{
  GangCell cell;
  cell.AcceptGang("a");
  cell.AcceptJob("b");
  CHECK(cell.StartsInASecond() == 4);
}

// Guards against the same among fillers of one image, whose sizes are noted
// apart from those of other tasks.
TEST_CASE("a gang of fillers without room does not block other fillers")
{
  GangCell cell;
  cell.AcceptGang("a", true);
  cell.AcceptJob("b", true);
  CHECK(cell.StartsInASecond() == 4);
}

// Guards against gangs that block each other: the second one fits.
TEST_CASE("a gang without room does not block a smaller gang")
{
  GangCell cell;
  cell.AcceptGang("a");
  WorkflowSubmission gang = cell.harness.Job("b", 64);
  gang.priority = 2;
  gang.steps[0].gang = true;
  cell.harness.scheduler.Accept(gang);
  CHECK(cell.StartsInASecond() == 64);
}

// Guards against commitments of the attempt that outlast it, or that the start
// of another job does not see.
TEST_CASE("a gang without room holds no capacity")
{
  GangCell cell;
  cell.AcceptGang("a");
  WorkflowSubmission job = cell.harness.Job("b", 80);
  job.priority = 2;
  cell.harness.scheduler.Accept(job);
  CHECK(cell.StartsInASecond() == 64);
}
