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

/// @brief A port on which a service accepts flows, and how they are handled.
struct Listener
{
  std::uint16_t mPort = 0;
  /// Destination port at the upstreams.
  std::uint16_t mUpstreamPort = 0;
  TransportProtocol mProtocol = TransportProtocol::Tcp;
  FlowClass mFlowClass = FlowClass::Feed;
  /// Longest wait of a new flow for a free slot before it is refused.
  std::chrono::milliseconds mQueueDeadline{ 1000 };

  auto operator<=>(const Listener&) const = default;
};

/// @brief Whether an upstream receives new flows, as set by the organisation's
/// document and the published list of upstreams.
enum class UpstreamState : std::uint8_t
{
  Live,
  Leaving, ///< Draining: receives no new flows; established ones continue.
};

/// @brief A back end of a service.
struct Upstream
{
  Ipv4Address mAddress;
  DataCentreId mDataCentre;
  /// Number of requests that it processes at the same time.
  std::uint32_t mSlots = 0;
  /// Maximum number of open connections.
  std::uint32_t mConnections = 0;
  UpstreamState mState = UpstreamState::Live;

  auto operator<=>(const Upstream&) const = default;
};

/// @brief Limits of a service.
struct ServiceLimits
{
  /// Maximum number of queued new flows per slot of a shard.
  double mQueuePerSlot = 4.0;
  /// Maximum share of a shard's slots for FlowClass::Long, 0 to 1.
  double mLongShare = 0.5;
  /// Maximum share of a shard's upstreams that is ejected at the same time,
  /// 0 to 1. An ejected upstream receives no new flows because too many of its
  /// flows have failed.
  double mEjectedShare = 1.0 / 3;
  /// Time over which the connections and slots available at an upstream that
  /// joins or returns rise to their full number.
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
  /// Number of disjoint parts that the upstreams are divided into. Each shard
  /// has one owner, the instance that decides on its flows.
  std::uint32_t mShards = 1;
  ServiceLimits mLimits;

  auto operator<=>(const Service&) const = default;
};

/// @brief Configuration of an organisation (a customer), rendered from its
/// document and its template.
struct Organisation
{
  OrganisationId mId;
  /// Weight of its share of an instance's capacity, above zero.
  double mWeight = 1.0;
  std::vector<Service> mServices;

  auto operator<=>(const Organisation&) const = default;
};

} // namespace sassafrasknot::state

#endif
