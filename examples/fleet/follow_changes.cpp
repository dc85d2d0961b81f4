// Updates a catalogue that is behind with the changes of another one.
#include "sassafrasknot/fleet/catalogue.hpp"

#include <iostream>

int
main()
{
  using namespace sassafrasknot::fleet;
  Catalogue leader;
  Merge(leader, { 0, 5, { { "routes", "first", 5, 5, false } } });
  Catalogue follower = leader;
  Merge(leader, { 5, 7, { { "routes", "second", 7, 5, false } } });

  const auto changes = ChangesAfter(leader, follower.mRevision);
  const auto changed = Merge(follower, changes);
  std::cout << changed->size() << " key changed, revision "
            << follower.mRevision << ": "
            << follower.mRecords.at("routes").mValue << '\n';
  return follower.mRecords == leader.mRecords ? 0 : 1;
}
