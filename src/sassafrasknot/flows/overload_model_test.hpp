#ifndef SASSAFRASKNOT_FLOWS_OVERLOAD_MODEL_TEST_HPP
#define SASSAFRASKNOT_FLOWS_OVERLOAD_MODEL_TEST_HPP

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "flow_fixture_test.hpp"

namespace sassafrasknot::flows {

using std::chrono::microseconds;

/// How new flows are admitted in a run of the model.
enum class Admission : std::uint8_t
{
  None,
  OwnLimit,   ///< CapacityAdmission.
  TotalLimit, ///< A limit of own plus reported requests; an alternative.
  TokenRate,  ///< A rate of new flows by service; an alternative.
};

/// One kind of request of the model.
struct ModelKind
{
  std::uint16_t mPort = 0;
  RequestKind mKind = RequestKind::NonIdempotent;
  std::uint32_t mPriority = 0;
  /// Share of the requests.
  double mShare = 0;
  microseconds mWork{ 0 };
  microseconds mObjective{ 0 };
  microseconds mDeadline{ 0 };
  double mValue = 1;
  double mLateValue = 0.5;
};

struct OverloadParameters
{
  Admission mAdmission = Admission::OwnLimit;
  /// Load as a share of the capacity of all upstreams, outside and during the
  /// overload.
  double mLoad = 0.5;
  double mBurstLoad = 1.4;
  /// Upstreams that leave the directory with the begin of the overload.
  std::size_t mRemoved = 0;
  /// Share of requests that the first upstream answers at once with errors.
  double mFailingShare = 0;
  /// Equal priorities of all kinds.
  bool mEqualPriorities = false;
  /// Share of sales in the load during the overload; otherwise the usual one.
  std::optional<double> mSalesShare;
  std::uint32_t mSeed = 1;
};

/// Outcomes of the requests of one kind that began during the overload.
struct KindResults
{
  int mRequests = 0;
  int mServed = 0;
  double mCredit = 0;
  double mMaxCredit = 0;

  double ServedShare() const;
  double CreditShare() const;
};

struct OverloadResults
{
  std::array<KindResults, 3> mKinds;
  /// Requests before and after the overload.
  KindResults mBefore;
  KindResults mAfter;
  int mRejections = 0;
  /// Rejections from 1 s after the end of the overload.
  int mLateRejections = 0;
  /// Rejections that the instances have recognised.
  int mRecognised = 0;
  /// Opening packets.
  int mDeferred = 0;
  int mRefused = 0;
  /// Mean share of busy slots from 1 s after the begin of the overload to its
  /// end.
  double mUtilisation = 0;

  KindResults All() const;
  OverloadResults& operator+=(const OverloadResults& aOther);
};

/// Instances of one data centre, each with a router, a subset of the upstreams
/// and copies of the others' loads that are 25 to 100 ms old. Callers open
/// flows, retransmit opening packets after 200 ms and 600 ms, and make three
/// attempts from different ports until their deadline. Upstreams have two slots
/// and a queue of eight requests. Links have no limits.
class OverloadModel
{
public:
  static constexpr std::size_t kInstances = 15;
  static constexpr std::size_t kUpstreams = 20;
  static constexpr std::uint32_t kSlotsOfUpstream = 2;
  static constexpr microseconds kBurstBegin{ 6000000 };
  static constexpr microseconds kBurstEnd{ 10000000 };
  static constexpr microseconds kArrivalsEnd{ 14000000 };
  static constexpr microseconds kEnd{ 23000000 };

  explicit OverloadModel(const OverloadParameters& aParameters);

  OverloadResults Run();

private:
  struct SimulatedUpstream
  {
    std::uint32_t mActive = 0;
    std::deque<std::pair<std::size_t, std::uint32_t>> mQueue;
    bool mRemoved = false;
  };

  struct SimulatedFlow
  {
    state::Endpoint mCaller;
    std::size_t mInstance = 0;
    UpstreamToken mToken = kNoToken;
    std::uint32_t mNext = 1;
    std::uint32_t mAcknowledged = 1;
  };

  struct Request
  {
    std::size_t mKind = 0;
    microseconds mBegin{ 0 };
    std::uint32_t mAttempt = 0;
    bool mDone = false;
    bool mEstablished = false;
    /// The present attempt has ended by a reset or a rejection.
    bool mEnded = false;
    SimulatedFlow mFlow;
  };

  struct TotalLimit
  {
    double mLimit = 0;
    /// Own limit that was last set.
    double mApplied = 0;
    std::uint64_t mRejections = 0;
    state::TimePoint mLastRejection;
    state::TimePoint mReduced;
  };

  struct TokenBucket
  {
    double mRate = 0;
    double mTokens = 0;
    /// Flows admitted, averaged over a second.
    double mAdmitted = 0;
    std::uint64_t mRejections = 0;
    microseconds mUpdated{ 0 };
    microseconds mRejected{ 0 };
    microseconds mReduced{ 0 };
  };

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

  void Later(microseconds aDelay, std::function<void()> aEvent)
  {
    mEvents.push({ mNow + aDelay, mEventCount++, std::move(aEvent) });
  }
  state::TimePoint Now() const { return At(milliseconds(0)) + mNow; }
  microseconds Exponential(double aRate);
  void Arrive();
  void Begin(std::size_t aKind);
  void Attempt(std::size_t aRequest);
  void SendOpen(std::size_t aRequest, std::uint32_t aCopy);
  void SendRequest(std::size_t aRequest);
  void Serve(std::size_t aUpstream,
             std::size_t aRequest,
             std::uint32_t aAttempt);
  void Start(std::size_t aUpstream,
             std::size_t aRequest,
             std::uint32_t aAttempt);
  void Answer(std::size_t aRequest, std::uint32_t aAttempt, bool aServed);
  void EndAttempt(std::size_t aRequest, std::uint32_t aAttempt);
  KindResults* ResultsOf(const Request& aRequest);
  double Random();
  void Remove();
  Decision Forward(std::size_t aInstance, const CallerPacket& aPacket);
  /// Returns whether the alternative TokenRate defers an opening packet.
  bool LacksToken(std::size_t aInstance, const CallerPacket& aPacket);
  /// Sets the limits of the alternative TotalLimit, or removes them.
  void ReplaceLimits(std::size_t aInstance);
  void Tick();
  CallerPacket MakePacket(const Request& aRequest,
                          state::SegmentKind aKind) const;

  OverloadParameters mParameters;
  OverloadResults mResults;
  std::minstd_rand mRandom;
  std::array<ModelKind, 3> mKinds;
  RouterFixture mBase;
  std::vector<FlowRouter> mRouters;
  std::vector<SimulatedUpstream> mUpstreams;
  std::map<UpstreamToken, std::size_t> mIndexes;
  std::vector<std::map<UpstreamToken, UpstreamLoad>> mReports;
  std::vector<Request> mRequests;
  std::array<std::vector<SimulatedFlow>, 3> mIdleFlows;
  /// State of the alternatives: limits by instance and upstream; rates, tokens
  /// and rejections by instance.
  std::vector<std::map<UpstreamToken, TotalLimit>> mTotalLimits;
  std::vector<TokenBucket> mBuckets;
  std::priority_queue<Event> mEvents;
  std::uint64_t mEventCount = 0;
  microseconds mNow{ 0 };
  std::uint32_t mFlowCount = 0;
};

} // namespace sassafrasknot::flows

#endif
