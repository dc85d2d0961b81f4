#ifndef SASSAFRASKNOTCTL_COMMAND_LINE_HPP
#define SASSAFRASKNOTCTL_COMMAND_LINE_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasknotctl {

/// @brief Name, usage and help text of a command that reads documents
/// (validate, check, render, diff, submit-check).
struct CommandHelp
{
  const char* mName;
  /// Names of the arguments, such as "OLD NEW".
  const char* mArguments;
  /// Description with the exit statuses; each line ends with a newline.
  const char* mText;
  std::size_t mMinArguments = 1;
  std::size_t mMaxArguments = 1;
  /// Whether the command has the option --in-force INPUT.
  bool mHasInForce = false;
};

/// @brief Parsed command line of a command that reads documents.
struct CommandLine
{
  std::vector<std::string> mArguments;
  bool mJson = false;
  /// Value of --in-force; empty if it is not given.
  std::string mInForce;
};

/// @brief Parses a command line. Help is written to standard output, a usage
/// error to standard error.
/// @param aHelp description of the command
/// @param aArgc number of entries of aArgv
/// @param aArgv arguments, the command's name first
/// @param aExitStatus receives the exit status if nothing is returned
/// @return the arguments, or nothing after help or a usage error
std::optional<CommandLine>
ParseCommandLine(const CommandHelp& aHelp,
                 int aArgc,
                 const char** aArgv,
                 int& aExitStatus);

} // namespace sassafrasknotctl

#endif
