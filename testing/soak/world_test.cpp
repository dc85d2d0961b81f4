#include "world.hpp"
#include <gtest/gtest.h>

namespace soak {
namespace {

// Guards against runs at the same time that take each other's addresses, which
// made one of ten deliberate faults end with "Address already in use".
TEST(World, RunsAtTheSameTimeHaveNetworksOfTheirOwn)
{
  WorldOptions options;
  options.mInstances = 0;
  const World first(options);
  const World second(options);
  EXPECT_NE(NetworkOf(first), NetworkOf(second));
}

} // namespace
} // namespace soak
