#ifndef SASSAFRASKNOTCTL_LOAD_COMMAND_HPP
#define SASSAFRASKNOTCTL_LOAD_COMMAND_HPP

namespace sassafrasknotctl {

/// @brief Runs `sassafrasknotctl load`.
/// @param aArgc number of arguments
/// @param aArgv the command's name first
/// @return 0; 1 with --strict if a flow was broken or misrouted, ran twice or
/// has a gap; kExitUsage for wrong options
int
RunLoad(int aArgc, const char** aArgv);

} // namespace sassafrasknotctl

#endif
