#include "sassafrasknot/net/http_client.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "addresses.hpp"
#include "child_process.hpp"
#include "upstream.hpp"
#include <gtest/gtest.h>
#include <unistd.h>

namespace soak {
namespace {

using sassafrasknot::testing::Checksum;
using sassafrasknot::testing::Encode;
using sassafrasknot::testing::kSyn;
using std::chrono::milliseconds;

constexpr Endpoint kInstance{ { 0x7F620001 }, 8172 };
constexpr Endpoint kCaller{ { 0x7F620002 }, 10000 };
constexpr std::size_t kLabelBytes = 8;

/// Returns an endpoint that concurrent test programs do not use.
Endpoint
MakeEndpoint()
{
  constexpr std::uint32_t kTestNetwork = 0x7F620000;
  constexpr std::uint32_t kHosts = 0xFFFF;
  return { { kTestNetwork | (static_cast<std::uint32_t>(getpid()) & kHosts) },
           kUpstreamPort };
}

/// An upstream whose received opening packets are counted.
struct CountedUpstream
{
  CountedUpstream()
  {
    UpstreamEvents events;
    events.mOnOpeningReceived = [this](const auto&, const auto&) {
      ++mOpenings;
    };
    mUpstream =
      std::make_shared<Upstream>(mContext, 1, "desk", mEndpoint, events);
    mUpstream->mIsReachableFrom = [](const auto&) { return true; };
    mUpstream->Start(1);
  }

  /// Closes the sockets, whose handlers refer to the upstream.
  ~CountedUpstream() { mUpstream->Stop(); }
  CountedUpstream(const CountedUpstream&) = delete;
  CountedUpstream& operator=(const CountedUpstream&) = delete;

  /// Delivers an opening packet.
  void Open()
  {
    WirePacket opening{ 1, 0, kSyn };
    opening.mSource = kCaller;
    opening.mSum = Checksum(opening);
    const auto bytes = std::string(kLabelBytes, '\0') + Encode(opening);
    mUpstream->Receive(kInstance, { bytes.begin(), bytes.end() });
  }

  /// Returns the error of a health check, or nothing if it was answered.
  std::optional<sassafrasknot::state::ErrorCode> CheckHealth()
  {
    std::optional<sassafrasknot::state::ErrorCode> error;
    sassafrasknot::net::StartGet(
      mContext.get_executor(),
      { mEndpoint, "/h", milliseconds(200), milliseconds(200) },
      [&error](const auto& aResponse) {
        if (!aResponse) {
          error = aResponse.error().mCode;
        }
      });
    mContext.restart();
    mContext.run_for(milliseconds(300));
    return error;
  }

  Endpoint mEndpoint = MakeEndpoint();
  boost::asio::io_context mContext;
  std::shared_ptr<Upstream> mUpstream;
  int mOpenings = 0;
};

// Guards against upstreams that still answer packets or health checks while
// they are silent, so that a run would not test their failure, and against ones
// that never respond again. The process guards against instances that inherit
// the sockets, which then stay open.
TEST(Upstream, IsSilentUntilItRespondsAgain)
{
  CountedUpstream fixture;
  const ChildProcess process({ "/bin/sleep", "10" }, "/dev/null");
  fixture.Open();
  EXPECT_EQ(fixture.CheckHealth(), std::nullopt);
  fixture.mUpstream->Silence();
  fixture.Open();
  EXPECT_EQ(fixture.mOpenings, 1);
  EXPECT_EQ(fixture.CheckHealth(),
            sassafrasknot::state::ErrorCode::DeadlineExceeded);
  fixture.mUpstream->Respond();
  fixture.Open();
  EXPECT_EQ(fixture.mOpenings, 2);
  EXPECT_EQ(fixture.CheckHealth(), std::nullopt);
}

// Guards against delayed upstreams that process or drop packets or answer
// health checks meanwhile, so that a run would not test lateness.
TEST(Upstream, ProcessesDelayedPacketsLater)
{
  CountedUpstream fixture;
  fixture.mUpstream->Delay(milliseconds(350));
  fixture.Open();
  fixture.Open();
  EXPECT_EQ(fixture.CheckHealth(),
            sassafrasknot::state::ErrorCode::DeadlineExceeded);
  EXPECT_EQ(fixture.mOpenings, 0);
  fixture.mContext.restart();
  fixture.mContext.run_for(milliseconds(150));
  EXPECT_EQ(fixture.mOpenings, 2);
  EXPECT_EQ(fixture.CheckHealth(), std::nullopt);
}

} // namespace
} // namespace soak
