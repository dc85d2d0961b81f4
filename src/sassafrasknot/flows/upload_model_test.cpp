#include "upload_model_test.hpp"

#include <utility>

namespace sassafrasknot::flows {

UploadModel::UploadModel(const ModelParameters& aParameters)
  : mParameters(aParameters)
  , mRandom(aParameters.mSeed)
{
  constexpr double kBytesPerMbit = 125000;
  mIn.mBytesPerSecond = aParameters.mLinkMbps * kBytesPerMbit;
  mOut.mBytesPerSecond = mIn.mBytesPerSecond;
  mRouter =
    MakeRouter({ { "a" }, {}, aParameters.mSeed, aParameters.mKnownMbps });
  auto configuration =
    std::make_shared<Configuration>(*mDirectory.mConfiguration);
  AddRoute(*configuration, kUploadPort, RequestKind::Upload);
  mDirectory.mConfiguration = configuration;
  for (int index = 0; index < 8; ++index) {
    AddUpstream("i-" + std::to_string(index), "a");
  }
  Publish(milliseconds(0));
}

ModelResults
UploadModel::Run()
{
  for (milliseconds time{ 0 }; time < kEnd; time += milliseconds(25)) {
    Later(time, [this] {
      OnTick(mRouter, At(milliseconds(0)) + mNow);
      mRouter.mLivenessChanges.clear();
    });
  }
  mFeedToken = Open(1, kFeedPort, milliseconds(0)).mUpstream->mToken;
  SendFeedPacket();
  StartUploads();
  while (!mEvents.empty()) {
    auto event = mEvents.top();
    mEvents.pop();
    mNow = event.mTime;
    event.mRun();
  }
  mResults.mFailed =
    mResults.mUploads - static_cast<int>(mResults.mUploadTimes.size());
  return std::move(mResults);
}

void
UploadModel::Transmit(const CallerPacket& aPacket,
                      const std::function<void(UpstreamToken)>& aForwarded,
                      const std::function<void()>& aRefused)
{
  const auto arrived = mIn.Pass(aPacket.mPayloadBytes, mNow + kCallerLatency);
  if (!arrived) {
    return;
  }
  const auto queued = *arrived - mNow - kCallerLatency;
  Later(*arrived, [=, this] {
    const auto decision =
      OnPacket(mRouter, aPacket, At(milliseconds(0)) + mNow);
    mResults.mDeferred += decision.mReason == Reason::Deferred ? 1 : 0;
    mResults.mRefused += decision.mReason == Reason::LinkFull ? 1 : 0;
    if (decision.mAction == PacketAction::Reset) {
      Later(mNow + kCallerLatency, aRefused);
    }
    if (decision.mAction != PacketAction::Forward) {
      return;
    }
    auto& out = mParameters.mIsShared ? mIn : mOut;
    const auto sent = out.Pass(aPacket.mPayloadBytes, mNow);
    if (!sent) {
      return;
    }
    if (aPacket.mFlow.mService.mPort == kFeedPort && mNow >= kBurstBegin &&
        mNow < kBurstEnd + milliseconds(1000)) {
      mResults.mUrgentDelays.push_back(queued + *sent - mNow);
    }
    Later(*sent + kUpstreamLatency,
          [=, token = decision.mUpstream->mToken] { aForwarded(token); });
  });
}

void
UploadModel::StartUploads()
{
  microseconds time{ 0 };
  while (time < kEnd - milliseconds(10000)) {
    const bool isBurst = time >= kBurstBegin && time < kBurstEnd;
    time += Random(mParameters.mUploadRate *
                   (isBurst ? mParameters.mBurstFactor : 1));
    const auto index = mUploads.size();
    mUploads.emplace_back().mBegin = time;
    ++mResults.mUploads;
    Later(time, [this, index] { Attempt(index); });
  }
}

void
UploadModel::Attempt(std::size_t aUpload)
{
  auto& upload = mUploads[aUpload];
  if (upload.mDone) {
    return;
  }
  if (upload.mAttempt == kAttempts) {
    upload.mDone = true;
    return;
  }
  const auto begin = upload.mBegin;
  const auto attempt = upload.mAttempt + 1;
  upload = {};
  upload.mBegin = begin;
  upload.mAttempt = attempt;
  upload.mPort = ++mNextPort;
  const auto openLater = [&](std::uint32_t aCopy, milliseconds aDelay) {
    Later(mNow + aDelay, [=, this] {
      if (mUploads[aUpload].mAttempt == attempt) {
        SendOpen(aUpload, aCopy);
      }
    });
  };
  openLater(0, milliseconds(0));
  openLater(1, milliseconds(200));
  openLater(2, milliseconds(600));
  Later(mNow + milliseconds(1400), [=, this] {
    if (mUploads[aUpload].mAttempt == attempt &&
        !mUploads[aUpload].mEstablished) {
      Attempt(aUpload);
    }
  });
}

void
UploadModel::SendOpen(std::size_t aUpload, std::uint32_t aCopy)
{
  const auto& upload = mUploads[aUpload];
  if (upload.mEstablished) {
    return;
  }
  auto packet = MakePacket(upload.mPort, kUploadPort, state::SegmentKind::Open);
  packet.mRetransmissions = aCopy;
  const auto attempt = upload.mAttempt;
  Transmit(
    packet,
    [=, this](UpstreamToken aToken) {
      Later(mNow + kCallerLatency, [=, this] {
        auto& opened = mUploads[aUpload];
        if (opened.mAttempt == attempt && !opened.mEstablished) {
          opened.mEstablished = true;
          opened.mToken = aToken;
          SendWindow(aUpload);
        }
      });
    },
    [=, this] {
      if (mUploads[aUpload].mAttempt == attempt) {
        Attempt(aUpload);
      }
    });
}

void
UploadModel::SendWindow(std::size_t aUpload)
{
  auto& upload = mUploads[aUpload];
  while (upload.mNext < kPackets &&
         upload.mNext < upload.mAcknowledged + kBulkWindowPackets) {
    SendData(aUpload, upload.mNext++, milliseconds(200));
  }
}

void
UploadModel::SendData(std::size_t aUpload,
                      std::uint32_t aIndex,
                      milliseconds aRetry)
{
  const auto& upload = mUploads[aUpload];
  if (upload.mReceived[aIndex] || mNow - upload.mBegin > kDeadline) {
    return;
  }
  auto packet = MakePacket(upload.mPort, kUploadPort, state::SegmentKind::Data);
  packet.mToken = upload.mToken;
  packet.mAcknowledged = 1;
  packet.mSequence = 1 + aIndex * kBulkPacketBytes;
  packet.mPayloadBytes =
    std::min(kBulkPacketBytes, kUploadBytes - aIndex * kBulkPacketBytes);
  Transmit(
    packet,
    [=, this](UpstreamToken /*aToken*/) {
      Later(mNow + kCallerLatency, [=, this] {
        auto& sender = mUploads[aUpload];
        sender.mReceived[aIndex] = true;
        while (sender.mAcknowledged < kPackets &&
               sender.mReceived[sender.mAcknowledged]) {
          ++sender.mAcknowledged;
        }
        if (sender.mAcknowledged == kPackets) {
          Later(mNow + kWork, [=, this] { Finish(aUpload); });
        } else {
          SendWindow(aUpload);
        }
      });
    },
    [] {});
  constexpr milliseconds kMaxRetry{ 1600 };
  Later(mNow + aRetry, [=, this] {
    SendData(aUpload, aIndex, std::min(aRetry * 2, kMaxRetry));
  });
}

void
UploadModel::Finish(std::size_t aUpload)
{
  auto& upload = mUploads[aUpload];
  if (std::exchange(upload.mDone, true)) {
    return;
  }
  const auto time = mNow - upload.mBegin;
  if (time > kDeadline) {
    return;
  }
  mResults.mUploadTimes.push_back(time);
  for (const auto kind :
       { state::SegmentKind::Data, state::SegmentKind::Finish }) {
    auto packet = MakePacket(upload.mPort, kUploadPort, kind);
    packet.mToken = upload.mToken;
    packet.mSequence = 1 + kUploadBytes;
    packet.mAcknowledged = 301;
    Transmit(
      packet, [](UpstreamToken) {}, [] {});
  }
}

void
UploadModel::SendFeedPacket()
{
  // A share of 14.7 requests a second, each with two acknowledgements.
  constexpr double kFeedPackets = 44;
  constexpr std::uint32_t kRequestBytes = 200;
  auto packet = MakePacket(1, kFeedPort, state::SegmentKind::Data);
  packet.mToken = mFeedToken;
  packet.mSequence = mFeedSequence;
  packet.mAcknowledged = mFeedSequence;
  packet.mPayloadBytes = kRequestBytes;
  mFeedSequence += kRequestBytes;
  Transmit(
    packet, [](UpstreamToken) {}, [] {});
  if (mNow < kEnd - milliseconds(10000)) {
    Later(mNow + Random(kFeedPackets), [this] { SendFeedPacket(); });
  }
}

} // namespace sassafrasknot::flows
