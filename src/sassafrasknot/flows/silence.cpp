#include "sassafrasknot/flows/silence.hpp"

#include <algorithm>

namespace sassafrasknot::flows {

bool
NoteSign(Silence& aSilence, state::TimePoint aNow)
{
  aSilence.mLastSign = aNow;
  aSilence.mUnanswered = 0;
  const bool wasSilent = aSilence.mSilent;
  aSilence.mSilent = false;
  aSilence.mSeenHere = false;
  return wasSilent;
}

bool
NoteUnanswered(Silence& aSilence,
               state::TimePoint aSent,
               state::TimePoint aNow)
{
  if (aSent < aSilence.mLastSign) {
    return false;
  }
  ++aSilence.mUnanswered;
  if (aSilence.mUnanswered < kSilentAfterFlows) {
    return false;
  }
  aSilence.mSeenHere = true;
  const bool isNews = !aSilence.mSilent;
  MakeSilent(aSilence, aNow);
  return isNews;
}

void
MakeSilent(Silence& aSilence, state::TimePoint aNow)
{
  if (aSilence.mSilent) {
    return;
  }
  aSilence.mSilent = true;
  aSilence.mSilentSince = aNow;
  aSilence.mTrialPause = kFirstTrial;
  aSilence.mNextTrial = aNow + kFirstTrial;
}

bool
AdmitsFlow(const Silence& aSilence, state::TimePoint aNow)
{
  return !aSilence.mSilent || aNow >= aSilence.mNextTrial;
}

void
NoteTrial(Silence& aSilence, state::TimePoint aNow)
{
  if (!aSilence.mSilent) {
    return;
  }
  aSilence.mTrialPause = std::min(2 * aSilence.mTrialPause, kLongestTrial);
  aSilence.mNextTrial = aNow + aSilence.mTrialPause;
}

} // namespace sassafrasknot::flows
