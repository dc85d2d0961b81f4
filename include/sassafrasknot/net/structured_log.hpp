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

/// @brief Keys and values of a log line, in the order of output.
using LogFields = std::vector<std::pair<std::string, std::string>>;

/// @brief Formats an event as a line of the log.
/// @param aEvent name of the event
/// @param aFields keys and values; a value is quoted and escaped if it is empty
/// or contains a space, a quote, a backslash, '=' or a character that is not
/// printable ASCII
/// @return "event=NAME KEY=VALUE ...", without a line break
std::string
FormatLogLine(std::string_view aEvent, const LogFields& aFields);

/// @brief Limits the log lines of each event per second.
struct LogRateLimiter
{
  /// @brief Counts of one event.
  struct Window
  {
    /// Start of the current second of this event.
    state::TimePoint mStart;
    /// Lines allowed since mStart.
    std::size_t mLines = 0;
    /// Lines suppressed since the last allowed one.
    std::size_t mSuppressed = 0;
  };

  /// Upper limit of lines of one event per second.
  std::size_t mLinesPerSecond = 10;
  /// Counts by name of the event.
  std::map<std::string, Window, std::less<>> mEvents;
};

/// @brief Decides whether a line may be written, and counts it.
/// @param aLimiter counts of each event, updated
/// @param aEvent name of the event
/// @param aNow current time on the steady clock
/// @return number of lines of the event that were suppressed since its last
/// allowed line; or nothing if this line must be suppressed
std::optional<std::size_t>
AllowLine(LogRateLimiter& aLimiter,
          std::string_view aEvent,
          state::TimePoint aNow);

/// @brief Options of an EventLog.
struct EventLogOptions
{
  /// File descriptor for output; the log makes it non-blocking.
  int mDescriptor = 1;
  /// Upper limit of lines of one event per second. It applies to all lines with
  /// the same event name, whatever their fields: further lines of that second
  /// are suppressed even if they have another cause.
  std::size_t mLinesPerSecond = 20;
  /// Size of the buffer for lines that the descriptor does not accept yet, in
  /// bytes. Lines that do not fit are dropped.
  std::size_t mBufferBytes = std::size_t{ 64 } << 10U;
};

/// @brief Numbers of lines that an EventLog wrote, suppressed and dropped.
struct EventLogCounts
{
  /// Added to the buffer for output.
  std::uint64_t mWritten = 0;
  /// Left out because of the limit of lines per second.
  std::uint64_t mSuppressed = 0;
  /// Left out because the buffer was full: the reader did not keep up.
  std::uint64_t mDropped = 0;
};

/// @brief Structured log with one line per event. It never blocks on the reader
/// of its output. Its member functions may be called from several threads.
class EventLog
{
public:
  /// @brief Makes the descriptor non-blocking.
  /// @param aOptions descriptor and limits
  explicit EventLog(EventLogOptions aOptions);
  /// @brief Flushes the lines that the descriptor accepts at once.
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// @brief Adds a line, "time=SECONDS event=NAME KEY=VALUE ...", to the
  /// buffer. The time is in seconds since the Unix epoch. After lines of an
  /// event were suppressed, its next line ends with suppressed=COUNT.
  /// @param aEvent name of the event
  /// @param aFields keys and values
  void Write(std::string_view aEvent, const LogFields& aFields);

  /// @brief Writes buffered lines to the descriptor until it would block. Must
  /// be called regularly.
  void Flush();

  /// @brief Returns the counts of lines since the start.
  EventLogCounts Counts() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace sassafrasknot::net

#endif
