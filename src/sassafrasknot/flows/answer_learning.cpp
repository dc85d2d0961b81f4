#include "sassafrasknot/flows/answer_learning.hpp"

#include "sassafrasknot/flows/placement.hpp"

#include <algorithm>
#include <cmath>

namespace sassafrasknot::flows {
namespace {

/// Shorter times cannot be told from the variation of the network's delay.
constexpr Work kShortestTime{ 0.0005 };

/// Adds the work that a request was expected to take to the backlog.
void
RecordEarlyAnswer(UpstreamRecord& aRecord,
                  Work aUsual,
                  Work aUnit,
                  state::TimePoint aNow)
{
  auto& early = aRecord.mEarlyAnswers;
  const std::chrono::duration<double> elapsed = aNow - early.mAt;
  early.mBacklog =
    std::max(early.mBacklog - elapsed.count() * early.mRate, 0.0);
  early.mBacklog += aUsual / aUnit;
  early.mRate =
    aRecord.mUpstream.mSlots * Speed(aRecord.mSpeed, aNow) / aUnit.count();
  early.mAt = aNow;
  ++aRecord.mEarlyAnswerCount;
}

/// Returns the usual work of a request, or nothing while it is not learned.
std::optional<Work>
UsualWork(const WorkModel& aModel,
          const AnsweredRequest& aAnswer,
          state::TimePoint aNow)
{
  const auto* route = FindRouteWork(aModel, aAnswer.mRoute, aNow);
  if (route == nullptr) {
    return std::nullopt;
  }
  return Work(std::exp(route->mMeanLog) *
              CallerFactor(aModel, aAnswer.mRoute, aAnswer.mCaller, aNow));
}

bool
IsEarly(Work aTaken, double aSpeed, Work aUsual)
{
  return aTaken * aSpeed * kShortAnswerFactor < aUsual;
}

} // namespace

bool
IsEarlyAnswer(const WorkModel& aModel,
              const UpstreamRecord& aRecord,
              const AnsweredRequest& aAnswer,
              state::TimePoint aNow)
{
  const auto usual = UsualWork(aModel, aAnswer, aNow);
  return usual && IsEarly(std::max(aAnswer.mTaken, kShortestTime),
                          Speed(aRecord.mSpeed, aNow),
                          *usual);
}

bool
IsShortAnswer(const WorkModel& aModel,
              const AnsweredRequest& aAnswer,
              state::TimePoint aNow)
{
  const auto found = aModel.mAnswerSizes.find(aAnswer.mRoute);
  return found != aModel.mAnswerSizes.end() &&
         IsShortAnswer(found->second, aAnswer.mBytes, aNow);
}

void
LearnFromAnswer(WorkModel& aModel,
                UpstreamRecord& aRecord,
                const AnsweredRequest& aAnswer,
                state::TimePoint aNow)
{
  const Work taken = std::max(aAnswer.mTaken, kShortestTime);
  const auto usual = UsualWork(aModel, aAnswer, aNow);
  const double speed = Speed(aRecord.mSpeed, aNow);
  // The speed before this answer.
  const double ownSpeed = OwnSpeed(aRecord.mSpeed, aNow);
  const auto& service = aRecord.mUpstream.mService;
  const bool isShort = IsShortAnswer(aModel, aAnswer, aNow);
  if (aAnswer.mFoundFreeSlot) {
    RecordAnswerSize(aModel.mAnswerSizes[aAnswer.mRoute], aAnswer.mBytes, aNow);
  }
  if (isShort && !usual) {
    return;
  }
  if (usual) {
    if (isShort || IsEarly(taken, speed, *usual)) {
      const auto unit = MeanWork(aModel, service, aNow);
      ++aModel.mEarlyAnswerCount;
      RecordEarlyAnswer(aRecord, *usual, unit.value_or(*usual), aNow);
      return;
    }
    if (aAnswer.mFoundFreeSlot) {
      RecordSpeed(aRecord.mSpeed, *usual, taken, aNow);
    }
  }
  if (aAnswer.mFoundFreeSlot) {
    RecordWork(aModel,
               { aAnswer.mRoute, service, aAnswer.mCaller, taken * ownSpeed },
               aNow);
  }
}

} // namespace sassafrasknot::flows
