#ifndef SASSAFRASKNOT_COORDINATION_STALL_DETECTOR_HPP
#define SASSAFRASKNOT_COORDINATION_STALL_DETECTOR_HPP

#include "sassafrasknot/state/identifiers.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstddef>
#include <set>

namespace sassafrasknot::coordination {

/// @brief Time after which others count this instance as dead: 700 ms until
/// it is suspected and 2 s of suspicion.
constexpr std::chrono::milliseconds kFailureTimeout{ 2700 };

/// @brief Whether this instance may rely on its own state.
struct StallDetector
{
  state::TimePoint mLastTick;
  bool mTrusted = true;
  state::TimePoint mUntrustedSince;
  /// Peers that answered a probe sent after the stall.
  std::set<state::InstanceId> mResponders;
};

/// @brief Notes that the event loop runs.
/// @param aGuard the guard
/// @param aNow the time
/// @return whether a stall longer than kFailureTimeout has just ended, so that
/// this instance's state is to be treated as stale
bool
RecordTick(StallDetector& aGuard, state::TimePoint aNow);

/// @brief Notes that a peer answered a probe sent after the stall.
/// @param aGuard the guard
/// @param aPeer the peer
void
RecordAcknowledgement(StallDetector& aGuard, const state::InstanceId& aPeer);

/// @brief Trusts the state again once two peers have answered (or all, if
/// fewer), or 2 s have passed without any answer.
/// @param aGuard the guard
/// @param aPeers peers that may answer
/// @param aNow the time
/// @return whether the state has just become trusted
bool
UpdateTrust(StallDetector& aGuard, std::size_t aPeers, state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
