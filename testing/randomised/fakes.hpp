#ifndef SASSAFRASKNOT_TESTING_RANDOMISED_FAKES_HPP
#define SASSAFRASKNOT_TESTING_RANDOMISED_FAKES_HPP

#include "sassafrasknot/state/error.hpp"
#include "sassafrasknot/state/flow.hpp"
#include "sassafrasknot/state/identifiers.hpp"
#include "sassafrasknot/state/time.hpp"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

/// Fakes of callers and upstreams around real traffic cores, on virtual time.
namespace randomised {

using sassafrasknot::state::DataCentreId;
using sassafrasknot::state::Duration;
using sassafrasknot::state::Endpoint;
using sassafrasknot::state::FlowEvent;
using sassafrasknot::state::FlowKey;
using sassafrasknot::state::OrganisationId;
using sassafrasknot::state::TimePoint;
using sassafrasknot::state::Verdict;

/// A packet on the fakes' network.
struct Packet
{
  FlowEvent mFlow;
  /// Flow of the caller that the packet belongs to, zero for none.
  std::uint64_t mCallerFlow = 0;
  /// Data centre that the packet comes from.
  DataCentreId mOrigin;
  /// What a reset made by an instance says of the flow.
  Verdict mVerdict = Verdict::MayHaveRun;
};

enum class FlowKind : std::uint8_t
{
  Feed,
  Upload,
  Confirmation,
};

enum class CallerStage : std::uint8_t
{
  Opening,
  Established,
  Finishing,
  Done,
};

/// One flow of a caller: sends one request and waits for the whole answer, or
/// keeps a feed open for a time.
struct CallerFlow
{
  std::uint64_t mId = 0;
  FlowKey mKey;
  FlowKind mKind = FlowKind::Feed;
  OrganisationId mOrganisation;
  /// Data centre whose side of a partition the caller is on.
  DataCentreId mHome;
  CallerStage mStage = CallerStage::Opening;
  std::uint32_t mRequestBytes = 0;
  /// Bytes of the request that were acknowledged.
  std::uint32_t mAcknowledged = 0;
  std::uint32_t mNextExpected = 0;
  std::uint32_t mAnswerBytes = 0;
  std::uint32_t mFinishSequence = 0;
  TimePoint mOpened;
  TimePoint mLastProgress;
  TimePoint mRetransmitAt;
  /// When a feed is closed by its caller.
  TimePoint mCloseAt;
  Duration mTimeout{};
  std::uint32_t mRetries = 0;
};

/// One connection at an upstream.
struct Connection
{
  std::uint64_t mCallerFlow = 0;
  FlowKind mKind = FlowKind::Feed;
  std::uint32_t mRequestBytes = 0;
  std::uint32_t mFirstSequence = 0;
  std::uint32_t mReceived = 0;
  std::uint32_t mFirstSent = 0;
  std::uint32_t mSent = 0;
  std::uint32_t mAcknowledged = 0;
  bool mEstablished = false;
  bool mExecuted = false;
  bool mFinished = false;
  TimePoint mAnswerAt;
  TimePoint mRetransmitAt;
  Duration mTimeout{};
  std::uint32_t mRetries = 0;
};

/// One upstream endpoint.
struct FakeUpstream
{
  Endpoint mEndpoint;
  OrganisationId mOrganisation;
  DataCentreId mDataCentre;
  bool mAlive = true;
  bool mShedding = false;
  TimePoint mLeavingSince = TimePoint::max();
  std::unordered_map<FlowKey, Connection> mConnections;
};

/// What was seen in a run.
struct Tally
{
  std::uint64_t mSteps = 0;
  std::uint64_t mOpened = 0;
  std::uint64_t mEstablished = 0;
  std::uint64_t mCompleted = 0;
  std::uint64_t mBroken = 0;
  std::uint64_t mBrokenSilenced = 0;
  std::uint64_t mHung = 0;
  std::uint64_t mRefusedNotRun = 0;
  std::uint64_t mOpeningTimeouts = 0;
  std::uint64_t mMisrouted = 0;
  std::uint64_t mRanTwice = 0;
  std::uint64_t mNotRunButRan = 0;
  std::uint64_t mPlacedOnLeaving = 0;
  std::map<std::string, std::uint64_t> mFaults;

  auto operator<=>(const Tally&) const = default;
};

} // namespace randomised

#endif
