#include "Runtime.h"

#include "Error.h"
#include "Log.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>
#include <vector>

namespace sequoiakeel {

namespace {

constexpr int kHandledSignals[] = { SIGTERM, SIGINT, SIGHUP };

/** Blocks (SIG_BLOCK) or unblocks (SIG_UNBLOCK) the handled signals in the
 * calling thread and in those that it starts later. */
void
MaskSignals(int aHow)
{
  sigset_t set;
  sigemptyset(&set);
  for (const int handled : kHandledSignals) {
    sigaddset(&set, handled);
  }
  pthread_sigmask(aHow, &set, nullptr);
}

} // namespace

void
DeferSignals()
{
  MaskSignals(SIG_BLOCK);
}

Runtime::Runtime(unsigned aThreads)
  : threads(aThreads)
  , context(static_cast<int>(aThreads))
  , signals(context)
{
  for (const int handled : kHandledSignals) {
    this->signals.add(handled);
  }
  MaskSignals(SIG_UNBLOCK);
  // Ignore SIGPIPE, so that writing to a connection that the peer closed does
  // not end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

int
Runtime::Run(std::function<void()> aOnStop)
{
  this->onStop = std::move(aOnStop);
  this->AwaitSignal();
  std::vector<std::thread> pool;
  for (unsigned i = 1; i < this->threads; ++i) {
    pool.emplace_back([this] { this->context.run(); });
  }
  this->context.run();
  for (std::thread& thread : pool) {
    thread.join();
  }
  const int code = this->exitCode;
  return code < 0 ? 0 : code;
}

void
Runtime::End(int aExitCode)
{
  int none = -1;
  this->exitCode.compare_exchange_strong(none, aExitCode);
  this->context.stop();
}

void
Runtime::AwaitSignal()
{
  this->signals.async_wait(
    [this](const boost::system::error_code& aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        Event("reload_requested").Add("signal", aSignal);
        this->AwaitSignal();
        if (this->onReload) {
          this->onReload();
        }
        return;
      }
      if (this->stopping) {
        Event("stop_forced", LogLevel::Warning).Add("signal", aSignal);
        this->End(kExitForced);
        return;
      }
      this->stopping = true;
      Event("stop_requested").Add("signal", aSignal);
      this->AwaitSignal();
      this->onStop();
    });
}

void
WriteFileAtomically(const std::string& aPath, const std::string& aContent)
{
  const std::string temporary = aPath + ".new";
  std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
  file << aContent;
  file.close();
  UserAssert(static_cast<bool>(file), "cannot write " + temporary);
  UserAssert(std::rename(temporary.c_str(), aPath.c_str()) == 0,
             "cannot rename " + temporary);
}

} // namespace sequoiakeel
