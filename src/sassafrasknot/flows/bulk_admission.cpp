#include "sassafrasknot/flows/bulk_admission.hpp"

#include <algorithm>

namespace sassafrasknot::flows {
namespace {

using Seconds = std::chrono::duration<double>;

/// A caller's last retransmission of an opening packet.
constexpr std::uint32_t kLastRetransmission = 2;
/// Weight of the newest sample of a route's mean size, once there are several.
constexpr double kMinSampleWeight = 1.0 / 16;
/// Bytes on the link for each byte of payload of a full packet.
constexpr double kHeaderFactor = 1 + kPacketHeaderBytes / kBulkPacketBytes;
constexpr double kWindowBytes = kBulkWindowPackets * kBulkPacketBytes;

/// Returns the mean size of a route's uploads, if it is known.
std::optional<double>
MeanBytes(const BulkAdmission& aAdmission,
          const state::Endpoint& aRoute,
          state::TimePoint aNow)
{
  const auto found = aAdmission.mSizes.find(aRoute);
  if (found == aAdmission.mSizes.end() ||
      aNow - found->second.mUpdated > kBulkSizeRetention) {
    return std::nullopt;
  }
  return found->second.mMeanBytes;
}

/// Returns the bytes that a flow may have in the queue: what it has still to
/// send, at most a window. One that is larger than usual, or of unknown size,
/// is expected to go on.
double
QueuedBytes(const BulkFlow& aFlow,
            std::optional<double> aMeanBytes,
            state::TimePoint aNow)
{
  if (aNow - aFlow.mLastSent > kBulkIdleTime) {
    return 0;
  }
  if (!aMeanBytes || aFlow.mSentBytes > *aMeanBytes + kBulkPacketBytes) {
    return kWindowBytes * kHeaderFactor;
  }
  return std::clamp(*aMeanBytes - aFlow.mSentBytes, 0.0, kWindowBytes) *
         kHeaderFactor;
}

/// Adds a flow to the sums (aSign 1) or removes it (aSign -1).
void
AddToSums(BulkAdmission& aAdmission, const BulkFlow& aFlow, int aSign)
{
  aAdmission.mQueuedBytes += aSign * aFlow.mQueuedBytes;
  aAdmission.mSendingFlows += aFlow.mQueuedBytes > 0 ? aSign : 0;
}

/// Updates a flow's expected bytes in the queue.
void
UpdateFlow(BulkAdmission& aAdmission, BulkFlow& aFlow, state::TimePoint aNow)
{
  AddToSums(aAdmission, aFlow, -1);
  aFlow.mQueuedBytes =
    QueuedBytes(aFlow, MeanBytes(aAdmission, aFlow.mRoute, aNow), aNow);
  AddToSums(aAdmission, aFlow, 1);
}

/// Returns the time in which the link sends the bytes of uploads, beside the
/// other flows. Uploads share what those leave, but at least a tenth.
Seconds
TimeToSend(const BulkAdmission& aAdmission,
           const LinkMonitor& aLink,
           double aBytes)
{
  constexpr double kMinShare = 0.1;
  const double other =
    std::max(aAdmission.mBytesPerSecond - aAdmission.mBulkBytesPerSecond, 0.0);
  const double available =
    std::max(aLink.mBytesPerSecond - other, aLink.mBytesPerSecond * kMinShare);
  return Seconds(aBytes / available);
}

/// Returns the limit of the queue delay for a new upload. At low load a few
/// uploads that happen to coincide are sent soon, unless slow handshakes show a
/// queue towards this instance. A caller's last retransmission is favoured,
/// since its attempt ends with a refusal.
Seconds
DelayLimit(const BulkAdmission& aAdmission,
           const LinkMonitor& aLink,
           std::uint32_t aRetransmissions,
           state::TimePoint aNow)
{
  constexpr double kLowLoadFactor = 2;
  constexpr double kLastRetransmissionFactor = 1.5;
  const bool isLowLoad =
    aAdmission.mBytesPerSecond < kLowLinkUtilisation * aLink.mBytesPerSecond &&
    !HasSlowHandshakes(aLink, aNow);
  const Seconds objective = kBulkDelayObjective;
  if (isLowLoad) {
    return objective * kLowLoadFactor;
  }
  return aRetransmissions >= kLastRetransmission
           ? objective * kLastRetransmissionFactor
           : objective;
}

/// Returns whether a further upload of aMeanBytes keeps the queue delay within
/// its limit.
bool
HasCapacity(const BulkAdmission& aAdmission,
            const LinkMonitor& aLink,
            double aMeanBytes,
            std::uint32_t aRetransmissions,
            state::TimePoint aNow)
{
  // About half of its window is on the way between the ends, not in the queue.
  constexpr double kQueuedShare = 0.5;
  if (aAdmission.mSendingFlows < kMinBulkFlows) {
    return true;
  }
  const double bytes =
    std::min(aMeanBytes, kWindowBytes) * kHeaderFactor * kQueuedShare;
  return TimeToSend(aAdmission, aLink, aAdmission.mQueuedBytes + bytes) <=
         DelayLimit(aAdmission, aLink, aRetransmissions, aNow);
}

} // namespace

BulkVerdict
AdmitBulkFlow(BulkAdmission& aAdmission,
              const LinkMonitor& aLink,
              const CallerPacket& aPacket,
              state::TimePoint aNow)
{
  if (aLink.mBytesPerSecond <= 0) {
    return BulkVerdict::Admit;
  }
  const auto& route = aPacket.mFlow.mService;
  const auto mean = MeanBytes(aAdmission, route, aNow);
  // A copy of an admitted flow's opening packet does not add to the load.
  const bool isCounted = aAdmission.mFlows.contains(aPacket.mFlow);
  if (!isCounted && mean &&
      !HasCapacity(aAdmission, aLink, *mean, aPacket.mRetransmissions, aNow)) {
    if (aPacket.mRetransmissions >= kLastRetransmission &&
        aAdmission.mDeferred.erase(aPacket.mFlow) > 0) {
      return BulkVerdict::Refuse;
    }
    if (aAdmission.mDeferred.size() < kMaxDeferredFlows) {
      aAdmission.mDeferred[aPacket.mFlow] = aNow;
    }
    return BulkVerdict::Defer;
  }
  aAdmission.mDeferred.erase(aPacket.mFlow);
  if (isCounted || aAdmission.mFlows.size() < kMaxBulkFlows) {
    auto& flow = aAdmission.mFlows[aPacket.mFlow];
    flow.mRoute = route;
    flow.mFirstSequence = aPacket.mSequence;
    flow.mSentBytes = 0;
    flow.mOpenedHere = true;
    flow.mLastSent = aNow;
    UpdateFlow(aAdmission, flow, aNow);
  }
  return BulkVerdict::Admit;
}

state::Duration
ExpectedQueueDelay(const BulkAdmission& aAdmission, const LinkMonitor& aLink)
{
  if (aLink.mBytesPerSecond <= 0) {
    return {};
  }
  return std::chrono::duration_cast<state::Duration>(
    TimeToSend(aAdmission, aLink, std::max(aAdmission.mQueuedBytes, 0.0)));
}

void
RecordLinkBytes(BulkAdmission& aAdmission,
                std::uint32_t aPayloadBytes,
                bool aIsBulk)
{
  const double bytes = kPacketHeaderBytes + aPayloadBytes;
  aAdmission.mTickBytes += bytes;
  aAdmission.mTickBulkBytes += aIsBulk ? bytes : 0;
}

void
RecordBulkData(BulkAdmission& aAdmission,
               const CallerPacket& aPacket,
               std::uint32_t aNextSequence,
               state::TimePoint aNow)
{
  const auto found = aAdmission.mFlows.find(aPacket.mFlow);
  const bool isNew = found == aAdmission.mFlows.end();
  if (isNew && aAdmission.mFlows.size() >= kMaxBulkFlows) {
    return;
  }
  auto& flow = isNew ? aAdmission.mFlows[aPacket.mFlow] : found->second;
  if (isNew) {
    flow.mRoute = aPacket.mFlow.mService;
    flow.mFirstSequence = aPacket.mSequence;
  }
  flow.mSentBytes = aNextSequence - flow.mFirstSequence;
  flow.mLastSent = aNow;
  UpdateFlow(aAdmission, flow, aNow);
}

void
RecordBulkAnswer(BulkAdmission& aAdmission,
                 const state::FlowKey& aFlow,
                 state::TimePoint aNow)
{
  const auto found = aAdmission.mFlows.find(aFlow);
  if (found == aAdmission.mFlows.end()) {
    return;
  }
  const auto& flow = found->second;
  if (flow.mOpenedHere && flow.mSentBytes > 0) {
    auto& size = aAdmission.mSizes[flow.mRoute];
    if (aNow - size.mUpdated > kBulkSizeRetention) {
      size = {};
    }
    ++size.mSamples;
    const double weight = std::max(1.0 / size.mSamples, kMinSampleWeight);
    size.mMeanBytes += weight * (flow.mSentBytes - size.mMeanBytes);
    size.mUpdated = aNow;
  }
  RemoveBulkFlow(aAdmission, aFlow);
}

void
RemoveBulkFlow(BulkAdmission& aAdmission, const state::FlowKey& aFlow)
{
  if (const auto found = aAdmission.mFlows.find(aFlow);
      found != aAdmission.mFlows.end()) {
    AddToSums(aAdmission, found->second, -1);
    aAdmission.mFlows.erase(found);
  }
}

void
UpdateBulkAdmission(BulkAdmission& aAdmission,
                    state::Duration aElapsed,
                    state::TimePoint aNow)
{
  if (const Seconds elapsed = aElapsed; elapsed > Seconds::zero()) {
    const double weight =
      std::min(1.0, elapsed / Seconds(kLinkRateTimeConstant));
    const auto update = [&](double& aRate, double& aBytes) {
      aRate += weight * (aBytes / elapsed.count() - aRate);
      aBytes = 0;
    };
    update(aAdmission.mBytesPerSecond, aAdmission.mTickBytes);
    update(aAdmission.mBulkBytesPerSecond, aAdmission.mTickBulkBytes);
  }
  std::erase_if(aAdmission.mDeferred, [aNow](const auto& aItem) {
    return aNow - aItem.second > kDeferralRetention;
  });
  std::erase_if(aAdmission.mFlows, [aNow](const auto& aItem) {
    return aNow - aItem.second.mLastSent > kBulkRetention;
  });
  aAdmission.mQueuedBytes = 0;
  aAdmission.mSendingFlows = 0;
  for (auto& [key, flow] : aAdmission.mFlows) {
    flow.mQueuedBytes =
      QueuedBytes(flow, MeanBytes(aAdmission, flow.mRoute, aNow), aNow);
    AddToSums(aAdmission, flow, 1);
  }
}

} // namespace sassafrasknot::flows
