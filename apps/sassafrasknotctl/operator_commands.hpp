#ifndef SASSAFRASKNOTCTL_OPERATOR_COMMANDS_HPP
#define SASSAFRASKNOTCTL_OPERATOR_COMMANDS_HPP

namespace sassafrasknotctl {

/// @brief Runs `sassafrasknotctl dump HOST:PORT`: prints the state or the
/// counters of an instance.
/// @param aArgc number of entries of aArgv
/// @param aArgv arguments, the command's name first
/// @return 0; 1 if the instance does not answer or its dump is malformed;
/// kExitUsage for wrong options
int
RunDump(int aArgc, const char** aArgv);

/// @brief Runs `sassafrasknotctl drain HOST:PORT`: starts a planned stop of
/// an instance.
/// @param aArgc number of entries of aArgv
/// @param aArgv arguments, the command's name first
/// @return 0; 1 if the instance does not answer; kExitUsage for wrong options
int
RunDrain(int aArgc, const char** aArgv);

/// @brief Runs `sassafrasknotctl fleet FILE`: compares the instances whose
/// control endpoints are listed in a file, one per line.
/// @param aArgc number of entries of aArgv
/// @param aArgv arguments, the command's name first
/// @return 0; 1 if instances disagree or do not answer, or if the revision of
/// --revision is not in force everywhere in time; kExitUsage for wrong options
/// or an invalid file
int
RunFleet(int aArgc, const char** aArgv);

} // namespace sassafrasknotctl

#endif
