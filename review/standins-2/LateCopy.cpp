/** A worker leaves one copy of a start unanswered and runs the other copy.
 * After that run has ended `done` and its end is acknowledged, the worker is
 * cut off, crashes behind the cut, starts again under its id and carries the
 * first copy out late. The task must not start again. */
#include "Platform.h"

using namespace review;

namespace {

constexpr int kCutAtMs = 3000;
constexpr int kCutMs = 5500;
constexpr int kCrashAtMs = 3500;
constexpr int kDownMs = 600;
constexpr int kLateMs = 6000;

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount < 4) {
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const bool trouble = std::string(aArguments[1]) != "0";
  Record record(aArguments[2]);
  Deployment system(3, std::vector<std::string>(8, "a"), aArguments[3], record);
  if (!system.AwaitReady()) {
    std::cout << "the schedulers did not become ready\n" << std::flush;
    std::_Exit(2);
  }
  Sleep(3000);
  std::vector<std::string> jobs;
  const auto submit = [&](int aTasks) {
    const std::string id = system.NewId();
    if (system.Submit("cureplan",
                      id,
                      { { "ms", 640 }, { "cpu", 3500 } },
                      { { { "count", aTasks },
                          { "cpu", 3500 },
                          { "memMb", 6400 },
                          { "estimateMs", 640 } } })) {
      jobs.push_back(id);
    }
  };
  for (int i = 0; i < 10; ++i) {
    submit(4);
    Sleep(300);
  }
  Sleep(2000);
  std::atomic<bool> used{ false };
  for (const auto& one : system.Workers()) {
    Worker* const worker = one.get();
    if (!trouble) {
      break;
    }
    worker->LeaveNextStartUnanswered(false, [worker, &system, &used] {
      if (used.exchange(true)) {
        return;
      }
      for (const auto& other : system.Workers()) {
        other->LeaveNextStartUnanswered(false, nullptr);
      }
      const auto begun = SteadyClock::now();
      const auto at = [begun](int aMilliseconds) {
        std::this_thread::sleep_until(begun + milliseconds(aMilliseconds));
      };
      at(kCutAtMs);
      worker->CutOff(true);
      at(kCrashAtMs);
      worker->CrashBehindCut(kDownMs, Deployment::kHeartbeatMs);
      at(kLateMs);
      worker->CarryOutLate();
      at(kCutAtMs + kCutMs);
      worker->CutOff(false);
    });
  }
  submit(1);
  Sleep(12000);
  std::size_t open = 0;
  for (const std::string& id : jobs) {
    open += system.State("cureplan", id) == "completed" ? 0 : 1;
  }
  const std::size_t twice =
    Worker::StartedAfterDone().size() + Worker::TwiceAtOnce().size();
  for (const auto& one : system.Schedulers()) {
    one->Kill();
  }
  std::cout << jobs.size() << " jobs accepted, " << open << " not completed; "
            << twice
            << " tasks were started after an end done that was acknowledged\n"
            << (twice > 0 ? "TWICE is broken\n" : "the rule held\n")
            << std::flush;
  std::_Exit(jobs.size() != 11 || (trouble && !used) ? 2 : twice > 0 ? 1 : 0);
}
