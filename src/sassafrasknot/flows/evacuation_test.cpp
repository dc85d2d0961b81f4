#include "sassafrasknot/flows/evacuation.hpp"
#include "sassafrasknot/flows/evacuation_status.hpp"
#include "sassafrasknot/flows/placement.hpp"

#include <algorithm>
#include <array>
#include <map>

#include "flow_fixture_test.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

const state::DataCentreId kOwn{ "a" };
const state::DataCentreId kOther{ "b" };
constexpr std::string_view kService = "scheduling";

/// The table of an instance, which is in data centre "a" unless set otherwise.
struct EvacuationFixture
{
  void AddUpstreams(const std::string& aDataCentre, int aCount)
  {
    for (int index = 0; index < aCount; ++index) {
      mDirectory.mUpstreams.push_back({ MakeUpstream(
        "i-" + aDataCentre + std::to_string(index), aDataCentre) });
    }
  }

  void Publish()
  {
    UpdateTable(mTable, mDirectory, At(milliseconds(0)));
    BuildPools(mTable, mDataCentre, mPosition);
  }

  UpstreamRecord* Choose(FlowLength aLength = FlowLength::SingleRequest,
                         UpstreamToken aAvoid = kNoToken)
  {
    return ChooseUpstream(mTable.mByService.find(kService)->second,
                          { aLength, mDataCentre, aAvoid },
                          {},
                          mRandom,
                          At(milliseconds(0)));
  }

  state::DataCentreId mDataCentre = kOwn;
  Directory mDirectory;
  UpstreamTable mTable;
  InstancePosition mPosition{ 0, 3 };
  std::minstd_rand mRandom{ 5 };
};

constexpr std::array kLengths{ FlowLength::ManyRequests,
                               FlowLength::SingleRequest };
/// Numbers of instances without and with subsetting.
constexpr std::array<std::size_t, 2> kInstanceCounts{ 3, 30 };

// Guards against an evacuation that an older record ends or begins again, and
// against one that is missed if its item is removed and written again between
// two reads of the store.
TEST(Evacuation, OrdersOfOneDataCentreAreAppliedByRevision)
{
  DirectoryBuilder builder;
  EXPECT_TRUE(BeginEvacuation(builder, { kOwn, 5 }));
  EXPECT_FALSE(BeginEvacuation(builder, { kOwn, 4 }));
  EXPECT_TRUE(BeginEvacuation(builder, { kOwn, 9 }));
  EXPECT_EQ(BuildDirectory(builder, 9)->mEvacuations.at(kOwn), 9U);
  EXPECT_TRUE(EndEvacuation(builder, kOwn));
  EXPECT_FALSE(EndEvacuation(builder, kOwn));
  EXPECT_TRUE(BuildDirectory(builder, 10)->mEvacuations.empty());
  EXPECT_TRUE(BeginEvacuation(builder, { kOwn, 11 }));
}

// Guards against new flows at upstreams of an evacuated data centre when all
// others are busy, expired, unresponsive or to be avoided, and against flows
// that are refused although one of those could serve them.
TEST(Evacuation, LastResortsAreOnlyUpstreamsElsewhere)
{
  for (const auto instances : kInstanceCounts) {
    EvacuationFixture fixture;
    fixture.mPosition = { 0, instances };
    fixture.AddUpstreams("a", 6);
    fixture.AddUpstreams("b", 1);
    fixture.mDirectory.mUpstreams.back().mPresence = Presence::Expired;
    fixture.mDirectory.mEvacuations = { { kOwn, 7 } };
    fixture.Publish();
    auto& left = fixture.mTable.mByToken.at(TokenOf("i-b0"));
    left.mOwnLoad.mActiveRequests = 50;
    RecordUnreachableDataCentre(left.mFailureDetector, At(milliseconds(0)));
    for (const auto length : kLengths) {
      for (int count = 0; count < 20; ++count) {
        ASSERT_EQ(fixture.Choose(length, left.mToken), &left) << instances;
      }
    }
  }
}

