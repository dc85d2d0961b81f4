#include "sassafrasknot/flows/answer_size.hpp"

#include <algorithm>

namespace sassafrasknot::flows {

void
RecordAnswerSize(AnswerSize& aSize, std::uint32_t aBytes, state::TimePoint aNow)
{
  if (aNow - aSize.mUpdatedAt > kAnswerSizeRetention) {
    aSize = {};
  }
  aSize.mSamples = std::min(aSize.mSamples + 1, kAveragedAnswerSizes);
  aSize.mMeanBytes += (aBytes - aSize.mMeanBytes) / aSize.mSamples;
  aSize.mUpdatedAt = aNow;
}

bool
IsShortAnswer(const AnswerSize& aSize,
              std::uint32_t aBytes,
              state::TimePoint aNow)
{
  return aSize.mSamples >= kMinAnswerSizes &&
         aNow - aSize.mUpdatedAt <= kAnswerSizeRetention &&
         aBytes * kShortSizeFactor < aSize.mMeanBytes;
}

} // namespace sassafrasknot::flows
