/** Two workers of one kind fail all that they start for some seconds and are
 * sound again; jobs that need this kind must then run. */
#include "Platform.h"

using namespace review;

namespace {

constexpr int kGreyMs = 6000;
constexpr int kFinishMs = 14000; // finish_s
constexpr int kNothingRunsMs = 3000;
constexpr std::uint64_t kTaskCpu = 2000;

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
  std::vector<std::string> kinds(22, "a");
  kinds.insert(kinds.end(), 2, "b");
  Deployment system(3, kinds, aArguments[3], record);
  if (!system.AwaitReady()) {
    std::cout << "the schedulers did not become ready\n" << std::flush;
    std::_Exit(2);
  }
  Sleep(3000);
  std::vector<std::string> jobs;
  const auto submit = [&] {
    const std::string id = system.NewId();
    if (system.Submit("quote",
                      id,
                      { { "ms", 500 }, { "cpu", kTaskCpu } },
                      { { { "count", 2 },
                          { "cpu", kTaskCpu },
                          { "memMb", 6200 },
                          { "estimateMs", 500 },
                          { "requiredLabel", "b" } } })) {
      jobs.push_back(id);
    }
  };
  const auto grey = [&](bool aOn) {
    for (std::size_t i = 22; trouble && i < kinds.size(); ++i) {
      system.Workers()[i]->FailAll(aOn);
    }
  };
  for (int i = 0; i < 10; ++i) {
    submit();
    Sleep(400);
  }
  grey(true);
  for (int i = 0; i < kGreyMs / 400; ++i) {
    submit();
    Sleep(400);
  }
  grey(false);
  const std::size_t before = jobs.size();
  for (int i = 0; i < 5; ++i) {
    Sleep(400);
    submit();
  }
  record.Write("end of the traffic");
  Sleep(kFinishMs);
  std::map<std::string, bool> idle;
  for (std::size_t i = before; i < jobs.size(); ++i) {
    idle[jobs[i]] = system.State("quote", jobs[i]) != "completed";
  }
  bool room = true;
  for (int i = 0; i < kNothingRunsMs / 50; ++i) {
    bool any = false;
    for (std::size_t k = 22; k < kinds.size(); ++k) {
      any = any || system.Workers()[k]->CpuInUse() + 4 * kTaskCpu <= 32000;
    }
    room = room && any;
    for (const auto& worker : system.Workers()) {
      for (auto& [id, nothing] : idle) {
        nothing = nothing && !worker->RunsJob(id);
      }
    }
    Sleep(50);
  }
  int lost = 0;
  for (const auto& [id, nothing] : idle) {
    const std::string state = nothing ? system.State("quote", id) : "completed";
    if (state == "completed") {
      continue;
    }
    ++lost;
    const std::string line =
      "job " + id + ", handed in to sound workers, is shown as " + state +
      " and had nothing running for 3 s, and there was room for it: " +
      (room ? "yes" : "no");
    record.Write(line);
    std::cout << line << "\n";
  }
  const bool broken = lost > 0 && room;
  for (const auto& one : system.Schedulers()) {
    one->Kill();
  }
  std::cout << jobs.size() << " jobs accepted, " << lost << " stand still\n"
            << (broken ? "LOST is broken\n" : "the rule held\n") << std::flush;
  std::_Exit(jobs.size() < 25 ? 2 : broken ? 1 : 0);
}