// Guards against trials of suspected upstreams in an evacuated data centre:
// a trial is a caller's flow.
TEST(Evacuation, NoTrialGoesThere)
{
  for (const auto instances : kInstanceCounts) {
    EvacuationFixture fixture;
    fixture.mPosition = { 0, instances };
    fixture.AddUpstreams("a", 4);
    fixture.AddUpstreams("b", 4);
    fixture.mDirectory.mEvacuations = { { kOwn, 7 } };
    fixture.Publish();
    for (auto& [token, record] : fixture.mTable.mByToken) {
      if (record.mUpstream.mDataCentre == kOther) {
        record.mOwnLoad.mActiveRequests = 50;
        continue;
      }
      RecordRetransmission(record.mFailureDetector,
                           RetransmittedPacket::Open,
                           At(milliseconds(-5000)),
                           At(milliseconds(-4000)),
                           At(milliseconds(-4800)));
      ASSERT_TRUE(AdmitsFlow(record.mFailureDetector, At(milliseconds(0))));
    }
    for (int count = 0; count < 200; ++count) {
      ASSERT_EQ(fixture.Choose()->mUpstream.mDataCentre, kOther);
    }
  }
}

// Guards against flows that are placed, or that loop without end, if all data
// centres of a service are evacuated.
TEST(Evacuation, NoUpstreamIsLeftIfAllDataCentresAreEvacuated)
{
  for (const auto instances : kInstanceCounts) {
    EvacuationFixture fixture;
    fixture.mPosition = { 0, instances };
    fixture.AddUpstreams("a", 6);
    fixture.AddUpstreams("b", 6);
    fixture.mDirectory.mEvacuations = { { kOwn, 7 }, { kOther, 8 } };
    fixture.Publish();
    for (const auto length : kLengths) {
      EXPECT_EQ(fixture.Choose(length), nullptr) << instances;
    }
  }
}

// Guards against an evacuation of a data centre without upstreams, such as a
// misspelt one, that changes placement; and against upstreams that appear in an
// evacuated data centre, or restart there, and receive flows.
TEST(Evacuation, TakesEffectOnceUpstreamsAppear)
{
  EvacuationFixture fixture;
  fixture.AddUpstreams("b", 1);
  fixture.mDirectory.mEvacuations = { { kOwn, 7 }, { { "typo" }, 8 } };
  fixture.Publish();
  EXPECT_EQ(fixture.Choose()->mUpstream.mId, "i-b0");
  EXPECT_TRUE(
    fixture.mTable.mByService.find(kService)->second.mEvacuated.empty());
  fixture.AddUpstreams("a", 2);
  for (const int started : { 1, 2 }) {
    for (auto& listed : fixture.mDirectory.mUpstreams) {
      listed.mUpstream.mStarted = milliseconds(started);
    }
    fixture.Publish();
    for (int count = 0; count < 20; ++count) {
      EXPECT_EQ(fixture.Choose()->mUpstream.mId, "i-b0");
    }
  }
  fixture.mDirectory.mEvacuations.clear();
  fixture.Publish();
  EXPECT_EQ(fixture.Choose()->mUpstream.mDataCentre, kOwn);
}

/// Lets each of 30 instances of data centre "a", which is evacuated, place 40
/// flows on 60 upstreams of "b" and "c". Returns the flows by upstream.
std::map<std::string, int>
SpreadFlows(FlowLength aLength, double aUtilisationOfB, double aUtilisationOfC)
{
  constexpr std::size_t kInstances = 30;
  constexpr int kFlows = 40;
  std::map<std::string, int> counts;
  for (std::size_t instance = 0; instance < kInstances; ++instance) {
    EvacuationFixture fixture;
    fixture.mRandom.seed(static_cast<unsigned>(instance + 1));
    fixture.mPosition = { instance, kInstances };
    fixture.AddUpstreams("a", 30);
    fixture.AddUpstreams("b", 30);
    fixture.AddUpstreams("c", 30);
    fixture.mDirectory.mEvacuations = { { kOwn, 7 } };
    fixture.Publish();
    SetPeerLoads(
      fixture.mTable,
      {},
      { { { "b" }, aUtilisationOfB }, { { "c" }, aUtilisationOfC } });
    for (int flow = 0; flow < kFlows; ++flow) {
      auto* chosen = fixture.Choose(aLength);
      if (aLength == FlowLength::ManyRequests) {
        ++chosen->mOwnLoad.mFeeds;
      }
      // All requests are active at the same time.
      ++chosen->mOwnLoad.mActiveRequests;
      ++counts[chosen->mUpstream.mId];
    }
  }
  return counts;
}

