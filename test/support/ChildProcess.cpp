#include "support/ChildProcess.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>

extern char** environ;

namespace sequoiakeel {

namespace {

int
CodeOf(int aStatus)
{
  return WIFEXITED(aStatus) ? WEXITSTATUS(aStatus) : 128 + WTERMSIG(aStatus);
}

std::string
ProgramPath(const std::string& aProgram)
{
  const char* folder = std::getenv("SEQUOIAKEEL_BIN");
  return std::string(folder == nullptr ? "build/bin" : folder) + "/" + aProgram;
}

} // namespace

ChildProcess::ChildProcess(const std::string& aProgram,
                           std::vector<std::string> aArguments,
                           const std::string& aLogFile)
{
  std::string path = ProgramPath(aProgram);
  std::vector<char*> arguments{ path.data() };
  for (std::string& argument : aArguments) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(
    &actions, 1, aLogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  const int error = posix_spawn(
    &this->pid, path.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start " + path);
  }
}

ChildProcess::~ChildProcess()
{
  if (this->exitCode >= 0) {
    return;
  }
  this->Signal(SIGKILL);
  this->Signal(SIGCONT);
  this->Wait();
}

void
ChildProcess::Signal(int aSignal)
{
  if (this->exitCode < 0) {
    ::kill(this->pid, aSignal);
  }
}

int
ChildProcess::Wait()
{
  if (this->exitCode < 0) {
    int status = 0;
    ::waitpid(this->pid, &status, 0);
    this->exitCode = CodeOf(status);
  }
  return this->exitCode;
}

bool
ChildProcess::Running()
{
  if (this->exitCode >= 0) {
    return false;
  }
  int status = 0;
  if (::waitpid(this->pid, &status, WNOHANG) != this->pid) {
    return true;
  }
  this->exitCode = CodeOf(status);
  return false;
}

} // namespace sequoiakeel
