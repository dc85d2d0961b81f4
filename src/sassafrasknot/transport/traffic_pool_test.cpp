#include "sassafrasknot/protocol/packet.hpp"
#include "sassafrasknot/transport/traffic_pool.hpp"

#include <array>
#include <future>

#include "free_endpoint.hpp"
#include "test_snapshot.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <gtest/gtest.h>
#include <poll.h>

namespace sassafrasknot::transport {
namespace {

using boost::asio::ip::udp;
using protocol::Bytes;

/// A loopback socket that takes the place of the fabric.
class Fabric
{
public:
  Fabric()
    : mSocket(mContext,
              udp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
  {
  }

  state::Endpoint LocalEndpoint() const
  {
    return { { 0x7F000001 }, mSocket.local_endpoint().port() };
  }

  void Send(const state::Endpoint& aTo, const Bytes& aBytes)
  {
    mSocket.send_to(boost::asio::buffer(aBytes),
                    { boost::asio::ip::address_v4::loopback(), aTo.mPort });
  }

  /// Returns the next datagram, or an empty one if none arrives within a
  /// second.
  Bytes Receive()
  {
    pollfd ready{ mSocket.native_handle(), POLLIN, 0 };
    if (poll(&ready, 1, 1000) != 1) {
      return {};
    }
    Bytes bytes(2048);
    bytes.resize(mSocket.receive(boost::asio::buffer(bytes)));
    return bytes;
  }

private:
  boost::asio::io_context mContext;
  udp::socket mSocket;
};

std::unique_ptr<TrafficPool>
StartPool(const state::Endpoint& aListen,
          const state::Endpoint& aFabric,
          std::shared_ptr<state::Snapshot> aSnapshot,
          std::size_t aThreads)
{
  TrafficOptions options;
  options.mListen = aListen;
  options.mFabric = aFabric;
  options.mThreads = aThreads;
  auto pool = TrafficPool::Start(options, {}, std::move(aSnapshot));
  EXPECT_TRUE(pool.has_value());
  return std::move(pool).value();
}

Bytes
MakeOpeningPacket(std::uint16_t aPort)
{
  protocol::PacketHeader header;
  header.mSource = { { 0x0A000200 }, aPort };
  header.mDestination = kTestService;
  header.mSyn = true;
  return protocol::BuildPacket(header, {});
}

TrafficReport
CollectReport(TrafficPool& aPool)
{
  std::promise<TrafficReport> report;
  aPool.RequestReport(
    [&](TrafficReport aReport) { report.set_value(std::move(aReport)); });
  return report.get_future().get();
}

// Guards against packets that are lost or not rewritten on their way to the
// upstream or back to the caller: with one instance, whose threads pass
// packets to each other, and with two, where the first forwards them to the
// owner.
TEST(TrafficPool, RewritesBothDirections)
{
  for (const std::size_t instances : { 1, 2 }) {
    Fabric fabric;
    std::vector<state::InstanceView> views;
    for (std::size_t index = 0; index < instances; ++index) {
      views.push_back(
        MakeTestInstance("i" + std::to_string(index), FreeEndpoint()));
    }
    std::vector<std::unique_ptr<TrafficPool>> pools;
    for (std::size_t index = 0; index < instances; ++index) {
      pools.push_back(StartPool(views[index].mPeerEndpoint,
                                fabric.LocalEndpoint(),
                                MakeTestSnapshot(views, index),
                                3));
    }
    fabric.Send(views[0].mPeerEndpoint, MakeOpeningPacket(1024));
    auto bytes = fabric.Receive();
    const auto toUpstream = protocol::ParsePacket(bytes);
    ASSERT_TRUE(toUpstream.has_value());
    const auto upstream = toUpstream.value().mHeader.mDestination;
    EXPECT_EQ(upstream.mPort, kTestUpstream.mPort);
    EXPECT_EQ(toUpstream.value().mHeader.mSource.mPort, 1024);

    auto answer = toUpstream.value().mHeader;
    std::swap(answer.mSource, answer.mDestination);
    answer.mAck = true;
    fabric.Send(views[0].mPeerEndpoint, protocol::BuildPacket(answer, {}));
    bytes = fabric.Receive();
    const auto toCaller = protocol::ParsePacket(bytes);
    ASSERT_TRUE(toCaller.has_value());
    EXPECT_EQ(toCaller.value().mHeader.mSource, kTestService);
  }
}

// Guards against malformed or unexpected datagrams that end the process or are
// not counted under their reason.
TEST(TrafficPool, CountsDropsByReason)
{
  Fabric fabric;
  const auto endpoint = FreeEndpoint();
  auto pool =
    StartPool(endpoint,
              fabric.LocalEndpoint(),
              MakeTestSnapshot({ MakeTestInstance("a", endpoint) }, 0),
              1);
  auto unknown = MakeOpeningPacket(1);
  protocol::RewriteDestination(unknown, { { 0x0A0000FF }, 80 });
  fabric.Send(endpoint, unknown);
  fabric.Send(endpoint, { 0x45, 0 });
  fabric.Send(endpoint, { 0x01, 0xFF, 0xFF });
  fabric.Send(endpoint, MakeOpeningPacket(1024));
  ASSERT_FALSE(fabric.Receive().empty());
  const auto counters = CollectReport(*pool).mCounters;
  EXPECT_EQ(state::ValueOf(counters, "packets_dropped_unknown_total"), 1);
  EXPECT_EQ(state::ValueOf(counters, "packets_dropped_truncated_total"), 1);
  EXPECT_EQ(state::ValueOf(counters, "peer_messages_dropped_malformed_total"),
            1);
}

// Guards against two processes that share a port without an error, so that each
// receives only a part of the datagrams.
TEST(TrafficPool, RejectsEndpointInUse)
{
  Fabric fabric;
  TrafficOptions options;
  options.mListen = fabric.LocalEndpoint();
  options.mFabric = fabric.LocalEndpoint();
  options.mThreads = 2;
  const auto pool = TrafficPool::Start(
    options, {}, MakeTestSnapshot({ MakeTestInstance("a", {}) }, 0));
  ASSERT_FALSE(pool.has_value());
  EXPECT_EQ(pool.error().mCode, state::ErrorCode::Unavailable);
}

// Guards against packets that are queued during a pause of the process and sent
// after it with outdated placement. Without heartbeats they must be dropped.
TEST(TrafficPool, DropsPacketsWithoutHeartbeat)
{
  Fabric fabric;
  TrafficOptions options;
  options.mListen = FreeEndpoint();
  options.mFabric = fabric.LocalEndpoint();
  options.mStallLimit = std::chrono::milliseconds(1);
  auto pool = TrafficPool::Start(
    options, {}, MakeTestSnapshot({ MakeTestInstance("a", {}) }, 0));
  ASSERT_TRUE(pool.has_value());
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  fabric.Send(options.mListen, MakeOpeningPacket(1024));
  EXPECT_TRUE(fabric.Receive().empty());
  const auto counters = CollectReport(*pool.value()).mCounters;
  EXPECT_EQ(state::ValueOf(counters, "packets_dropped_stalled_total"), 1);
}

} // namespace
} // namespace sassafrasknot::transport