int
CountIn(const std::map<std::string, int>& aCounts, const std::string& aPrefix)
{
  int sum = 0;
  for (const auto& [id, count] : aCounts) {
    sum += id.starts_with(aPrefix) ? count : 0;
  }
  return sum;
}

// Guards against an evacuated data centre whose instances send its callers,
// 1,200 flows of 30 instances at once, to a few of the remaining upstreams.
TEST(Evacuation, SubsetsSpreadFlowsEvenlyOverTheRest)
{
  constexpr int kMean = 20;
  for (const auto length : kLengths) {
    const auto counts = SpreadFlows(length, 0.3, 0.3);
    EXPECT_EQ(counts.size(), 60U);
    EXPECT_EQ(CountIn(counts, "i-a"), 0);
    for (const auto& [id, count] : counts) {
      EXPECT_LE(count, kMean * 3 / 2) << id;
      EXPECT_GE(count, kMean / 2) << id;
    }
  }
}

// Guards against remaining upstreams that are overloaded because the subsets of
// their own data centre and the flows of the evacuated one, of 30 instances
// each, favour the same ones.
TEST(Evacuation, RemainingUpstreamsShareTheWholeLoad)
{
  constexpr std::size_t kInstances = 30;
  constexpr int kUpstreams = 60;
  constexpr int kFlows = 40;
  std::map<std::string, int> counts;
  for (std::size_t instance = 0; instance < 2 * kInstances; ++instance) {
    EvacuationFixture fixture;
    fixture.mDataCentre = instance < kInstances ? kOwn : kOther;
    fixture.mRandom.seed(static_cast<unsigned>(instance + 1));
    fixture.mPosition = { instance % kInstances, kInstances };
    fixture.AddUpstreams("a", kUpstreams);
    fixture.AddUpstreams("b", kUpstreams);
    fixture.mDirectory.mEvacuations = { { kOwn, 7 } };
    fixture.Publish();
    for (int flow = 0; flow < kFlows; ++flow) {
      auto* chosen = fixture.Choose();
      ++chosen->mOwnLoad.mActiveRequests;
      ++counts[chosen->mUpstream.mId];
    }
  }
  constexpr int kMean = 2 * kInstances * kFlows / kUpstreams;
  EXPECT_EQ(CountIn(counts, "i-a"), 0);
  EXPECT_EQ(counts.size(), static_cast<std::size_t>(kUpstreams));
  for (const auto& [id, count] : counts) {
    EXPECT_LE(count, kMean * 3 / 2) << id;
  }
}

// Guards against flows that overload a busy data centre while another has spare
// capacity, and against ones that all go to the data centre that was reported
// as slightly less utilised.
TEST(Evacuation, SpreadFlowsFollowTheSpareCapacity)
{
  for (const auto length : kLengths) {
    const auto uneven = SpreadFlows(length, 0.9, 0.2);
    EXPECT_GT(CountIn(uneven, "i-c"), 3 * CountIn(uneven, "i-b"));
    const auto even = SpreadFlows(length, 0.32, 0.3);
    EXPECT_LT(CountIn(even, "i-c"), CountIn(even, "i-b") * 5 / 4);
  }
}

