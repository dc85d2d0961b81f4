#ifndef SASSAFRASKNOT_SOAK_CHILD_PROCESS_HPP
#define SASSAFRASKNOT_SOAK_CHILD_PROCESS_HPP

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace soak {

/// @brief A process that this one has started, and ends when it is destroyed.
class ChildProcess
{
public:
  /// @brief Starts a program.
  /// @param aWords the program's path and arguments
  /// @param aOutput file to which its output is appended
  ChildProcess(const std::vector<std::string>& aWords,
               const std::string& aOutput);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// @brief Sends a signal unless the process has ended.
  void Signal(int aSignal);

  /// @brief Returns the status of waitpid once the process has ended.
  std::optional<int> Ended();

private:
  pid_t mId = 0;
  std::optional<int> mStatus;
};

} // namespace soak

#endif
