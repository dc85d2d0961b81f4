#ifndef SASSAFRASKNOT_TRANSPORT_BACKOFF_HPP
#define SASSAFRASKNOT_TRANSPORT_BACKOFF_HPP

#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <random>

/// @brief Sockets, threads, gRPC client and server, client of the platform,
/// planned stop and logs of the instance that receives plain IP packets.
namespace sassafrasknot::transport {

/// @brief Returns the delay before the next retry: a random time between zero
/// and a ceiling that doubles with each failure (exponential backoff with full
/// jitter), so that many clients do not retry at the same time.
/// @param aFailures consecutive failures; with zero failures the delay is zero
/// @param aInitialCeiling ceiling after the first failure
/// @param aMaxCeiling upper limit of the ceiling
/// @param aRandom source of random numbers
/// @return the delay
state::Duration
BackoffDelay(std::uint32_t aFailures,
             state::Duration aInitialCeiling,
             state::Duration aMaxCeiling,
             std::mt19937_64& aRandom);

} // namespace sassafrasknot::transport

#endif
