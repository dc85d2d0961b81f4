#include "sassafrasknot/flows/directory_builder.hpp"
#include "sassafrasknot/flows/upstream_table.hpp"

#include "flow_fixture_test.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

// Guards against upstreams that are dropped although only the store lost their
// entries, and against ones that stay after they have gone.
TEST(DirectoryBuilder, LapsedEntriesStayMissingForTheGracePeriod)
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

// Guards against work for an upstream that has left as planned.
TEST(DirectoryBuilder, DrainedUpstreamsLeaveAtOnce)
{
  DirectoryBuilder builder;
  auto upstream = MakeUpstream("i-1", "a");
  upstream.mDraining = true;
  UpsertUpstream(builder, upstream);
  RemoveUpstream(builder, "i-1", At(milliseconds(0)));
  EXPECT_TRUE(BuildDirectory(builder, 1)->mUpstreams.empty());
}

// Guards against two upstreams behind one token: the one that was described
// first keeps it, in whatever order an instance learns of them.
TEST(UpstreamTable, TheFirstHolderKeepsItsToken)
{
  UpstreamTable table;
  auto older = MakeUpstream("i-1", "a");
  older.mCreateRevision = 5;
  Directory directory;
  directory.mUpstreams = { { older } };
  UpdateTable(table, directory, At(milliseconds(0)));
  auto& record = table.mByToken.at(TokenOf("i-1"));
  // Another id under the same token, as after a collision of hashes.
  record.mUpstream.mId = "i-other";
  record.mUpstream.mCreateRevision = 3;
  UpdateTable(table, directory, At(milliseconds(1)));
  EXPECT_EQ(record.mUpstream.mId, "i-other");
  record.mUpstream.mCreateRevision = 9;
  UpdateTable(table, directory, At(milliseconds(2)));
  EXPECT_EQ(record.mUpstream.mId, "i-1");
}

// Guards against tables that grow with each upstream that ever was.
TEST(UpstreamTable, ForgetsGoneUpstreamsAfterTheirFlowsHaveEnded)
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

// Guards against a token that means "none".
TEST(Token, IsNeverZero)
{
  for (int index = 0; index < 1000; ++index) {
    EXPECT_NE(TokenOf(std::to_string(index)), kNoToken);
  }
}

} // namespace
} // namespace sassafrasknot::flows
