#include "sassafrasknot/flows/upstream_table.hpp"

#include <algorithm>
#include <chrono>
#include <unordered_set>

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
         aHolder.mPresence != Presence::Gone &&
         aHolder.mUpstream.mCreated <= aUpstream.mCreated;
}

void
Take(UpstreamRecord& aRecord,
     FlowToken aToken,
     const ListedUpstream& aListed,
     state::TimePoint aNow)
{
  const auto& upstream = aListed.mUpstream;
  const bool isNew = aRecord.mToken == kNoToken ||
                     aRecord.mUpstream.mId != upstream.mId ||
                     aRecord.mUpstream.mStarted != upstream.mStarted;
  if (isNew) {
    // The flow table still counts its flows there.
    aRecord = UpstreamRecord{ .mOwn = aRecord.mOwn };
  }
  if (isNew || aRecord.mUpstream.mWarmUpLeft != upstream.mWarmUpLeft) {
    aRecord.mWarm = aNow + upstream.mWarmUpLeft;
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
  std::unordered_set<FlowToken> listed;
  for (const auto& entry : aDirectory.mUpstreams) {
    const auto token = TokenOf(entry.mUpstream.mId);
    auto& record = aTable.mByToken[token];
    listed.insert(token);
    if (!LosesToken(record, entry.mUpstream)) {
      Take(record, token, entry, aNow);
    }
  }
  aTable.mByService.clear();
  for (auto it = aTable.mByToken.begin(); it != aTable.mByToken.end();) {
    auto& record = it->second;
    if (!listed.contains(it->first)) {
      if (record.mPresence != Presence::Gone) {
        record.mPresence = Presence::Gone;
        record.mGone = aNow;
      } else if (aNow - record.mGone > kRememberGone) {
        it = aTable.mByToken.erase(it);
        continue;
      }
    } else {
      aTable.mByService[record.mUpstream.mService].push_back(&record);
    }
    ++it;
  }
}

void
AverageBusy(UpstreamTable& aTable, state::Duration aElapsed)
{
  const double weight =
    std::min(1.0, std::chrono::duration<double>(aElapsed) / kBusyAverage);
  for (auto& [token, record] : aTable.mByToken) {
    const double atWork = record.mOwn.mAtWork + record.mPeers.mAtWork;
    record.mBusy += weight * (atWork - record.mBusy);
  }
}

UpstreamRecord*
FindUpstream(UpstreamTable& aTable, FlowToken aToken)
{
  const auto found = aTable.mByToken.find(aToken);
  return found == aTable.mByToken.end() ? nullptr : &found->second;
}

} // namespace sassafrasknot::flows
