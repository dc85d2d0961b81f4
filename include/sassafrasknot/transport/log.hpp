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

/// @brief Starts the log, which goes to standard error. To be called once.
/// @param aProgram name of the program
/// @param aThreshold lowest severity that is written
/// @param aLinesPerSecond lines of one event that are written per second
void
StartLog(const char* aProgram,
         protocol::LogThreshold aThreshold,
         std::size_t aLinesPerSecond);

/// @brief Writes one line, "event=NAME KEY=VALUE ...". Beyond the limit of
/// lines per second, events are counted, and the next line of the event tells
/// how many were left out. Safe for use from several threads.
/// @param aLevel severity
/// @param aEvent name of the event
/// @param aFields what it is about
void
WriteLog(coordination::LogLevel aLevel,
         std::string_view aEvent,
         const LogFields& aFields = {});

} // namespace sassafrasknot::transport

#endif
