#include "load_command.hpp"

#include <chrono>
#include <exception>
#include <iostream>

#include "caller_set.hpp"
#include "commands.hpp"
#include "load_plan.hpp"
#include "udp_socket.hpp"
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unistd.h>

namespace sassafrasknotctl {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kTick{ 2 };

state::TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

// Runs the flows of a plan over one socket.
class LoadSession
{
public:
  LoadSession(asio::io_context& aContext, const LoadPlan& aPlan)
    : mContext(aContext)
    , mPort(aContext, aPlan.mListen)
    , mTimer(aContext)
    , mSignals(aContext, SIGINT, SIGTERM)
    , mSet(MakeCallerSet(aPlan, Now()))
    , mShowProgress(!aPlan.mQuiet && isatty(STDERR_FILENO) == 1)
  {
  }

  void Start()
  {
    mPort.Receive(
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
    report.mSendFailures = mPort.SendFailures();
    return report;
  }

private:
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
    mTimer.expires_after(kTick);
    mTimer.async_wait([this](const auto& aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  void Flush()
  {
    for (const auto& bytes : mSet.mOutput) {
      mPort.Send(bytes, mSet.mPlan.mFabric);
    }
    mSet.mOutput.clear();
  }

  void ShowProgress(state::TimePoint aNow)
  {
    if (!mShowProgress || aNow < mNextProgress) {
      return;
    }
    mNextProgress = aNow + std::chrono::seconds(1);
    const auto sum = Sum(mSet.mReport);
    std::cerr << "\r" << mSet.mOpenedCallers << " started, "
              << mSet.mCallers.size() << " open, " << sum.mKept << " kept, "
              << sum.mBroken << " broken, " << sum.mMisrouted << " misrouted, "
              << sum.mRefused << " refused  " << std::flush;
  }

  asio::io_context& mContext;
  UdpSocket mPort;
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
  const auto plan = ParseLoadOptions(aArgc, aArgv);
  if (!plan) {
    std::cerr << "sassafrasknotctl load: " << plan.error().mMessage << '\n';
    return kExitUsage;
  }
  try {
    asio::io_context context;
    LoadSession session(context, plan.value());
    session.Start();
    context.run();
    const auto report = session.Report();
    if (!plan.value().mQuiet && isatty(STDERR_FILENO) == 1) {
      std::cerr << '\n';
    }
    std::cout << (plan.value().mJson ? ToJson(report) : ToText(report));
    return plan.value().mStrict && HasFaults(report) ? 1 : 0;
  } catch (const std::exception& error) {
    std::cerr << "sassafrasknotctl load: " << error.what() << '\n';
    return 1;
  }
}

} // namespace sassafrasknotctl
