#include "sassafrasknot/transport/log.hpp"

#include <chrono>
#include <mutex>
#include <optional>
#include <string>

#include <glog/logging.h>

namespace sassafrasknot::transport {
namespace {

/// The rate limiter of the process, which all threads share.
struct SharedLimiter
{
  std::mutex mMutex;
  net::LogRateLimiter mLimiter;
};

SharedLimiter&
Limiter()
{
  static SharedLimiter sLimiter;
  return sLimiter;
}

/// Returns how many lines of the event were suppressed since its last line, or
/// nothing if this line must be suppressed too.
std::optional<std::size_t>
AllowEvent(std::string_view aEvent)
{
  auto& shared = Limiter();
  const std::scoped_lock lock(shared.mMutex);
  return net::AllowLine(
    shared.mLimiter, aEvent, std::chrono::steady_clock::now());
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
  Limiter().mLimiter.mLinesPerSecond = aLinesPerSecond;
}

void
WriteLog(coordination::LogLevel aLevel,
         std::string_view aEvent,
         const LogFields& aFields)
{
  const auto suppressed = AllowEvent(aEvent);
  if (!suppressed) {
    return;
  }
  auto line = FormatLogLine(aEvent, aFields);
  if (*suppressed > 0) {
    line += " suppressed=" + std::to_string(*suppressed);
  }
  google::LogMessage(__FILE__, __LINE__, ToSeverity(aLevel)).stream() << line;
}

} // namespace sassafrasknot::transport
