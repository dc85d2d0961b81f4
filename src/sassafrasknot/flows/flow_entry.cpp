#include "sassafrasknot/flows/flow_entry.hpp"

namespace sassafrasknot::flows {

bool
IsAfter(std::uint32_t aLeft, std::uint32_t aRight)
{
  return static_cast<std::int32_t>(aLeft - aRight) > 0;
}

PacketFindings
NotePacket(FlowEntry& aEntry,
           const CallerPacket& aPacket,
           state::TimePoint aNow)
{
  PacketFindings findings;
  const bool isFirst = !aEntry.mOpen;
  aEntry.mLastPacket = aNow;
  if (isFirst) {
    aEntry.mOpen = true;
    aEntry.mNextSequence = aPacket.mSequence;
    aEntry.mAcknowledged = aPacket.mAcknowledged;
    findings.mAnswered = true;
    findings.mAnsweredSent = aEntry.mOpened;
    aEntry.mAtWork = false;
    aEntry.mSilenceNoted = false;
  } else if (IsAfter(aPacket.mAcknowledged, aEntry.mAcknowledged)) {
    aEntry.mAcknowledged = aPacket.mAcknowledged;
    findings.mAnswered = true;
    findings.mAnsweredSent = aEntry.mNewData;
    findings.mEndsRequest = aEntry.mAtWork;
    aEntry.mAtWork = false;
  }
  if (aPacket.mPayload > 0) {
    const auto end = aPacket.mSequence + aPacket.mPayload;
    if (IsAfter(end, aEntry.mNextSequence)) {
      aEntry.mNextSequence = end;
      aEntry.mNewData = aNow;
      aEntry.mSilenceNoted = false;
      aEntry.mAtWork = true;
    } else {
      findings.mRepeated = true;
    }
  }
  return findings;
}

} // namespace sassafrasknot::flows
