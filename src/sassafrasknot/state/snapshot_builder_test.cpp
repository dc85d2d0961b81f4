#include "sassafrasknot/state/sample_documents.hpp"
#include "sassafrasknot/state/snapshot_builder.hpp"

#include <gtest/gtest.h>

namespace sassafrasknot::state {
namespace {

using namespace sample;
using namespace std::chrono_literals;

/// Endpoint of service "web" of MakeOrganisation with aAddress 1.
constexpr Endpoint kService{ { 0x0A010001 }, 80 };
/// Upstream endpoint of MakeOrganisation with 2 in aUpstreams.
constexpr Endpoint kUpstream{ { 0x0A020002 }, 8080 };

struct SnapshotBuilderTest : testing::Test
{
  ConfigurationStore mStore;
  SnapshotBuilder mBuilder;
  TimePoint mNow{ 1h };
  Revision mRevision = 0;

  /// Merges records and puts them in force at mNow.
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

  /// Runs EndQuarantines at mNow; returns whether an endpoint became usable.
  bool EndQuarantine(Revision aLowestRevision)
  {
    const bool usable =
      EndQuarantines(mBuilder.mQuarantine, aLowestRevision, mNow);
    UpdateServices(mBuilder, mStore, mNow);
    return usable;
  }

  /// Returns the organisation that an upstream endpoint is bound to.
  static std::string OrganisationOf(const Snapshot& aSnapshot,
                                    const UpstreamBinding& aBinding)
  {
    return aSnapshot.mServices.at(aBinding.mService).mId.mOrganisation.mValue;
  }
};

// Guards against an address that two organisations use at the same time while
// its move is in force on some instances only.
TEST_F(SnapshotBuilderTest,
       MovedServiceAddressIsUnusedUntilMoveIsInForceEverywhere)
{
  Merge({ MakeTemplate(1), MakeOrganisation("a", 2, 1, { 1 }) });
  EXPECT_TRUE(Build()->mServiceByEndpoint.contains(kService));
  mNow += 1h;
  Merge({ MakeTombstone("organisations/a", 3) });
  EXPECT_TRUE(Build()->mServiceByEndpoint.contains(kService))
    << "a removed service keeps its established flows";
  mNow += 1s;
  Merge({ MakeOrganisation("b", 4, 1, { 2 }) });
  EXPECT_FALSE(Build()->mServiceByEndpoint.contains(kService));
  mNow += 72s;
  EXPECT_FALSE(EndQuarantine(3)) << "the move is not in force on an instance";
  EXPECT_FALSE(Build()->mServiceByEndpoint.contains(kService));
  EXPECT_FALSE(EndQuarantine(4))
    << "late packets of the last instance may still arrive";
  mNow += 61s;
  EXPECT_TRUE(EndQuarantine(4));
  const auto snapshot = Build();
  const auto service = snapshot->mServiceByEndpoint.at(kService);
  EXPECT_EQ(snapshot->mServices.at(service).mId.mOrganisation.mValue, "b");
}

// Guards against late answers of a moved upstream that are attributed to the
// service of its new organisation.
TEST_F(SnapshotBuilderTest, MovedUpstreamStaysBoundToItsOldService)
{
  Merge({ MakeTemplate(1), MakeOrganisation("a", 2, 1, { 1, 2 }) });
  Merge({ MakeOrganisation("a", 3, 1, { 1 }) });
  auto snapshot = Build();
  EXPECT_EQ(
    OrganisationOf(*snapshot, snapshot->mUpstreamBindings.at(kUpstream)), "a");
  Merge({ MakeOrganisation("b", 4, 2, { 2, 3 }) });
  snapshot = Build();
  EXPECT_EQ(
    OrganisationOf(*snapshot, snapshot->mUpstreamBindings.at(kUpstream)), "a");
  const auto& view = snapshot->mServices.back();
  ASSERT_EQ(view.mId.mOrganisation.mValue, "b");
  EXPECT_EQ(view.mTables.front().mShards.at(0).mUpstreams.size(), 1)
    << "the new service must not send flows to the moved upstream yet";
  EndQuarantine(4);
  mNow += 72s;
  EndQuarantine(4);
  snapshot = Build();
  EXPECT_EQ(
    OrganisationOf(*snapshot, snapshot->mUpstreamBindings.at(kUpstream)), "b");
  EXPECT_EQ(snapshot->mServices.back().mService.mUpstreams.size(), 2);
}

// Guards against flows that lose their upstream because the table they were
// opened under is removed after a few changes, and against an unbounded number
// of tables.
TEST_F(SnapshotBuilderTest, KeepsFourEarlierTablesAndRecentOnes)
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

// Guards against new flows to an upstream that is leaving in the published list
// but still live in the organisation's document, which may be out of date.
TEST_F(SnapshotBuilderTest, UpstreamIsLeavingIfEitherDocumentSaysSo)
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
  EXPECT_EQ(view.mTables.size(), 1) << "no flow got another default upstream";
}

// Guards against cached owners that differ from a full ranking after the live
// instances have changed.
TEST_F(SnapshotBuilderTest, OwnersEqualThoseOfAssignOwners)
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
