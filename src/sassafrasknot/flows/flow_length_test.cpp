#include "sassafrasknot/flows/flow_length.hpp"

#include "flow_fixture_test.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

/// A router with one upstream, at which flows of kFeedPort are opened.
struct LengthFixture : RouterFixture
{
  LengthFixture()
  {
    AddUpstream("i-1", "a");
    Publish(milliseconds(0));
  }

  /// Opens a flow that sends aRequests requests and ends. The next one begins
  /// 100 ms after this one.
  void RunFlow(int aRequests)
  {
    const auto port = ++mPort;
    const auto token = Open(port, kFeedPort, mTime).mUpstream->mToken;
    std::uint32_t sequence = 1;
    std::uint32_t acknowledged = 1;
    for (int request = 0; request < aRequests; ++request) {
      const auto sent = mTime + milliseconds(2 + 5 * request);
      Send(port, kFeedPort, token, sequence, acknowledged, 100, sent);
      sequence += 100;
      acknowledged += 400;
      Send(port,
           kFeedPort,
           token,
           sequence,
           acknowledged,
           0,
           sent + milliseconds(3));
    }
    auto end = MakePacket(port, kFeedPort, state::SegmentKind::Finish);
    end.mToken = token;
    end.mSequence = sequence;
    end.mAcknowledged = acknowledged;
    OnPacket(mRouter, end, At(mTime + milliseconds(90)));
    mTime += milliseconds(100);
  }

  /// Opens a flow and returns its upstream's load, then resets the flow.
  UpstreamLoad LoadOfNewFlow()
  {
    const auto port = ++mPort;
    const auto* upstream = Open(port, kFeedPort, mTime).mUpstream;
    const auto load = upstream->mOwnLoad;
    auto reset = MakePacket(port, kFeedPort, state::SegmentKind::Reset);
    reset.mToken = upstream->mToken;
    OnPacket(mRouter, reset, At(mTime + milliseconds(1)));
    return load;
  }

  std::uint16_t mPort = 1000;
  milliseconds mTime{ 10 };
};

// Guards against a new route whose feeds are placed like single requests and
// pile up on one upstream before their requests show.
TEST(FlowLength, NewIdempotentFlowsAreTakenForFeeds)
{
  LengthFixture fixture;
  EXPECT_EQ(fixture.LoadOfNewFlow(), (UpstreamLoad{ 1, 1 }));
}

// Guards against placement by long-term load where callers open a flow for each
// request: status checks of grants, a flow each, at peak load.
TEST(FlowLength, FlowsOfOneRequestEachAreNoLongerTakenForFeeds)
{
  LengthFixture fixture;
  for (int flow = 0; flow < 20; ++flow) {
    fixture.RunFlow(1);
  }
  EXPECT_EQ(fixture.LoadOfNewFlow(), (UpstreamLoad{ 0, 1 }));
  EXPECT_EQ(fixture.mRouter.mUpstreams.mByToken.begin()->second.mOwnLoad,
            UpstreamLoad{});
}

// Guards against an estimate that does not follow a route whose callers begin
// to keep their flows. The flows that are open then become feeds.
TEST(FlowLength, FollowsARouteWhoseCallersKeepTheirFlows)
{
  LengthFixture fixture;
  for (int flow = 0; flow < 40; ++flow) {
    fixture.RunFlow(1);
  }
  for (int flow = 0; flow < 20; ++flow) {
    fixture.RunFlow(3);
  }
  EXPECT_EQ(fixture.LoadOfNewFlow(), (UpstreamLoad{ 1, 1 }));
}

// Guards against feeds that count as single requests at instances which see
// only the end of them, after routers have moved them.
TEST(FlowLength, TheEndOfAFlowThatAnotherInstancePlacedShowsNothing)
{
  LengthFixture fixture;
  for (int flow = 0; flow < 40; ++flow) {
    const auto port = ++fixture.mPort;
    const auto token = TokenOf("i-1");
    fixture.Send(port, kFeedPort, token, 901, 501, 100, fixture.mTime);
    auto end =
      RouterFixture::MakePacket(port, kFeedPort, state::SegmentKind::Finish);
    end.mToken = token;
    OnPacket(fixture.mRouter, end, At(fixture.mTime + milliseconds(20)));
    fixture.mTime += milliseconds(100);
  }
  EXPECT_EQ(fixture.LoadOfNewFlow(), (UpstreamLoad{ 1, 1 }));
}

// Guards against lost or repeated answers, retransmissions and failed attempts
// being taken for further requests.
TEST(FlowLength, RetransmissionsAreNoFurtherRequests)
{
  LengthFixture fixture;
  for (int flow = 0; flow < 40; ++flow) {
    const auto port = ++fixture.mPort;
    const auto token =
      fixture.Open(port, kFeedPort, fixture.mTime).mUpstream->mToken;
    const auto sent = fixture.mTime + milliseconds(2);
    fixture.Send(port, kFeedPort, token, 1, 1, 100, sent);
    fixture.Send(port, kFeedPort, token, 1, 1, 100, sent + milliseconds(200));
    fixture.Send(port, kFeedPort, token, 101, 401, 0, sent + milliseconds(210));
    fixture.Send(port, kFeedPort, token, 1, 401, 100, sent + milliseconds(211));
    auto end =
      RouterFixture::MakePacket(port, kFeedPort, state::SegmentKind::Finish);
    end.mToken = token;
    end.mSequence = 101;
    end.mAcknowledged = 401;
    OnPacket(fixture.mRouter, end, At(sent + milliseconds(220)));
    fixture.mTime += milliseconds(300);
  }
  EXPECT_EQ(fixture.LoadOfNewFlow(), (UpstreamLoad{ 0, 1 }));
}

} // namespace
} // namespace sassafrasknot::flows
