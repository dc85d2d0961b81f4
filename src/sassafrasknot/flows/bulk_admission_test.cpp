#include "sassafrasknot/flows/bulk_admission.hpp"

#include "upload_model_test.hpp"
#include <gtest/gtest.h>

namespace sassafrasknot::flows {
namespace {

constexpr std::uint32_t kUploadBytes = UploadModel::kUploadBytes;

/// A router with routes of kinds Upload and Download.
struct AdmissionFixture : RouterFixture
{
  static constexpr std::uint16_t kDownloadPort = 8082;

  explicit AdmissionFixture(double aLinkMbps)
  {
    mRouter = MakeRouter({ { "a" }, {}, 7, aLinkMbps });
    auto configuration =
      std::make_shared<Configuration>(*mDirectory.mConfiguration);
    AddRoute(*configuration, kUploadPort, RequestKind::Upload);
    AddRoute(*configuration, kDownloadPort, RequestKind::Download);
    mDirectory.mConfiguration = configuration;
    AddUpstream("i-1", "a");
    AddUpstream("i-2", "a");
    Publish(milliseconds(0));
    Tick(milliseconds(0));
  }

  void Tick(milliseconds aTime) { OnTick(mRouter, At(aTime)); }

  /// Forwards data of an upload from its beginning up to a sequence number.
  void SendData(std::uint16_t aPort,
                UpstreamToken aToken,
                std::uint32_t aBytes,
                milliseconds aTime)
  {
    for (std::uint32_t sent = 0; sent < aBytes; sent += kBulkPacketBytes) {
      Send(aPort,
           kUploadPort,
           aToken,
           1 + sent,
           1,
           std::min(kBulkPacketBytes, aBytes - sent),
           aTime);
    }
  }

  /// Makes the size of the route's uploads known.
  void CompleteUpload(milliseconds aTime)
  {
    const auto token = Open(1, kUploadPort, aTime).mUpstream->mToken;
    SendData(1, token, kUploadBytes, aTime);
    Send(1, kUploadPort, token, 1 + kUploadBytes, 301, 0, aTime);
    Tick(aTime + milliseconds(25));
  }

