#ifndef SASSAFRASKNOT_TRANSPORT_LOG_HPP
#define SASSAFRASKNOT_TRANSPORT_LOG_HPP

#include "sassafrasknot/coordination/control_core.hpp"
#include "sassafrasknot/net/structured_log.hpp"
#include "sassafrasknot/protocol/settings.hpp"

#include <cstddef>
#include <string_view>

namespace sassafrasknot::transport {

using net::FormatLogLine;
using net::LogFields;

/// @brief Initialises the log, which is written to standard error. Must be
/// called exactly once.
/// @param aProgram name of the program
/// @param aThreshold lowest severity that is written
/// @param aLinesPerSecond maximum number of lines per event and second
void
StartLog(const char* aProgram,
         protocol::LogThreshold aThreshold,
         std::size_t aLinesPerSecond);

/// @brief Writes one line, "event=NAME KEY=VALUE ...". Lines beyond the limit
/// per event and second are suppressed and counted; the next line of the same
/// event ends in "suppressed=COUNT". Safe for use from several threads.
/// @param aLevel severity
/// @param aEvent name of the event
/// @param aFields keys and values, in the order in which they are written
void
WriteLog(coordination::LogLevel aLevel,
         std::string_view aEvent,
         const LogFields& aFields = {});

} // namespace sassafrasknot::transport

#endif
