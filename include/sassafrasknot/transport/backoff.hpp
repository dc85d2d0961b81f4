#ifndef SASSAFRASKNOT_TRANSPORT_BACKOFF_HPP
#define SASSAFRASKNOT_TRANSPORT_BACKOFF_HPP

#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <random>

/// @brief Sockets, timers, threads and logs.
namespace sassafrasknot::transport {

/// @brief Returns how long to wait after failures: a random time between zero
/// and a ceiling that doubles with each failure (full jitter), so that many
/// callers do not retry together.
/// @param aFailures failures in a row; without any the wait is zero
/// @param aFirst ceiling after the first failure
/// @param aLongest highest ceiling
/// @param aRandom source of random numbers
/// @return the wait
state::Duration
BackoffDelay(std::uint32_t aFailures,
             state::Duration aFirst,
             state::Duration aLongest,
             std::mt19937_64& aRandom);

} // namespace sassafrasknot::transport

#endif
