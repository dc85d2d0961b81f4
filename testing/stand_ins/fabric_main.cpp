#include <chrono>
#include <cmath>
#include <exception>
#include <iostream>

#include "endpoint_list.hpp"
#include "fabric.hpp"
#include "program.hpp"
#include "udp_socket.hpp"

namespace {

using sassafrasknotctl::MakeOption;
using stand_ins::Fabric;

// Values of the command-line options; popt writes into them.
struct Values
{
  const char* mListen = "127.0.0.1:7800";
  const char* mInstances = "instances.txt";
  const char* mCallers = "127.0.0.1:7900";
  const char* mUpstreams = "127.0.0.1:7700";
  const char* mCallerPrefix = "127.30.0.0/16";
  const char* mUpstreamPrefix = "127.20.0.0/16";
  const char* mSpray = "packet";
  double mDrop = 0;
  double mDuplicate = 0;
  double mReorder = 0;
  double mDelayMilliseconds = 0;
  int mSeed = 1;
};

std::vector<poptOption>
Options(Values& aValues)
{
  const auto text =
    [](const char* aName, const char*& aValue, const char* aHelp) {
      return MakeOption(
        aName, POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT, &aValue, aHelp);
    };
  const auto number = [](const char* aName, double& aValue, const char* aHelp) {
    return MakeOption(aName, POPT_ARG_DOUBLE, &aValue, aHelp);
  };
  return {
    text("listen", aValues.mListen, "UDP address of the fabric"),
    text("instances", aValues.mInstances, "file with one IP:PORT per line"),
    text("callers", aValues.mCallers, "UDP address of the load tool"),
    text("upstreams", aValues.mUpstreams, "UDP address of the upstreams"),
    text("caller-prefix",
         aValues.mCallerPrefix,
         "address range of the callers, IP/BITS"),
    text("upstream-prefix",
         aValues.mUpstreamPrefix,
         "address range of the upstreams, IP/BITS"),
    text("spray",
         aValues.mSpray,
         "choose an instance per packet or per flow: packet or flow"),
    number("drop", aValues.mDrop, "fraction of packets dropped, 0 to 1"),
    number("duplicate",
           aValues.mDuplicate,
           "fraction of packets sent twice, 0 to 1"),
    number("reorder",
           aValues.mReorder,
           "fraction of packets delayed by 5 ms, 0 to 1"),
    number("delay", aValues.mDelayMilliseconds, "delay of all packets in ms"),
    MakeOption("seed",
               POPT_ARG_INT,
               &aValues.mSeed,
               "seed of the random faults and choices"),
  };
}

// Applies the options to the fabric. Returns false if one is malformed.
bool
Configure(Fabric& aFabric, const Values& aValues)
{
  const auto callers = stand_ins::state::ParseEndpoint(aValues.mCallers);
  const auto upstreams = stand_ins::state::ParseEndpoint(aValues.mUpstreams);
  const auto callerPrefix = stand_ins::ParsePrefix(aValues.mCallerPrefix);
  const auto upstreamPrefix = stand_ins::ParsePrefix(aValues.mUpstreamPrefix);
  const std::string_view spray = aValues.mSpray;
  if (!callers || !upstreams || !callerPrefix || !upstreamPrefix ||
      (spray != "packet" && spray != "flow")) {
    return false;
  }
  aFabric.mCallers = callers.value();
  aFabric.mUpstreams = upstreams.value();
  aFabric.mCallerPrefix = callerPrefix.value();
  aFabric.mUpstreamPrefix = upstreamPrefix.value();
  aFabric.mSpray =
    spray == "flow" ? stand_ins::Spray::Flow : stand_ins::Spray::Packet;
  aFabric.mImpairments.mDrop = aValues.mDrop;
  aFabric.mImpairments.mDuplicate = aValues.mDuplicate;
  aFabric.mImpairments.mReorder = aValues.mReorder;
  aFabric.mImpairments.mDelay =
    std::chrono::microseconds(std::lround(aValues.mDelayMilliseconds * 1000));
  aFabric.mRandom.seed(static_cast<std::uint64_t>(aValues.mSeed));
  return true;
}

// Reads the list of instances. A file that is missing or malformed, for example
// because it is being written, leaves the list unchanged.
void
ReadInstances(Fabric& aFabric, const std::string& aPath)
{
  if (const auto text = stand_ins::ReadFile(aPath)) {
    if (auto instances = sassafrasknotctl::ParseEndpointList(*text)) {
      aFabric.mInstances = std::move(instances.value());
    }
  }
}

// Runs until SIGTERM or SIGINT, then prints the counters; returns the exit
// status, which is 2 if --listen is malformed.
int
Run(Fabric& aFabric, const Values& aValues)
{
  const auto listen = stand_ins::state::ParseEndpoint(aValues.mListen);
  if (!listen) {
    return 2;
  }
  boost::asio::io_context context;
  sassafrasknotctl::UdpSocket socket(context, listen.value());
  const auto now = [] { return std::chrono::steady_clock::now(); };
  const auto flush = [&] {
    for (const auto& delivery : aFabric.mOutput) {
      socket.Send(delivery.mBytes, delivery.mDestination);
    }
    aFabric.mOutput.clear();
  };
  socket.Receive([&](std::span<const std::uint8_t> aBytes,
                     const stand_ins::state::Endpoint&) {
    OnDatagram(aFabric, aBytes, now());
    flush();
  });
  stand_ins::RunUntilSignal(
    context,
    [&] {
      OnTick(aFabric, now());
      flush();
    },
    [&] { ReadInstances(aFabric, aValues.mInstances); });
  aFabric.mCounters["send_failures"] = socket.SendFailures();
  for (const auto& [name, count] : aFabric.mCounters) {
    std::cout << name << ' ' << count << '\n';
  }
  return 0;
}

} // namespace

int
main(int aArgc, const char** aArgv)
{
  Values values;
  Fabric fabric;
  if (!stand_ins::ReadOptions(
        "sassafrasknot-test-fabric", Options(values), aArgc, aArgv)) {
    return 2;
  }
  if (!Configure(fabric, values)) {
    std::cerr << "sassafrasknot-test-fabric: --callers and --upstreams must be "
                 "IP:PORT, --caller-prefix and --upstream-prefix IP/BITS, "
                 "--spray packet or flow\n";
    return 2;
  }
  try {
    return Run(fabric, values);
  } catch (const std::exception& error) {
    std::cerr << "sassafrasknot-test-fabric: " << error.what() << '\n';
    return 1;
  }
}
