#ifndef SASSAFRASKNOT_STATE_CONFIGURATION_HPP
#define SASSAFRASKNOT_STATE_CONFIGURATION_HPP

#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/flow.hpp"
#include "sassafrasknot/state/identifiers.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sassafrasknot::state {

/// @brief A port of a service and how its flows are treated.
struct Listener
{
  std::uint16_t mPort = 0;
  /// Port of the upstreams that the flows are sent to.
  std::uint16_t mUpstreamPort = 0;
  TransportProtocol mProtocol = TransportProtocol::Tcp;
  FlowClass mFlowClass = FlowClass::Feed;
  /// How long a new flow may wait for a slot before it is refused.
  std::chrono::milliseconds mQueueDeadline{ 1000 };

  auto operator<=>(const Listener&) const = default;
};

/// @brief Life of an upstream as configuration and the published list give it.
enum class UpstreamState : std::uint8_t
{
  Live,
  Leaving, ///< Takes no new flow; its flows stay until they end.
};

/// @brief A back end of a service.
struct Upstream
{
  Ipv4Address mAddress;
  DataCentreId mDataCentre;
  /// Work that it runs at once.
  std::uint32_t mSlots = 0;
  /// Connections that it holds at most.
  std::uint32_t mConnections = 0;
  UpstreamState mState = UpstreamState::Live;

  auto operator<=>(const Upstream&) const = default;
};

/// @brief Limits of a service.
struct ServiceLimits
{
  /// Longest queue of new work per slot of a shard.
  double mQueuePerSlot = 4.0;
  /// Part of a shard's slots that FlowClass::Long may hold, 0 to 1.
  double mLongShare = 0.5;
  /// Part of a shard's upstreams that may be ejected at once, 0 to 1.
  double mEjectedShare = 1.0 / 3;
  /// Ramp of connections and slots of an upstream that joins or returns.
  std::chrono::milliseconds mSlowStart{ 10000 };
  /// Interval between keepalive probes of an idle flow.
  std::chrono::milliseconds mKeepaliveInterval{ 30000 };

  auto operator<=>(const ServiceLimits&) const = default;
};

/// @brief One address of an organisation and the upstreams behind it.
struct Service
{
  std::string mName;
  Ipv4Address mAddress;
  std::vector<Listener> mListeners;
  std::vector<Upstream> mUpstreams;
  /// Disjoint parts of the upstreams of one data centre, each with an owner.
  std::uint32_t mShards = 1;
  ServiceLimits mLimits;

  auto operator<=>(const Service&) const = default;
};

/// @brief An organisation as rendered from its template and parameters.
struct Organisation
{
  OrganisationId mId;
  /// Weight of its share of an instance, above zero.
  double mWeight = 1.0;
  std::vector<Service> mServices;

  auto operator<=>(const Organisation&) const = default;
};

} // namespace sassafrasknot::state

#endif
