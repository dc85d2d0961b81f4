#include "world.hpp"
#include <gtest/gtest.h>

namespace soak {
namespace {

// Guards against concurrent runs that choose the same addresses: the second one
// then fails with "Address already in use".
TEST(World, ConcurrentRunsUseDifferentNetworks)
{
  WorldOptions options;
  options.mInstances = 0;
  const World first(options);
  const World second(options);
  EXPECT_NE(NetworkOf(first), NetworkOf(second));
}

} // namespace
} // namespace soak
