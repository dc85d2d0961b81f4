#ifndef SASSAFRASKNOT_FLOWS_ANSWER_SIZE_HPP
#define SASSAFRASKNOT_FLOWS_ANSWER_SIZE_HPP

#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstdint>

namespace sassafrasknot::flows {

/// An answer is short if its first part is smaller than the usual one by this
/// factor. Answers that report an error or a rejection have hardly any body.
constexpr double kShortSizeFactor = 2;
/// Number of answers over which the usual size is averaged, and number below
/// which it is not used.
constexpr double kAveragedAnswerSizes = 64;
constexpr double kMinAnswerSizes = 16;
/// A size without new samples is forgotten after this time.
constexpr std::chrono::minutes kAnswerSizeRetention{ 5 };

/// @brief Usual size of the first part of a route's answers: the bytes that the
/// caller acknowledges first.
struct AnswerSize
{
  double mMeanBytes = 0;
  double mSamples = 0;
  state::TimePoint mUpdatedAt;
};

/// @brief Records the size of an answer of an upstream with a free slot. Those
/// of busy upstreams are no samples: in an overload most may be rejections,
/// which would become the usual size.
/// @param aSize the route's usual size
/// @param aBytes bytes that the caller acknowledged first
/// @param aNow current time on the steady clock
void
RecordAnswerSize(AnswerSize& aSize,
                 std::uint32_t aBytes,
                 state::TimePoint aNow);

/// @brief Returns whether an answer is much shorter than usual.
/// @param aSize the route's usual size
/// @param aBytes bytes that the caller acknowledged first
/// @param aNow current time on the steady clock
/// @return whether it is; false while the usual size is not known
bool
IsShortAnswer(const AnswerSize& aSize,
              std::uint32_t aBytes,
              state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
