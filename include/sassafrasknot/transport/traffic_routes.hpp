#ifndef SASSAFRASKNOT_TRANSPORT_TRAFFIC_ROUTES_HPP
#define SASSAFRASKNOT_TRANSPORT_TRAFFIC_ROUTES_HPP

#include "sassafrasknot/protocol/packet.hpp"
#include "sassafrasknot/state/flow.hpp"
#include "sassafrasknot/state/snapshot.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace sassafrasknot::transport {

/// @brief The service that an endpoint of a snapshot belongs to. The endpoint
/// is either one that callers use or one of an upstream.
struct EndpointRoute
{
  /// Service endpoint that callers use.
  state::Endpoint mService;
  /// Index into Snapshot::mServices.
  std::uint32_t mServiceIndex = 0;
  /// Index of the traffic thread that handles all flows of the service.
  std::size_t mThread = 0;
  /// Whether the service has a TCP listener on its port.
  bool mTcp = false;
  /// Whether the service has a UDP listener on its port.
  bool mUdp = false;
};

/// @brief Hashes an endpoint for an unordered map.
struct EndpointHash
{
  std::size_t operator()(const state::Endpoint& aEndpoint) const noexcept;
};

/// @brief A snapshot with its endpoints indexed, so that finding the service of
/// a packet takes at most two hash look-ups.
struct TrafficRoutes
{
  std::shared_ptr<const state::Snapshot> mSnapshot;
  /// Number of traffic threads.
  std::size_t mThreads = 1;
  /// Routes by the endpoint that callers use.
  std::unordered_map<state::Endpoint, EndpointRoute, EndpointHash> mListeners;
  /// Routes by the endpoint of an upstream.
  std::unordered_map<state::Endpoint, EndpointRoute, EndpointHash> mUpstreams;
};

/// @brief Indexes the endpoints of a snapshot.
/// @param aSnapshot snapshot that the routes share
/// @param aThreads number of traffic threads, at least 1
/// @return the index
std::shared_ptr<const TrafficRoutes>
MakeTrafficRoutes(std::shared_ptr<const state::Snapshot> aSnapshot,
                  std::size_t aThreads);

/// @brief Flow and direction of a packet, with the index of the traffic thread
/// of its service.
struct RoutedPacket
{
  std::size_t mThread = 0;
  state::FlowEvent mFlow;
};

/// @brief Finds flow, direction and traffic thread of a packet.
/// @param aRoutes index of the endpoints in force
/// @param aPacket parsed packet
/// @return the result, or NotFound with the name of the drop counter to
/// increment as message: no service or upstream has the packet's endpoints, or
/// the service has no listener for its transport protocol
state::Result<RoutedPacket>
RoutePacket(const TrafficRoutes& aRoutes, const protocol::PacketView& aPacket);

/// @brief Finds the traffic thread of a flow.
/// @param aRoutes index of the endpoints in force
/// @param aKey identifies the flow
/// @return index of the thread; 0 for an unknown service
std::size_t
ThreadOf(const TrafficRoutes& aRoutes, const state::FlowKey& aKey);

/// @brief Finds an instance in a snapshot, whose instances are sorted by id.
/// @param aSnapshot snapshot to search
/// @param aId id of the instance
/// @return the instance, or null if the snapshot does not contain it
const state::InstanceView*
FindInstance(const state::Snapshot& aSnapshot, const state::InstanceId& aId);

} // namespace sassafrasknot::transport

#endif
