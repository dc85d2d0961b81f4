#include "sassafrasknot/flows/upstream_table.hpp"

#include "sassafrasknot/flows/evacuation.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sassafrasknot::flows {
namespace {

/// Removed upstreams are kept for longer than a flow may live (60 s), so that
/// its packets still reach them.
constexpr std::chrono::seconds kRemovedRetention{ 75 };

/// Returns whether aUpstream does not get its token because aHolder, an
/// upstream whose id has the same hash, keeps it. The one that was published
/// first keeps the token, so that all instances decide alike; the other
/// receives no flow.
bool
LosesToken(const UpstreamRecord& aHolder, const Upstream& aUpstream)
{
  return aHolder.mToken != kNoToken && aHolder.mUpstream.mId != aUpstream.mId &&
         aHolder.mPresence != Presence::Removed &&
         aHolder.mUpstream.mCreateRevision <= aUpstream.mCreateRevision;
}

/// Updates an upstream's record from the directory. The record of an upstream
/// that is new or has restarted is reset, except for this instance's load.
/// Returns whether the pools change.
bool
UpdateRecord(UpstreamTable& aTable,
             UpstreamRecord& aRecord,
             UpstreamToken aToken,
             const ListedUpstream& aListed,
             state::TimePoint aNow)
{
  const auto& upstream = aListed.mUpstream;
  const bool isNew = aRecord.mToken == kNoToken ||
                     aRecord.mUpstream.mId != upstream.mId ||
                     aRecord.mUpstream.mStarted != upstream.mStarted;
  // The pools do not depend on the difference of Listed and Expired.
  const bool changesPools =
    aRecord.mToken == kNoToken || aRecord.mPresence == Presence::Removed ||
    aListed.mPresence == Presence::Removed ||
    aRecord.mUpstream.mService != upstream.mService ||
    aRecord.mUpstream.mDataCentre != upstream.mDataCentre;
  if (isNew) {
    const bool isRestart = aRecord.mToken != kNoToken;
    // The flow table still has entries that count in this load.
    aRecord = UpstreamRecord{ .mEvacuated = aRecord.mEvacuated,
                              .mOwnLoad = aRecord.mOwnLoad,
                              .mExcessBacklog = aRecord.mExcessBacklog };
    if (isRestart) {
      aRecord.mIgnoreSharedSpeedUntil = aNow + kSharedSpeedDelay;
    }
  }
  if (isNew || aRecord.mUpstream.mDataCentre != upstream.mDataCentre) {
    aTable.mWithoutUtilisation.push_back(aToken);
  }
  if (isNew || aRecord.mUpstream.mWarmUpLeft != upstream.mWarmUpLeft) {
    aRecord.mWarmUpEnd = aNow + upstream.mWarmUpLeft;
  }
  aRecord.mUpstream = upstream;
  aRecord.mToken = aToken;
  aRecord.mPresence = aListed.mPresence;
  return changesPools;
}

/// Erases the upstreams that were removed longer than kRemovedRetention ago.
void
EraseRemoved(UpstreamTable& aTable, state::TimePoint aNow)
{
  std::erase_if(aTable.mRemoved, [&](UpstreamToken aToken) {
    const auto found = aTable.mByToken.find(aToken);
    const bool isRemoved = found != aTable.mByToken.end() &&
                           found->second.mPresence == Presence::Removed;
    if (isRemoved && aNow - found->second.mRemovedAt <= kRemovedRetention) {
      return false;
    }
    if (isRemoved) {
      aTable.mByToken.erase(found);
    }
    return true;
  });
}

bool
HasLoadOrEvidence(const UpstreamRecord& aRecord)
{
  const auto& detector = aRecord.mFailureDetector;
  return aRecord.mOwnLoad != UpstreamLoad{} ||
         detector.mLiveness != Liveness::Responsive ||
         detector.mRetransmittingFlows > 0 || detector.mOverdueOpenFlows > 0 ||
         detector.mUnansweredOpens > 0;
}

} // namespace

