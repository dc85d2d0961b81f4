#include "sassafrasknot/flows/flow_router.hpp"

#include <functional>

#include "flow_fixture_test.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

constexpr int kUpstreams = 6;

/// A router whose callers open one flow each 5 ms and return with a request
/// after 3 ms, or not at all.
struct OpensFixture : RouterFixture
{
  OpensFixture()
  {
    for (int index = 0; index < kUpstreams; ++index) {
      AddUpstream("i-" + std::to_string(index), "a");
    }
    Publish(milliseconds(0));
    OnTick(mRouter, At(milliseconds(0)));
  }

  /// Opens flows for some time. aReturns tells whether the caller of a flow at
  /// an upstream returns.
  void Run(milliseconds aTime,
           const std::function<bool(const UpstreamRecord&)>& aReturns)
  {
    const auto end = mTime + aTime;
    for (; mTime < end; mTime += milliseconds(5)) {
      const auto port = ++mPort;
      const auto* upstream = Open(port, kRequestPort, mTime).mUpstream;
      if (aReturns(*upstream)) {
        const auto token = upstream->mToken;
        const auto sent = mTime + milliseconds(3);
        Send(port, kRequestPort, token, 1, 1, 100, sent);
      }
      if (mTime % milliseconds(25) == milliseconds(0)) {
        OnTick(mRouter, At(mTime + milliseconds(4)));
      }
    }
  }

  int CountSuspected() const
  {
    int count = 0;
    for (const auto& [token, record] : mRouter.mUpstreams.mByToken) {
      const auto liveness = record.mFailureDetector.mLiveness;
      count += liveness == Liveness::Responsive ? 0 : 1;
    }
    return count;
  }

  milliseconds mTime{ 100 };
  std::uint16_t mPort = 1000;
};

// Guards against new flows that keep going to a crashed upstream until callers
// retransmit.
TEST(UnansweredOpens, MakeACrashedUpstreamSuspected)
{
  OpensFixture fixture;
  const auto crashed = TokenOf("i-3");
  fixture.Run(milliseconds(250), [&](const UpstreamRecord& aRecord) {
    return aRecord.mToken != crashed;
  });
  EXPECT_EQ(fixture.CountSuspected(), 1);
  EXPECT_EQ(FindUpstream(fixture.mRouter.mUpstreams, crashed)
              ->mFailureDetector.mLiveness,
            Liveness::Suspected);
}

// Guards against new flows that all go to the few upstreams which are not
// suspected, after a restart of all instances: routers then move callers from
// one instance to another, so that those of all upstreams do not return.
TEST(UnansweredOpens, OfAllUpstreamsAlikeAreNoEvidence)
{
  OpensFixture fixture;
  int opened = 0;
  fixture.Run(milliseconds(600), [&](const UpstreamRecord& /*aRecord*/) {
    return ++opened % 4 == 0;
  });
  EXPECT_EQ(fixture.CountSuspected(), 0);
}

// Guards against a crashed upstream that is not found because callers were
// moved a while before.
TEST(UnansweredOpens, CountAgainAfterCallersWereMoved)
{
  OpensFixture fixture;
  fixture.Run(milliseconds(300),
              [](const UpstreamRecord& /*aRecord*/) { return false; });
  fixture.Run(milliseconds(2500),
              [](const UpstreamRecord& /*aRecord*/) { return true; });
  const auto crashed = TokenOf("i-3");
  fixture.Run(milliseconds(250), [&](const UpstreamRecord& aRecord) {
    return aRecord.mToken != crashed;
  });
  EXPECT_EQ(fixture.CountSuspected(), 1);
}

// Guards against upstreams that look busy for seconds because callers did not
// return: an upstream answers an opening packet at once, so that it has no
// request of them.
TEST(UnansweredOpens, AreNoLoad)
{
  OpensFixture fixture;
  fixture.Run(milliseconds(100),
              [](const UpstreamRecord& /*aRecord*/) { return false; });
  OnTick(fixture.mRouter, At(fixture.mTime + kAnswerTimeout));
  for (const auto& [token, record] : fixture.mRouter.mUpstreams.mByToken) {
    EXPECT_EQ(record.mOwnLoad, UpstreamLoad{});
  }
}

// Guards against load that is not counted because a caller returned late.
TEST(UnansweredOpens, CountAsLoadOnceTheCallerReturns)
{
  OpensFixture fixture;
  const auto* upstream =
    fixture.Open(5, kRequestPort, milliseconds(100)).mUpstream;
  OnTick(fixture.mRouter, At(milliseconds(300)));
  EXPECT_EQ(upstream->mOwnLoad, UpstreamLoad{});
  fixture.Send(5, kRequestPort, upstream->mToken, 1, 1, 100, milliseconds(310));
  EXPECT_EQ(upstream->mOwnLoad, (UpstreamLoad{ .mActiveRequests = 1 }));
}

} // namespace
} // namespace sassafrasknot::flows