// Guards against flows that break because their upstream's data centre is
// evacuated, against new ones that go there, and against flows that do not
// return after the evacuation.
TEST(EvacuationRouter, OpenFlowsStayAndNewOnesGoElsewhere)
{
  RouterFixture fixture;
  fixture.AddUpstream("i-1", "a");
  fixture.AddUpstream("i-2", "b");
  fixture.Publish(milliseconds(0));
  fixture.Exchange(5, milliseconds(1));
  const auto token = TokenOf("i-1");
  fixture.mDirectory.mEvacuations = { { kOwn, 7 } };
  fixture.Publish(milliseconds(100));
  EXPECT_EQ(fixture.Send(5, kRequestPort, token, 101, 500, 9, milliseconds(101))
              .mUpstream->mToken,
            token);
  for (std::uint16_t port = 100; port < 120; ++port) {
    EXPECT_EQ(fixture.Open(port, kRequestPort, milliseconds(102))
                .mUpstream->mUpstream.mId,
              "i-2");
  }
  const auto statuses = EvacuationStatuses(fixture.mRouter);
  EXPECT_EQ(statuses.at(kOwn), (EvacuationStatus{ 1, 0 }));
  EXPECT_FALSE(statuses.contains(kOther));
  fixture.mDirectory.mEvacuations.clear();
  fixture.Publish(milliseconds(200));
  EXPECT_EQ(fixture.Open(7, kRequestPort, milliseconds(201)).mUpstream->mToken,
            token);
  EXPECT_TRUE(EvacuationStatuses(fixture.mRouter).empty());
}

// Guards against a copy of an opening packet that an evacuated upstream
// accepts, and against a second upstream that answers a flow which the first
// one may have answered already.
TEST(EvacuationRouter, RetransmittedOpensAreReassignedOnceOverdue)
{
  RouterFixture fixture;
  fixture.AddUpstream("i-1", "a");
  fixture.AddUpstream("i-2", "b");
  fixture.Publish(milliseconds(0));
  ASSERT_EQ(
    fixture.Open(5, kRequestPort, milliseconds(1)).mUpstream->mUpstream.mId,
    "i-1");
  fixture.mDirectory.mEvacuations = { { kOwn, 7 } };
  fixture.Publish(milliseconds(20));
  const auto early = fixture.Open(5, kRequestPort, milliseconds(100), 1);
  EXPECT_EQ(early.mAction, PacketAction::Discard);
  EXPECT_EQ(early.mReason, Reason::Evacuated);
  const auto overdue = fixture.Open(5, kRequestPort, milliseconds(201), 1);
  EXPECT_EQ(overdue.mReason, Reason::Reassigned);
  EXPECT_EQ(overdue.mUpstream->mUpstream.mId, "i-2");
}

// Guards against an established flow whose late copy of its opening packet is
// sent to a second upstream because the first one's data centre is evacuated.
TEST(EvacuationRouter, LateCopiesOfEstablishedFlowsStay)
{
  RouterFixture fixture;
  fixture.AddUpstream("i-1", "a");
  fixture.AddUpstream("i-2", "b");
  fixture.Publish(milliseconds(0));
  fixture.Exchange(5, milliseconds(1));
  fixture.mDirectory.mEvacuations = { { kOwn, 7 } };
  fixture.Publish(milliseconds(100));
  const auto copy = fixture.Open(5, kRequestPort, milliseconds(205), 1);
  EXPECT_EQ(copy.mReason, Reason::Retransmitted);
  EXPECT_EQ(copy.mUpstream->mUpstream.mId, "i-1");
}

// Guards against callers that wait although all data centres are evacuated, and
// against refusals that are not counted for the data centres that cause them.
TEST(EvacuationRouter, RefusesAtOnceAsNotRunIfNothingIsLeft)
{
  RouterFixture fixture;
  fixture.AddUpstream("i-1", "a");
  fixture.AddUpstream("i-2", "b");
  fixture.mDirectory.mEvacuations = { { kOwn, 7 },
                                      { kOther, 8 },
                                      { { "typo" }, 9 } };
  fixture.Publish(milliseconds(0));
  const auto decision = fixture.Open(5, kRequestPort, milliseconds(1));
  EXPECT_EQ(decision.mAction, PacketAction::Reset);
  EXPECT_EQ(decision.mReason, Reason::NoUpstream);
  EXPECT_EQ(decision.mVerdict, state::Verdict::NotRun);
  const auto statuses = EvacuationStatuses(fixture.mRouter);
  EXPECT_EQ(statuses.at(kOwn), (EvacuationStatus{ 0, 1 }));
  EXPECT_EQ(statuses.at(kOther), (EvacuationStatus{ 0, 1 }));
  EXPECT_EQ(statuses.at({ "typo" }), EvacuationStatus{});
}

} // namespace
} // namespace sassafrasknot::flows
