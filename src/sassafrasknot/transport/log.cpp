#include "sassafrasknot/transport/log.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <mutex>

#include <glog/logging.h>

namespace sassafrasknot::transport {
namespace {

using Clock = std::chrono::steady_clock;

/// Lines of one event in the current second.
struct EventWindow
{
  Clock::time_point mStart;
  std::size_t mLines = 0;
  std::size_t mSuppressed = 0;
};

struct LogLimiter
{
  std::mutex mMutex;
  std::size_t mLinesPerSecond = 10;
  std::map<std::string, EventWindow, std::less<>> mEvents;
};

LogLimiter&
Limiter()
{
  static LogLimiter sLimiter;
  return sLimiter;
}

/// Returns whether a line may be written, and how many were left out before.
std::pair<bool, std::size_t>
Admit(std::string_view aEvent)
{
  auto& limiter = Limiter();
  const std::scoped_lock lock(limiter.mMutex);
  auto found = limiter.mEvents.find(aEvent);
  if (found == limiter.mEvents.end()) {
    found = limiter.mEvents.emplace(aEvent, EventWindow{}).first;
  }
  auto& window = found->second;
  if (const auto now = Clock::now();
      now - window.mStart >= std::chrono::seconds(1)) {
    window.mStart = now;
    window.mLines = 0;
  }
  if (window.mLines >= limiter.mLinesPerSecond) {
    ++window.mSuppressed;
    return { false, 0 };
  }
  ++window.mLines;
  return { true, std::exchange(window.mSuppressed, 0) };
}

bool
IsPlain(char aCharacter)
{
  return aCharacter > ' ' && aCharacter < 0x7F && aCharacter != '"' &&
         aCharacter != '\\' && aCharacter != '=';
}

void
AppendValue(std::string& aLine, std::string_view aValue)
{
  if (!aValue.empty() && std::ranges::all_of(aValue, IsPlain)) {
    aLine += aValue;
    return;
  }
  constexpr std::string_view digits = "0123456789abcdef";
  aLine += '"';
  for (const char character : aValue) {
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      aLine += '\\';
      aLine += character;
    } else if (code < ' ' || code >= 0x7F) {
      aLine += "\\x";
      aLine += digits[code >> 4U];
      aLine += digits[code & 15U];
    } else {
      aLine += character;
    }
  }
  aLine += '"';
}

google::LogSeverity
ToSeverity(coordination::LogLevel aLevel)
{
  switch (aLevel) {
    case coordination::LogLevel::Info:
      return google::GLOG_INFO;
    case coordination::LogLevel::Warning:
      return google::GLOG_WARNING;
    case coordination::LogLevel::Error:
      break;
  }
  return google::GLOG_ERROR;
}

} // namespace

void
StartLog(const char* aProgram,
         protocol::LogThreshold aThreshold,
         std::size_t aLinesPerSecond)
{
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = static_cast<int>(aThreshold);
  google::InitGoogleLogging(aProgram);
  Limiter().mLinesPerSecond = aLinesPerSecond;
}

void
WriteLog(coordination::LogLevel aLevel,
         std::string_view aEvent,
         const LogFields& aFields)
{
  const auto [admitted, suppressed] = Admit(aEvent);
  if (!admitted) {
    return;
  }
  auto line = FormatLogLine(aEvent, aFields);
  if (suppressed > 0) {
    line += " suppressed=" + std::to_string(suppressed);
  }
  google::LogMessage(__FILE__, __LINE__, ToSeverity(aLevel)).stream() << line;
}

std::string
FormatLogLine(std::string_view aEvent, const LogFields& aFields)
{
  std::string line = "event=";
  AppendValue(line, aEvent);
  for (const auto& [key, value] : aFields) {
    line += ' ' + key + '=';
    AppendValue(line, value);
  }
  return line;
}

} // namespace sassafrasknot::transport
