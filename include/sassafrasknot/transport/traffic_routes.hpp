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

/// @brief What an endpoint of a snapshot stands for.
struct EndpointRoute
{
  /// Service endpoint that callers use.
  state::Endpoint mService;
  /// Index into Snapshot::mServices.
  std::uint32_t mServiceIndex = 0;
  /// Traffic thread of the service.
  std::size_t mThread = 0;
  bool mTcp = false;
  bool mUdp = false;
};

/// @brief Hashes an endpoint for an unordered map.
struct EndpointHash
{
  std::size_t operator()(const state::Endpoint& aEndpoint) const noexcept;
};

/// @brief A snapshot with its endpoints indexed for one lookup per packet.
struct TrafficRoutes
{
  std::shared_ptr<const state::Snapshot> mSnapshot;
  std::size_t mThreads = 1;
  std::unordered_map<state::Endpoint, EndpointRoute, EndpointHash> mListeners;
  std::unordered_map<state::Endpoint, EndpointRoute, EndpointHash> mUpstreams;
};

/// @brief Indexes a snapshot.
/// @param aSnapshot the snapshot
/// @param aThreads number of traffic threads, at least 1
/// @return its routes
std::shared_ptr<const TrafficRoutes>
MakeTrafficRoutes(std::shared_ptr<const state::Snapshot> aSnapshot,
                  std::size_t aThreads);

/// @brief A packet with the thread that its service belongs to.
struct RoutedPacket
{
  std::size_t mThread = 0;
  state::FlowEvent mFlow;
};

/// @brief Finds flow, direction and thread of a packet.
/// @param aRoutes the routes
/// @param aPacket the packet
/// @return the event, or NotFound with the drop counter's name as message
state::Result<RoutedPacket>
RoutePacket(const TrafficRoutes& aRoutes, const protocol::PacketView& aPacket);

/// @brief Returns the thread of a flow's service; 0 for an unknown service.
/// @param aRoutes the routes
/// @param aKey the flow
/// @return index of the thread
std::size_t
ThreadOf(const TrafficRoutes& aRoutes, const state::FlowKey& aKey);

/// @brief Finds an instance of a snapshot.
/// @param aSnapshot the snapshot
/// @param aId its id
/// @return the instance, or null
const state::InstanceView*
FindInstance(const state::Snapshot& aSnapshot, const state::InstanceId& aId);

} // namespace sassafrasknot::transport

#endif
