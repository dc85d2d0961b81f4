#include "sassafrasknot/net/clock.hpp"
#include "sassafrasknot/net/udp_socket.hpp"

#include <array>
#include <chrono>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace sassafrasknot::net {
namespace {

using std::chrono::milliseconds;

/// A socket on the loopback interface that sends datagrams to itself.
struct SelfSender
{
  SelfSender()
  {
    UdpSocket::Options options;
    options.mLocal = { { 0x7F000001 }, 0 };
    mSocket = UdpSocket::Open(mContext, options).value();
    mSocket->StartReceiving([this](auto /*aDatagram*/) {
      mMaxWaits.push_back(Now() - mSocket->QueueEmptyAt());
    });
  }

  ~SelfSender() { mSocket->Close(); }
  SelfSender(const SelfSender&) = delete;
  SelfSender& operator=(const SelfSender&) = delete;

  void Send() const
  {
    const std::array<std::uint8_t, 1> datagram{ 1 };
    ASSERT_TRUE(mSocket->Send(mSocket->LocalEndpoint(), datagram));
  }

  boost::asio::io_context mContext{ 1 };
  std::shared_ptr<UdpSocket> mSocket;
  std::vector<state::Duration> mMaxWaits;
};

// Guards against datagrams that waited while the process was stopped and seem
// to have just arrived, also those behind the first batch.
TEST(UdpSocket, TheBoundOfTheWaitCoversADelayOfTheProcess)
{
  SelfSender sender;
  sender.mSocket->HandleQueued();
  constexpr std::size_t kDatagrams = 150;
  for (std::size_t count = 0; count < kDatagrams; ++count) {
    sender.Send();
  }
  constexpr milliseconds kDelay{ 60 };
  std::this_thread::sleep_for(kDelay);
  sender.mContext.run_for(milliseconds(20));
  ASSERT_EQ(sender.mMaxWaits.size(), kDatagrams);
  for (const auto maxWait : sender.mMaxWaits) {
    EXPECT_GE(maxWait, kDelay);
  }
}

// Guards against messages that seem old because the socket was last used long
// before, although nothing waited in it.
TEST(UdpSocket, TheBoundOfTheWaitBeginsAtTheLastEmptyQueue)
{
  SelfSender sender;
  std::this_thread::sleep_for(milliseconds(60));
  const auto checked = Now();
  sender.mSocket->HandleQueued();
  EXPECT_GE(sender.mSocket->QueueEmptyAt(), checked);
  sender.Send();
  const auto sent = Now();
  sender.mContext.run_for(milliseconds(20));
  ASSERT_EQ(sender.mMaxWaits.size(), 1U);
  EXPECT_LE(sender.mMaxWaits.front(), Now() - checked);
  EXPECT_GE(sender.mSocket->QueueEmptyAt(), sent);
}

} // namespace
} // namespace sassafrasknot::net
