#ifndef SASSAFRASKNOT_SOAK_CHILD_PROCESS_HPP
#define SASSAFRASKNOT_SOAK_CHILD_PROCESS_HPP

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace soak {

/// @brief A child process. The destructor kills it and waits for its end.
class ChildProcess
{
public:
  /// @brief Starts a program.
  /// @param aCommandLine the program's path and arguments
  /// @param aOutputFile file to which its stdout and stderr are appended
  /// @throws std::runtime_error if the program cannot be started
  ChildProcess(const std::vector<std::string>& aCommandLine,
               const std::string& aOutputFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// @brief Sends a signal unless the process has ended.
  /// @param aSignal number of the signal, such as SIGTERM
  void Signal(int aSignal);

  /// @brief Returns the wait status (see waitpid) once the process has ended,
  /// and nothing while it runs.
  std::optional<int> ExitStatus();

private:
  pid_t mProcessId = 0;
  std::optional<int> mStatus;
};

} // namespace soak

#endif