  /// Opens uploads from ports 101 on. Returns how many were admitted.
  int OpenUploads(int aCount, milliseconds aTime)
  {
    int admitted = 0;
    for (int index = 1; index <= aCount; ++index) {
      const auto port = static_cast<std::uint16_t>(100 + index);
      const auto decision = Open(port, kUploadPort, aTime);
      admitted += decision.mAction == PacketAction::Forward ? 1 : 0;
    }
    return admitted;
  }
};

// Guards against uploads of which 20 that open at the same time at 10 Mbit/s
// delay all other packets by 0.3 s.
TEST(BulkAdmission, DefersThenRefusesWithoutCapacity)
{
  AdmissionFixture fixture(10);
  fixture.CompleteUpload(milliseconds(0));
  const int admitted = fixture.OpenUploads(20, milliseconds(100));
  EXPECT_GE(admitted, 2);
  EXPECT_LE(admitted, 6);
  const auto first = fixture.Open(300, kUploadPort, milliseconds(100));
  EXPECT_EQ(first.mAction, PacketAction::Discard);
  EXPECT_EQ(first.mReason, Reason::Deferred);
  EXPECT_EQ(first.mVerdict, state::Verdict::NotRun);
  EXPECT_EQ(fixture.Open(300, kUploadPort, milliseconds(300), 1).mReason,
            Reason::Deferred);
  // The admitted uploads go on sending.
  for (int port = 101; port <= 100 + admitted; ++port) {
    const auto caller = static_cast<std::uint16_t>(port);
    const auto token = fixture.mRouter.mFlows
                         .at(RouterFixture::MakePacket(
                               caller, kUploadPort, state::SegmentKind::Open)
                               .mFlow)
                         .mToken;
    fixture.SendData(caller, token, 24000, milliseconds(650));
  }
  const auto last = fixture.Open(300, kUploadPort, milliseconds(700), 2);
  EXPECT_EQ(last.mAction, PacketAction::Reset);
  EXPECT_EQ(last.mReason, Reason::LinkFull);
  EXPECT_EQ(last.mVerdict, state::Verdict::NotRun);
}

// Guards against a rejection as not run of a flow that may exist: another
// instance may have forwarded an earlier copy of the opening packet.
TEST(BulkAdmission, RefusesOnlyFlowsThatItHasDeferred)
{
  AdmissionFixture fixture(10);
  fixture.CompleteUpload(milliseconds(0));
  fixture.OpenUploads(20, milliseconds(100));
  const auto decision = fixture.Open(300, kUploadPort, milliseconds(100), 2);
  EXPECT_EQ(decision.mAction, PacketAction::Discard);
  EXPECT_EQ(decision.mReason, Reason::Deferred);
}

// Guards against deferred uploads that count as unanswered opens, as load or as
// failures of upstreams, for 20 uploads at the same time at 10 Mbit/s.
TEST(BulkAdmission, DeferredFlowsLeaveNoTrace)
{
  AdmissionFixture fixture(10);
  fixture.CompleteUpload(milliseconds(0));
  fixture.Tick(milliseconds(75));
  const int admitted = fixture.OpenUploads(20, milliseconds(100));
  const auto flows = fixture.mRouter.mFlows.size();
  for (std::uint16_t port = 300; port < 320; ++port) {
    for (const auto& [copy, time] : { std::pair(0U, milliseconds(100)),
                                      std::pair(1U, milliseconds(101)),
                                      std::pair(2U, milliseconds(102)) }) {
      EXPECT_EQ(fixture.Open(port, kUploadPort, time, copy).mUpstream, nullptr);
    }
  }
  EXPECT_EQ(fixture.mRouter.mFlows.size(), flows);
  for (int time = 100; time <= 275; time += 25) {
    fixture.Tick(milliseconds(time));
  }
  // The callers of the admitted flows have not returned.
  EXPECT_GT(fixture.mRouter.mOpens.mUnanswered, admitted - 1);
  EXPECT_LE(fixture.mRouter.mOpens.mUnanswered, admitted);
  for (const auto& [token, record] : fixture.mRouter.mUpstreams.mByToken) {
    EXPECT_EQ(record.mFailureDetector.mRetransmittingFlows, 0U);
    EXPECT_EQ(record.mOwnLoad, UpstreamLoad{});
  }
}

// Guards against packets of admitted uploads that are discarded or reset, and
// against copies of their opening packets that are deferred, while the link has
// no capacity.
TEST(BulkAdmission, NeverTouchesAdmittedFlows)
{
  AdmissionFixture fixture(10);
  fixture.CompleteUpload(milliseconds(0));
  const auto admitted = fixture.Open(50, kUploadPort, milliseconds(100));
  fixture.OpenUploads(20, milliseconds(100));
  for (const std::uint32_t copy : { 0U, 1U, 2U }) {
    EXPECT_EQ(
      fixture.Open(50, kUploadPort, milliseconds(101 + copy), copy).mAction,
      PacketAction::Forward);
  }
  const auto token = admitted.mUpstream->mToken;
  for (std::uint32_t index = 0; index < 60; ++index) {
    EXPECT_EQ(fixture
                .Send(50,
                      kUploadPort,
                      token,
                      1 + index * kBulkPacketBytes,
                      1,
                      kBulkPacketBytes,
                      milliseconds(110 + index))
                .mAction,
              PacketAction::Forward);
  }
}

// Guards against other requests that wait because of uploads. The data of a
// download do not pass through the instance, so that deferring it would not
// shorten the queue.
TEST(BulkAdmission, DefersOnlyUploads)
{
  AdmissionFixture fixture(10);
  fixture.CompleteUpload(milliseconds(0));
  fixture.OpenUploads(20, milliseconds(100));
  for (const auto port :
       { kFeedPort, kRequestPort, AdmissionFixture::kDownloadPort }) {
    // A route whose size is not known is admitted in any case.
    fixture.mRouter.mBulk.mSizes[{ kServiceAddress, port }] = {
      kUploadBytes, 1, At(milliseconds(0))
    };
    EXPECT_EQ(fixture.Open(400, port, milliseconds(101)).mAction,
              PacketAction::Forward);
  }
}

// Guards against uploads that are deferred although the bandwidth of the link
// or the size of the route's uploads is not known, or with a link of 200 Mbit/s
// and 40 uploads at the same time.
TEST(BulkAdmission, IsOffWithoutMeasurementsAndOnLargeLinks)
{
  AdmissionFixture unknownBandwidth(0);
  unknownBandwidth.CompleteUpload(milliseconds(0));
  EXPECT_EQ(unknownBandwidth.OpenUploads(40, milliseconds(100)), 40);
  AdmissionFixture unknownSize(10);
  EXPECT_EQ(unknownSize.OpenUploads(40, milliseconds(100)), 40);
  AdmissionFixture large(200);
  large.CompleteUpload(milliseconds(0));
  EXPECT_EQ(large.OpenUploads(40, milliseconds(100)), 40);
}

// Guards against dead uploads that block the capacity of a 10 Mbit/s link for
// as long as their flow entries stay.
TEST(BulkAdmission, DeadUploadsExpire)
{
  AdmissionFixture fixture(10);
  fixture.CompleteUpload(milliseconds(0));
  const int admitted = fixture.OpenUploads(20, milliseconds(100));
  EXPECT_LT(admitted, 20);
  milliseconds time{ 100 };
  for (; time < milliseconds(600); time += milliseconds(25)) {
    fixture.Tick(time);
  }
  EXPECT_EQ(fixture.mRouter.mBulk.mSendingFlows, 0U);
  EXPECT_EQ(fixture.Open(300, kUploadPort, time).mReason, Reason::Placed);
  for (; time < milliseconds(12000); time += milliseconds(25)) {
    fixture.Tick(time);
  }
  EXPECT_TRUE(fixture.mRouter.mBulk.mFlows.empty());
  EXPECT_TRUE(fixture.mRouter.mBulk.mDeferred.empty());
}

// Guards against tables that grow without limit in a flood of opening packets,
// 5,000 in a millisecond at 10 Mbit/s.
TEST(BulkAdmission, TablesAreBounded)
{
  AdmissionFixture fixture(10);
  for (const auto port : { 2000, 10000 }) {
    for (int index = 0; index < 5000; ++index) {
      const auto caller = static_cast<std::uint16_t>(port + index);
      fixture.Open(caller, kUploadPort, milliseconds(200));
    }
    fixture.CompleteUpload(milliseconds(300));
  }
  const auto& bulk = fixture.mRouter.mBulk;
  EXPECT_LE(bulk.mFlows.size(), kMaxBulkFlows);
  EXPECT_LE(bulk.mDeferred.size(), kMaxDeferredFlows);
}

// Guards against a size that is kept although the route's uploads have changed:
// of 100 uploads, the last 50 are a tenth as large.
TEST(BulkAdmission, LearnsTheSizeOfUploads)
{
  AdmissionFixture fixture(10);
  milliseconds time{ 0 };
  for (std::uint16_t index = 0; index < 100; ++index) {
    const std::uint32_t bytes = index < 50 ? 80000 : 8000;
    const auto port = static_cast<std::uint16_t>(500 + index);
    time += milliseconds(500);
    const auto token = fixture.Open(port, kUploadPort, time).mUpstream->mToken;
    fixture.SendData(port, token, bytes, time);
    fixture.Send(port, kUploadPort, token, 1 + bytes, 301, 0, time);
    if (index == 49) {
      EXPECT_NEAR(
        fixture.mRouter.mBulk.mSizes.begin()->second.mMeanBytes, 80000, 10);
    }
  }
  EXPECT_NEAR(
    fixture.mRouter.mBulk.mSizes.begin()->second.mMeanBytes, 8000, 3500);
  fixture.mDirectory.mConfiguration = std::make_shared<Configuration>();
  fixture.Publish(time);
  EXPECT_TRUE(fixture.mRouter.mBulk.mSizes.empty());
}

} // namespace
} // namespace sassafrasknot::flows
