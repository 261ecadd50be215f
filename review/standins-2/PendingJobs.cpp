/** Two workers of one kind refuse starts while jobs that need this kind are
 * handed in, and the owner is restarted; the count of pending jobs must name
 * the jobs that have not begun. */
#include "Platform.h"

using namespace review;

namespace {

constexpr int kJobs = 8;
constexpr int kRefusingMs = 6400;
constexpr int kVisibleMs = 3000 + 2000; // visible_ms + 2 s
constexpr int kRestartAtMs = 3000;

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount < 4) {
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const bool trouble = std::string(aArguments[1]) != "0";
  const bool restart = aCount < 5 || std::string(aArguments[4]) != "stay";
  Record record(aArguments[2]);
  std::vector<std::string> kinds(22, "a");
  kinds.insert(kinds.end(), 2, "b");
  Deployment system(3, kinds, aArguments[3], record);
  if (!system.AwaitReady()) {
    std::cout << "the schedulers did not become ready\n" << std::flush;
    std::_Exit(2);
  }
  Sleep(4000);
  const auto refuse = [&](bool aOn) {
    for (std::size_t i = 22; trouble && i < kinds.size(); ++i) {
      system.Workers()[i]->RefuseStarts(aOn);
    }
  };
  const std::int64_t begun = record.NowMs();
  refuse(true);
  std::map<std::string, std::int64_t> accepted;
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = system.NewId();
    if (system.Submit("mouldwatch",
                      id,
                      { { "lasts", true }, { "cpu", 2000 } },
                      { { { "count", 2 },
                          { "cpu", 2000 },
                          { "memMb", 6200 },
                          { "estimateMs", 500 },
                          { "longRunning", true },
                          { "requiredLabel", "b" } } })) {
      accepted[id] = record.NowMs();
    }
  }
  while (record.NowMs() - begun < kRestartAtMs) {
    Sleep(10);
  }
  Scheduler* owner = system.Schedulers().front().get();
  for (const auto& one : system.Schedulers()) {
    owner = one->LastOwnership() > owner->LastOwnership() ? one.get() : owner;
  }
  if (trouble && restart) {
    record.Write("SIGTERM for " + owner->Name());
    owner->Signal(SIGTERM);
  }
  while (record.NowMs() - begun < kVisibleMs + 400) {
    Sleep(10);
  }
  int asked = 0;
  int wrong = 0;
  // The platform starts a process again after its end.
  bool restarted = !trouble || !restart;
  const auto startAgain = [&] {
    if (!restarted && !owner->Running()) {
      record.Write(owner->Name() + " has ended and is started again");
      owner->Start();
      restarted = true;
    }
  };
  while (record.NowMs() - begun < kRefusingMs - 300) {
    for (const auto& one : system.Schedulers()) {
      if (one.get() == owner) {
        continue;
      }
      const std::int64_t at = record.NowMs();
      const auto answer = CallOnce(one->Address(),
                                   one->Front(),
                                   "GET",
                                   "/mouldwatch/",
                                   Deployment::kHost,
                                   "",
                                   1000);
      int notBegun = 0;
      for (const auto& [id, since] : accepted) {
        bool has = false;
        for (const auto& worker : system.Workers()) {
          has = has || worker->RunsJob(id);
        }
        notBegun += !has && at - since > kVisibleMs ? 1 : 0;
      }
      if (!answer || answer->status != 200) {
        continue;
      }
      ++asked;
      const int pending = answer->body.value("pending", -1);
      const bool broken = 2 * pending < notBegun;
      wrong += broken ? 1 : 0;
      record.Write("GET /mouldwatch/ at " + one->Name() + ": pending " +
                   std::to_string(pending) + "; accepted over 5 s before and " +
                   "not begun: " + std::to_string(notBegun));
    }
    startAgain();
    Sleep(100);
  }
  refuse(false);
  for (int i = 0; i < 80; ++i) {
    startAgain();
    Sleep(100);
  }
  int running = 0;
  for (const auto& [id, since] : accepted) {
    running += system.State("mouldwatch", id) == "running" ? 1 : 0;
  }
  for (const auto& one : system.Schedulers()) {
    one->Kill();
  }
  std::cout << accepted.size() << " jobs accepted, asked " << asked
            << " times, under half of the jobs that had not begun were given "
            << wrong << " times; " << running << " jobs run at the end\n"
            << (wrong > 0 ? "MIXED is broken\n" : "the rule held\n")
            << std::flush;
  std::_Exit(asked == 0 || accepted.size() != kJobs ? 2 : wrong > 0 ? 1 : 0);
}
