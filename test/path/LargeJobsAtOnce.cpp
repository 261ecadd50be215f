/**
 * Guards against an owner that learns of no further job once more was written
 * between two of its watches than one response may hold.
 */
#include "WorkflowKeys.h"
#include "generated/WorkflowJson.h"
#include "soak/SchedulerFixture.h"

#include <csignal>

using namespace sequoiakeel;

namespace {

constexpr std::uint16_t kPort = 22000;
constexpr int kLargeJobs = 16;
constexpr std::size_t kSteps = 2600;
constexpr std::uint64_t kFirstUnixMs = 4'000'000'000'000;

/** Returns a job of many steps that is not due for a long time. */
WorkflowSubmission
LargeJob(int aNumber)
{
  WorkflowSubmission submission;
  submission.id = "large" + std::to_string(100 + aNumber);
  submission.queue = "jobs";
  submission.service = "desk";
  WorkflowStep step;
  step.cpuMilli = 1000;
  step.memoryMb = 100;
  step.estimateMs = 300;
  submission.steps.assign(kSteps, step);
  submission.recurrence = { 1, kFirstUnixMs, 1000 };
  submission.acceptedUnixMs = 1;
  return submission;
}

} // namespace

TEST_CASE("jobs run after large jobs that came at once")
{
  soak::SchedulerFixture system("large-jobs",
                                kPort,
                                nlohmann::json::object(),
                                nlohmann::json::object(),
                                { "z1" });
  REQUIRE(system.Until([&] { return system.SubmitOne() == 200; }));
  REQUIRE(system.Until([&] { return system.ledger.Starts() > 0; }));
  system.process->Signal(SIGSTOP);
  std::size_t bytes = 0;
  for (int i = 0; i < kLargeJobs; ++i) {
    const nlohmann::json record = LargeJob(i);
    bytes += record.dump().size();
    system.Put(WorkflowKeys(0).Job(LargeJob(i).id), record);
  }
  // More than any response may hold.
  REQUIRE(bytes > ResponseLimits().maxBodyBytes);
  system.process->Signal(SIGCONT);
  REQUIRE(system.Until([&] { return system.SubmitOne() == 200; }));
  const std::uint64_t before = system.ledger.Starts();
  REQUIRE(system.Until([&] { return system.SubmitOne() == 200; }));
  CHECK(system.Until([&] { return system.ledger.Starts() > before + 1; }));
}
