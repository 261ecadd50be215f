/** A worker leaves the start of a task that lasts unanswered, is cut off,
 * crashes behind the cut, starts again under its id and carries the start out
 * late. The task must not run on two workers at the same time. */
#include "Platform.h"

using namespace review;

namespace {

constexpr int kCutMs = 5500;
constexpr int kCrashAfterMs = 3900;
constexpr int kDownMs = 600;
constexpr int kLateMs = 4800;

Json
LastingStep(int aCount)
{
  return { { { "count", aCount },
             { "cpu", 6400 },
             { "memMb", 13000 },
             { "estimateMs", 500 },
             { "longRunning", true },
             { "image", "watch" } } };
}

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
  const Json spec{ { "lasts", true }, { "cpu", 6400 } };
  int accepted = 0;
  for (int i = 0; i < 6; ++i) {
    accepted +=
      system.Submit("mouldwatch", system.NewId(), spec, LastingStep(4)) ? 1 : 0;
  }
  Sleep(5000);
  std::atomic<bool> used{ false };
  for (const auto& one : system.Workers()) {
    Worker* const worker = one.get();
    if (!trouble) {
      break;
    }
    worker->LeaveNextStartUnanswered(true, [worker, &system, &used] {
      if (used.exchange(true)) {
        return;
      }
      for (const auto& other : system.Workers()) {
        other->LeaveNextStartUnanswered(true, nullptr);
      }
      const auto begun = SteadyClock::now();
      const auto at = [begun](int aMilliseconds) {
        std::this_thread::sleep_until(begun + milliseconds(aMilliseconds));
      };
      worker->CutOff(true);
      at(kCrashAfterMs);
      worker->CrashBehindCut(kDownMs, Deployment::kHeartbeatMs);
      at(kLateMs);
      worker->CarryOutLate();
      at(kCutMs);
      worker->CutOff(false);
    });
  }
  const std::string id = system.NewId();
  accepted += system.Submit("mouldwatch", id, spec, LastingStep(1)) ? 1 : 0;
  Sleep(14000);
  const std::string state = system.State("mouldwatch", id);
  const std::size_t twice = Worker::TwiceAtOnce().size();
  for (const auto& one : system.Schedulers()) {
    one->Kill();
  }
  std::cout << accepted << " jobs accepted, the last one is shown as " << state
            << "; " << twice << " tasks ran on two workers at the same time\n"
            << (twice > 0 ? "TWICE is broken\n" : "the rule held\n")
            << std::flush;
  std::_Exit(accepted != 7 || (trouble && !used) ? 2 : twice > 0 ? 1 : 0);
}
