#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <string>

namespace sequoiakeel {

/** Exit code of a stop that cut off work: the deadline passed or a second
 * signal came. */
inline constexpr int kExitForced = 1;

/**
 * Runs one io_context on several threads until it is told to end, and turns
 * SIGTERM and SIGINT into a graceful stop: the first signal calls the stop
 * handler, the second ends the process at once with kExitForced.
 */
class Runtime
{
public:
  /** Precondition: aThreads >= 1. */
  explicit Runtime(unsigned aThreads);

  /** Returns the context, which lives as long as the object. Thread safe. */
  boost::asio::io_context& Context() { return this->context; }

  /** Runs until End() is called; returns its exit code. aOnStop runs once, on
   * one of the threads. */
  int Run(std::function<void()> aOnStop);

  /** Sets what SIGHUP does; without it the signal is logged and ignored.
   * Precondition: Run() was not called. Not thread safe. */
  void SetOnReload(std::function<void()> aOnReload)
  {
    this->onReload = std::move(aOnReload);
  }

  /** Ends Run(). Thread safe; the first exit code counts. */
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

/** Writes a file in one step, so that a reader never sees a part of it. Throws
 * UserError if it can't be written. */
void
WriteFileAtomically(const std::string& aPath, const std::string& aContent);

} // namespace sequoiakeel
