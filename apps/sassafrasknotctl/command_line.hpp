#ifndef SASSAFRASKNOTCTL_COMMAND_LINE_HPP
#define SASSAFRASKNOTCTL_COMMAND_LINE_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasknotctl {

/// @brief What the help of a command of documents says.
struct CommandHelp
{
  const char* mName;
  /// Names of the arguments, such as "OLD NEW".
  const char* mArguments;
  /// What the command does, with its exit statuses; whole lines.
  const char* mText;
  std::size_t mFewestArguments = 1;
  std::size_t mMostArguments = 1;
};

/// @brief Arguments of a command of documents.
struct CommandLine
{
  std::vector<std::string> mArguments;
  bool mJson = false;
};

/// @brief Reads a command line. Help goes to standard output, wrong usage to
/// standard error.
/// @param aHelp the command
/// @param aArgc number of arguments
/// @param aArgv arguments, the command's name first
/// @param aExitStatus receives the exit status if the command must not run
/// @return the arguments, or nothing if the command must not run
std::optional<CommandLine>
ParseCommandLine(const CommandHelp& aHelp,
                 int aArgc,
                 const char** aArgv,
                 int& aExitStatus);

} // namespace sassafrasknotctl

#endif
