// Measures packets per second and added latency of the packet path on the
// loopback interface, through one instance and through two (one forwarding
// hop).

#include "sassafrasknot/protocol/packet.hpp"
#include "sassafrasknot/transport/test_snapshot.hpp"
#include "sassafrasknot/transport/traffic_pool.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <sys/socket.h>
#include <sys/time.h>

namespace {

using namespace sassafrasknot;
using boost::asio::ip::udp;
using Clock = std::chrono::steady_clock;

constexpr std::uint32_t kLoopback = 0x7F000001;
constexpr std::uint16_t kFlows = 256;
/// Payload of a measured packet, in bytes.
constexpr std::size_t kPayload = 200;
/// Upper limit of packets in flight.
constexpr std::size_t kWindow = 128;
/// Packets per measurement of latency.
constexpr std::size_t kSamples = 10000;
constexpr std::chrono::seconds kThroughputTime{ 2 };

/// Converts an endpoint of Asio.
state::Endpoint
ToState(const udp::endpoint& aEndpoint)
{
  return { { aEndpoint.address().to_v4().to_uint() }, aEndpoint.port() };
}

/// A UDP socket on the loopback interface whose receive times out after 100 ms.
class Socket
{
public:
  Socket()
    : mSocket(mContext,
              udp::endpoint(boost::asio::ip::address_v4(kLoopback), 0))
  {
    const timeval limit{ 0, 100000 };
    setsockopt(
      mSocket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }

  /// Returns the address and port that the socket is bound to.
  state::Endpoint Local() const { return ToState(mSocket.local_endpoint()); }

  /// Sends one datagram.
  void Send(const state::Endpoint& aTo, const protocol::Bytes& aBytes)
  {
    mSocket.send_to(
      boost::asio::buffer(aBytes),
      { boost::asio::ip::address_v4(aTo.mAddress.mValue), aTo.mPort });
  }

  /// Receives the next datagram.
  /// @return its size in bytes; 0 after 100 ms
  std::size_t Receive()
  {
    // Asio's receive would wait on after the socket's timeout.
    const auto size =
      recv(mSocket.native_handle(), mBuffer.data(), mBuffer.size(), 0);
    return size < 0 ? 0 : static_cast<std::size_t>(size);
  }

  /// Receives the next measured packet; skips probes and resets, which are
  /// smaller.
  /// @return false after 100 ms without a datagram
  bool ReceiveMeasured()
  {
    std::size_t size = 0;
    do {
      size = Receive();
    } while (size != 0 && size < kPayload);
    return size != 0;
  }

  /// Returns the first aSize bytes of the last datagram.
  std::span<const std::uint8_t> Received(std::size_t aSize) const
  {
    return std::span(mBuffer).first(aSize);
  }

private:
  boost::asio::io_context mContext;
  udp::socket mSocket;
  std::array<std::uint8_t, 2048> mBuffer{};
};

/// Makes the opening packet of a flow, or a packet with payload.
protocol::Bytes
MakePacket(std::uint16_t aFlow, bool aOpen)
{
  protocol::PacketHeader header;
  header.mSource = { { 0x0A000200 }, static_cast<std::uint16_t>(1024 + aFlow) };
  header.mDestination = transport::kTestService;
  header.mSyn = aOpen;
  header.mAck = !aOpen;
  header.mSequence = aOpen ? 999 : 1000;
  return protocol::BuildPacket(header,
                               protocol::Bytes(aOpen ? 0 : kPayload, 0x55));
}

/// The measured path: from the sender through instances to the fabric's socket.
/// The fabric is the network that delivers the instances' packets to callers
/// and upstreams; one socket stands for it.
struct Path
{
  Socket& mSender;
  /// Receives all packets that instances send to callers and upstreams.
  Socket& mFabric;
  /// Where the sender's packets go: the first instance, or the fabric itself.
  state::Endpoint mEntry;
  /// One packet with payload per flow.
  const std::vector<protocol::Bytes>& mPackets;
};

/// Sends for kThroughputTime with at most kWindow packets in flight.
/// @param aLost increased by the packets that did not arrive
/// @return received packets per second
double
PacketsPerSecond(const Path& aPath, std::size_t& aLost)
{
  std::size_t sent = 0;
  std::size_t inFlight = 0;
  std::size_t received = 0;
  const auto start = Clock::now();
  while (Clock::now() - start < kThroughputTime) {
    while (inFlight < kWindow) {
      aPath.mSender.Send(aPath.mEntry, aPath.mPackets[sent % kFlows]);
      ++sent;
      ++inFlight;
    }
    for (std::size_t count = 0; count < kWindow / 2; ++count) {
      if (!aPath.mFabric.ReceiveMeasured()) {
        aLost += inFlight;
        inFlight = 0;
        break;
      }
      ++received;
      --inFlight;
    }
  }
  const std::chrono::duration<double> elapsed = Clock::now() - start;
  while (inFlight > 0 && aPath.mFabric.ReceiveMeasured()) {
    --inFlight;
  }
  aLost += inFlight;
  return static_cast<double>(received) / elapsed.count();
}

/// Latency from sending to receiving a packet, in microseconds.
struct Latency
{
  double mP50 = 0;
  double mP99 = 0;
};

/// Sends kSamples packets, one at a time; lost ones are left out.
Latency
MeasureLatency(const Path& aPath)
{
  std::vector<double> samples;
  for (std::size_t index = 0; index < kSamples; ++index) {
    const auto start = Clock::now();
    aPath.mSender.Send(aPath.mEntry, aPath.mPackets[index % kFlows]);
    if (aPath.mFabric.ReceiveMeasured()) {
      const std::chrono::duration<double, std::micro> elapsed =
        Clock::now() - start;
      samples.push_back(elapsed.count());
    }
  }
  if (samples.empty()) {
    return {};
  }
  std::ranges::sort(samples);
  return { samples[samples.size() / 2], samples[samples.size() * 99 / 100] };
}

/// Opens all flows: sends each opening packet, and answers it in the name of
/// the upstream that it was sent to.
void
OpenFlows(const Path& aPath)
{
  for (std::uint16_t flow = 0; flow < kFlows; ++flow) {
    aPath.mSender.Send(aPath.mEntry, MakePacket(flow, true));
    const auto opened =
      protocol::ParsePacket(aPath.mFabric.Received(aPath.mFabric.Receive()));
    if (!opened) {
      std::fprintf(
        stderr,
        "flow %u: the opening packet did not arrive at an upstream\n",
        unsigned{ flow });
      continue;
    }
    auto answer = opened.value().mHeader;
    std::swap(answer.mSource, answer.mDestination);
    answer.mAck = true;
    answer.mAcknowledgementNumber = 1000;
    aPath.mSender.Send(aPath.mEntry, protocol::BuildPacket(answer, {}));
    aPath.mFabric.Receive();
  }
}

/// Measures a path and prints its latency beyond that of the direct path.
void
Measure(const char* aName, const Path& aPath, const Latency& aDirect)
{
  std::size_t lost = 0;
  const auto latency = MeasureLatency(aPath);
  const auto rate = PacketsPerSecond(aPath, lost);
  std::printf("path=%s packets_per_second=%.0f lost=%zu "
              "added_p50_us=%.1f added_p99_us=%.1f\n",
              aName,
              rate,
              lost,
              latency.mP50 - aDirect.mP50,
              latency.mP99 - aDirect.mP99);
}

} // namespace

int
main()
{
  Socket sender;
  Socket fabric;
  std::vector<protocol::Bytes> packets;
  for (std::uint16_t flow = 0; flow < kFlows; ++flow) {
    packets.push_back(MakePacket(flow, false));
  }
  const Path direct{ sender, fabric, fabric.Local(), packets };
  const auto directLatency = MeasureLatency(direct);
  std::printf("path=direct p50_us=%.1f p99_us=%.1f\n",
              directLatency.mP50,
              directLatency.mP99);

  for (const std::size_t instances : { 1, 2 }) {
    std::vector<state::InstanceView> views;
    for (std::size_t index = 0; index < instances; ++index) {
      // The kernel assigned this port to a socket that is closed again, so that
      // the instance can bind it.
      const auto endpoint = Socket().Local();
      views.push_back(
        transport::MakeTestInstance("i" + std::to_string(index), endpoint));
    }
    std::vector<std::unique_ptr<transport::TrafficPool>> pools;
    for (std::size_t index = 0; index < instances; ++index) {
      transport::TrafficOptions options;
      options.mListen = views[index].mPeerEndpoint;
      options.mFabric = fabric.Local();
      auto pool = transport::TrafficPool::Start(
        options, {}, transport::MakeTestSnapshot(views, index));
      if (!pool) {
        std::fprintf(stderr, "%s\n", pool.error().mMessage.c_str());
        return 1;
      }
      pools.push_back(std::move(pool).value());
    }
    const Path path{ sender, fabric, views[0].mPeerEndpoint, packets };
    OpenFlows(path);
    Measure(instances == 1 ? "one-instance" : "one-hop", path, directLatency);
  }
  return 0;
}
