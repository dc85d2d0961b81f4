#ifndef SASSAFRASKNOTCTL_OPERATOR_OPTIONS_HPP
#define SASSAFRASKNOTCTL_OPERATOR_OPTIONS_HPP

#include "sassafrasknot/state/error.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace sassafrasknotctl {

/// @brief Options of the commands that call instances (dump, drain, fleet).
struct OperatorOptions
{
  /// Control endpoint for dump and drain, path of a file for fleet.
  std::string mTarget;
  /// Prints JSON instead of text.
  bool mJson = false;
  /// Prints the Prometheus text format instead of text.
  bool mPrometheus = false;
  /// Timeout of a call to one instance.
  std::chrono::milliseconds mTimeout{ 2000 };
  /// Revision that fleet waits for, if any.
  std::optional<std::uint64_t> mRevision;
  /// Timeout of that wait.
  std::chrono::milliseconds mWait{ 30000 };
};

/// @brief Parses the options.
/// @param aArgc number of entries of aArgv
/// @param aArgv arguments, the command's name first
/// @param aTarget name of the one required argument in help and messages
/// @return the options, or InvalidArgument with a message for the operator
sassafrasknot::state::Result<OperatorOptions>
ParseOperatorOptions(int aArgc, const char** aArgv, const char* aTarget);

} // namespace sassafrasknotctl

#endif
