#include "platform_store.hpp"
#include <gmock/gmock.h>

namespace stand_ins {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;

// Returns "KEY@REVISION TEXT" for each record, with "deleted" as the text of
// deleted ones.
std::vector<std::string>
FormatRecords(const sassafrasknot::protocol::PlatformResponse& aResponse)
{
  std::vector<std::string> texts;
  for (const auto& record : aResponse.mRecords) {
    texts.push_back(record.mKey + '@' + std::to_string(record.mRevision) +
                    (record.mDeleted ? " deleted" : " " + record.mText));
  }
  return texts;
}

// A response as of an earlier time must not contain newer documents, and a
// response after a revision must list the keys deleted since. Otherwise, tests
// of stale responses would pass although instances received other documents.
TEST(PlatformStore, AnswersAsOfATime)
{
  const state::TimePoint start{ 100s };
  PlatformStore store;
  Update(store, { { "a", "1" }, { "b", "1" } }, start);
  Update(store, { { "a", "2" }, { "b", "1" } }, start + 1s);
  Update(store, { { "b", "1" } }, start + 2s);
  Update(store, { { "b", "1" } }, start + 3s);
  EXPECT_EQ(store.mRevision, 4U);
  EXPECT_THAT(FormatRecords(BuildReadResponse(store, {}, start - 1s)),
              ElementsAre());
  EXPECT_THAT(FormatRecords(BuildReadResponse(store, {}, start)),
              ElementsAre("a@1 1", "b@2 1"));
  EXPECT_EQ(BuildReadResponse(store, {}, start).mRevision, 2U);
  EXPECT_THAT(FormatRecords(BuildReadResponse(store, {}, start + 1s)),
              ElementsAre("a@3 2", "b@2 1"));
  EXPECT_THAT(FormatRecords(BuildReadResponse(store, {}, start + 2s)),
              ElementsAre("b@2 1"));
  EXPECT_EQ(BuildReadResponse(store, {}, start + 2s).mRevision, 4U);
  EXPECT_THAT(FormatRecords(BuildReadResponse(store, 2, start + 2s)),
              ElementsAre("a@4 deleted"));
  EXPECT_THAT(FormatRecords(BuildReadResponse(store, 4, start + 9s)),
              ElementsAre());
}

} // namespace
} // namespace stand_ins
