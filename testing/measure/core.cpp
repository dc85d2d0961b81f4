// Measures memory per open flow, new flows per second and packets per second of
// one traffic core, without network or threads.
#include "sassafrasknot/coordination/traffic_core.hpp"
#include "sassafrasknot/state/hashing.hpp"

#include <chrono>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <malloc.h>
#include <popt.h>

namespace {

using namespace sassafrasknot;

constexpr std::uint32_t kUpstreams = 150;
/// Limit of each upstream.
constexpr std::uint32_t kMaxConnections = 4000;

/// Makes the snapshot of one instance that owns all shards of one service.
std::shared_ptr<const state::Snapshot>
MakeSnapshot()
{
  auto snapshot = std::make_shared<state::Snapshot>();
  snapshot->mSelf = { "instance" };
  snapshot->mDataCentre = { "dc" };
  snapshot->mReachable = { { "dc" } };
  state::InstanceView self;
  self.mId = snapshot->mSelf;
  self.mDataCentre = snapshot->mDataCentre;
  self.mHash = state::HashBytes(self.mId.mValue);
  snapshot->mInstances = { self };
  state::ServiceView view;
  view.mId = { { "organisation" }, "service" };
  view.mService.mName = "service";
  view.mService.mAddress = { 0x7F0A0001 };
  view.mService.mListeners = {
    { 80, 8080, state::TransportProtocol::Tcp, state::FlowClass::Feed, {} }
  };
  // Ten shards, so that each has 15 upstreams as in the present deployments.
  view.mService.mShards = 10;
  for (std::uint32_t index = 0; index < kUpstreams; ++index) {
    const state::Ipv4Address address{ 0x7F140000 + index };
    view.mService.mUpstreams.push_back(
      { address, { "dc" }, 2, kMaxConnections, state::UpstreamState::Live });
    snapshot->mUpstreamBindings[{ address, 8080 }] = { 0, 80 };
  }
  view.mTables = { state::MakeServiceTable(view.mService, view.mId, 1) };
  state::AssignOwners(
    view.mTables.front(), snapshot->mInstances, snapshot->mReachable);
  snapshot->mServiceByEndpoint[{ view.mService.mAddress, 80 }] = 0;
  snapshot->mServices.push_back(view);
  return snapshot;
}

/// Makes a packet from the caller of the flow with this index.
coordination::PacketEvent
MakeEvent(std::uint32_t aFlow, state::SegmentKind aKind)
{
  coordination::PacketEvent event;
  event.mFlow.mKey = { { { 0x7F1E0000 + aFlow / 50000 },
                         static_cast<std::uint16_t>(1024 + aFlow % 50000) },
                       { { 0x7F0A0001 }, 80 },
                       state::TransportProtocol::Tcp };
  event.mFlow.mKind = aKind;
  event.mFlow.mSequence = 1000;
  return event;
}

/// Passes a flow's opening packet to the core, and then the answer of the
/// upstream that the core chose.
void
OpenFlow(coordination::TrafficCore& aCore,
         state::TimePoint aNow,
         std::uint32_t aFlow)
{
  const auto actions =
    aCore.OnPacket(aNow, MakeEvent(aFlow, state::SegmentKind::Open));
  for (const auto& action : actions) {
    if (const auto* sent = std::get_if<coordination::ReleaseHeld>(&action)) {
      auto answer = MakeEvent(aFlow, state::SegmentKind::OpenAnswer);
      answer.mFlow.mDirection = state::Direction::FromUpstream;
      answer.mFlow.mUpstream = sent->mUpstream;
      aCore.OnPacket(aNow, answer);
    }
  }
}

/// Returns the seconds since a time of the steady clock.
double
SecondsSince(std::chrono::steady_clock::time_point aStart)
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       aStart)
    .count();
}

/// Returns the bytes of the heap that are in use.
std::size_t
AllocatedBytes()
{
  return mallinfo2().uordblks + mallinfo2().hblkhd;
}

} // namespace

int
main(int aArgc, const char** aArgv)
{
  int flows = 300000;
  int json = 0;
  const poptOption options[] = {
    { "flows", 'f', POPT_ARG_INT, &flows, 0, "number of flows to open", "N" },
    { "json", 'j', POPT_ARG_NONE, &json, 0, "print JSON", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context =
    poptGetContext("measure-core", aArgc, aArgv, options, 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed < -1 || flows < 1) {
    std::cerr << "measure-core: expected known options and --flows of at "
                 "least 1\n";
    return 2;
  }
  const auto count = static_cast<std::uint32_t>(flows);
  coordination::TrafficCore core(MakeSnapshot(), 1);
  state::TimePoint now{ std::chrono::seconds{ 1 } };
  core.OnTick(now);
  const auto before = AllocatedBytes();
  const auto opening = std::chrono::steady_clock::now();
  for (std::uint32_t flow = 0; flow < count; ++flow) {
    // 10,000 new flows per second on the core's virtual clock, and a tick every
    // 10 ms.
    now += std::chrono::microseconds{ 100 };
    if (flow % 100 == 0) {
      core.OnTick(now);
    }
    OpenFlow(core, now, flow);
  }
  const double openSeconds = SecondsSince(opening);
  const auto bytes = AllocatedBytes() - before;
  const auto sending = std::chrono::steady_clock::now();
  for (std::uint32_t flow = 0; flow < count; ++flow) {
    auto event = MakeEvent(flow, state::SegmentKind::Data);
    event.mFlow.mPayloadBytes = 100;
    core.OnPacket(now, event);
  }
  const double sendSeconds = SecondsSince(sending);
  const auto open = core.Status(now).mFlows;
  const auto perFlow = static_cast<double>(bytes) / static_cast<double>(open);
  const auto newFlows = static_cast<double>(count) / openSeconds;
  const auto packets = static_cast<double>(count) / sendSeconds;
  if (json != 0) {
    std::cout << R"({"open_flows":)" << open << R"(,"bytes_per_flow":)"
              << perFlow << R"(,"new_flows_per_second":)" << newFlows
              << R"(,"packets_per_second":)" << packets << "}\n";
    return 0;
  }
  std::cout << "open flows " << open << "\nbytes per flow " << perFlow
            << "\nnew flows a second " << newFlows << "\npackets a second "
            << packets << '\n';
  return 0;
}
