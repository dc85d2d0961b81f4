#include "sassafrasknot/flows/answer_size.hpp"

#include "flow_fixture_test.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

// Guards against rejections that pass for answers because they come late, from
// the end of an upstream's queue: they have no body.
TEST(AnswerSize, ARejectionIsShort)
{
  AnswerSize size;
  for (int answer = 0; answer < 20; ++answer) {
    RecordAnswerSize(size, answer % 2 == 0 ? 700 : 800, At(milliseconds(0)));
  }
  EXPECT_TRUE(IsShortAnswer(size, 180, At(milliseconds(1))));
  EXPECT_FALSE(IsShortAnswer(size, 500, At(milliseconds(1))));
}

// Guards against judgements by a handful of answers, or by those of a time when
// the service answered otherwise.
TEST(AnswerSize, IsUnknownWithFewOrOldSamples)
{
  AnswerSize size;
  for (int answer = 0; answer < 15; ++answer) {
    RecordAnswerSize(size, 700, At(milliseconds(0)));
  }
  EXPECT_FALSE(IsShortAnswer(size, 1, At(milliseconds(1))));
  RecordAnswerSize(size, 700, At(milliseconds(0)));
  EXPECT_TRUE(IsShortAnswer(size, 1, At(milliseconds(1))));
  const auto later = At(kAnswerSizeRetention + milliseconds(1));
  EXPECT_FALSE(IsShortAnswer(size, 1, later));
}

} // namespace
} // namespace sassafrasknot::flows
