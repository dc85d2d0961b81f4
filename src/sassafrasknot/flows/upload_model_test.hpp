#ifndef SASSAFRASKNOT_FLOWS_UPLOAD_MODEL_TEST_HPP
#define SASSAFRASKNOT_FLOWS_UPLOAD_MODEL_TEST_HPP

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "flow_fixture_test.hpp"

namespace sassafrasknot::flows {

using std::chrono::microseconds;

constexpr std::uint16_t kUploadPort = 8081;

/// One direction of a link: packets wait in order of arrival, or are lost if
/// the queue is full.
struct LinkQueue
{
  static constexpr milliseconds kMaxDelay{ 1000 };
  double mBytesPerSecond = 0;
  microseconds mFreeAt{ 0 };

  /// Returns when a packet has left the queue, or nothing if it is lost.
  std::optional<microseconds> Pass(std::uint32_t aPayloadBytes,
                                   microseconds aNow)
  {
    if (mFreeAt - aNow > kMaxDelay) {
      return std::nullopt;
    }
    const double bytes = kPacketHeaderBytes + aPayloadBytes;
    const auto time = std::llround(bytes / mBytesPerSecond * 1e6);
    mFreeAt = std::max(mFreeAt, aNow) + microseconds(time);
    return mFreeAt;
  }
};

/// Load and link of a run of the model.
struct ModelParameters
{
  double mLinkMbps = 10;
  /// What the router is told; 0 disables admission.
  double mKnownMbps = 10;
  /// Whether both directions share the bandwidth.
  bool mIsShared = false;
  /// Uploads a second, outside and during the burst.
  double mUploadRate = 1.26;
  double mBurstFactor = 1;
  std::uint32_t mSeed = 1;
};

/// Results of a run.
struct ModelResults
{
  /// Queue delays of the feeds' packets that arrived during the burst or
  /// within a second of its end.
  std::vector<microseconds> mUrgentDelays;
  /// From the first opening packet of an upload to its answer.
  std::vector<microseconds> mUploadTimes;
  int mUploads = 0;
  /// Uploads that were refused three times or missed their deadline.
  int mFailed = 0;
  int mDeferred = 0;
  int mRefused = 0;
};

/// Returns the value below which a share of the values lies.
inline milliseconds
Quantile(std::vector<microseconds> aValues, double aShare)
{
  if (aValues.empty()) {
    return milliseconds(0);
  }
  std::ranges::sort(aValues);
  const auto index =
    static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1));
  return std::chrono::duration_cast<milliseconds>(aValues[index]);
}

/// Callers that upload 80,000 bytes through a router whose link has a limited
/// bandwidth in each direction, beside packets of feeds. The burst lasts from
/// 5 s to 10 s. A refused caller opens a flow from another port, at most three
/// in all; it comes back to the same router, which so has the load of a fleet
/// whose instances are all alike.
struct UploadModel : RouterFixture
{
  static constexpr std::uint32_t kUploadBytes = 80000;
  static constexpr std::uint32_t kPackets =
    (kUploadBytes + kBulkPacketBytes - 1) / kBulkPacketBytes;
  static constexpr std::uint32_t kAttempts = 3;
  static constexpr microseconds kCallerLatency{ 3000 };
  static constexpr microseconds kUpstreamLatency{ 900 };
  static constexpr microseconds kWork{ 5000 };
  static constexpr milliseconds kBurstBegin{ 5000 };
  static constexpr milliseconds kBurstEnd{ 10000 };
  static constexpr milliseconds kEnd{ 25000 };
  static constexpr milliseconds kDeadline{ 8000 };

  struct Upload
  {
    microseconds mBegin{ 0 };
    std::uint16_t mPort = 0;
    std::uint32_t mAttempt = 0;
    bool mEstablished = false;
    bool mDone = false;
    UpstreamToken mToken = kNoToken;
    std::uint32_t mNext = 0;
    std::uint32_t mAcknowledged = 0;
    std::vector<bool> mReceived = std::vector<bool>(kPackets);
  };

  explicit UploadModel(const ModelParameters& aParameters);

  ModelResults Run();

  void Later(microseconds aTime, std::function<void()> aEvent)
  {
    mEvents.push({ aTime, mEventCount++, std::move(aEvent) });
  }
  /// Sends a caller's packet. aForwarded is called when it has reached its
  /// upstream; aRefused when the caller receives a reset.
  void Transmit(const CallerPacket& aPacket,
                const std::function<void(UpstreamToken)>& aForwarded,
                const std::function<void()>& aRefused);
  void StartUploads();
  void Attempt(std::size_t aUpload);
  void SendOpen(std::size_t aUpload, std::uint32_t aCopy);
  void SendWindow(std::size_t aUpload);
  void SendData(std::size_t aUpload, std::uint32_t aIndex, milliseconds aRetry);
  void Finish(std::size_t aUpload);
  void SendFeedPacket();
  microseconds Random(double aRate)
  {
    return microseconds(std::llround(
      std::exponential_distribution<double>(aRate)(mRandom) * 1e6));
  }

  struct Event
  {
    microseconds mTime;
    std::uint64_t mOrder = 0;
    std::function<void()> mRun;

    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.mTime, aOther.mOrder) < std::tie(mTime, mOrder);
    }
  };

  ModelParameters mParameters;
  ModelResults mResults;
  std::minstd_rand mRandom;
  LinkQueue mIn;
  LinkQueue mOut;
  std::priority_queue<Event> mEvents;
  std::uint64_t mEventCount = 0;
  microseconds mNow{ 0 };
  std::vector<Upload> mUploads;
  std::uint16_t mNextPort = 1000;
  UpstreamToken mFeedToken = kNoToken;
  std::uint32_t mFeedSequence = 1;
};

} // namespace sassafrasknot::flows

#endif
