#ifndef SASSAFRASKNOT_REVIEW_PROCESS_HPP
#define SASSAFRASKNOT_REVIEW_PROCESS_HPP

#include <optional>
#include <string>

#include <sys/types.h>

namespace review {

/// @brief A process of the deployment. The destructor kills it and waits.
class Process
{
public:
  /// @brief Starts the program of the deploy file with its settings file in
  /// SASSAFRASKNOT_BOOT.
  /// @throws std::runtime_error if it cannot be started
  Process(const std::string& aSettingsPath, const std::string& aLogPath);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int aSignal);
  /// @brief Returns the status of waitpid once the process has ended.
  std::optional<int> Status();

private:
  pid_t mId = 0;
  std::optional<int> mStatus;
};

} // namespace review

#endif
