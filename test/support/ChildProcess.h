#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace sequoiakeel {

/** A process started by a test. The destructor kills it by its process id and
 * waits for its end. Not thread safe. */
class ChildProcess
{
public:
  /** Starts a program of the build's bin folder; its output is appended
   * to aLogFile. Throws std::runtime_error if the process cannot be started. */
  ChildProcess(const std::string& aProgram,
               std::vector<std::string> aArguments,
               const std::string& aLogFile);
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  /** Sends a signal unless the process is already known to have ended. */
  void Signal(int aSignal);

  /** Waits for the process to end and returns the exit code, or 128 plus the
   * number of the signal that ended it. */
  int Wait();

  bool Running();

  pid_t Pid() const { return this->pid; }

private:
  pid_t pid = -1;
  int exitCode = -1;
};

} // namespace sequoiakeel
