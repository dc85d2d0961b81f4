#include "sassafrasknot/flows/directory_builder.hpp"
#include "sassafrasknot/flows/upstream_table.hpp"

#include "flow_fixture_test.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

// Guards against upstreams that are removed at once although only their entries
// in the store have expired, and against ones that stay after the grace period.
TEST(DirectoryBuilder, ExpiredUpstreamsStayForTheGracePeriod)
{
  DirectoryBuilder builder;
  UpsertUpstream(builder, MakeUpstream("i-1", "a"));
  RemoveUpstream(builder, "i-1", At(milliseconds(0)));
  EXPECT_EQ(BuildDirectory(builder, 1)->mUpstreams[0].mPresence,
            Presence::Expired);
  EXPECT_FALSE(RemoveExpired(builder, At(kExpiryGracePeriod)));
  UpsertUpstream(builder, MakeUpstream("i-1", "a"));
  EXPECT_FALSE(
    RemoveExpired(builder, At(kExpiryGracePeriod + milliseconds(1))));
  RemoveUpstream(builder, "i-1", At(milliseconds(5000)));
  EXPECT_TRUE(
    RemoveExpired(builder, At(milliseconds(5001) + kExpiryGracePeriod)));
  EXPECT_TRUE(BuildDirectory(builder, 2)->mUpstreams.empty());
}

// Guards against flows that are placed on an upstream after its planned stop.
TEST(DirectoryBuilder, DrainedUpstreamsAreRemovedAtOnce)
{
  DirectoryBuilder builder;
  auto upstream = MakeUpstream("i-1", "a");
  upstream.mDraining = true;
  UpsertUpstream(builder, upstream);
  RemoveUpstream(builder, "i-1", At(milliseconds(0)));
  EXPECT_TRUE(BuildDirectory(builder, 1)->mUpstreams.empty());
}

// Guards against an entry of another writer, without a start, that moves a
// running upstream to another service, whose requests it then executes (review
// case 7).
TEST(DirectoryBuilder, AnEntryWithoutStartIsForeignIfTheUpstreamStatedOne)
{
  DirectoryBuilder builder;
  auto upstream = MakeUpstream("i-1", "a");
  upstream.mStarted = milliseconds(7);
  UpsertUpstream(builder, upstream);
  EXPECT_FALSE(IsForeignEntry(builder, upstream));
  const auto foreign = MakeUpstream("i-1", "b");
  EXPECT_TRUE(IsForeignEntry(builder, foreign));
  RemoveUpstream(builder, "i-1", At(milliseconds(0)));
  EXPECT_TRUE(IsForeignEntry(builder, foreign));
}

// Guards against the same at an instance that does not know the upstream yet,
// and against one odd entry that makes all others unusable in a deployment
// without starts.
TEST(DirectoryBuilder, MostEntriesDecideOnAnUnknownUpstreamWithoutStart)
{
  const auto unknown = MakeUpstream("i-9", "a");
  for (const std::size_t withStart : { 0U, 1U, 2U, 3U }) {
    DirectoryBuilder builder;
    for (std::size_t index = 0; index < 3; ++index) {
      auto upstream = MakeUpstream("i-" + std::to_string(index), "a");
      upstream.mStarted = milliseconds(index < withStart ? 7 : 0);
      UpsertUpstream(builder, upstream);
      UpsertUpstream(builder, upstream);
    }
    EXPECT_EQ(builder.mWithStart, withStart);
    EXPECT_EQ(IsForeignEntry(builder, unknown), withStart >= 2) << withStart;
    for (std::size_t index = 0; index < 3; ++index) {
      RemoveUpstream(
        builder, "i-" + std::to_string(index), At(milliseconds(0)));
    }
    RemoveExpired(builder, At(milliseconds(1) + kExpiryGracePeriod));
    EXPECT_EQ(builder.mWithStart, 0U);
  }
}

// Guards against an incremental directory after two ids had the same token:
// which of them holds it depends on all upstreams.
TEST(DirectoryBuilder, SharedTokensEndIncrementalDirectories)
{
  DirectoryBuilder builder;
  UpsertUpstream(builder, MakeUpstream("i-1", "a"));
  EXPECT_FALSE(BuildNextDirectory(builder, 1)->mIsIncremental);
  UpsertUpstream(builder, MakeUpstream("i-1", "b"));
  EXPECT_TRUE(BuildNextDirectory(builder, 2)->mIsIncremental);
  // Stands for another id with the same hash.
  builder.mTokens.insert(TokenOf("i-2"));
  UpsertUpstream(builder, MakeUpstream("i-2", "a"));
  EXPECT_EQ(BuildNextDirectory(builder, 3)->mUpstreams.size(), 2U);
  RemoveUpstream(builder, "i-2", At(milliseconds(0)));
  EXPECT_FALSE(BuildNextDirectory(builder, 4)->mIsIncremental);
}

// Guards against instances that route one token to different upstreams: if the
// hashes of two ids collide, the upstream that was published first keeps the
// token, in whatever order an instance receives them.
TEST(UpstreamTable, TheFirstHolderKeepsItsToken)
{
  UpstreamTable table;
  auto older = MakeUpstream("i-1", "a");
  older.mCreateRevision = 5;
  Directory directory;
  directory.mUpstreams = { { older } };
  UpdateTable(table, directory, At(milliseconds(0)));
  auto& record = table.mByToken.at(TokenOf("i-1"));
  // Another id under the same token stands for a collision of hashes.
  record.mUpstream.mId = "i-other";
  record.mUpstream.mCreateRevision = 3;
  UpdateTable(table, directory, At(milliseconds(1)));
  EXPECT_EQ(record.mUpstream.mId, "i-other");
  record.mUpstream.mCreateRevision = 9;
  UpdateTable(table, directory, At(milliseconds(2)));
  EXPECT_EQ(record.mUpstream.mId, "i-1");
}

// Guards against tables that keep every upstream that ever existed, and against
// upstreams that are removed while their flows may still be open.
TEST(UpstreamTable, RemovesUpstreamsAfterTheirFlowsHaveEnded)
{
  UpstreamTable table;
  Directory directory;
  directory.mUpstreams = { { MakeUpstream("i-1", "a") } };
  UpdateTable(table, directory, At(milliseconds(0)));
  directory.mUpstreams.clear();
  UpdateTable(table, directory, At(milliseconds(1)));
  UpdateTable(table, directory, At(std::chrono::seconds(61)));
  EXPECT_NE(FindUpstream(table, TokenOf("i-1")), nullptr);
  UpdateTable(table, directory, At(std::chrono::seconds(80)));
  EXPECT_EQ(FindUpstream(table, TokenOf("i-1")), nullptr);
}

// Guards against an upstream whose token is the value that stands for none.
TEST(Token, IsNeverZero)
{
  for (int index = 0; index < 1000; ++index) {
    EXPECT_NE(TokenOf(std::to_string(index)), kNoToken);
  }
}

} // namespace
} // namespace sassafrasknot::flows
