#ifndef SASSAFRASKNOT_FLOWS_FLOW_FIXTURE_TEST_HPP
#define SASSAFRASKNOT_FLOWS_FLOW_FIXTURE_TEST_HPP

#include "sassafrasknot/flows/flow_router.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace sassafrasknot::flows {

using std::chrono::milliseconds;

constexpr std::uint16_t kFeedPort = 8443;
constexpr std::uint16_t kRequestPort = 8080;
inline const state::Ipv4Address kServiceAddress{ 0xC6120001 };

/// Returns a point of test time, offset so that it differs from the zero that
/// stands for "never".
inline state::TimePoint
At(milliseconds aTime)
{
  return state::TimePoint(std::chrono::hours(1) + aTime);
}

inline Upstream
MakeUpstream(const std::string& aId, const std::string& aDataCentre)
{
  Upstream upstream;
  upstream.mId = aId;
  upstream.mVerificationTag = TokenOf(aId);
  upstream.mService = "scheduling";
  upstream.mAddress = { { 0x0A800001 }, 8080 };
  upstream.mDataCentre = { aDataCentre };
  upstream.mSlots = 2;
  return upstream;
}

/// A router in data centre "a". It has one service with two routes: kFeedPort
/// for idempotent feeds and kRequestPort for non-idempotent requests.
struct RouterFixture
{
  RouterFixture()
    : mRouter(MakeRouter({ { "a" }, {}, 7 }))
  {
    auto configuration = std::make_shared<Configuration>();
    AddRoute(*configuration, kFeedPort, RequestKind::Idempotent);
    AddRoute(*configuration, kRequestPort, RequestKind::NonIdempotent);
    configuration->mIdleTimeout = std::chrono::seconds(15);
    mDirectory.mConfiguration = configuration;
  }

  static void AddRoute(Configuration& aConfiguration,
                       std::uint16_t aPort,
                       RequestKind aKind)
  {
    const state::Endpoint endpoint{ kServiceAddress, aPort };
    Route route;
    route.mEndpoint = endpoint;
    route.mServices = { { "scheduling", 1 } };
    route.mKind = aKind;
    aConfiguration.mRoutes[endpoint] = route;
  }

  void AddUpstream(const std::string& aId, const std::string& aDataCentre)
  {
    mDirectory.mUpstreams.push_back({ MakeUpstream(aId, aDataCentre) });
  }

  void Publish(milliseconds aTime)
  {
    OnDirectory(
      mRouter, std::make_shared<const Directory>(mDirectory), At(aTime));
  }

  static CallerPacket MakePacket(std::uint16_t aCallerPort,
                                 std::uint16_t aServicePort,
                                 state::SegmentKind aKind)
  {
    CallerPacket packet;
    packet.mFlow = { { { 0x64400007 }, aCallerPort },
                     { kServiceAddress, aServicePort } };
    packet.mKind = aKind;
    return packet;
  }

  /// Sends an opening packet.
  Decision Open(std::uint16_t aCallerPort,
                std::uint16_t aServicePort,
                milliseconds aTime,
                std::uint32_t aRetransmissions = 0)
  {
    auto packet =
      MakePacket(aCallerPort, aServicePort, state::SegmentKind::Open);
    packet.mRetransmissions = aRetransmissions;
    return OnPacket(mRouter, packet, At(aTime));
  }

  /// Sends a packet of an established flow.
  Decision Send(std::uint16_t aCallerPort,
                std::uint16_t aServicePort,
                UpstreamToken aToken,
                std::uint32_t aSequence,
                std::uint32_t aAcknowledged,
                std::uint32_t aPayloadBytes,
                milliseconds aTime)
  {
    auto packet =
      MakePacket(aCallerPort, aServicePort, state::SegmentKind::Data);
    packet.mToken = aToken;
    packet.mSequence = aSequence;
    packet.mAcknowledged = aAcknowledged;
    packet.mPayloadBytes = aPayloadBytes;
    return OnPacket(mRouter, packet, At(aTime));
  }

  /// Opens a flow, sends a request and acknowledges its answer.
  void Exchange(std::uint16_t aCallerPort, milliseconds aTime)
  {
    const auto token = Open(aCallerPort, kRequestPort, aTime).mUpstream->mToken;
    Send(aCallerPort, kRequestPort, token, 1, 1, 100, aTime + milliseconds(2));
    Send(
      aCallerPort, kRequestPort, token, 101, 500, 0, aTime + milliseconds(9));
  }

  Directory mDirectory;
  FlowRouter mRouter;
};

} // namespace sassafrasknot::flows

#endif
