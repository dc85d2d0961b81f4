#ifndef SASSAFRASKNOTCTL_OPERATOR_COMMANDS_HPP
#define SASSAFRASKNOTCTL_OPERATOR_COMMANDS_HPP

namespace sassafrasknotctl {

/// @brief Runs `sassafrasknotctl dump HOST:PORT`.
/// @param aArgc number of arguments
/// @param aArgv the command's name first
/// @return 0; 1 if the instance does not answer; kExitUsage for wrong options
int
RunDump(int aArgc, const char** aArgv);

/// @brief Runs `sassafrasknotctl drain HOST:PORT`: the instance begins a
/// planned stop.
/// @param aArgc number of arguments
/// @param aArgv the command's name first
/// @return 0; 1 if the instance does not answer; kExitUsage for wrong options
int
RunDrain(int aArgc, const char** aArgv);

/// @brief Runs `sassafrasknotctl fleet FILE`; the file has one control endpoint
/// a line.
/// @param aArgc number of arguments
/// @param aArgv the command's name first
/// @return 0; 1 if instances disagree or do not answer; kExitUsage for wrong
/// options
int
RunFleet(int aArgc, const char** aArgv);

} // namespace sassafrasknotctl

#endif
