#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace sequoiakeel {

/** A process that a test started; it is killed by its id when the object ends.
 * Not thread safe. */
class ChildProcess
{
public:
  /** Starts a program of the build's bin folder; its output goes to aLogFile.
   * Throws std::runtime_error. */
  ChildProcess(const std::string& aProgram,
               std::vector<std::string> aArguments,
               const std::string& aLogFile);
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  /** Sends a signal, if the process is still there. */
  void Signal(int aSignal);

  /** Waits for the end and returns the exit code, or 128 plus the signal that
   * ended it. */
  int Wait();

  /** Tells whether the process is still running. */
  bool Running();

private:
  pid_t pid = -1;
  int exitCode = -1;
};

} // namespace sequoiakeel
