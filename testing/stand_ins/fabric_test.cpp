#include <set>

#include "fabric.hpp"
#include <gtest/gtest.h>

namespace stand_ins {
namespace {

constexpr state::Endpoint kCaller{ { 0x7f1e0001 }, 10000 };
constexpr state::Endpoint kService{ { 0x7f0a0001 }, 7001 };
constexpr state::Endpoint kUpstream{ { 0x7f140001 }, 8001 };
constexpr state::Endpoint kInstanceA{ { 0x7f000001 }, 7001 };
constexpr state::Endpoint kInstanceB{ { 0x7f000001 }, 7002 };

Fabric
MakeFabric(Spray aSpray)
{
  Fabric fabric;
  fabric.mCallers = { { 0x7f000001 }, 7900 };
  fabric.mUpstreams = { { 0x7f000001 }, 7700 };
  fabric.mCallerPrefix = ParsePrefix("127.30.0.0/16").value();
  fabric.mUpstreamPrefix = ParsePrefix("127.20.0.0/16").value();
  fabric.mSpray = aSpray;
  fabric.mInstances = { kInstanceA, kInstanceB };
  return fabric;
}

// Chooses a destination 50 times for the same header and returns the different
// ones.
std::set<state::Endpoint>
CollectDestinations(Fabric& aFabric,
                    const state::Endpoint& aSource,
                    const state::Endpoint& aDestination)
{
  std::set<state::Endpoint> destinations;
  for (int i = 0; i < 50; ++i) {
    destinations.insert(
      ChooseDestination(aFabric,
                        { .mSource = aSource, .mDestination = aDestination })
        .value());
  }
  return destinations;
}

// Packets from upstreams must go through an instance, which rewrites their
// source; packets that an instance has rewritten must not return to one.
TEST(Fabric, RoutesBySourceAndDestination)
{
  auto fabric = MakeFabric(Spray::Packet);
  const std::set both{ kInstanceA, kInstanceB };
  EXPECT_EQ(CollectDestinations(fabric, kCaller, kService), both);
  EXPECT_EQ(CollectDestinations(fabric, kUpstream, kCaller), both);
  EXPECT_EQ(CollectDestinations(fabric, kCaller, kUpstream),
            std::set{ fabric.mUpstreams });
  EXPECT_EQ(CollectDestinations(fabric, kService, kCaller),
            std::set{ fabric.mCallers });
}

// With Spray::Flow, packets of one flow must not reach several instances.
TEST(Fabric, KeepsAFlowOnOneInstance)
{
  auto fabric = MakeFabric(Spray::Flow);
  EXPECT_EQ(CollectDestinations(fabric, kCaller, kService).size(), 1U);
}

// After the last instance is removed from the list, packets to a service must
// be dropped and counted.
TEST(Fabric, DropsWithoutInstances)
{
  auto fabric = MakeFabric(Spray::Packet);
  fabric.mInstances.clear();
  OnDatagram(
    fabric,
    protocol::BuildPacket({ .mSource = kCaller, .mDestination = kService }, {}),
    {});
  EXPECT_TRUE(fabric.mOutput.empty());
  EXPECT_EQ(fabric.mCounters.at("no_instance"), 1U);
}

// A range without bits, with bits outside 1 to 32 or without an address must be
// refused, as it would route packets to the wrong program.
TEST(Fabric, RefusesMalformedPrefixes)
{
  for (const auto* text :
       { "127.0.0.0", "127.0.0.0/0", "127.0.0.0/33", "/8" }) {
    EXPECT_FALSE(ParsePrefix(text).has_value()) << text;
  }
}

} // namespace
} // namespace stand_ins
