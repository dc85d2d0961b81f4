#include "child_process.hpp"

#include <csignal>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace soak {

ChildProcess::ChildProcess(const std::vector<std::string>& aCommandLine,
                           const std::string& aOutputFile)
{
  std::vector<char*> arguments;
  arguments.reserve(aCommandLine.size() + 1);
  for (const auto& argument : aCommandLine) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr mode_t kReadWrite = 0644;
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   aOutputFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   kReadWrite);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A socket that an instance inherits stays open after the run has closed it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error = posix_spawn(
    &mProcessId, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start the program " + aCommandLine[0]);
  }
}

ChildProcess::~ChildProcess()
{
  Signal(SIGKILL);
  if (!mStatus) {
    int status = 0;
    waitpid(mProcessId, &status, 0);
  }
}

void
ChildProcess::Signal(int aSignal)
{
  if (!ExitStatus()) {
    kill(mProcessId, aSignal);
  }
}

std::optional<int>
ChildProcess::ExitStatus()
{
  if (int status = 0;
      !mStatus && waitpid(mProcessId, &status, WNOHANG) == mProcessId) {
    mStatus = status;
  }
  return mStatus;
}

} // namespace soak
