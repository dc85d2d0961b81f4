#include "program.hpp"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace stand_ins {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kTick{ 1 };
constexpr int kTicksPerSlowTick = 100;

// The timer and handlers of RunUntilSignal.
struct Ticker
{
  asio::steady_timer mTimer;
  const std::function<void()>& mTick;
  const std::function<void()>& mSlowTick;
  int mTicks = 0;
};

// Calls mTick, and mSlowTick on each hundredth call, and schedules itself
// again.
void
RunTick(Ticker& aTicker)
{
  aTicker.mTick();
  if (aTicker.mTicks++ % kTicksPerSlowTick == 0) {
    aTicker.mSlowTick();
  }
  aTicker.mTimer.expires_after(kTick);
  aTicker.mTimer.async_wait([&aTicker](const auto& aError) {
    if (!aError) {
      RunTick(aTicker);
    }
  });
}

} // namespace

bool
ReadOptions(const char* aName,
            std::vector<poptOption> aOptions,
            int aArgc,
            const char** aArgv)
{
  const auto rest =
    sassafrasknotctl::ParseOptions(aName, std::move(aOptions), aArgc, aArgv);
  if (!rest) {
    std::cerr << aName << ": " << rest.error().mMessage << '\n';
  }
  return rest.has_value();
}

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream input(aPath);
  if (!input) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << input.rdbuf();
  return text.str();
}

void
WriteFileAtomically(const std::string& aPath, const std::string& aText)
{
  const auto temporary = aPath + ".new";
  std::ofstream(temporary) << aText;
  std::rename(temporary.c_str(), aPath.c_str());
}

void
RunUntilSignal(asio::io_context& aContext,
               const std::function<void()>& aTick,
               const std::function<void()>& aSlowTick)
{
  asio::signal_set signals(aContext, SIGINT, SIGTERM);
  signals.async_wait([&aContext](const auto&, int) { aContext.stop(); });
  Ticker ticker{ asio::steady_timer(aContext), aTick, aSlowTick };
  RunTick(ticker);
  aContext.run();
}

} // namespace stand_ins
