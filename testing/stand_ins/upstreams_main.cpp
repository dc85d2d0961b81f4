#include <chrono>
#include <exception>
#include <iostream>

#include "program.hpp"
#include "udp_socket.hpp"
#include "upstream_set.hpp"

namespace {

using sassafrasknotctl::MakeOption;

constexpr auto kName = "sassafrasknot-test-upstreams";

// Values of the command-line options; popt writes into them.
struct Values
{
  const char* mListen = "127.0.0.1:7700";
  const char* mFabric = "127.0.0.1:7800";
  const char* mUpstreams = "upstreams.json";
  const char* mTotals = nullptr;
  int mSeed = 1;
};

std::vector<poptOption>
Options(Values& aValues)
{
  constexpr unsigned kText = POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT;
  return {
    MakeOption("listen",
               kText,
               &aValues.mListen,
               "UDP address of this program",
               "IP:PORT"),
    MakeOption("fabric",
               kText,
               &aValues.mFabric,
               "UDP address of the fabric",
               "IP:PORT"),
    MakeOption("upstreams",
               kText,
               &aValues.mUpstreams,
               "JSON file of the upstreams, applied again when it changes",
               "FILE"),
    MakeOption("totals",
               POPT_ARG_STRING,
               &aValues.mTotals,
               "JSON file for the counters, written about every 0.1 s",
               "FILE"),
    MakeOption("seed",
               POPT_ARG_INT,
               &aValues.mSeed,
               "seed of the service times and TCP sequence numbers"),
  };
}

// Applies the file of upstreams if it has changed. A file that is missing or
// malformed, for example because it is being written, leaves them unchanged.
void
ReadUpstreams(stand_ins::UpstreamSet& aSet,
              std::string& aLastText,
              const std::string& aPath)
{
  const auto text = stand_ins::ReadFile(aPath);
  if (!text || *text == aLastText) {
    return;
  }
  aLastText = *text;
  if (const auto settings = stand_ins::ParseUpstreams(*text)) {
    Configure(aSet, settings.value(), std::chrono::steady_clock::now());
  } else {
    std::cerr << kName << ": " << aPath << ": " << settings.error().mMessage
              << '\n';
  }
}

// Runs until SIGTERM or SIGINT, then prints the counters; returns the exit
// status.
int
Run(const Values& aValues)
{
  const auto listen = stand_ins::state::ParseEndpoint(aValues.mListen);
  const auto fabric = stand_ins::state::ParseEndpoint(aValues.mFabric);
  if (!listen || !fabric) {
    std::cerr << kName << ": --listen and --fabric must be IP:PORT\n";
    return 2;
  }
  stand_ins::UpstreamSet set;
  set.mRandom.seed(static_cast<std::uint64_t>(aValues.mSeed));
  boost::asio::io_context context;
  sassafrasknotctl::UdpSocket socket(context, listen.value());
  const auto now = [] { return std::chrono::steady_clock::now(); };
  const auto flush = [&] {
    for (const auto& bytes : set.mOutput) {
      socket.Send(bytes, fabric.value());
    }
    set.mOutput.clear();
  };
  socket.Receive([&](std::span<const std::uint8_t> aBytes,
                     const stand_ins::state::Endpoint&) {
    OnDatagram(set, aBytes, now());
    flush();
  });
  std::string lastText;
  stand_ins::RunUntilSignal(
    context,
    [&] {
      OnTick(set, now());
      flush();
    },
    [&] {
      ReadUpstreams(set, lastText, aValues.mUpstreams);
      if (aValues.mTotals != nullptr) {
        stand_ins::WriteFileAtomically(aValues.mTotals, ToJson(set, now()));
      }
    });
  std::cout << ToJson(set, now());
  return 0;
}

} // namespace

int
main(int aArgc, const char** aArgv)
{
  Values values;
  if (!stand_ins::ReadOptions(kName, Options(values), aArgc, aArgv)) {
    return 2;
  }
  try {
    return Run(values);
  } catch (const std::exception& error) {
    std::cerr << kName << ": " << error.what() << '\n';
    return 1;
  }
}
