#ifndef SASSAFRASKNOTCTL_LOAD_COMMAND_HPP
#define SASSAFRASKNOTCTL_LOAD_COMMAND_HPP

namespace sassafrasknotctl {

/// @brief Runs `sassafrasknotctl load`: opens flows at given rates, checks
/// their answers and prints a report.
/// @param aArgc number of entries of aArgv
/// @param aArgv arguments, the command's name first
/// @return 0; 1 after a runtime error, or with --strict if a flow was broken or
/// misrouted, ran twice or has a gap; kExitUsage for wrong options
int
RunLoad(int aArgc, const char** aArgv);

} // namespace sassafrasknotctl

#endif
