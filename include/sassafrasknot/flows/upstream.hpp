#ifndef SASSAFRASKNOT_FLOWS_UPSTREAM_HPP
#define SASSAFRASKNOT_FLOWS_UPSTREAM_HPP

#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/identifiers.hpp"

#include <chrono>
#include <cstdint>
#include <string>

/// @brief Routing of callers' packets: placement of new flows on upstreams,
/// passive failure detection of upstreams, and routing of established flows by
/// the token of their upstream, which each of their packets carries.
namespace sassafrasknot::flows {

/// @brief An upstream as the platform publishes it.
struct Upstream
{
  std::string mId;
  /// The upstream accepts a datagram only if it contains this number.
  std::uint64_t mVerificationTag = 0;
  std::string mService;
  state::Endpoint mAddress;
  state::DataCentreId mDataCentre;
  /// Number of requests that it processes at the same time.
  std::uint32_t mSlots = 1;
  /// It is about to stop and accepts no new flow.
  bool mDraining = false;
  /// Rest of the period after its start in which it is slow, when published.
  std::chrono::milliseconds mWarmUpLeft{ 0 };
  /// Start of its process, as time since the Unix epoch. A process started
  /// later under the same id has none of the earlier one's flows.
  std::chrono::milliseconds mStarted{ 0 };
  /// Revision of the store at which it was first published.
  state::Revision mCreateRevision = 0;

  auto operator<=>(const Upstream&) const = default;
};

/// @brief Number that identifies an upstream in the packets of its flows.
using UpstreamToken = std::uint32_t;

/// Token of a packet that names no upstream.
constexpr UpstreamToken kNoToken = 0;

/// @brief Returns the token of an upstream, the same on every instance.
/// @param aUpstreamId the upstream's id as published
/// @return the token, never kNoToken
UpstreamToken
TokenOf(const std::string& aUpstreamId);

} // namespace sassafrasknot::flows

#endif
