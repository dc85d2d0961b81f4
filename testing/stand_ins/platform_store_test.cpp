#include "platform_store.hpp"
#include <gmock/gmock.h>

namespace stand_ins {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;

std::vector<std::string>
Texts(const sassafrasknot::protocol::PlatformResponse& aAnswer)
{
  std::vector<std::string> texts;
  for (const auto& record : aAnswer.mRecords) {
    texts.push_back(record.mKey + '@' + std::to_string(record.mRevision) +
                    (record.mDeleted ? " deleted" : " " + record.mText));
  }
  return texts;
}

// Guards against tests that pass because the stand-in serves something newer,
// or forgets a deletion that the platform would report.
TEST(PlatformStore, AnswersAsOfATime)
{
  const state::TimePoint start{ 100s };
  PlatformStore store;
  Update(store, { { "a", "1" }, { "b", "1" } }, start);
  Update(store, { { "a", "2" }, { "b", "1" } }, start + 1s);
  Update(store, { { "b", "1" } }, start + 2s);
  Update(store, { { "b", "1" } }, start + 3s);
  EXPECT_EQ(store.mRevision, 4U);
  EXPECT_THAT(Texts(Answer(store, {}, start - 1s)), ElementsAre());
  EXPECT_THAT(Texts(Answer(store, {}, start)), ElementsAre("a@1 1", "b@2 1"));
  EXPECT_EQ(Answer(store, {}, start).mRevision, 2U);
  EXPECT_THAT(Texts(Answer(store, {}, start + 1s)),
              ElementsAre("a@3 2", "b@2 1"));
  EXPECT_THAT(Texts(Answer(store, {}, start + 2s)), ElementsAre("b@2 1"));
  EXPECT_EQ(Answer(store, {}, start + 2s).mRevision, 4U);
  EXPECT_THAT(Texts(Answer(store, 2, start + 2s)), ElementsAre("a@4 deleted"));
  EXPECT_THAT(Texts(Answer(store, 4, start + 9s)), ElementsAre());
}

} // namespace
} // namespace stand_ins
