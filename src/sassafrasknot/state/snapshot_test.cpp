#include "sassafrasknot/state/hashing.hpp"
#include "sassafrasknot/state/snapshot.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sassafrasknot::state {
namespace {

std::vector<InstanceView>
MakeInstances(std::size_t aCount)
{
  std::vector<InstanceView> instances;
  for (std::size_t index = 0; index < aCount; ++index) {
    InstanceView instance;
    instance.mId.mValue = "instance-" + std::to_string(index);
    instance.mDataCentre = { "dc" };
    instance.mHash = HashBytes(instance.mId.mValue);
    instances.push_back(instance);
  }
  return instances;
}

ShardTable
MakeShard(std::size_t aCount)
{
  Service service;
  for (std::uint32_t index = 0; index < aCount; ++index) {
    service.mUpstreams.push_back(
      { { 0x7F000001 + index }, { "dc" }, 2, 2000, UpstreamState::Live });
  }
  const ServiceId id{ { "organisation" }, "service" };
  return MakeServiceTable(service, id, 1).mShards.at(0);
}

// Guards against a new owner other than the backup after the owner has failed:
// the copies of the flow records are at the backup.
RC_GTEST_PROP(RankOwners,
              BackupBecomesOwnerWhenOwnerFails,
              (std::uint64_t aHash))
{
  auto instances = MakeInstances(9);
  auto shard = MakeShard(1);
  shard.mHash = aHash;
  const auto before = RankOwners(instances, shard, { { "dc" } }, 2);
  instances[before[0]].mState = InstanceState::Dead;
  RC_ASSERT(RankOwners(instances, shard, { { "dc" } }, 1).at(0) == before[1]);
}

// Guards against flows that get another default upstream when an upstream other
// than theirs is removed.
RC_GTEST_PROP(DefaultUpstream,
              RemovalMovesOnlyItsOwnFlows,
              (std::uint64_t aHash))
{
  const auto full = MakeShard(15);
  auto reduced = full;
  reduced.mUpstreams.erase(reduced.mUpstreams.begin() + 3);
  const auto before = full.mUpstreams[DefaultUpstream(full, aHash).value()];
  const auto after =
    reduced.mUpstreams[DefaultUpstream(reduced, aHash).value()];
  if (before.mAddress != full.mUpstreams[3].mAddress) {
    RC_ASSERT(before.mAddress == after.mAddress);
  }
}

} // namespace
} // namespace sassafrasknot::state
