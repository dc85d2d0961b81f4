#ifndef SASSAFRASKNOT_SOAK_ADDRESSES_HPP
#define SASSAFRASKNOT_SOAK_ADDRESSES_HPP

#include "sassafrasknot/state/endpoint.hpp"

#include <cstddef>
#include <cstdint>

/// @brief Randomised soak test: runs real instances as processes, injects
/// faults from outside and checks rules on what callers and upstreams observe.
namespace soak {

using sassafrasknot::state::Endpoint;

constexpr std::uint16_t kTrafficPort = 8172;
constexpr std::uint16_t kReadinessPort = 8167;
constexpr std::uint16_t kAdminPort = 8166;
constexpr std::uint16_t kFleetPort = 7720;
constexpr std::uint16_t kStorePort = 8169;
constexpr std::uint16_t kUpstreamPort = 9000;

/// @brief Addresses of one run: a /16 of the loopback network 127.0.0.0/8, with
/// one /24 per kind of host. Numbers of hosts start at 0.
struct Addresses
{
  /// Second byte of all addresses of the run.
  std::uint8_t mNetwork = 64;

  /// Endpoint of an instance's own socket.
  Endpoint Instance(std::size_t aNumber, std::uint16_t aPort) const
  {
    return Host(1, aNumber, aPort);
  }
  /// Endpoint of the relay through which other instances reach an instance.
  Endpoint InstanceRelay(std::size_t aNumber) const
  {
    return Host(2, aNumber, kFleetPort);
  }
  /// Endpoint of a caller.
  Endpoint Caller(std::size_t aNumber) const
  {
    return Host(3, aNumber, kTrafficPort);
  }
  /// Endpoint of an upstream.
  Endpoint Upstream(std::size_t aNumber) const
  {
    return Host(4, aNumber, kUpstreamPort);
  }
  /// Endpoint of the fake store.
  Endpoint Store() const { return Host(5, 0, kStorePort); }
  /// Endpoint of the relay through which an instance reaches the store.
  Endpoint StoreRelay(std::size_t aInstance) const
  {
    return Host(6, aInstance, kStorePort);
  }
  /// Endpoint that a run binds to reserve the network for itself.
  Endpoint ReservationEndpoint() const { return Host(7, 0, kStorePort); }

private:
  Endpoint Host(std::uint32_t aKind,
                std::size_t aNumber,
                std::uint16_t aPort) const
  {
    constexpr std::uint32_t kLoopback = 127;
    return { { kLoopback << 24U | std::uint32_t{ mNetwork } << 16U |
               aKind << 8U | static_cast<std::uint32_t>(aNumber + 1) },
             aPort };
  }
};

/// @brief Returns the number of a host within its kind.
/// @param aEndpoint an endpoint made by Addresses
inline std::size_t
HostNumber(const Endpoint& aEndpoint)
{
  return (aEndpoint.mAddress.mValue & 0xFFU) - 1;
}

} // namespace soak

#endif
