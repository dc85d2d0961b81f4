#include "sassafrasknot/flows/upstream_table.hpp"

#include <algorithm>
#include <chrono>
#include <unordered_set>
#include <utility>

namespace sassafrasknot::flows {
namespace {

/// Upstreams that have gone are remembered for longer than a flow may live
/// (60 s), so that its packets still find them.
constexpr std::chrono::seconds kRememberGone{ 75 };

/// Returns whether an upstream has the token of another one. The one that was
/// described first keeps it, on every instance alike; the other takes no flow.
bool
LosesToken(const UpstreamRecord& aHolder, const Upstream& aUpstream)
{
  return aHolder.mToken != kNoToken && aHolder.mUpstream.mId != aUpstream.mId &&
         aHolder.mPresence != Presence::Removed &&
         aHolder.mUpstream.mCreateRevision <= aUpstream.mCreateRevision;
}

void
Take(UpstreamRecord& aRecord,
     UpstreamToken aToken,
     const ListedUpstream& aListed,
     state::TimePoint aNow)
{
  const auto& upstream = aListed.mUpstream;
  const bool isNew = aRecord.mToken == kNoToken ||
                     aRecord.mUpstream.mId != upstream.mId ||
                     aRecord.mUpstream.mStarted != upstream.mStarted;
  if (isNew) {
    // The flow table still counts its flows there.
    aRecord = UpstreamRecord{ .mOwnLoad = aRecord.mOwnLoad };
  }
  if (isNew || aRecord.mUpstream.mWarmUpLeft != upstream.mWarmUpLeft) {
    aRecord.mWarmUpEnd = aNow + upstream.mWarmUpLeft;
  }
  aRecord.mUpstream = upstream;
  aRecord.mToken = aToken;
  aRecord.mPresence = aListed.mPresence;
}

} // namespace

void
UpdateTable(UpstreamTable& aTable,
            const Directory& aDirectory,
            state::TimePoint aNow)
{
  std::unordered_set<UpstreamToken> listed;
  for (const auto& entry : aDirectory.mUpstreams) {
    const auto token = TokenOf(entry.mUpstream.mId);
    auto& record = aTable.mByToken[token];
    listed.insert(token);
    if (!LosesToken(record, entry.mUpstream)) {
      Take(record, token, entry, aNow);
    }
  }
  for (auto it = aTable.mByToken.begin(); it != aTable.mByToken.end();) {
    auto& record = it->second;
    if (!listed.contains(it->first)) {
      if (record.mPresence != Presence::Removed) {
        record.mPresence = Presence::Removed;
        record.mRemovedAt = aNow;
      } else if (aNow - record.mRemovedAt > kRememberGone) {
        it = aTable.mByToken.erase(it);
        continue;
      }
    }
    ++it;
  }
}

void
BuildPools(UpstreamTable& aTable,
           const state::DataCentreId& aDataCentre,
           const InstancePosition& aPlace)
{
  aTable.mByService.clear();
  for (auto& [token, record] : aTable.mByToken) {
    if (record.mPresence != Presence::Removed) {
      auto& pool = aTable.mByService[record.mUpstream.mService];
      pool.mAll.push_back(&record);
      const bool isNear = record.mUpstream.mDataCentre == aDataCentre;
      (isNear ? pool.mLocalCandidates : pool.mRemote).push_back(&record);
    }
  }
  if (!UsesSubsetting(aPlace.mCount)) {
    return;
  }
  for (auto& [service, pool] : aTable.mByService) {
    pool.mIsSubset = true;
    // Tokens are hashes, so that all instances have the same order.
    std::ranges::sort(pool.mLocalCandidates, {}, &UpstreamRecord::mToken);
    const auto all = std::exchange(pool.mLocalCandidates, {});
    for (std::size_t index = 0; index < all.size(); ++index) {
      if (IsInSubset(aPlace, index, all.size())) {
        pool.mLocalCandidates.push_back(all[index]);
      }
    }
  }
}

void
SetPeerLoads(UpstreamTable& aTable,
             const std::map<UpstreamToken, UpstreamLoad>& aLoads,
             const std::map<state::DataCentreId, double>& aMeanUses)
{
  for (auto& [token, record] : aTable.mByToken) {
    const auto load = aLoads.find(token);
    record.mPeerLoad = load == aLoads.end() ? UpstreamLoad{} : load->second;
    const auto use = aMeanUses.find(record.mUpstream.mDataCentre);
    record.mAssumedUtilisation = use == aMeanUses.end() ? 0 : use->second;
  }
}

double
LocalUtilisation(const UpstreamTable& aTable)
{
  double atWork = 0;
  double slots = 0;
  for (const auto& [service, pool] : aTable.mByService) {
    for (const auto* record : pool.mLocalCandidates) {
      atWork +=
        record->mOwnLoad.mActiveRequests + record->mPeerLoad.mActiveRequests;
      slots += record->mUpstream.mSlots;
    }
  }
  return slots == 0 ? 0 : atWork / slots;
}

void
UpdateLoadAverages(UpstreamTable& aTable, state::Duration aElapsed)
{
  const double weight = std::min(
    1.0, std::chrono::duration<double>(aElapsed) / kLoadAverageTimeConstant);
  for (auto& [service, pool] : aTable.mByService) {
    // Nothing but averages of upstreams that may be chosen is ever read.
    for (auto* record : pool.mIsSubset ? pool.mLocalCandidates : pool.mAll) {
      const double atWork =
        record->mOwnLoad.mActiveRequests + record->mPeerLoad.mActiveRequests;
      record->mAverageActiveRequests +=
        weight * (atWork - record->mAverageActiveRequests);
    }
  }
}

UpstreamRecord*
FindUpstream(UpstreamTable& aTable, UpstreamToken aToken)
{
  const auto found = aTable.mByToken.find(aToken);
  return found == aTable.mByToken.end() ? nullptr : &found->second;
}

} // namespace sassafrasknot::flows
