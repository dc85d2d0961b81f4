#ifndef SASSAFRASKNOT_FLOWS_LINK_MONITOR_HPP
#define SASSAFRASKNOT_FLOWS_LINK_MONITOR_HPP

#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstdint>

namespace sassafrasknot::flows {

/// @brief Detects that this instance's own link delays packets. Their answers
/// are then missing although the upstreams work. Not safe for use from several
/// threads.
struct LinkMonitor
{
  /// Bandwidth in bytes a second; 0 if it is not known.
  double mBytesPerSecond = 0;
  /// Bytes that wait to be sent if the link has its full bandwidth, at
  /// mBacklogAt.
  double mBacklogBytes = 0;
  state::TimePoint mBacklogAt;
  /// Numbers of handshakes that were slow and fast; older ones count less.
  double mSlowHandshakes = 0;
  double mFastHandshakes = 0;
  state::TimePoint mHandshakesAt;
};

/// Headers of a forwarded packet: UDP over IPv4, the verification tag and the
/// packet's own header, in bytes.
constexpr double kPacketHeaderBytes = 72;
/// The link is congested if a packet would wait this long in its queue. Half of
/// the rest of kAnswerTimeout: the queue towards this instance may be as long.
constexpr std::chrono::milliseconds kCongestedBacklog{ 50 };
/// A packet that enters a longer queue may be dropped there. The size of the
/// link's buffer is not known; this one holds what a single caller may have in
/// flight, which is 16 packets of 1,200 bytes, so that a smaller buffer would
/// drop packets of every upload.
constexpr double kSafeQueueBytes = 16 * (1200 + kPacketHeaderBytes);
/// A handshake that takes longer was delayed on the way: an upstream answers an
/// opening packet within a few round trips, whatever its load.
constexpr std::chrono::milliseconds kSlowHandshake{ 75 };
/// Time constant of the handshakes: as long as a caller waits before it
/// retransmits.
constexpr std::chrono::milliseconds kHandshakeMemory{ 200 };
/// Share of slow handshakes above which the link is congested. One upstream
/// that is slow to accept flows has a smaller share.
constexpr double kMaxSlowHandshakeShare = 0.3;

/// @brief Makes a monitor.
/// @param aMbitPerSecond bandwidth of the instance's link; 0 if not known
/// @return the monitor
LinkMonitor
MakeLinkMonitor(double aMbitPerSecond);

/// @brief Records a packet that was forwarded to an upstream.
/// @param aMonitor the monitor
/// @param aPayloadBytes its payload, in bytes
/// @param aNow current time on the steady clock
void
RecordForwarded(LinkMonitor& aMonitor,
                std::uint32_t aPayloadBytes,
                state::TimePoint aNow);

/// @brief Records the time from a flow's opening packet to the caller's next
/// one.
/// @param aMonitor the monitor
/// @param aDuration length of the handshake
/// @param aNow current time on the steady clock
void
RecordHandshake(LinkMonitor& aMonitor,
                state::Duration aDuration,
                state::TimePoint aNow);

/// @brief Returns whether many of the latest handshakes were slow.
/// @param aMonitor the monitor
/// @param aNow current time on the steady clock
/// @return whether their share is above kMaxSlowHandshakeShare
bool
HasSlowHandshakes(const LinkMonitor& aMonitor, state::TimePoint aNow);

/// @brief Returns whether a packet that is forwarded now may be dropped because
/// the queue of this instance's own link is full.
/// @param aMonitor the monitor
/// @param aNow current time on the steady clock
/// @return whether the queue is longer than kSafeQueueBytes
bool
MayDropPacket(const LinkMonitor& aMonitor, state::TimePoint aNow);

/// @brief Returns whether packets are delayed on this instance's own link.
/// @param aMonitor the monitor
/// @param aNow current time on the steady clock
/// @return whether answers may be missing because of that
bool
IsCongested(const LinkMonitor& aMonitor, state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
