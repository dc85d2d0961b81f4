#include "sassafrasknot/state/sample_documents.hpp"
#include "sassafrasknot/state/snapshot_builder.hpp"

#include <gtest/gtest.h>

namespace sassafrasknot::state {
namespace {

using namespace sample;
using namespace std::chrono_literals;

constexpr Endpoint kService{ { 0x0A010001 }, 80 };
constexpr Endpoint kUpstream{ { 0x0A020002 }, 8080 };

struct Fixture : testing::Test
{
  ConfigurationStore mStore;
  SnapshotBuilder mBuilder;
  TimePoint mNow{ 1h };
  Revision mRevision = 0;

  void Merge(std::vector<ConfigurationRecord> aRecords)
  {
    for (const auto& record : aRecords) {
      mRevision = std::max(mRevision, record.mRevision);
    }
    MergeRecords(mStore, aRecords, mRevision, mStore.mCompleteRevision);
    UpdateServices(mBuilder, mStore, mNow);
  }

  std::shared_ptr<const Snapshot> Build()
  {
    InstanceView self;
    self.mId = { "self" };
    self.mDataCentre = { "dc-0" };
    return BuildSnapshot(mBuilder,
                         { { "self" }, { "dc-0" }, mRevision, { self }, {} });
  }

  bool EndQuarantine(Revision aFloor)
  {
    const bool usable = EndQuarantines(mBuilder.mQuarantine, aFloor, mNow);
    UpdateServices(mBuilder, mStore, mNow);
    return usable;
  }

  static std::string OwnerOf(const Snapshot& aSnapshot,
                             const UpstreamBinding& aEntry)
  {
    return aSnapshot.mServices.at(aEntry.mService).mId.mOrganisation.mValue;
  }
};

// Guards against an address that two organisations serve at the same time
// while a move is in force on some instances only.
TEST_F(Fixture, MovedServiceAddressServesNeitherUntilAllInstancesKnow)
{
  Merge({ MakeTemplate(1), MakeOrganisation("a", 2, 1, { 1 }) });
  EXPECT_TRUE(Build()->mServiceByEndpoint.contains(kService));
  mNow += 1h;
  Merge({ MakeTombstone("organisations/a", 3) });
  EXPECT_TRUE(Build()->mServiceByEndpoint.contains(kService))
    << "a removed service keeps its flows";
  mNow += 1s;
  Merge({ MakeOrganisation("b", 4, 1, { 2 }) });
  EXPECT_FALSE(Build()->mServiceByEndpoint.contains(kService));
  mNow += 72s;
  EXPECT_FALSE(EndQuarantine(3)) << "an instance does not have the move";
  EXPECT_FALSE(Build()->mServiceByEndpoint.contains(kService));
  EXPECT_FALSE(EndQuarantine(4)) << "packets of the last one may be on the way";
  mNow += 61s;
  EXPECT_TRUE(EndQuarantine(4));
  const auto snapshot = Build();
  const auto service = snapshot->mServiceByEndpoint.at(kService);
  EXPECT_EQ(snapshot->mServices.at(service).mId.mOrganisation.mValue, "b");
}

// Guards against late answers of a moved upstream that reach callers in the
// name of its new organisation.
TEST_F(Fixture, MovedUpstreamStaysBoundToItsOldService)
{
  Merge({ MakeTemplate(1), MakeOrganisation("a", 2, 1, { 1, 2 }) });
  Merge({ MakeOrganisation("a", 3, 1, { 1 }) });
  auto snapshot = Build();
  EXPECT_EQ(OwnerOf(*snapshot, snapshot->mUpstreamBindings.at(kUpstream)), "a");
  Merge({ MakeOrganisation("b", 4, 2, { 2, 3 }) });
  snapshot = Build();
  EXPECT_EQ(OwnerOf(*snapshot, snapshot->mUpstreamBindings.at(kUpstream)), "a");
  const auto& view = snapshot->mServices.back();
  ASSERT_EQ(view.mId.mOrganisation.mValue, "b");
  EXPECT_EQ(view.mTables.front().mShards.at(0).mUpstreams.size(), 1)
    << "the new service must not send flows to it yet";
  EndQuarantine(4);
  mNow += 72s;
  EndQuarantine(4);
  snapshot = Build();
  EXPECT_EQ(OwnerOf(*snapshot, snapshot->mUpstreamBindings.at(kUpstream)), "b");
  EXPECT_EQ(snapshot->mServices.back().mService.mUpstreams.size(), 2);
}

// Guards against flows that lose their upstream after a few changes, and
// against a history that grows without bound.
TEST_F(Fixture, KeepsFourEarlierTablesAndYoungOnes)
{
  Merge({ MakeTemplate(1) });
  for (Revision revision = 2; revision < 40; ++revision) {
    Merge({ MakeOrganisation(
      "a", revision, 1, { static_cast<std::uint32_t>(revision) }) });
    mNow += 1s;
  }
  EXPECT_EQ(Build()->mServices.at(0).mTables.size(), 16);
  mNow += 11min;
  Merge({ MakeOrganisation("a", 40, 1, { 40 }) });
  const auto snapshot = Build();
  ASSERT_EQ(snapshot->mServices.at(0).mTables.size(), 5);
  EXPECT_EQ(snapshot->mServices.at(0).mTables.at(1).mRevision, 39);
}

// Guards against new work for an upstream that the published list shows as
// leaving although the organisation's own document lags.
TEST_F(Fixture, LeavingInEitherDocumentWins)
{
  const UpstreamListDocument list{
    { "dc-0" }, { { { 0x0A020001 }, UpstreamState::Leaving } }
  };
  Merge({ MakeTemplate(1), MakeOrganisation("a", 2, 1, { 1, 2 }) });
  Merge({ MakeRecord("upstreams/dc-0", 3, list) });
  const auto snapshot = Build();
  const auto& view = snapshot->mServices.at(0);
  EXPECT_EQ(view.mService.mUpstreams.at(0).mState, UpstreamState::Leaving);
  EXPECT_EQ(view.mService.mUpstreams.at(1).mState, UpstreamState::Live);
  EXPECT_EQ(view.mTables.size(), 1) << "defaults did not change";
}

// Guards against a cache of owners that differs from a full ranking.
TEST_F(Fixture, OwnersEqualThoseOfAssignOwners)
{
  Merge({ MakeTemplate(1), MakeOrganisation("a", 2, 1, { 1, 2 }) });
  std::vector<InstanceView> instances;
  for (std::uint64_t index = 0; index < 9; ++index) {
    InstanceView view;
    view.mId = { "i" + std::to_string(index) };
    view.mDataCentre = { index % 2 == 0 ? "dc-0" : "dc-1" };
    view.mHash = index;
    instances.push_back(view);
  }
  const std::set<DataCentreId> reachable{ { "dc-0" }, { "dc-1" } };
  for (const std::size_t dead : { 8, 4, 2 }) {
    instances.at(dead).mState = InstanceState::Dead;
    const auto snapshot = BuildSnapshot(
      mBuilder, { { "i0" }, { "dc-0" }, mRevision, instances, reachable });
    auto table = snapshot->mServices.at(0).mTables.at(0);
    const auto owners = table.mShards.at(0).mOwners;
    AssignOwners(table, instances, reachable);
    EXPECT_EQ(owners, table.mShards.at(0).mOwners);
  }
}

} // namespace
} // namespace sassafrasknot::state
