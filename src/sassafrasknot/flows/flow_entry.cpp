#include "sassafrasknot/flows/flow_entry.hpp"

namespace sassafrasknot::flows {

bool
IsAfter(std::uint32_t aLeft, std::uint32_t aRight)
{
  return static_cast<std::int32_t>(aLeft - aRight) > 0;
}

PacketFindings
RecordPacket(FlowEntry& aEntry,
             const CallerPacket& aPacket,
             state::TimePoint aNow)
{
  PacketFindings findings;
  const bool isFirst = !aEntry.mEstablished;
  aEntry.mLastPacket = aNow;
  if (isFirst) {
    aEntry.mEstablished = true;
    aEntry.mNextSequence = aPacket.mSequence;
    aEntry.mAcknowledged = aPacket.mAcknowledged;
    findings.mAnswered = true;
    findings.mAnsweredSent = aEntry.mOpenSent;
    findings.mAnsweredCopySent = aEntry.mOpenSent;
    aEntry.mRequestActive = false;
    aEntry.mMissingAnswers = 0;
    aEntry.mUnansweredFor = {};
  } else if (IsAfter(aPacket.mAcknowledged, aEntry.mAcknowledged)) {
    findings.mAnswerBytes = aPacket.mAcknowledged - aEntry.mAcknowledged;
    aEntry.mAcknowledged = aPacket.mAcknowledged;
    findings.mAnswered = true;
    findings.mAnsweredSent = aEntry.mNewDataSent;
    findings.mAnsweredCopySent = aEntry.mLastDataSent;
    findings.mAnswersRequest = aEntry.mRequestActive;
    aEntry.mRequestActive = false;
  }
  if (aPacket.mPayloadBytes > 0) {
    const auto end = aPacket.mSequence + aPacket.mPayloadBytes;
    if (IsAfter(end, aEntry.mNextSequence)) {
      aEntry.mNextSequence = end;
      aEntry.mNewDataSent = aNow;
      aEntry.mLastDataSent = aNow;
      aEntry.mMissingAnswers = 0;
      aEntry.mUnansweredFor = {};
      // Data that follows before an answer belongs to the same request.
      aEntry.mRequests += aEntry.mRequestActive ? 0 : 1;
      aEntry.mRequestActive = true;
    } else {
      findings.mRetransmitted = true;
    }
  }
  return findings;
}

} // namespace sassafrasknot::flows
