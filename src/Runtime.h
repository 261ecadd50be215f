#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <string>

namespace sequoiakeel {

/** Exit code of a forced stop, which interrupts work: the deadline passed or a
 * second signal arrived. */
inline constexpr int kExitForced = 1;

/** Defers SIGTERM, SIGINT and SIGHUP until a Runtime is constructed, so that a
 * signal during the start of the program is handled in order instead of ending
 * the process. To be called first in main(). Not thread safe. */
void
DeferSignals();

/**
 * Runs one io_context on several threads until End() is called, and turns
 * SIGTERM and SIGINT into a graceful stop: the first signal calls the stop
 * handler, the second ends the process at once with kExitForced.
 */
class Runtime
{
public:
  /** Handles the signals from now on, including those that DeferSignals()
   * deferred. Precondition: aThreads >= 1. */
  explicit Runtime(unsigned aThreads);

  /** Returns the context, which lives as long as the object. Thread safe. */
  boost::asio::io_context& Context() { return this->context; }

  /** Runs until End() is called and returns its exit code. aOnStop is called at
   * most once, on one of the threads, when a stop is requested. */
  int Run(std::function<void()> aOnStop);

  /** Sets the handler of SIGHUP. Without a handler the signal is only logged.
   * Precondition: Run() was not called. Not thread safe. */
  void SetOnReload(std::function<void()> aOnReload)
  {
    this->onReload = std::move(aOnReload);
  }

  /** Makes Run() return. The exit code of the first call is used. Thread safe.
   */
  void End(int aExitCode);

private:
  void AwaitSignal();

  unsigned threads;
  boost::asio::io_context context;
  boost::asio::signal_set signals;
  std::function<void()> onStop;
  std::function<void()> onReload;
  bool stopping = false;
  std::atomic<int> exitCode{ -1 };
};

/** Replaces a file atomically, so that a reader never sees partial content.
 * Throws UserError if the file can't be written. */
void
WriteFileAtomically(const std::string& aPath, const std::string& aContent);

} // namespace sequoiakeel
