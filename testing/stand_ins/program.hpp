#ifndef SASSAFRASKNOT_STAND_INS_PROGRAM_HPP
#define SASSAFRASKNOT_STAND_INS_PROGRAM_HPP

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "option_parser.hpp"
#include <boost/asio/io_context.hpp>

namespace stand_ins {

/// @brief Parses the command line. Errors are written to standard error.
/// @param aName name of the program, for messages
/// @param aOptions popt options, without --help and the end of the table
/// @param aArgc number of arguments, including the program name
/// @param aArgv arguments
/// @return whether the options were valid
bool
ReadOptions(const char* aName,
            std::vector<poptOption> aOptions,
            int aArgc,
            const char** aArgv);

/// @brief Reads a whole file.
/// @param aPath path of the file
/// @return the contents, or nothing if the file cannot be opened
std::optional<std::string>
ReadFile(const std::string& aPath);

/// @brief Writes a file as aPath + ".new" and renames it to aPath, so that a
/// reader never sees incomplete contents.
/// @param aPath path of the file, which may exist
/// @param aText new contents
void
WriteFileAtomically(const std::string& aPath, const std::string& aText);

/// @brief Runs an I/O context until SIGTERM or SIGINT.
/// @param aContext context that is run
/// @param aTick called at the start and then 1 ms after each call ended
/// @param aSlowTick called after the first call of aTick and then after every
/// hundredth, about every 0.1 s
void
RunUntilSignal(boost::asio::io_context& aContext,
               const std::function<void()>& aTick,
               const std::function<void()>& aSlowTick);

} // namespace stand_ins

#endif
