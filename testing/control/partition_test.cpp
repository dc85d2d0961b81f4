#include "sassafrasknot/state/sample_documents.hpp"

#include "control/control_fleet.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::testing {
namespace {

using namespace state::sample;
using namespace std::chrono_literals;
using state::InstanceState;

constexpr state::Endpoint kService{ { 0x0A010001 }, 80 };

struct Partition : ::testing::Test
{
  ControlFleet mFleet{ { .mInstances = 6, .mDataCentres = 2 } };

  void SetUp() override
  {
    mFleet.Publish(MakeTemplate(0));
    mFleet.Publish(MakeOrganisation("a", 0, 1, { 1 }));
    for (std::size_t index = 0; index < 6; ++index) {
      mFleet.Start(index);
    }
    mFleet.PublishLists();
    mFleet.Run(15s);
  }

  void Cut()
  {
    mFleet.mPlatform.mCutOff = { "dc-1" };
    mFleet.mCut = [](std::size_t aFrom, std::size_t aTo) {
      return aFrom % 2 != aTo % 2;
    };
  }

  void Heal()
  {
    mFleet.mPlatform.mCutOff.clear();
    mFleet.mCut = nullptr;
  }

  /// Name of the organisation that an instance serves the address for.
  std::string Serves(std::size_t aInstance) const
  {
    const auto& snapshot = mFleet.SnapshotOf(aInstance);
    const auto found = snapshot.mServiceByEndpoint.find(kService);
    return found == snapshot.mServiceByEndpoint.end()
             ? ""
             : snapshot.mServices.at(found->second).mId.mOrganisation.mValue;
  }
};

// Guards against flows sent to a data centre that can't be reached, and against
// a data centre that counts its own instances as dead when it is cut off.
TEST_F(Partition, DataCentreIsUnreachableUntilHealed)
{
  EXPECT_TRUE(mFleet.SnapshotOf(0).mReachable.contains({ "dc-1" }));
  Cut();
  mFleet.Run(9s);
  for (std::size_t index = 0; index < 6; ++index) {
    EXPECT_EQ(mFleet.SnapshotOf(index).mReachable.size(), 1) << index;
    EXPECT_EQ(mFleet.StateOf(index, (index + 2) % 6), InstanceState::Live);
  }
  Heal();
  mFleet.Run(9s);
  for (std::size_t index = 0; index < 6; ++index) {
    EXPECT_EQ(mFleet.SnapshotOf(index).mReachable.size(), 2) << index;
  }
}

// Guards against an address that two organisations serve at once because one
// data centre did not hear of its move.
TEST_F(Partition, MovedAddressServesNeitherUntilAllDataCentresKnow)
{
  Cut();
  mFleet.Publish(MakeTombstone("organisations/a", 0));
  mFleet.Publish(MakeOrganisation("b", 0, 1, { 2 }));
  mFleet.Run(300s);
  EXPECT_EQ(Serves(0), "") << "the other data centre still serves a";
  EXPECT_EQ(Serves(1), "a");
  Heal();
  mFleet.Run(5s);
  for (std::size_t index = 0; index < 6; ++index) {
    EXPECT_EQ(Serves(index), "") << index;
  }
  // An instance that starts now learns of the quarantine from its peers.
  mFleet.Kill(3);
  mFleet.Start(3);
  mFleet.Run(10s);
  EXPECT_EQ(Serves(3), "");
  mFleet.Run(90s);
  for (std::size_t index = 0; index < 6; ++index) {
    EXPECT_EQ(Serves(index), "b") << index;
  }
}

// Guards against two halves of a data centre that stay apart after a network
// fault.
TEST_F(Partition, HalvesOfADataCentreFindEachOtherAgain)
{
  const auto side = [](std::size_t aInstance) { return aInstance >= 3; };
  mFleet.mCut = [side](std::size_t aFrom, std::size_t aTo) {
    return side(aFrom) != side(aTo);
  };
  mFleet.Run(60s);
  EXPECT_EQ(mFleet.StateOf(0, 4), InstanceState::Dead);
  Heal();
  EXPECT_TRUE(mFleet.RunUntil(20s, [&] {
    return mFleet.StateOf(0, 4) == InstanceState::Live &&
           mFleet.StateOf(4, 0) == InstanceState::Live &&
           mFleet.StateOf(2, 4) == InstanceState::Live;
  }));
}

} // namespace
} // namespace sassafrasknot::testing
