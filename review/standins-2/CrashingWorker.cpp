/** One worker crashes again and again; the jobs that last must go on. */
#include "Platform.h"

using namespace review;

int
main(int aCount, char** aArguments)
{
  if (aCount < 4) {
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const bool trouble = std::string(aArguments[1]) != "0";
  const int crashes = aCount > 4 ? std::atoi(aArguments[4]) : 8;
  const int upMs = aCount > 5 ? std::atoi(aArguments[5]) : 2500;
  const int downMs = aCount > 6 ? std::atoi(aArguments[6]) : 1000;
  Record record(aArguments[2]);
  int result = 2;
  {
    Deployment system(
      3, std::vector<std::string>(8, "a"), aArguments[3], record);
    if (!system.AwaitReady()) {
      std::cout << "the schedulers did not become ready\n";
      std::_Exit(2);
    }
    Sleep(2000);
    std::vector<std::string> jobs;
    for (int i = 0; i < 5; ++i) {
      const std::string id = system.NewId();
      const bool accepted =
        system.Submit("mouldwatch",
                      id,
                      { { "lasts", true }, { "cpu", 6400 } },
                      { { { "count", 4 },
                          { "cpu", 6400 },
                          { "memMb", 13000 },
                          { "estimateMs", 500 },
                          { "longRunning", true },
                          { "image", "watch" } } });
      if (accepted) {
        jobs.push_back(id);
      }
    }
    Sleep(6000);
    for (int i = 0; i < crashes; ++i) {
      Worker& worker = *system.Workers()[static_cast<std::size_t>(i) % system.Workers().size()];
      if (trouble) {
        worker.Crash();
      }
      Sleep(downMs);
      if (trouble) {
        worker.Restart();
        system.RegisterNow(worker);
      }
      Sleep(upMs);
    }
    Sleep(10000);
    int lost = 0;
    for (const std::string& id : jobs) {
      const std::string state = system.State("mouldwatch", id);
      bool failed = false;
      for (const std::string& task : Worker::FailedTasks()) {
        failed = failed || task.starts_with(id + ".");
      }
      const bool broken = state == "failed" && !failed;
      lost += broken ? 1 : 0;
      const std::string line = "job " + id + " is shown as " + state +
                               (broken ? ", and none of its runs ended failed"
                                       : "");
      record.Write(line);
      std::cout << line << "\n";
    }
    result = jobs.size() == 5 ? (lost > 0 ? 1 : 0) : 2;
    for (const auto& one : system.Schedulers()) {
      one->Kill();
    }
    std::cout << (result == 1   ? "LOST is broken\n"
                  : result == 0 ? "the rule held\n"
                                : "the case could not run\n")
              << std::flush;
    std::_Exit(result);
  }
}
