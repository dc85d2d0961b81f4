// Shows which instances own and back up a shard, and what a death changes.
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
  std::cout << "after its death " << instances[after[0]].mId.mValue << '\n';
  return after[0] == before[1] ? 0 : 1;
}
