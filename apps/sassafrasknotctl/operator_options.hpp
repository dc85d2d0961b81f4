#ifndef SASSAFRASKNOTCTL_OPERATOR_OPTIONS_HPP
#define SASSAFRASKNOTCTL_OPERATOR_OPTIONS_HPP

#include "sassafrasknot/state/error.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace sassafrasknotctl {

/// @brief Options of the commands that read instances.
struct OperatorOptions
{
  /// HOST:PORT or a file, as the command says.
  std::string mTarget;
  bool mJson = false;
  bool mPrometheus = false;
  /// Longest wait for one instance.
  std::chrono::milliseconds mTimeout{ 2000 };
  /// Revision to wait for, and how long.
  std::optional<std::uint64_t> mRevision;
  std::chrono::milliseconds mWait{ 30000 };
};

/// @brief Reads the options.
/// @param aArgc number of arguments
/// @param aArgv the command's name first
/// @param aTarget name of the one required argument in messages
/// @return the options, or InvalidArgument with a message for the operator
sassafrasknot::state::Result<OperatorOptions>
ParseOperatorOptions(int aArgc, const char** aArgv, const char* aTarget);

} // namespace sassafrasknotctl

#endif