bool
UpdateTable(UpstreamTable& aTable,
            const Directory& aDirectory,
            state::TimePoint aNow)
{
  bool changesPools = false;
  const auto number = ++aTable.mDirectories;
  for (const auto& entry : aDirectory.mUpstreams) {
    const auto token =
      entry.mToken == kNoToken ? TokenOf(entry.mUpstream.mId) : entry.mToken;
    auto& record = aTable.mByToken[token];
    if (!LosesToken(record, entry.mUpstream) &&
        UpdateRecord(aTable, record, token, entry, aNow)) {
      changesPools = true;
    }
    record.mLastDirectory = number;
  }
  const auto remove = [&](UpstreamRecord& aRecord) {
    if (aRecord.mPresence != Presence::Removed) {
      aRecord.mPresence = Presence::Removed;
      aRecord.mRemovedAt = aNow;
      aTable.mRemoved.insert(aRecord.mToken);
      changesPools = true;
    }
  };
  if (aDirectory.mIsIncremental) {
    for (const auto token : aDirectory.mRemoved) {
      auto* record = FindUpstream(aTable, token);
      if (record != nullptr && record->mLastDirectory != number) {
        remove(*record);
      }
    }
  } else {
    for (auto& [token, record] : aTable.mByToken) {
      if (record.mLastDirectory != number) {
        remove(record);
      }
    }
  }
  EraseRemoved(aTable, aNow);
  const bool hasEvacuations = !aDirectory.mEvacuations.empty();
  if (std::exchange(aTable.mHasEvacuations, hasEvacuations) || hasEvacuations) {
    changesPools =
      ApplyEvacuations(aTable, aDirectory.mEvacuations) || changesPools;
  }
  return changesPools;
}

void
BuildPools(UpstreamTable& aTable,
           const state::DataCentreId& aDataCentre,
           const InstancePosition& aPosition)
{
  aTable.mByService.clear();
  for (auto& [token, record] : aTable.mByToken) {
    if (record.mPresence != Presence::Removed) {
      auto& pool = aTable.mByService[record.mUpstream.mService];
      pool.mAll.push_back(&record);
      const bool isLocal = record.mUpstream.mDataCentre == aDataCentre;
      if (isLocal) {
        pool.mLocalCandidates.push_back(&record);
      } else if (!record.mEvacuated) {
        pool.mRemote.push_back(&record);
      }
      if (record.mEvacuated) {
        AddEvacuated(pool, record.mUpstream.mDataCentre);
      }
    }
  }
  if (!UsesSubsetting(aPosition.mCount)) {
    return;
  }
  for (auto& [service, pool] : aTable.mByService) {
    pool.mIsSubset = true;
    pool.mSpreadsRemotely =
      std::ranges::find(pool.mEvacuated, aDataCentre) != pool.mEvacuated.end();
    // Tokens are hashes of ids, so that the order is the same on all instances.
    std::ranges::sort(pool.mLocalCandidates, {}, &UpstreamRecord::mToken);
    const auto all = std::exchange(pool.mLocalCandidates, {});
    for (std::size_t index = 0; index < all.size(); ++index) {
      if (IsInSubset(aPosition, index, all.size())) {
        pool.mLocalCandidates.push_back(all[index]);
      }
    }
  }
}

void
SetPeerLoads(UpstreamTable& aTable,
             const std::map<UpstreamToken, UpstreamLoad>& aLoads,
             const std::map<state::DataCentreId, double>& aMeanUtilisations)
{
  for (const auto token : aTable.mPeerLoaded) {
    auto* record = FindUpstream(aTable, token);
    if (record != nullptr && !aLoads.contains(token)) {
      record->mPeerLoad = {};
    }
  }
  aTable.mPeerLoaded.clear();
  for (const auto& [token, load] : aLoads) {
    if (auto* record = FindUpstream(aTable, token)) {
      record->mPeerLoad = load;
      aTable.mPeerLoaded.push_back(token);
    }
  }
  for (auto& [dataCentre, utilisation] : aTable.mMeanUtilisations) {
    utilisation = 0;
  }
  for (const auto& [dataCentre, utilisation] : aMeanUtilisations) {
    aTable.mMeanUtilisations[dataCentre] = utilisation;
  }
  for (const auto token : std::exchange(aTable.mWithoutUtilisation, {})) {
    if (auto* record = FindUpstream(aTable, token)) {
      record->mDataCentreUtilisation =
        &aTable.mMeanUtilisations[record->mUpstream.mDataCentre];
    }
  }
}

