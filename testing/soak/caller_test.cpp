#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "caller.hpp"
#include "stand_ins.hpp"
#include <gtest/gtest.h>

namespace soak {
namespace {

using sassafrasknot::testing::Checksum;
using sassafrasknot::testing::Decode;
using sassafrasknot::testing::Encode;
using sassafrasknot::testing::kAck;
using sassafrasknot::testing::kRst;
using sassafrasknot::testing::kSyn;
using std::chrono::milliseconds;

constexpr Endpoint kService{ { 0xC6120001 }, 8443 };
constexpr Endpoint kInstance{ { 0x7F000001 }, 8172 };

/// A caller whose packets are recorded instead of sent.
struct RecordedCaller
{
  RecordedCaller()
  {
    CallerEvents events;
    events.mSendPacket = [this](auto, const auto&, const auto& aBytes) {
      mSent.push_back(*Decode(aBytes));
    };
    events.mOnFlowOpened = [](const auto&) {};
    events.mOnReset = [](const auto&, const auto&) {};
    events.mOnInvalidPacket = [this](const auto&, const auto& aDescription) {
      mInvalid.push_back(aDescription);
    };
    events.mOnNotRun = [](const auto&) {};
    events.mOnRequestEnded = [](auto, auto) {};
    mCaller = std::make_shared<Caller>(
      mContext, 0, Endpoint{ { 0x7F000001 }, 0 }, std::move(events));
  }

  /// Answers the newest packet of the caller.
  void Answer(std::uint8_t aFlags,
              std::uint32_t aSequence,
              const std::string& aData)
  {
    const auto& newest = mSent.back();
    const auto length = static_cast<std::uint32_t>(newest.mData.size());
    WirePacket answer{ aSequence, newest.mSequence + length, aFlags };
    answer.mSource = kService;
    answer.mDestination = newest.mSource;
    answer.mData = aData;
    answer.mSum = aFlags == kRst ? 0 : Checksum(answer);
    const auto bytes = Encode(answer);
    mCaller->Receive(kInstance, { bytes.begin(), bytes.end() });
  }

  boost::asio::io_context mContext;
  std::shared_ptr<Caller> mCaller;
  std::vector<WirePacket> mSent;
  std::vector<std::string> mInvalid;
};

// Guards against a feed that is reset between two requests and then sends two
// requests at once on its new flow, so that it takes the answer to the first
// for one that belongs to another request.
TEST(Caller, AFeedThatBreaksBetweenRequestsSendsOneRequestAtATime)
{
  RecordedCaller fixture;
  fixture.mCaller->StartRequest(FlowKind::Feed, kService);
  fixture.Answer(kSyn | kAck, 500, "");
  ASSERT_EQ(fixture.mSent.back().mData, "0-0\n");
  fixture.Answer(kAck, 501, "0-0 done\n");
  fixture.Answer(kRst, 510, "");
  ASSERT_EQ(fixture.mSent.back().mFlags, kSyn);
  fixture.Answer(kSyn | kAck, 700, "");
  ASSERT_EQ(fixture.mSent.back().mData, "0-1\n");
  fixture.mSent.clear();
  fixture.mContext.run_for(milliseconds(700));
  std::set<std::string> requests;
  for (const auto& packet : fixture.mSent) {
    requests.insert(packet.mData);
  }
  EXPECT_EQ(requests, std::set<std::string>{ "0-1\n" });
  EXPECT_TRUE(fixture.mInvalid.empty());
}

} // namespace
} // namespace soak
