#include "process.hpp"

#include <array>
#include <csignal>
#include <cstdlib>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

namespace review {

Process::Process(const std::string& aSettingsPath, const std::string& aLogPath)
{
  std::string program = "target/platform/sassafrasknotd";
  std::string boot = "SASSAFRASKNOT_BOOT=" + aSettingsPath;
  std::array<char*, 2> arguments{ program.data(), nullptr };
  std::array<char*, 2> environment{ boot.data(), nullptr };
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr mode_t kMode = 0644;
  posix_spawn_file_actions_addopen(
    &actions, 1, aLogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, kMode);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  const int error = posix_spawn(&mId,
                                program.c_str(),
                                &actions,
                                nullptr,
                                arguments.data(),
                                environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start " + program);
  }
}

Process::~Process()
{
  if (!Status()) {
    kill(mId, SIGKILL);
    waitpid(mId, nullptr, 0);
  }
}

void
Process::Signal(int aSignal)
{
  if (!Status()) {
    kill(mId, aSignal);
  }
}

std::optional<int>
Process::Status()
{
  int status = 0;
  if (!mStatus && waitpid(mId, &status, WNOHANG) == mId) {
    mStatus = status;
  }
  return mStatus;
}

} // namespace review
