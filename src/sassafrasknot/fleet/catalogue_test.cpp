#include "sassafrasknot/fleet/catalogue.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sassafrasknot::fleet {
namespace {

Record
MakeRecord(const std::string& aKey,
           state::Revision aRevision,
           bool aDeleted = false)
{
  return { aKey, "value" + std::to_string(aRevision), aRevision, 1, aDeleted };
}

// Guards against a configuration that reverts to an older revision because an
// instance that is behind sends its full copy.
TEST(Catalogue, NothingReverts)
{
  Catalogue catalogue;
  Merge(catalogue, { 0, 10, { MakeRecord("a", 10) } });
  EXPECT_TRUE(Merge(catalogue, { 0, 8, { MakeRecord("a", 7) } })->empty());
  EXPECT_EQ(catalogue.mRecords.at("a").mRevision, 10U);
  EXPECT_EQ(catalogue.mRevision, 10U);
}

// Guards against a catalogue that applies changes although earlier ones are
// missing, and therefore never gets those.
TEST(Catalogue, RefusesChangesAfterAGap)
{
  Catalogue catalogue;
  Merge(catalogue, { 0, 10, {} });
  EXPECT_FALSE(Merge(catalogue, { 12, 14, { MakeRecord("a", 13) } }));
  EXPECT_EQ(catalogue.mRevision, 10U);
}

// Guards against late configurations and drains (rules CONFIG and DRAIN of
// testing/soak) while configurations change quickly, because an instance that
// is behind receives every revision of a key over a slow link.
TEST(Catalogue, AnInstanceThatIsBehindGetsTheNewestRecordOfAKeyOnly)
{
  Catalogue catalogue;
  Merge(catalogue, { 0, 1, { MakeRecord("op", 1) } });
  ChangeSet updates{ 1, 19, {} };
  for (state::Revision revision = 2; revision < 20; ++revision) {
    updates.mRecords.push_back(MakeRecord("op", revision));
  }
  EXPECT_EQ(Merge(catalogue, updates)->size(), 1U);
  const auto changes = ChangesAfter(catalogue, 1);
  ASSERT_EQ(changes.mRecords.size(), 1U);
  EXPECT_EQ(changes.mRecords[0].mRevision, 19U);
}

// Guards against an order that returns after its removal, such as that of an
// evacuation, because a peer that is behind sends its older record, in changes
// or in a full copy; and against one that stays away after it was written
// again.
TEST(Catalogue, ADeletedRecordReturnsOnlyWhenWrittenAgain)
{
  Catalogue catalogue;
  Merge(catalogue, { 0, 5, { MakeRecord("op/evacuate/b", 5) } });
  EXPECT_EQ(Merge(catalogue, { 5, 6, { MakeRecord("op/evacuate/b", 6, true) } })
              ->size(),
            1U);
  const auto older = MakeRecord("op/evacuate/b", 5);
  EXPECT_TRUE(Merge(catalogue, { 4, 5, { older } })->empty());
  EXPECT_TRUE(Merge(catalogue, { 0, 5, { older } })->empty());
  EXPECT_EQ(Merge(catalogue, { 4, 7, { older, MakeRecord("c", 7) } }),
            std::vector<std::string>{ "c" });
  EXPECT_FALSE(catalogue.mRecords.contains("op/evacuate/b"));
  // An instance that was paused receives removal and renewal at once.
  Catalogue paused;
  Merge(paused, { 0, 5, { older } });
  Merge(catalogue, { 7, 8, { MakeRecord("op/evacuate/b", 8) } });
  EXPECT_EQ(Merge(paused, ChangesAfter(catalogue, 5))->size(), 2U);
  EXPECT_EQ(paused.mRecords.at("op/evacuate/b").mRevision, 8U);
}

// Guards against items that remain although a full copy no longer has them.
TEST(Catalogue, AFullCopyRemovesRecordsThatItLacks)
{
  Catalogue catalogue;
  Merge(catalogue, { 0, 5, { MakeRecord("a", 3), MakeRecord("b", 4) } });
  Merge(catalogue, { 5, 9, { MakeRecord("c", 8) } });
  const auto changed = Merge(catalogue, { 0, 10, { MakeRecord("b", 4) } });
  EXPECT_EQ(*changed, (std::vector<std::string>{ "a", "c" }));
  EXPECT_EQ(catalogue.mRecords.size(), 1U);
}

// Guards against an instance that is older than the history, applies the part
// that the history still has, and misses the changes before it.
TEST(Catalogue, RevisionsBeforeTheHistoryGetAFullCopy)
{
  Catalogue catalogue;
  Merge(catalogue, { 0, 1, {} });
  for (state::Revision revision = 2; revision < kHistoryLength + 10;
       ++revision) {
    Merge(catalogue, { revision - 1, revision, { MakeRecord("a", revision) } });
  }
  EXPECT_EQ(ChangesAfter(catalogue, 3).mAfter, 0U);
  EXPECT_EQ(ChangesAfter(catalogue, kHistoryLength).mAfter, kHistoryLength);
}

// Guards against instances whose catalogues differ permanently: whichever
// revisions a follower gets, it ends with the records of its leader.
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
    Merge(
      leader,
      { leader.mRevision, revision, { MakeRecord(key, revision, isDeleted) } });
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
