#ifndef SASSAFRASKNOTCTL_COMMANDS_HPP
#define SASSAFRASKNOTCTL_COMMANDS_HPP

#include <span>
#include <string_view>

namespace sassafrasknotctl {

/// Exit status of a command that was refused because of its input.
constexpr int kExitUsage = 2;

/// @brief A command of sassafrasknotctl.
struct Command
{
  std::string_view mName;
  std::string_view mSummary;
  /// Takes the arguments after the program's name, the command's name first,
  /// and returns the exit status.
  int (*mRun)(int aArgc, const char** aArgv);
};

/// @brief Returns all commands in the order of the help text.
std::span<const Command>
Commands();

int
RunValidate(int aArgc, const char** aArgv);

int
RunRender(int aArgc, const char** aArgv);

int
RunDiff(int aArgc, const char** aArgv);

int
RunSubmitCheck(int aArgc, const char** aArgv);

} // namespace sassafrasknotctl

#endif
