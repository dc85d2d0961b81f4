#ifndef SASSAFRASKNOTCTL_OPTION_PARSER_HPP
#define SASSAFRASKNOTCTL_OPTION_PARSER_HPP

#include "sassafrasknot/state/error.hpp"

#include <string>
#include <vector>

#include <popt.h>

namespace sassafrasknotctl {

/// @brief Makes an InvalidArgument error.
/// @param aMessage message for the operator
sassafrasknot::state::Error
InvalidArgument(std::string aMessage);

/// @brief Makes a table entry for an option that popt stores by itself.
/// @param aName long name
/// @param aType popt's type and flags
/// @param aValue receives the value
/// @param aHelp description
/// @param aArgument name of the value, or null
poptOption
MakeOption(const char* aName,
           unsigned aType,
           void* aValue,
           const char* aHelp,
           const char* aArgument = nullptr);

/// @brief Reads options; --help is added to them, prints and ends the process.
/// @param aName name of the program or command in the help text
/// @param aOptions the options without help and end of table
/// @param aArgc number of arguments
/// @param aArgv arguments, the name first
/// @return the arguments that are no options, or InvalidArgument
sassafrasknot::state::Result<std::vector<std::string>>
ParseOptions(const char* aName,
             std::vector<poptOption> aOptions,
             int aArgc,
             const char** aArgv);

} // namespace sassafrasknotctl

#endif
