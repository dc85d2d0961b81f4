// Places a new flow at one instance and routes its next packet at another one,
// which finds the upstream by the packet's token.
#include "sassafrasknot/flows/flow_router.hpp"

#include <iostream>

int
main()
{
  using namespace sassafrasknot;
  const state::Endpoint service{ { 0xC6120001 }, 8443 };
  auto configuration = std::make_shared<flows::Configuration>();
  configuration->mRoutes[service] = {
    "feed", service, { { "scheduling", 1 } }, flows::RequestKind::Idempotent
  };
  auto directory = std::make_shared<flows::Directory>();
  directory->mConfiguration = configuration;
  for (const auto* id : { "i-1", "i-2" }) {
    flows::Upstream upstream;
    upstream.mId = id;
    upstream.mService = "scheduling";
    upstream.mDataCentre = { "kandy" };
    directory->mUpstreams.push_back({ upstream });
  }

  const state::TimePoint now{ std::chrono::seconds(1) };
  auto first = flows::MakeRouter({ { "kandy" }, {}, 1 });
  auto second = flows::MakeRouter({ { "kandy" }, {}, 2 });
  flows::OnDirectory(first, directory, now);
  flows::OnDirectory(second, directory, now);

  flows::CallerPacket packet;
  packet.mFlow = { { { 0x64400007 }, 40001 }, service };
  packet.mKind = state::SegmentKind::Open;
  const auto placed = flows::OnPacket(first, packet, now);

  packet.mKind = state::SegmentKind::Data;
  packet.mToken = placed.mUpstream->mToken;
  const auto routed = flows::OnPacket(second, packet, now);

  std::cout << ToString(placed.mReason) << " at "
            << placed.mUpstream->mUpstream.mId << ", "
            << ToString(routed.mReason) << " at "
            << routed.mUpstream->mUpstream.mId << '\n';
  return placed.mUpstream->mUpstream == routed.mUpstream->mUpstream ? 0 : 1;
}
