// Prints the owner and the backup of a shard, and its owner after the first
// owner has failed, which is the backup.
#include "sassafrasknot/state/hashing.hpp"
#include "sassafrasknot/state/snapshot.hpp"

#include <iostream>

int
main()
{
  using namespace sassafrasknot::state;
  std::vector<InstanceView> instances;
  for (const auto* name : { "entry-1", "entry-2", "entry-3" }) {
    InstanceView instance;
    instance.mId.mValue = name;
    instance.mDataCentre = { "colombo" };
    instance.mHash = HashBytes(name);
    instances.push_back(instance);
  }
  const std::set<DataCentreId> reachable{ { "colombo" } };
  ShardTable shard;
  shard.mId = { { { "bells" }, "scheduling" }, 0 };
  shard.mDataCentres = { { "colombo" } };
  shard.mHash = HashBytes("bells/scheduling/colombo/0");
  const auto before = RankOwners(instances, shard, reachable, 2);
  std::cout << "owner " << instances[before[0]].mId.mValue << ", backup "
            << instances[before[1]].mId.mValue << '\n';
  instances[before[0]].mState = InstanceState::Dead;
  const auto after = RankOwners(instances, shard, reachable, 1);
  std::cout << "owner after its failure: " << instances[after[0]].mId.mValue
            << '\n';
  return after[0] == before[1] ? 0 : 1;
}
