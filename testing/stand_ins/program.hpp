#ifndef SASSAFRASKNOT_STAND_INS_PROGRAM_HPP
#define SASSAFRASKNOT_STAND_INS_PROGRAM_HPP

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "option_parser.hpp"
#include <boost/asio/io_context.hpp>

namespace stand_ins {

/// @brief Reads options. The text of wrong options goes to standard error.
/// @param aName name of the program
/// @param aOptions its options without help and end
/// @param aArgc number of arguments
/// @param aArgv arguments
/// @return whether the options were correct
bool
ReadOptions(const char* aName,
            std::vector<poptOption> aOptions,
            int aArgc,
            const char** aArgv);

/// @brief Reads a whole file.
/// @param aPath its path
/// @return its text, or nothing if it cannot be read
std::optional<std::string>
ReadFile(const std::string& aPath);

/// @brief Writes a file under another name and renames it, so that a reader
/// never sees a part of it.
/// @param aPath its path
/// @param aText its text
void
WriteFile(const std::string& aPath, const std::string& aText);

/// @brief Runs until SIGTERM or SIGINT.
/// @param aContext what runs
/// @param aTick called every millisecond
/// @param aSlowTick called every 100 ms
void
RunUntilSignal(boost::asio::io_context& aContext,
               const std::function<void()>& aTick,
               const std::function<void()>& aSlowTick);

} // namespace stand_ins

#endif
