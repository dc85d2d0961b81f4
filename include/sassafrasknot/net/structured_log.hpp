#ifndef SASSAFRASKNOT_NET_STRUCTURED_LOG_HPP
#define SASSAFRASKNOT_NET_STRUCTURED_LOG_HPP

#include "sassafrasknot/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sassafrasknot::net {

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// @brief Formats a line of the log.
/// @param aEvent name of the event
/// @param aFields keys and values; a value with other than printable ASCII
/// without space, quote, backslash and '=' is quoted and escaped
/// @return "event=NAME KEY=VALUE ...", without a line break
std::string
FormatLogLine(std::string_view aEvent, const LogFields& aFields);

/// @brief Lines of each event in the current second, and those left out.
struct LogRateLimiter
{
  struct Window
  {
    state::TimePoint mStart;
    std::size_t mLines = 0;
    std::size_t mSuppressed = 0;
  };

  /// Lines of one event that are written per second.
  std::size_t mLinesPerSecond = 10;
  std::map<std::string, Window, std::less<>> mEvents;
};

/// @brief Decides whether a line may be written.
/// @param aLimiter counts the line
/// @param aEvent name of the event
/// @param aNow the time
/// @return how many lines of the event were left out since the last one; or
/// nothing if this line is to be left out
std::optional<std::size_t>
AllowLine(LogRateLimiter& aLimiter,
          std::string_view aEvent,
          state::TimePoint aNow);

/// @brief Options of an EventLog.
struct EventLogOptions
{
  /// Where lines go; it is made non-blocking.
  int mDescriptor = 1;
  /// Lines of one event that are written per second; an event with many kinds
  /// of causes still tells the first of each second.
  std::size_t mLinesPerSecond = 20;
  /// Bytes that wait for the reader; lines beyond them are dropped.
  std::size_t mBufferBytes = std::size_t{ 64 } << 10U;
};

/// @brief What an EventLog did with its lines.
struct EventLogCounts
{
  std::uint64_t mWritten = 0;
  /// Left out by the limit of lines per second.
  std::uint64_t mSuppressed = 0;
  /// Lost because the reader did not keep up.
  std::uint64_t mDropped = 0;
};

/// @brief Writes one line per event without ever waiting for the reader. Safe
/// for use from several threads.
class EventLog
{
public:
  explicit EventLog(EventLogOptions aOptions);
  /// @brief Writes what the reader still takes.
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// @brief Adds a line, "time=SECONDS event=NAME KEY=VALUE ...". Once lines of
  /// an event were left out, its next line ends in suppressed=COUNT.
  /// @param aEvent name of the event
  /// @param aFields what it is about
  void Write(std::string_view aEvent, const LogFields& aFields);

  /// @brief Hands the lines to the descriptor as far as it takes them. To be
  /// called regularly.
  void Flush();

  /// @brief Returns what became of the lines so far.
  EventLogCounts Counts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace sassafrasknot::net

#endif
