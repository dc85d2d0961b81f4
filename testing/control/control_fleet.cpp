#include "control/control_fleet.hpp"

#include <algorithm>
#include <utility>

#include "control/encoded_size.hpp"

namespace sassafrasknot::testing {
namespace {

using namespace coordination;
using namespace std::chrono_literals;
using state::TimePoint;

/// IP and UDP headers of a datagram, in bytes.
constexpr std::size_t kUdpHeaders = 28;
/// Estimated headers of a call on an open connection, in bytes: IP, TCP and
/// HTTP/2 headers of one message, and its TCP acknowledgement.
constexpr std::size_t kGrpcHeaders = 150;
constexpr auto kTickInterval = 50ms;

/// Returns whether a message counts as membership traffic in SentBytes.
bool
IsMembership(const ControlBody& aBody)
{
  return std::holds_alternative<Probe>(aBody) ||
         std::holds_alternative<IndirectProbe>(aBody) ||
         std::holds_alternative<Acknowledgement>(aBody) ||
         std::holds_alternative<DataCentreSummary>(aBody);
}

state::Endpoint
MakeEndpoint(std::size_t aInstance, std::uint16_t aPort)
{
  return { { 0x7F010000 + static_cast<std::uint32_t>(aInstance) }, aPort };
}

} // namespace

bool
ControlFleet::IsLater::operator()(const Event& aLeft, const Event& aRight) const
{
  return std::pair(aLeft.mTime, aLeft.mOrder) >
         std::pair(aRight.mTime, aRight.mOrder);
}

ControlFleet::ControlFleet(const Options& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
  mInstances.resize(aOptions.mInstances);
  mGenerations.resize(aOptions.mInstances);
  for (std::size_t index = 0; index < aOptions.mInstances; ++index) {
    auto& settings = mInstances[index].mSettings;
    settings.mId = { "entry-" + std::to_string(1000 + index) };
    settings.mDataCentre = { "dc-" +
                             std::to_string(index % aOptions.mDataCentres) };
    settings.mPeerEndpoint = MakeEndpoint(index, 7000);
    settings.mControlEndpoint = MakeEndpoint(index, 7001);
    settings.mIncarnation = 1'700'000'000'000;
    mInstanceByEndpoint[settings.mPeerEndpoint] = index;
    mInstanceByEndpoint[settings.mControlEndpoint] = index;
    for (std::size_t seed = 0;
         seed < std::min<std::size_t>(aOptions.mInstances, 4);
         ++seed) {
      settings.mSeeds.push_back(MakeEndpoint(seed, 7000));
    }
  }
}

TimePoint
ControlFleet::Now() const
{
  return mNow;
}

const state::Snapshot&
ControlFleet::SnapshotOf(std::size_t aInstance) const
{
  return *mInstances.at(aInstance).mCore->CurrentSnapshot();
}

std::optional<state::InstanceState>
ControlFleet::StateOf(std::size_t aViewer, std::size_t aSeen) const
{
  const auto& id = mInstances.at(aSeen).mSettings.mId;
  for (const auto& view : SnapshotOf(aViewer).mInstances) {
    if (view.mId == id) {
      return view.mState;
    }
  }
  return std::nullopt;
}

state::Revision
ControlFleet::Publish(state::ConfigurationRecord aRecord)
{
  aRecord.mRevision = ++mPlatform.mRevision;
  mPlatform.mRecords[aRecord.mKey] = std::move(aRecord);
  EndWatchesIfDue();
  return mPlatform.mRevision;
}

void
ControlFleet::PublishInstanceLists()
{
  std::map<state::DataCentreId, state::InstanceListDocument> lists;
  for (const auto& instance : mInstances) {
    if (instance.mCore) {
      auto& list = lists[instance.mSettings.mDataCentre];
      list.mDataCentre = instance.mSettings.mDataCentre;
      list.mInstances.push_back({ instance.mSettings.mId,
                                  instance.mSettings.mPeerEndpoint,
                                  instance.mSettings.mControlEndpoint,
                                  state::InstanceState::Live });
    }
  }
  for (auto& [dataCentre, list] : lists) {
    Publish({ "instances/" + dataCentre.mValue,
              0,
              false,
              std::string(list.mInstances.size() * 120, 'x'),
              std::make_shared<const state::Document>(list) });
  }
}

void
ControlFleet::Start(std::size_t aInstance)
{
  auto& instance = mInstances.at(aInstance);
  ++mGenerations[aInstance];
  instance.mSettings.mIncarnation += 100'000;
  instance.mPausedUntil = {};
  instance.mCore.emplace(instance.mSettings, mRandom(), mNow);
  ScheduleTick(aInstance, mNow + Latency());
}

void
ControlFleet::Kill(std::size_t aInstance)
{
  ++mGenerations[aInstance];
  mInstances.at(aInstance).mCore.reset();
}

void
ControlFleet::Pause(std::size_t aInstance, state::Duration aDuration)
{
  mInstances.at(aInstance).mPausedUntil = mNow + aDuration;
}

void
ControlFleet::RequestStop(std::size_t aInstance)
{
  CarryOut(aInstance, mInstances.at(aInstance).mCore->OnStopRequested(mNow));
}

void
ControlFleet::Run(state::Duration aDuration)
{
  const auto end = mNow + aDuration;
  while (!mEvents.empty() && mEvents.top().mTime <= end) {
    auto event = mEvents.top();
    mEvents.pop();
    mNow = std::max(mNow, event.mTime);
    RunEvent(std::move(event));
  }
  mNow = end;
}

std::optional<state::Duration>
ControlFleet::RunUntil(state::Duration aLimit,
                       const std::function<bool()>& aCondition)
{
  const auto start = mNow;
  while (!aCondition()) {
    if (mNow - start >= aLimit) {
      return std::nullopt;
    }
    Run(10ms);
  }
  return mNow - start;
}

void
ControlFleet::Schedule(TimePoint aTime,
                       std::size_t aInstance,
                       decltype(Event::mCall) aCall)
{
  mEvents.push({ aTime,
                 mNextOrder++,
                 aInstance,
                 mGenerations[aInstance],
                 std::move(aCall) });
}

void
ControlFleet::ScheduleTick(std::size_t aInstance, TimePoint aTime)
{
  Schedule(
    aTime, aInstance, [this, aInstance](ControlCore& aCore, TimePoint aNow) {
      ScheduleTick(aInstance, aNow + kTickInterval);
      return aCore.OnTick(aNow);
    });
}

void
ControlFleet::RunEvent(Event aEvent)
{
  auto& instance = mInstances[aEvent.mInstance];
  if (aEvent.mGeneration != mGenerations[aEvent.mInstance] || !instance.mCore) {
    return;
  }
  if (mNow < instance.mPausedUntil) {
    aEvent.mTime = instance.mPausedUntil;
    mEvents.push(std::move(aEvent));
    return;
  }
  const auto before = std::chrono::steady_clock::now();
  auto actions = aEvent.mCall(*instance.mCore, mNow);
  instance.mProcessorTime += std::chrono::steady_clock::now() - before;
  CarryOut(aEvent.mInstance, std::move(actions));
}

void
ControlFleet::CarryOut(std::size_t aInstance, ControlActions aActions)
{
  auto& instance = mInstances[aInstance];
  for (auto& action : aActions) {
    if (const auto* send = std::get_if<SendMessage>(&action)) {
      SendToInstance(aInstance, *send);
    } else if (const auto* read = std::get_if<ReadPlatform>(&action)) {
      StartCall(aInstance, *read);
    } else if (const auto* event = std::get_if<LogEvent>(&action)) {
      instance.mLog.push_back(event->mMessage);
    } else {
      ++instance.mSnapshots;
    }
  }
}

void
ControlFleet::SendToInstance(std::size_t aFrom, const SendMessage& aSend)
{
  const auto size =
    EncodedSize(aSend.mMessage) +
    (aSend.mTransport == MessageTransport::Udp ? kUdpHeaders : kGrpcHeaders);
  auto& sent = mInstances[aFrom].mSent;
  (IsMembership(aSend.mMessage.mBody) ? sent.mMembership
                                      : sent.mConfiguration) += size;
  const auto to = mInstanceByEndpoint.find(aSend.mTo);
  if (to == mInstanceByEndpoint.end() ||
      (mDropsMessages && mDropsMessages(aFrom, to->second)) ||
      std::bernoulli_distribution(mOptions.mLoss)(mRandom)) {
    return;
  }
  Schedule(mNow + Latency(),
           to->second,
           [message = aSend.mMessage](ControlCore& aCore, TimePoint aNow) {
             return aCore.OnMessage(aNow, message);
           });
}

void
ControlFleet::StartCall(std::size_t aInstance, const ReadPlatform& aRead)
{
  ++mPlatform.mReads;
  const auto& dataCentre = mInstances[aInstance].mSettings.mDataCentre.mValue;
  if (mPlatform.mDown || mPlatform.mDisconnected.contains(dataCentre)) {
    Schedule(mNow + 1s, aInstance, [](ControlCore& aCore, TimePoint aNow) {
      return aCore.OnPlatformFailure(aNow,
                                     { state::ErrorCode::Unavailable,
                                       state::Verdict::NotRun,
                                       "the platform is unreachable" });
    });
    return;
  }
  if (aRead.mFull) {
    ScheduleResponse(aInstance, true, 0);
    return;
  }
  mWatches.push_back({ aInstance,
                       mGenerations[aInstance],
                       aRead.mAfterRevision,
                       mNow + aRead.mWatchTimeout });
  Schedule(mNow + aRead.mWatchTimeout,
           aInstance,
           [this](ControlCore&, TimePoint) -> ControlActions {
             EndWatchesIfDue();
             return {};
           });
  EndWatchesIfDue();
}

void
ControlFleet::ScheduleResponse(std::size_t aInstance,
                               bool aFull,
                               state::Revision aAfterRevision)
{
  const auto& dataCentre = mInstances[aInstance].mSettings.mDataCentre.mValue;
  const auto stale = mPlatform.mStale.find(dataCentre);
  const bool isStale = stale != mPlatform.mStale.end();
  const auto& records = isStale ? stale->second.first : mPlatform.mRecords;
  const auto revision = isStale ? stale->second.second : mPlatform.mRevision;
  std::vector<state::ConfigurationRecord> response;
  for (const auto& [key, record] : records) {
    if (aFull ? !record.mDeleted : record.mRevision > aAfterRevision) {
      response.push_back(record);
    }
  }
  Schedule(mNow + 3ms,
           aInstance,
           [response = std::move(response), revision, aFull](ControlCore& aCore,
                                                             TimePoint aNow) {
             return response.empty() && !aFull
                      ? aCore.OnWatchReturned(aNow, revision)
                      : aCore.OnPlatformRecords(
                          aNow, response, revision, aFull);
           });
}

void
ControlFleet::EndWatchesIfDue()
{
  auto watches = std::exchange(mWatches, {});
  for (const auto& watch : watches) {
    const auto& dataCentre =
      mInstances[watch.mInstance].mSettings.mDataCentre.mValue;
    const auto stale = mPlatform.mStale.find(dataCentre);
    const auto revision = stale == mPlatform.mStale.end()
                            ? mPlatform.mRevision
                            : stale->second.second;
    if (watch.mGeneration != mGenerations[watch.mInstance]) {
      continue;
    }
    const bool reachable =
      !mPlatform.mDown && !mPlatform.mDisconnected.contains(dataCentre);
    if (!reachable && mNow >= watch.mEnd) {
      Schedule(mNow, watch.mInstance, [](ControlCore& aCore, TimePoint aNow) {
        return aCore.OnPlatformFailure(aNow,
                                       { state::ErrorCode::Unavailable,
                                         state::Verdict::NotRun,
                                         "the platform is unreachable" });
      });
    } else if (mNow >= watch.mEnd ||
               (reachable && revision > watch.mAfterRevision)) {
      ScheduleResponse(watch.mInstance, false, watch.mAfterRevision);
    } else {
      mWatches.push_back(watch);
    }
  }
}

state::Duration
ControlFleet::Latency()
{
  return std::chrono::microseconds(
    std::uniform_int_distribution<int>(500, 1000)(mRandom));
}

} // namespace sassafrasknot::testing
