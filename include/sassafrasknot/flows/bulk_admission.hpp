#ifndef SASSAFRASKNOT_FLOWS_BULK_ADMISSION_HPP
#define SASSAFRASKNOT_FLOWS_BULK_ADMISSION_HPP

#include "sassafrasknot/flows/link_monitor.hpp"
#include "sassafrasknot/flows/packet.hpp"
#include "sassafrasknot/flows/routing.hpp"
#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/flow.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace sassafrasknot::flows {

/// @brief An upload whose packets pass through this instance.
struct BulkFlow
{
  state::Endpoint mRoute;
  /// Sequence number of the first byte, modulo 2^32.
  std::uint32_t mFirstSequence = 0;
  /// Bytes between the first and the newest one that was forwarded.
  std::uint32_t mSentBytes = 0;
  /// All of the flow's bytes were seen here, so that its size is a sample.
  bool mOpenedHere = false;
  /// When its opening packet or data were last forwarded.
  state::TimePoint mLastSent;
  /// Bytes that it is expected to have in the link's queue.
  double mQueuedBytes = 0;
};

/// @brief Mean size of a route's uploads that were answered.
struct BulkSize
{
  double mMeanBytes = 0;
  std::uint32_t mSamples = 0;
  state::TimePoint mUpdated;
};

/// @brief Decides whether a new upload is admitted to this instance's link, so
/// that the packets of other flows do not queue behind those of uploads. Not
/// safe for use from several threads.
struct BulkAdmission
{
  std::unordered_map<state::FlowKey, BulkFlow> mFlows;
  /// Sizes by service address; at most one per route of the configuration.
  std::map<state::Endpoint, BulkSize> mSizes;
  /// When an opening packet of a flow was last deferred.
  std::unordered_map<state::FlowKey, state::TimePoint> mDeferred;
  /// Sum of mQueuedBytes of all flows.
  double mQueuedBytes = 0;
  /// Number of flows with mQueuedBytes above 0.
  std::uint32_t mSendingFlows = 0;
  /// Bytes forwarded since the last tick, of all flows and of uploads.
  double mTickBytes = 0;
  double mTickBulkBytes = 0;
  /// Averages over kLinkRateTimeConstant, in bytes a second.
  double mBytesPerSecond = 0;
  double mBulkBytesPerSecond = 0;
};

/// Objective of the link's queue delay, for the packets of other flows. Beyond
/// it, LinkMonitor regards the link as congested.
constexpr std::chrono::milliseconds kBulkDelayObjective = kCongestedBacklog;
/// So many uploads may always send. With one, the link would be idle from its
/// end until a deferred caller retransmits.
constexpr std::uint32_t kMinBulkFlows = 2;
/// A caller has at most 16 packets of 1,200 bytes in flight.
constexpr std::uint32_t kBulkWindowPackets = 16;
constexpr std::uint32_t kBulkPacketBytes = 1200;
/// An upload without data for this time has no packets in the queue, until it
/// sends again: its caller retransmits after 200 ms, and the queue is short.
constexpr std::chrono::milliseconds kBulkIdleTime{ 400 };
/// An upload is forgotten this long after its last data: it was answered and
/// its end was not seen here, or its caller has given up.
constexpr std::chrono::seconds kBulkRetention{ 10 };
/// A deferral is forgotten after this time. Callers end an attempt 1.4 s after
/// its first opening packet.
constexpr std::chrono::milliseconds kDeferralRetention{ 1500 };
/// The mean size of a route without samples for this time is unknown again.
constexpr std::chrono::minutes kBulkSizeRetention{ 5 };
/// Upper limits of the tables. A link on which that many uploads fit into the
/// delay objective has more than 3 Gbit/s.
constexpr std::size_t kMaxBulkFlows = 1024;
constexpr std::size_t kMaxDeferredFlows = 1024;
/// Time constant of the averages of forwarded bytes.
constexpr std::chrono::milliseconds kLinkRateTimeConstant{ 250 };
/// Below this utilisation the link is at low load. Less than half, since what
/// an instance receives and forwards may share the bandwidth.
constexpr double kLowLinkUtilisation = 0.35;

/// @brief What is done with the opening packet of an upload.
enum class BulkVerdict : std::uint8_t
{
  Admit,
  Defer,  ///< Discarded: the caller retransmits it.
  Refuse, ///< The caller will not retransmit it: it is reset.
};

/// @brief Returns whether admission applies to the flows of a kind. The data of
/// a download do not pass through the instance, and its caller's
/// acknowledgements take no more of the link than a request does.
/// @param aKind kind of a route
/// @return whether it is Upload
constexpr bool
NeedsAdmission(RequestKind aKind)
{
  return aKind == RequestKind::Upload;
}

/// @brief Decides on the opening packet of an upload. An admitted flow counts
/// from now on, a deferred one is remembered for its last retransmission.
/// @param aAdmission the state
/// @param aLink delays on the instance's link; without a known bandwidth all
/// flows are admitted
/// @param aPacket the opening packet
/// @param aNow current time on the steady clock
/// @return Refuse only if an earlier opening packet of the flow was deferred
/// here; otherwise another instance may have forwarded one, so that the flow
/// may exist
BulkVerdict
AdmitBulkFlow(BulkAdmission& aAdmission,
              const LinkMonitor& aLink,
              const CallerPacket& aPacket,
              state::TimePoint aNow);

/// @brief Returns how long a packet is expected to wait in the link's queue
/// because of open uploads.
/// @param aAdmission the state
/// @param aLink delays on the instance's link
/// @return the delay; zero without a known bandwidth
state::Duration
ExpectedQueueDelay(const BulkAdmission& aAdmission, const LinkMonitor& aLink);

/// @brief Records a forwarded packet of any flow.
/// @param aAdmission the state
/// @param aPayloadBytes its payload, in bytes
/// @param aIsBulk whether it belongs to an upload
void
RecordLinkBytes(BulkAdmission& aAdmission,
                std::uint32_t aPayloadBytes,
                bool aIsBulk);

/// @brief Records forwarded data of an upload, also of one that another
/// instance has admitted.
/// @param aAdmission the state
/// @param aPacket the packet
/// @param aNextSequence sequence number after the flow's newest byte
/// @param aNow current time on the steady clock
void
RecordBulkData(BulkAdmission& aAdmission,
               const CallerPacket& aPacket,
               std::uint32_t aNextSequence,
               state::TimePoint aNow);

/// @brief Records that an upload was answered, which ends it and gives its
/// size.
/// @param aAdmission the state
/// @param aFlow the flow; an unknown one is ignored
/// @param aNow current time on the steady clock
void
RecordBulkAnswer(BulkAdmission& aAdmission,
                 const state::FlowKey& aFlow,
                 state::TimePoint aNow);

/// @brief Removes an upload that ended without an answer.
/// @param aAdmission the state
/// @param aFlow the flow; an unknown one is ignored
void
RemoveBulkFlow(BulkAdmission& aAdmission, const state::FlowKey& aFlow);

/// @brief Advances the averages and removes what is too old. To be called
/// periodically.
/// @param aAdmission the state
/// @param aElapsed time since the last call
/// @param aNow current time on the steady clock
void
UpdateBulkAdmission(BulkAdmission& aAdmission,
                    state::Duration aElapsed,
                    state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
