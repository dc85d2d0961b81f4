#ifndef SASSAFRASKNOTCTL_COMMANDS_HPP
#define SASSAFRASKNOTCTL_COMMANDS_HPP

#include <span>
#include <string_view>

namespace sassafrasknotctl {

/// Exit status after a usage error or invalid input.
constexpr int kExitUsage = 2;

/// @brief A subcommand of sassafrasknotctl.
struct Command
{
  std::string_view mName;
  std::string_view mSummary;
  /// Runs the command. aArgv holds the arguments after the program's name, with
  /// the command's name first. Returns the exit status.
  int (*mRun)(int aArgc, const char** aArgv);
};

/// @brief Returns all commands in the order of the help text.
std::span<const Command>
Commands();

/// @brief Runs `sassafrasknotctl validate INPUT`: checks documents.
/// @param aArgc number of entries of aArgv
/// @param aArgv arguments, the command's name first
/// @return 0; kExitUsage for wrong options or invalid documents
int
RunValidate(int aArgc, const char** aArgv);

/// @brief Runs `sassafrasknotctl check INPUT [--in-force INPUT]`: checks
/// documents, also for entries that never apply and limits that contradict each
/// other, and compares them with those in force.
/// @param aArgc number of entries of aArgv
/// @param aArgv arguments, the command's name first
/// @return 0 if nothing was found; 1 for findings or unsafe changes;
/// kExitUsage for wrong options or unreadable documents
int
RunCheck(int aArgc, const char** aArgv);

/// @brief Runs `sassafrasknotctl render INPUT [ORGANISATION]`: prints
/// organisations with their templates filled in.
/// @param aArgc number of entries of aArgv
/// @param aArgv arguments, the command's name first
/// @return 0; kExitUsage for wrong options, invalid documents or an unknown
/// organisation
int
RunRender(int aArgc, const char** aArgv);

/// @brief Runs `sassafrasknotctl diff OLD NEW`: prints the changes between two
/// sets of documents.
/// @param aArgc number of entries of aArgv
/// @param aArgv arguments, the command's name first
/// @return 0; kExitUsage for wrong options or invalid documents
int
RunDiff(int aArgc, const char** aArgv);

/// @brief Runs `sassafrasknotctl submit-check OLD NEW`: checks that a change
/// and its reversal are safe.
/// @param aArgc number of entries of aArgv
/// @param aArgv arguments, the command's name first
/// @return 0 if both are safe; 1 if not; kExitUsage for wrong options or
/// invalid documents
int
RunSubmitCheck(int aArgc, const char** aArgv);

} // namespace sassafrasknotctl

#endif
