#include "sassafrasknot/net/structured_log.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <mutex>

#include <fcntl.h>
#include <unistd.h>

namespace sassafrasknot::net {
namespace {

/// Window in which the lines of an event are counted.
constexpr std::chrono::seconds kLimitWindow{ 1 };

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

/// Returns "time=SECONDS.MILLISECONDS " since the Unix epoch.
std::string
FormatWallClock()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto millis =
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  std::array<char, 32> text{};
  const int size = std::snprintf(text.data(),
                                 text.size(),
                                 "time=%lld.%03lld ",
                                 static_cast<long long>(millis / 1000),
                                 static_cast<long long>(millis % 1000));
  return { text.data(), static_cast<std::size_t>(size) };
}

} // namespace

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

std::optional<std::size_t>
AllowLine(LogRateLimiter& aLimiter,
          std::string_view aEvent,
          state::TimePoint aNow)
{
  auto found = aLimiter.mEvents.find(aEvent);
  if (found == aLimiter.mEvents.end()) {
    found =
      aLimiter.mEvents.emplace(aEvent, LogRateLimiter::Window{ aNow }).first;
  }
  auto& window = found->second;
  if (aNow - window.mStart >= kLimitWindow) {
    window.mStart = aNow;
    window.mLines = 0;
  }
  if (window.mLines >= aLimiter.mLinesPerSecond) {
    ++window.mSuppressed;
    return std::nullopt;
  }
  ++window.mLines;
  return std::exchange(window.mSuppressed, 0);
}

struct EventLog::Impl
{
  EventLogOptions mOptions;
  mutable std::mutex mMutex;
  LogRateLimiter mLimiter;
  std::string mBuffer;
  EventLogCounts mCounts;
};

EventLog::EventLog(EventLogOptions aOptions)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mOptions = aOptions;
  mImpl->mLimiter.mLinesPerSecond = aOptions.mLinesPerSecond;
  const int flags = fcntl(aOptions.mDescriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(aOptions.mDescriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

EventLog::~EventLog()
{
  Flush();
}

void
EventLog::Write(std::string_view aEvent, const LogFields& aFields)
{
  const std::scoped_lock lock(mImpl->mMutex);
  const auto suppressed =
    AllowLine(mImpl->mLimiter, aEvent, std::chrono::steady_clock::now());
  if (!suppressed) {
    ++mImpl->mCounts.mSuppressed;
    return;
  }
  auto line = FormatWallClock() + FormatLogLine(aEvent, aFields);
  if (*suppressed > 0) {
    line += " suppressed=" + std::to_string(*suppressed);
  }
  line += '\n';
  if (mImpl->mBuffer.size() + line.size() > mImpl->mOptions.mBufferBytes) {
    ++mImpl->mCounts.mDropped;
    return;
  }
  mImpl->mBuffer += line;
  ++mImpl->mCounts.mWritten;
}

void
EventLog::Flush()
{
  const std::scoped_lock lock(mImpl->mMutex);
  auto& buffer = mImpl->mBuffer;
  while (!buffer.empty()) {
    const auto written =
      write(mImpl->mOptions.mDescriptor, buffer.data(), buffer.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return; // The descriptor accepts no more; the rest stays in the buffer.
    }
    buffer.erase(0, static_cast<std::size_t>(written));
  }
}

EventLogCounts
EventLog::Counts() const
{
  const std::scoped_lock lock(mImpl->mMutex);
  return mImpl->mCounts;
}

} // namespace sassafrasknot::net
