#include "sassafrasknot/fleet/fleet_view.hpp"

#include <vector>

#include <gtest/gtest.h>

namespace sassafrasknot::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

state::TimePoint
At(milliseconds aTime)
{
  return state::TimePoint(std::chrono::hours(1) + aTime);
}

/// An instance, whose endpoint is 10 unless a test says otherwise, with its
/// contacts.
struct ViewFixture
{
  explicit ViewFixture(std::uint32_t aSelf = 10)
  {
    mPeers.mSelf = MakeMember(aSelf);
  }

  static Member MakeMember(std::uint32_t aAddress)
  {
    return { { { aAddress }, 7720 }, { "a" }, 100 };
  }

  void Contact(std::uint32_t aAddress, milliseconds aTime, bool aLeaving)
  {
    auto member = MakeMember(aAddress);
    member.mLeaving = aLeaving;
    RecordContact(mPeers, member, At(aTime));
  }

  flows::FleetView View(milliseconds aTime)
  {
    return MakeFleetView(mMemory, mPeers, mSeeds, At(aTime));
  }

  Peers mPeers;
  MemberMemory mMemory;
  std::vector<state::Endpoint> mSeeds;
};

// Guards against an instance that starts in isolation, takes itself for the
// only one and places flows on all cold upstreams.
TEST(FleetView, AnInstanceWithoutContactToItsSeedsMayNotPlace)
{
  ViewFixture fixture;
  EXPECT_TRUE(fixture.View(seconds(1)).mMayPlace);
  fixture.mSeeds = { { { 10 }, 7720 }, { { 5 }, 7720 } };
  EXPECT_FALSE(fixture.View(seconds(1)).mMayPlace);
  fixture.Contact(5, seconds(1), false);
  EXPECT_TRUE(fixture.View(seconds(1)).mMayPlace);
}

// Guards against placement on both sides of a partition.
TEST(FleetView, OnlyTheLargerPartOfAFleetMayPlace)
{
  ViewFixture larger;
  ViewFixture smaller;
  for (std::uint32_t address = 1; address <= 4; ++address) {
    larger.Contact(address, seconds(1), false);
    smaller.Contact(address, seconds(1), false);
  }
  EXPECT_TRUE(smaller.View(seconds(2)).mMayPlace);
  EXPECT_TRUE(larger.View(seconds(2)).mMayPlace);
  larger.Contact(1, seconds(8), false);
  larger.Contact(2, seconds(8), false);
  smaller.Contact(3, seconds(8), false);
  EXPECT_TRUE(larger.View(seconds(8)).mMayPlace);
  EXPECT_FALSE(smaller.View(seconds(8)).mMayPlace);
  // It still may not when its peers have long forgotten the others.
  smaller.Contact(3, seconds(120), false);
  RemoveDead(smaller.mPeers, At(seconds(120)));
  EXPECT_EQ(smaller.View(seconds(120)).mMembers.size(), 1U);
  EXPECT_FALSE(smaller.View(seconds(120)).mMayPlace);
  smaller.Contact(3, kMemberMemory + seconds(9), false);
  EXPECT_TRUE(smaller.View(kMemberMemory + seconds(9)).mMayPlace);
}

// Guards against two halves that both place flows, and against two that both
// do not.
TEST(FleetView, OfTwoHalvesTheOneWithTheLowestEndpointMayPlace)
{
  ViewFixture lower(1);
  ViewFixture upper(4);
  for (const std::uint32_t address : { 1, 2, 3, 4 }) {
    lower.Contact(address, seconds(1), false);
    upper.Contact(address, seconds(1), false);
  }
  lower.Contact(2, seconds(8), false);
  upper.Contact(3, seconds(8), false);
  lower.View(seconds(2));
  upper.View(seconds(2));
  EXPECT_TRUE(lower.View(seconds(8)).mMayPlace);
  EXPECT_FALSE(upper.View(seconds(8)).mMayPlace);
}

// Guards against a takeover while the previous placing instance may not know
// yet that it is isolated, and against members that count after a planned stop.
TEST(FleetView, MembersAreReplacedAfterTheTakeoverTimeout)
{
  static_assert(kTakeoverTimeout > kDeadTimeout + flows::kMaxViewAge);
  ViewFixture fixture;
  fixture.Contact(1, seconds(1), false);
  fixture.Contact(2, seconds(1), true);
  EXPECT_EQ(fixture.View(seconds(1)).mMembers.size(), 1U);
  fixture.Contact(3, seconds(10), false);
  EXPECT_EQ(fixture.View(milliseconds(10999)).mMembers.size(), 2U);
  EXPECT_EQ(fixture.View(milliseconds(11000)).mMembers.size(), 1U);
  // The member that left as planned does not count any more: two of three.
  EXPECT_TRUE(fixture.View(milliseconds(11000)).mMayPlace);
  fixture.mPeers.mSelf.mLeaving = true;
  EXPECT_FALSE(fixture.View(milliseconds(11000)).mMayPlace);
}

} // namespace
} // namespace sassafrasknot::fleet
