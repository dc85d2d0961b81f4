#include "sassafrasknot/fleet/catalogue.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sassafrasknot::fleet {
namespace {

Record
Item(const std::string& aKey, state::Revision aRevision, bool aDeleted = false)
{
  return { aKey, "value" + std::to_string(aRevision), aRevision, 1, aDeleted };
}

// Guards against a configuration that reverts because an older copy answers.
TEST(Catalogue, NothingReverts)
{
  Catalogue catalogue;
  Merge(catalogue, { 0, 10, { Item("a", 10) } });
  EXPECT_TRUE(Merge(catalogue, { 0, 8, { Item("a", 7) } })->empty());
  EXPECT_EQ(catalogue.mRecords.at("a").mRevision, 10U);
  EXPECT_EQ(catalogue.mRevision, 10U);
}

// Guards against changes that are applied although some before them are
// missing.
TEST(Catalogue, RefusesChangesAfterAGap)
{
  Catalogue catalogue;
  Merge(catalogue, { 0, 10, {} });
  EXPECT_FALSE(Merge(catalogue, { 12, 14, { Item("a", 13) } }));
  EXPECT_EQ(catalogue.mRevision, 10U);
}

// Guards against CONFIG and DRAIN in a storm of configurations: each instance
// that was behind got all of them over a slow link.
TEST(Catalogue, AnInstanceThatIsBehindGetsTheNewestRecordOfAKeyOnly)
{
  Catalogue catalogue;
  Merge(catalogue, { 0, 1, { Item("op", 1) } });
  ChangeSet storm{ 1, 19, {} };
  for (state::Revision revision = 2; revision < 20; ++revision) {
    storm.mRecords.push_back(Item("op", revision));
  }
  EXPECT_EQ(Merge(catalogue, storm)->size(), 1U);
  const auto changes = ChangesAfter(catalogue, 1);
  ASSERT_EQ(changes.mRecords.size(), 1U);
  EXPECT_EQ(changes.mRecords[0].mRevision, 19U);
}

// Guards against deleted items that come back with a full copy.
TEST(Catalogue, AFullCopyRemovesWhatItLacks)
{
  Catalogue catalogue;
  Merge(catalogue, { 0, 5, { Item("a", 3), Item("b", 4) } });
  Merge(catalogue, { 5, 9, { Item("c", 8) } });
  const auto changed = Merge(catalogue, { 0, 10, { Item("b", 4) } });
  EXPECT_EQ(*changed, (std::vector<std::string>{ "a", "c" }));
  EXPECT_EQ(catalogue.mRecords.size(), 1U);
}

// Guards against an instance that takes part of a history for all of it.
TEST(Catalogue, TooOldRevisionsGetAFullCopy)
{
  Catalogue catalogue;
  Merge(catalogue, { 0, 1, {} });
  for (state::Revision revision = 2; revision < kHistoryLength + 10;
       ++revision) {
    Merge(catalogue, { revision - 1, revision, { Item("a", revision) } });
  }
  EXPECT_EQ(ChangesAfter(catalogue, 3).mAfter, 0U);
  EXPECT_EQ(ChangesAfter(catalogue, kHistoryLength).mAfter, kHistoryLength);
}

// Guards against instances that differ for good: whatever steps a follower
// takes, it ends with its leader's records.
RC_GTEST_PROP(CatalogueProperty, FollowersConverge, ())
{
  Catalogue leader;
  Catalogue follower;
  Merge(leader, { 0, 1, {} });
  const auto steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    const auto revision = leader.mRevision + 1;
    const auto key = std::to_string(*rc::gen::inRange(0, 5));
    const bool isDeleted =
      leader.mRecords.contains(key) && *rc::gen::inRange(0, 3) == 0;
    Merge(leader,
          { leader.mRevision, revision, { Item(key, revision, isDeleted) } });
    if (*rc::gen::inRange(0, 4) == 0) {
      Merge(follower, ChangesAfter(leader, follower.mRevision));
    }
  }
  Merge(follower, ChangesAfter(leader, follower.mRevision));
  RC_ASSERT(follower.mRecords == leader.mRecords);
  RC_ASSERT(follower.mRevision == leader.mRevision);
}

} // namespace
} // namespace sassafrasknot::fleet
