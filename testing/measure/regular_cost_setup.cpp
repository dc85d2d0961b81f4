#include "sassafrasknot/state/hashing.hpp"

#include <algorithm>
#include <memory>
#include <string>

#include "platform_encoding.hpp"
#include "regular_cost.hpp"

namespace sassafrasknot::measure {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kDataCentres = 3;
constexpr std::size_t kUpstreamsPerInstance = 10;
constexpr std::size_t kServices = 4;
/// Open flows of the instance, each with a request in flight.
constexpr std::uint16_t kOpenFlows = 20;
constexpr std::size_t kLoadsPerNeighbour = 10;

state::DataCentreId
DataCentreOf(std::size_t aIndex)
{
  return { "dc-" + std::to_string(aIndex % kDataCentres) };
}

state::Endpoint
RouteEndpoint(std::size_t aService)
{
  return { { 0xC6120001 + static_cast<std::uint32_t>(aService) }, 8080 };
}

flows::Configuration
MakeConfiguration()
{
  flows::Configuration configuration;
  configuration.mVersion = 1;
  configuration.mIdleTimeout = milliseconds(15000);
  for (std::size_t index = 0; index < kServices; ++index) {
    flows::Route route;
    route.mName = "route-" + std::to_string(index);
    route.mEndpoint = RouteEndpoint(index);
    route.mServices = { { "service-" + std::to_string(index), 1 } };
    route.mKind = flows::RequestKind::Idempotent;
    route.mObjective = milliseconds(250);
    route.mTimeout = milliseconds(2500);
    configuration.mHealthPaths[route.mServices.front().mService] = "/health";
    configuration.mRoutes[route.mEndpoint] = route;
  }
  return configuration;
}

flows::Upstream
MakeUpstream(std::size_t aIndex)
{
  flows::Upstream upstream;
  upstream.mId = "i-" + std::to_string(10000000 + aIndex);
  upstream.mVerificationTag = 0x10000000 + aIndex;
  upstream.mService =
    "service-" + std::to_string(aIndex / kDataCentres % kServices);
  upstream.mAddress = { { 0x0A800000 + static_cast<std::uint32_t>(aIndex) },
                        8080 };
  upstream.mDataCentre = DataCentreOf(aIndex);
  upstream.mSlots = 2;
  upstream.mStarted = milliseconds(1785505927012);
  upstream.mCreateRevision = aIndex + 2;
  return upstream;
}

void
OpenFlows(Deployment& aDeployment)
{
  auto& router = aDeployment.mRouter;
  for (std::uint16_t index = 0; index < kOpenFlows; ++index) {
    flows::CallerPacket packet;
    packet.mFlow = { { { 0x64400007 },
                       static_cast<std::uint16_t>(2000 + index) },
                     RouteEndpoint(index % kServices) };
    packet.mKind = state::SegmentKind::Open;
    const auto decision = flows::OnPacket(router, packet, aDeployment.mNow);
    packet.mKind = state::SegmentKind::Data;
    packet.mToken = decision.mUpstream->mToken;
    packet.mSequence = 1;
    packet.mAcknowledged = 1;
    packet.mPayloadBytes = 100;
    flows::OnPacket(router, packet, aDeployment.mNow + milliseconds(2));
  }
}

} // namespace

fleet::Member
MakeMember(std::size_t aIndex)
{
  return { { { 0x0A000001 + static_cast<std::uint32_t>(aIndex) }, 7000 },
           DataCentreOf(aIndex),
           1785505927012 + aIndex };
}

fleet::FleetMessage
MakeNeighbourMessage(const Deployment& aDeployment,
                     const fleet::Member& aSender,
                     std::size_t aLoads)
{
  fleet::FleetMessage message;
  message.mSender = aSender;
  message.mRevision = aDeployment.mCore.mCatalogue.mRevision;
  message.mConfirmedAge = milliseconds(100);
  message.mLoads.emplace();
  const auto first = aSender.mEndpoint.mAddress.mValue;
  for (std::size_t index = 0; index < aLoads; ++index) {
    const auto upstream =
      (first + index * kDataCentres) % aDeployment.mUpstreams;
    message.mLoads->push_back(
      { flows::TokenOf(MakeUpstream(upstream).mId), { 0, 1 } });
  }
  return message;
}

Deployment
MakeDeployment(std::size_t aUpstreams)
{
  Deployment deployment;
  deployment.mUpstreams = aUpstreams;
  const auto configuration = MakeConfiguration();
  deployment.mRecords.push_back({ testing::kConfigurationKey,
                                  testing::EncodeConfiguration(configuration),
                                  1,
                                  1 });
  deployment.mBuilder.mConfiguration =
    std::make_shared<const flows::Configuration>(configuration);
  for (std::size_t index = 0; index < aUpstreams; ++index) {
    const auto upstream = MakeUpstream(index);
    deployment.mRecords.push_back({ testing::UpstreamKey(upstream.mId),
                                    testing::EncodeUpstream(upstream),
                                    index + 2,
                                    index + 2 });
    flows::UpsertUpstream(deployment.mBuilder, upstream);
  }
  const auto instances =
    std::max(kDataCentres, aUpstreams / kUpstreamsPerInstance);
  auto& core = deployment.mCore;
  fleet::FleetSettings settings;
  // Neither representative nor reader, as most instances.
  const auto self = instances / 2 / kDataCentres * kDataCentres;
  settings.mSelf = MakeMember(self);
  core = fleet::MakeFleetCore(settings);
  fleet::Merge(core.mCatalogue, { 0, aUpstreams + 1, deployment.mRecords });
  for (std::size_t index = 0; index < instances; ++index) {
    fleet::OnMessage(core,
                     MakeNeighbourMessage(deployment,
                                          MakeMember(index),
                                          index % kDataCentres == 0 ? 1 : 0),
                     {},
                     deployment.mNow);
  }
  const auto groups = fleet::GroupLocalPeers(core.mPeers, deployment.mNow);
  for (const auto* peer : groups.mNeighbours) {
    fleet::OnMessage(
      core,
      MakeNeighbourMessage(deployment, peer->mMember, kLoadsPerNeighbour),
      {},
      deployment.mNow);
  }
  deployment.mPeerLoads = { fleet::PeerLoads(core),
                            { { { "dc-1" }, 0.05 }, { { "dc-2" }, 0.05 } },
                            fleet::LocalPosition(core.mPeers,
                                                 deployment.mNow) };
  auto& router = deployment.mRouter;
  router = flows::MakeRouter({ { "dc-0" }, {}, 7 });
  flows::OnDirectory(
    router, flows::BuildNextDirectory(deployment.mBuilder, 1), deployment.mNow);
  flows::OnPosition(router, deployment.mPeerLoads.mPosition, deployment.mNow);
  OpenFlows(deployment);
  return deployment;
}

} // namespace sassafrasknot::measure
