#include "sassafrasknot/state/sample_documents.hpp"

#include "control/control_fleet.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::testing {
namespace {

using namespace state::sample;
using namespace std::chrono_literals;
using state::InstanceState;

constexpr state::Endpoint kService{ { 0x0A010001 }, 80 };

/// Six instances, those with an even index in data centre "dc-0" and the others
/// in "dc-1". Organisation "a" has the address kService.
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
    mFleet.PublishInstanceLists();
    mFleet.Run(15s);
  }

  /// Separates "dc-1" from the platform and from "dc-0".
  void IsolateSecondDataCentre()
  {
    mFleet.mPlatform.mDisconnected = { "dc-1" };
    mFleet.mDropsMessages = [](std::size_t aFrom, std::size_t aTo) {
      return aFrom % 2 != aTo % 2;
    };
  }

  void RestoreNetwork()
  {
    mFleet.mPlatform.mDisconnected.clear();
    mFleet.mDropsMessages = nullptr;
  }

  /// Returns the organisation for which an instance serves kService; empty if
  /// it does not serve it.
  std::string ServedOrganisation(std::size_t aInstance) const
  {
    const auto& snapshot = mFleet.SnapshotOf(aInstance);
    const auto found = snapshot.mServiceByEndpoint.find(kService);
    return found == snapshot.mServiceByEndpoint.end()
             ? ""
             : snapshot.mServices.at(found->second).mId.mOrganisation.mValue;
  }
};

// Guards against flows sent to an unreachable data centre, and against a
// partitioned data centre that counts its own instances as dead. The network
// between two data centres fails for 9 s.
TEST_F(Partition, DataCentreIsUnreachableDuringPartition)
{
  EXPECT_TRUE(mFleet.SnapshotOf(0).mReachable.contains({ "dc-1" }));
  IsolateSecondDataCentre();
  mFleet.Run(9s);
  for (std::size_t index = 0; index < 6; ++index) {
    EXPECT_EQ(mFleet.SnapshotOf(index).mReachable.size(), 1) << index;
    EXPECT_EQ(mFleet.StateOf(index, (index + 2) % 6), InstanceState::Live);
  }
  RestoreNetwork();
  mFleet.Run(9s);
  for (std::size_t index = 0; index < 6; ++index) {
    EXPECT_EQ(mFleet.SnapshotOf(index).mReachable.size(), 2) << index;
  }
}

// Guards against an address that is served for two organisations at once. It
// moves from organisation "a" to "b" while one data centre is partitioned, does
// not receive the change and still serves it for "a".
TEST_F(Partition, MovedAddressIsNotServedUntilAllDataCentresHaveTheChange)
{
  IsolateSecondDataCentre();
  mFleet.Publish(MakeTombstone("organisations/a", 0));
  mFleet.Publish(MakeOrganisation("b", 0, 1, { 2 }));
  mFleet.Run(300s);
  EXPECT_EQ(ServedOrganisation(0), "")
    << "served although the other data centre still serves it for a";
  EXPECT_EQ(ServedOrganisation(1), "a");
  RestoreNetwork();
  mFleet.Run(5s);
  for (std::size_t index = 0; index < 6; ++index) {
    EXPECT_EQ(ServedOrganisation(index), "") << index;
  }
  // An instance that starts now receives the quarantine from its peers.
  mFleet.Kill(3);
  mFleet.Start(3);
  mFleet.Run(10s);
  EXPECT_EQ(ServedOrganisation(3), "");
  mFleet.Run(90s);
  for (std::size_t index = 0; index < 6; ++index) {
    EXPECT_EQ(ServedOrganisation(index), "b") << index;
  }
}

// Guards against two halves of a data centre that stay separate after a network
// partition because each counts the other as dead and no longer probes it.
TEST_F(Partition, HalvesOfADataCentreReconnectAfterPartition)
{
  const auto side = [](std::size_t aInstance) { return aInstance >= 3; };
  mFleet.mDropsMessages = [side](std::size_t aFrom, std::size_t aTo) {
    return side(aFrom) != side(aTo);
  };
  mFleet.Run(60s);
  EXPECT_EQ(mFleet.StateOf(0, 4), InstanceState::Dead);
  RestoreNetwork();
  EXPECT_TRUE(mFleet.RunUntil(20s, [&] {
    return mFleet.StateOf(0, 4) == InstanceState::Live &&
           mFleet.StateOf(4, 0) == InstanceState::Live &&
           mFleet.StateOf(2, 4) == InstanceState::Live;
  }));
}

} // namespace
} // namespace sassafrasknot::testing
