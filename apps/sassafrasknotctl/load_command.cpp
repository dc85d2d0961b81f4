#include "load_command.hpp"

#include <chrono>
#include <exception>
#include <iostream>

#include "caller_set.hpp"
#include "commands.hpp"
#include "load_options.hpp"
#include "udp_socket.hpp"
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unistd.h>

namespace sassafrasknotctl {

namespace asio = boost::asio;

namespace {

// Interval between two checks of arrivals and timers.
constexpr std::chrono::milliseconds kTickInterval{ 2 };

state::TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

// Runs the flows of the options over one UDP socket. SIGINT and SIGTERM end the
// arrivals; the run then ends as usual.
class LoadSession
{
public:
  LoadSession(asio::io_context& aContext, const LoadOptions& aOptions)
    : mContext(aContext)
    , mSocket(aContext, aOptions.mListen)
    , mTimer(aContext)
    , mSignals(aContext, SIGINT, SIGTERM)
    , mSet(MakeCallerSet(aOptions, Now()))
    , mShowProgress(!aOptions.mQuiet && isatty(STDERR_FILENO) == 1)
  {
  }

  void Start()
  {
    mSocket.Receive(
      [this](std::span<const std::uint8_t> aBytes, const state::Endpoint&) {
        OnDatagram(mSet, aBytes, Now());
        Flush();
      });
    mSignals.async_wait([this](const auto& aError, int) {
      if (!aError) {
        StopArrivals(mSet, Now());
      }
    });
    Tick();
  }

  LoadReport Report() const
  {
    auto report = FinishReport(mSet);
    report.mSendFailures = mSocket.SendFailures();
    return report;
  }

private:
  // Opens flows, runs timers and schedules itself until the run is over.
  void Tick()
  {
    const auto now = Now();
    OnTick(mSet, now);
    Flush();
    ShowProgress(now);
    if (Finished(mSet, now)) {
      mContext.stop();
      return;
    }
    mTimer.expires_after(kTickInterval);
    mTimer.async_wait([this](const auto& aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  // Sends the collected packets to the fabric.
  void Flush()
  {
    for (const auto& bytes : mSet.mOutput) {
      mSocket.Send(bytes, mSet.mOptions.mFabric);
    }
    mSet.mOutput.clear();
  }

  // Updates the progress line on standard error once per second.
  void ShowProgress(state::TimePoint aNow)
  {
    if (!mShowProgress || aNow < mNextProgress) {
      return;
    }
    mNextProgress = aNow + std::chrono::seconds(1);
    const auto total = TotalOf(mSet.mReport);
    std::cerr << "\r" << mSet.mOpenedCallers << " started, "
              << mSet.mCallers.size() << " open, " << total.mCompleted
              << " kept, " << total.mBroken << " broken, " << total.mMisrouted
              << " misrouted, " << total.mRefused << " refused  " << std::flush;
  }

  asio::io_context& mContext;
  UdpSocket mSocket;
  asio::steady_timer mTimer;
  asio::signal_set mSignals;
  CallerSet mSet;
  bool mShowProgress;
  state::TimePoint mNextProgress;
};

} // namespace

int
RunLoad(int aArgc, const char** aArgv)
{
  const auto options = ParseLoadOptions(aArgc, aArgv);
  if (!options) {
    std::cerr << "sassafrasknotctl load: " << options.error().mMessage << '\n';
    return kExitUsage;
  }
  try {
    asio::io_context context;
    LoadSession session(context, options.value());
    session.Start();
    context.run();
    const auto report = session.Report();
    if (!options.value().mQuiet && isatty(STDERR_FILENO) == 1) {
      std::cerr << '\n';
    }
    std::cout << (options.value().mJson ? ToJson(report) : ToText(report));
    return options.value().mStrict && FailsStrictCheck(report) ? 1 : 0;
  } catch (const std::exception& error) {
    std::cerr << "sassafrasknotctl load: " << error.what() << '\n';
    return 1;
  }
}

} // namespace sassafrasknotctl
