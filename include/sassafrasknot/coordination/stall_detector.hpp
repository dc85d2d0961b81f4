#ifndef SASSAFRASKNOT_COORDINATION_STALL_DETECTOR_HPP
#define SASSAFRASKNOT_COORDINATION_STALL_DETECTOR_HPP

#include "sassafrasknot/state/identifiers.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstddef>
#include <set>

namespace sassafrasknot::coordination {

/// @brief Shortest time after which other instances count an unresponsive one
/// as dead: 700 ms until it is suspected (kProbeTimeout) and 2 s of suspicion
/// (kSuspicionTimeout).
constexpr std::chrono::milliseconds kFailureTimeout{ 2700 };

/// @brief Detects stalls of this process. A stall is a pause of the event loop
/// of more than kFailureTimeout: the others may have counted this instance as
/// dead meanwhile, so its state is untrusted until peers have responded.
struct StallDetector
{
  /// When the event loop last ran.
  state::TimePoint mLastTick;
  /// Whether this instance may rely on its own state.
  bool mTrusted = true;
  /// When the last stall ended.
  state::TimePoint mUntrustedSince;
  /// Peers that acknowledged a probe sent after the stall.
  std::set<state::InstanceId> mResponders;
};

/// @brief Records that the event loop runs.
/// @param aDetector state that is updated
/// @param aNow current time on the steady clock
/// @return whether a stall has just ended, so that this instance's state is
/// untrusted from now on
bool
RecordTick(StallDetector& aDetector, state::TimePoint aNow);

/// @brief Records that a peer acknowledged a probe sent after the stall. Has no
/// effect while the state is trusted.
/// @param aDetector state that is updated
/// @param aPeer peer of this data centre that sent the acknowledgement
void
RecordAcknowledgement(StallDetector& aDetector, const state::InstanceId& aPeer);

/// @brief Trusts the state again once two peers have responded (or all, if
/// there are fewer), or 2 s have passed without any response.
/// @param aDetector state that is updated
/// @param aPeers number of peers of this data centre that are not dead
/// @param aNow current time on the steady clock
/// @return whether the state has just become trusted
bool
UpdateTrust(StallDetector& aDetector,
            std::size_t aPeers,
            state::TimePoint aNow);

} // namespace sassafrasknot::coordination

#endif
