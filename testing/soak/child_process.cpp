#include "child_process.hpp"

#include <csignal>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace soak {

ChildProcess::ChildProcess(const std::vector<std::string>& aWords,
                           const std::string& aOutput)
{
  std::vector<char*> words;
  words.reserve(aWords.size() + 1);
  for (const auto& word : aWords) {
    words.push_back(const_cast<char*>(word.c_str()));
  }
  words.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr mode_t kReadWrite = 0644;
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   aOutput.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   kReadWrite);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int failure =
    posix_spawn(&mId, words[0], &actions, nullptr, words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failure != 0) {
    throw std::runtime_error("cannot start " + aWords[0]);
  }
}

ChildProcess::~ChildProcess()
{
  Signal(SIGKILL);
  if (!mStatus) {
    int status = 0;
    waitpid(mId, &status, 0);
  }
}

void
ChildProcess::Signal(int aSignal)
{
  if (!Ended()) {
    kill(mId, aSignal);
  }
}

std::optional<int>
ChildProcess::Ended()
{
  if (int status = 0; !mStatus && waitpid(mId, &status, WNOHANG) == mId) {
    mStatus = status;
  }
  return mStatus;
}

} // namespace soak
