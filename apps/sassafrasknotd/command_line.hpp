#ifndef SASSAFRASKNOTD_COMMAND_LINE_HPP
#define SASSAFRASKNOTD_COMMAND_LINE_HPP

#include "sassafrasknot/state/error.hpp"

#include <cstdint>
#include <string>

namespace sassafrasknotd {

/// Exit status for invalid options or settings.
constexpr int kExitUsage = 2;

/// What the program is to do.
enum class Mode : std::uint8_t
{
  Run,           ///< Run an instance.
  Check,         ///< Check the settings file.
  PrintSettings, ///< Print the effective settings.
  Help,          ///< Print the help text.
};

/// The parsed options.
struct CommandLine
{
  Mode mMode = Mode::Run;
  /// Path of the settings file; empty for Mode::Help.
  std::string mFile;
  /// Help text; empty for other modes than Mode::Help.
  std::string mHelp;
};

/// @brief Parses the command line.
/// @param aArgc number of arguments, the program's name included
/// @param aArgv arguments, the program's name first
/// @return the options, or InvalidArgument with a message for the operator
sassafrasknot::state::Result<CommandLine>
ParseCommandLine(int aArgc, const char** aArgv);

} // namespace sassafrasknotd

#endif
