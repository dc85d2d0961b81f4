#include "sassafrasknot/flows/link_monitor.hpp"

#include "flow_fixture_test.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

constexpr std::uint32_t kPacketBytes = 1200;

/// Forwards packets at equal intervals for a time.
void
ForwardEvery(LinkMonitor& aMonitor,
             std::chrono::microseconds aInterval,
             milliseconds aDuration)
{
  for (std::chrono::microseconds time{ 0 }; time < aDuration;
       time += aInterval) {
    RecordForwarded(aMonitor, kPacketBytes, At(milliseconds(0)) + time);
  }
}

// Guards against congestion that goes unnoticed, or is assumed on a link that
// carries its load: at 10 Mbit/s a packet takes about 1 ms.
TEST(LinkMonitor, IsCongestedOnlyAboveItsBandwidth)
{
  auto monitor = MakeLinkMonitor(10);
  ForwardEvery(monitor, std::chrono::microseconds(1300), milliseconds(1000));
  EXPECT_FALSE(IsCongested(monitor, At(milliseconds(1000))));
  monitor = MakeLinkMonitor(10);
  ForwardEvery(monitor, std::chrono::microseconds(700), milliseconds(300));
  EXPECT_TRUE(IsCongested(monitor, At(milliseconds(300))));
  EXPECT_FALSE(IsCongested(monitor, At(milliseconds(600))));
}

// Guards against evidence from packets that a short buffer drops, and against
// an instance that ignores failures because of each single upload.
TEST(LinkMonitor, MayDropPacketsOnlyInAQueueOfSeveralUploads)
{
  auto monitor = MakeLinkMonitor(10);
  const auto forward = [&](int aPackets) {
    for (int packet = 0; packet < aPackets; ++packet) {
      RecordForwarded(monitor, 1200, At(milliseconds(0)));
    }
  };
  forward(16);
  EXPECT_FALSE(MayDropPacket(monitor, At(milliseconds(0))));
  forward(16);
  EXPECT_TRUE(MayDropPacket(monitor, At(milliseconds(0))));
  EXPECT_FALSE(MayDropPacket(monitor, At(milliseconds(25))));
}

// Guards against an instance that ignores failures for ever because its
// settings do not name a bandwidth.
TEST(LinkMonitor, AnUnknownBandwidthIsNeverCongested)
{
  auto monitor = MakeLinkMonitor(0);
  ForwardEvery(monitor, std::chrono::microseconds(10), milliseconds(300));
  EXPECT_FALSE(IsCongested(monitor, At(milliseconds(300))));
}

// Guards against one upstream that accepts flows slowly and so hides the
// failures of all others.
TEST(LinkMonitor, OneSlowUpstreamIsNoCongestion)
{
  auto monitor = MakeLinkMonitor(0);
  for (int count = 0; count < 20; ++count) {
    const auto duration = milliseconds(count % 5 == 0 ? 120 : 9);
    RecordHandshake(monitor, duration, At(milliseconds(20 * count)));
  }
  EXPECT_FALSE(IsCongested(monitor, At(milliseconds(400))));
  for (int count = 20; count < 30; ++count) {
    RecordHandshake(monitor, milliseconds(120), At(milliseconds(20 * count)));
  }
  EXPECT_TRUE(IsCongested(monitor, At(milliseconds(600))));
  EXPECT_FALSE(IsCongested(monitor, At(milliseconds(1200))));
}

} // namespace
} // namespace sassafrasknot::flows
