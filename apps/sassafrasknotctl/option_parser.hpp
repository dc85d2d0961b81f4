#ifndef SASSAFRASKNOTCTL_OPTION_PARSER_HPP
#define SASSAFRASKNOTCTL_OPTION_PARSER_HPP

#include "sassafrasknot/state/error.hpp"

#include <string>
#include <vector>

#include <popt.h>

namespace sassafrasknotctl {

/// @brief Makes an InvalidArgument error.
/// @param aMessage text that is shown to the operator
sassafrasknot::state::Error
InvalidArgument(std::string aMessage);

/// @brief Makes an entry of popt's option table, whose value popt stores.
/// @param aName long name without dashes
/// @param aType popt's type (POPT_ARG_...) and flags
/// @param aValue receives the value; its type must match aType
/// @param aHelp description in the help text
/// @param aArgument name of the value in the help text, or null for none
poptOption
MakeOption(const char* aName,
           unsigned aType,
           void* aValue,
           const char* aHelp,
           const char* aArgument = nullptr);

/// @brief Parses options. The option --help is added; it prints the help text
/// and ends the process.
/// @param aName name of the program or command in the help text
/// @param aOptions options without help and without the end of the table
/// @param aArgc number of entries of aArgv
/// @param aArgv arguments, the name first
/// @return the arguments that are not options, or InvalidArgument
sassafrasknot::state::Result<std::vector<std::string>>
ParseOptions(const char* aName,
             std::vector<poptOption> aOptions,
             int aArgc,
             const char** aArgv);

} // namespace sassafrasknotctl

#endif
