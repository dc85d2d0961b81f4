#ifndef SASSAFRASKNOTD_COMMAND_LINE_HPP
#define SASSAFRASKNOTD_COMMAND_LINE_HPP

#include "sassafrasknot/state/error.hpp"

#include <cstdint>
#include <string>

namespace sassafrasknotd {

/// Exit status for wrong options or settings.
constexpr int kExitUsage = 2;

enum class Mode : std::uint8_t
{
  Run,
  Check,
  PrintSettings,
  Help,
};

struct CommandLine
{
  Mode mMode = Mode::Run;
  /// Settings file.
  std::string mFile;
  /// Help text; only for Mode::Help.
  std::string mHelp;
};

/// @brief Reads the options.
/// @param aArgc number of arguments
/// @param aArgv arguments, the program's name first
/// @return the options, or InvalidArgument with a message for the operator
sassafrasknot::state::Result<CommandLine>
ParseCommandLine(int aArgc, const char** aArgv);

} // namespace sassafrasknotd

#endif