double
AssumedUtilisation(const UpstreamRecord& aRecord)
{
  return aRecord.mDataCentreUtilisation == nullptr
           ? 0
           : *aRecord.mDataCentreUtilisation;
}

void
SetSharedSpeeds(UpstreamTable& aTable,
                const std::map<UpstreamToken, SharedSpeed>& aSpeeds,
                state::TimePoint aNow)
{
  for (const auto token : std::exchange(aTable.mWithSharedSpeed, {})) {
    if (auto* record = FindUpstream(aTable, token);
        record != nullptr && !aSpeeds.contains(token)) {
      SetSharedSpeed(record->mSpeed, {});
    }
  }
  for (const auto& [token, speed] : aSpeeds) {
    auto* record = FindUpstream(aTable, token);
    if (record != nullptr && aNow >= record->mIgnoreSharedSpeedUntil) {
      SetSharedSpeed(record->mSpeed, speed);
      aTable.mWithSharedSpeed.push_back(token);
    }
  }
}

double
LocalUtilisation(const UpstreamTable& aTable)
{
  double activeRequests = 0;
  double slots = 0;
  for (const auto& [service, pool] : aTable.mByService) {
    for (const auto* record : pool.mLocalCandidates) {
      activeRequests +=
        record->mOwnLoad.mActiveRequests + record->mPeerLoad.mActiveRequests;
      slots += record->mUpstream.mSlots;
    }
  }
  return slots == 0 ? 0 : activeRequests / slots;
}

void
UpdateReportAverage(UpstreamRecord& aRecord,
                    std::optional<Work> aMeanWork,
                    state::Duration aElapsed)
{
  // Mean age of the reports, which are 25 to 200 ms old.
  constexpr Work kReportAge{ 0.1 };
  const double weight = std::min(
    1.0, std::chrono::duration<double>(aElapsed) / kReportTimeConstant);
  aRecord.mAveragePeerRequests +=
    weight * (aRecord.mPeerLoad.mActiveRequests - aRecord.mAveragePeerRequests);
  aRecord.mReportWeight =
    aMeanWork ? *aMeanWork / (*aMeanWork + kReportAge) : 1;
}

void
UpdateLoadAverages(UpstreamTable& aTable, state::Duration aElapsed)
{
  const double weight = std::min(
    1.0, std::chrono::duration<double>(aElapsed) / kLoadAverageTimeConstant);
  for (auto& [service, pool] : aTable.mByService) {
    // Placement reads the averages of these upstreams only.
    const bool readsAll = !pool.mIsSubset || pool.mSpreadsRemotely;
    for (auto* record : readsAll ? pool.mAll : pool.mLocalCandidates) {
      const double activeRequests =
        record->mOwnLoad.mActiveRequests + record->mPeerLoad.mActiveRequests;
      record->mAverageActiveRequests +=
        weight * (activeRequests - record->mAverageActiveRequests);
    }
  }
}

void
MarkObserved(UpstreamTable& aTable, UpstreamRecord& aRecord)
{
  if (!aRecord.mIsObserved) {
    aRecord.mIsObserved = true;
    aTable.mObserved.insert(aRecord.mToken);
  }
}

std::vector<UpstreamRecord*>
ObservedUpstreams(UpstreamTable& aTable)
{
  std::vector<UpstreamRecord*> observed;
  std::erase_if(aTable.mObserved, [&](UpstreamToken aToken) {
    auto* record = FindUpstream(aTable, aToken);
    if (record != nullptr && HasLoadOrEvidence(*record)) {
      observed.push_back(record);
      return false;
    }
    if (record != nullptr) {
      record->mIsObserved = false;
    }
    return true;
  });
  return observed;
}

UpstreamRecord*
FindUpstream(UpstreamTable& aTable, UpstreamToken aToken)
{
  const auto found = aTable.mByToken.find(aToken);
  return found == aTable.mByToken.end() ? nullptr : &found->second;
}

} // namespace sassafrasknot::flows
