#include "sassafrasknot/transport/traffic_routes.hpp"

#include "sassafrasknot/state/hashing.hpp"

#include <algorithm>
#include <utility>

namespace sassafrasknot::transport {
namespace {

using state::Direction;
using state::SegmentKind;
using state::TransportProtocol;

/// Assigns a service to a traffic thread by the hash of its id.
std::size_t
ThreadOfService(const state::ServiceId& aId, std::size_t aThreads)
{
  const auto organisation = state::HashBytes(aId.mOrganisation.mValue);
  return state::HashBytes(aId.mName, organisation) % aThreads;
}

EndpointRoute
MakeRoute(const TrafficRoutes& aRoutes,
          std::uint32_t aServiceIndex,
          std::uint16_t aListenerPort)
{
  const auto& view = aRoutes.mSnapshot->mServices[aServiceIndex];
  EndpointRoute route;
  route.mService = { view.mService.mAddress, aListenerPort };
  route.mServiceIndex = aServiceIndex;
  route.mThread = ThreadOfService(view.mId, aRoutes.mThreads);
  for (const auto& listener : view.mService.mListeners) {
    if (listener.mPort == aListenerPort) {
      (listener.mProtocol == TransportProtocol::Udp ? route.mUdp : route.mTcp) =
        true;
    }
  }
  return route;
}

/// Returns what a packet means to its flow. UDP has no handshake, so each
/// packet from a caller may open a flow.
SegmentKind
SegmentKindOf(const protocol::PacketHeader& aHeader, Direction aDirection)
{
  if (aHeader.mProtocol == TransportProtocol::Udp) {
    return aDirection == Direction::FromCaller ? SegmentKind::Open
                                               : SegmentKind::OpenAnswer;
  }
  if (aHeader.mRst) {
    return SegmentKind::Reset;
  }
  if (aHeader.mSyn) {
    return aHeader.mAck ? SegmentKind::OpenAnswer : SegmentKind::Open;
  }
  return aHeader.mFin ? SegmentKind::Finish : SegmentKind::Data;
}

/// The error of a packet that is dropped; the message names the drop counter.
state::Error
NotRouted(const char* aCounter)
{
  return { state::ErrorCode::NotFound, state::Verdict::NotRun, aCounter };
}

} // namespace

std::size_t
EndpointHash::operator()(const state::Endpoint& aEndpoint) const noexcept
{
  return state::CombineHashes(aEndpoint.mAddress.mValue, aEndpoint.mPort);
}

std::shared_ptr<const TrafficRoutes>
MakeTrafficRoutes(std::shared_ptr<const state::Snapshot> aSnapshot,
                  std::size_t aThreads)
{
  auto routes = std::make_shared<TrafficRoutes>();
  routes->mSnapshot = std::move(aSnapshot);
  routes->mThreads = aThreads;
  for (const auto& [endpoint, service] :
       routes->mSnapshot->mServiceByEndpoint) {
    routes->mListeners.emplace(endpoint,
                               MakeRoute(*routes, service, endpoint.mPort));
  }
  for (const auto& [endpoint, entry] : routes->mSnapshot->mUpstreamBindings) {
    routes->mUpstreams.emplace(
      endpoint, MakeRoute(*routes, entry.mService, entry.mListenerPort));
  }
  return routes;
}

state::Result<RoutedPacket>
RoutePacket(const TrafficRoutes& aRoutes, const protocol::PacketView& aPacket)
{
  const auto& header = aPacket.mHeader;
  auto direction = Direction::FromCaller;
  auto found = aRoutes.mListeners.find(header.mDestination);
  if (found == aRoutes.mListeners.end()) {
    direction = Direction::FromUpstream;
    found = aRoutes.mUpstreams.find(header.mSource);
    if (found == aRoutes.mUpstreams.end()) {
      return NotRouted("packets_dropped_unknown_total");
    }
  }
  const auto& route = found->second;
  const bool udp = header.mProtocol == TransportProtocol::Udp;
  if (udp ? !route.mUdp : !route.mTcp) {
    return NotRouted("packets_dropped_protocol_total");
  }
  const bool fromCaller = direction == Direction::FromCaller;
  RoutedPacket routed;
  routed.mThread = route.mThread;
  auto& flow = routed.mFlow;
  flow.mKey = { fromCaller ? header.mSource : header.mDestination,
                route.mService,
                header.mProtocol };
  flow.mDirection = direction;
  flow.mKind = SegmentKindOf(header, direction);
  if (!fromCaller) {
    flow.mUpstream = header.mSource;
  }
  flow.mPayloadBytes = static_cast<std::uint32_t>(aPacket.mPayload.size());
  // SYN occupies one sequence number before the payload (RFC 9293).
  flow.mSequence = header.mSequence + (header.mSyn ? 1 : 0);
  flow.mAcknowledged = header.mAcknowledgementNumber;
  return routed;
}

std::size_t
ThreadOf(const TrafficRoutes& aRoutes, const state::FlowKey& aKey)
{
  const auto found = aRoutes.mListeners.find(aKey.mService);
  return found == aRoutes.mListeners.end() ? 0 : found->second.mThread;
}

const state::InstanceView*
FindInstance(const state::Snapshot& aSnapshot, const state::InstanceId& aId)
{
  const auto found = std::ranges::lower_bound(
    aSnapshot.mInstances, aId, {}, &state::InstanceView::mId);
  return found != aSnapshot.mInstances.end() && found->mId == aId ? &*found
                                                                  : nullptr;
}

} // namespace sassafrasknot::transport
