#ifndef SASSAFRASKNOT_FLOWS_UPSTREAM_HPP
#define SASSAFRASKNOT_FLOWS_UPSTREAM_HPP

#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/identifiers.hpp"

#include <chrono>
#include <cstdint>
#include <string>

/// @brief Placement of flows whose packets carry a token of their upstream.
namespace sassafrasknot::flows {

/// @brief An upstream as the platform publishes it.
struct Upstream
{
  std::string mId;
  /// Number that the upstream compares with a datagram's before it accepts it.
  std::uint64_t mVerificationTag = 0;
  std::string mService;
  state::Endpoint mAddress;
  state::DataCentreId mDataCentre;
  /// Requests that it works on at the same time.
  std::uint32_t mSlots = 1;
  /// It is about to leave and takes no new flow.
  bool mDraining = false;
  /// How much longer it is slow after its start.
  std::chrono::milliseconds mWarmUpLeft{ 0 };
  /// Start of its process since the Unix epoch. A later start under the same id
  /// knows nothing of earlier flows.
  std::chrono::milliseconds mStarted{ 0 };
  /// Revision at which it was first described.
  state::Revision mCreateRevision = 0;

  auto operator<=>(const Upstream&) const = default;
};

/// @brief Identifies an upstream in the packets of its flows.
using UpstreamToken = std::uint32_t;

/// Token of a packet that names no upstream.
constexpr UpstreamToken kNoToken = 0;

/// @brief Returns the token of an upstream, the same on every instance.
/// @param aUpstreamId its id
/// @return the token, never kNoToken
UpstreamToken
TokenOf(const std::string& aUpstreamId);

} // namespace sassafrasknot::flows

#endif
