#include "sassafrasknot/edge/control_loop.hpp"
#include "sassafrasknot/messages/fleet_codec.hpp"
#include "sassafrasknot/net/clock.hpp"
#include "sassafrasknot/net/http_client.hpp"

#include <algorithm>
#include <utility>

namespace sassafrasknot::edge {
namespace {

using std::chrono::milliseconds;

/// Time limit of pulls: requests to another instance, in this or another data
/// centre, for changes of the catalogue.
constexpr milliseconds kPullTimeout{ 1000 };
/// Time limit of probes. An upstream responds within a few round trips, or once
/// it has finished an active request.
constexpr milliseconds kProbeTimeout{ 400 };
/// Upper limit of the response to a probe, in bytes.
constexpr std::size_t kMaxProbeResponseBytes = 4096;

} // namespace

void
ControlLoop::StartRead(const fleet::StoreRead& aRead)
{
  StoreClientSettings settings;
  settings.mEndpoint = mSettings.mStoreEndpoint;
  settings.mMaxResponseBytes = mSettings.mMaxStoreResponseBytes;
  if (!mCore.mReader.mIsDesignatedReader && mCore.mReader.mEverConfirmed) {
    LogTakeOver();
  }
  StartStoreRead(
    mContext.get_executor(),
    settings,
    mFormats.mStore,
    mMetrics,
    aRead,
    { [this, aRead](const fleet::ChangeSet& aChanges, auto aArrivedAfter) {
       UpdateStoreReachability(true, "");
       const auto now = net::Now();
       Execute(fleet::OnStoreResponse(
         mCore, aRead, aChanges, now - aArrivedAfter, now));
       PublishDirectory();
       Execute(fleet::OnTick(mCore, net::Now()));
     },
      [this](const StoreFailure& aFailure) {
        UpdateStoreReachability(aFailure.mKind ==
                                  fleet::ReadFailure::HistoryCompacted,
                                aFailure.mMessage);
        fleet::OnStoreFailure(mCore, aFailure.mKind, net::Now());
      } });
}

void
ControlLoop::LogTakeOver()
{
  const auto now = net::Now();
  const auto age =
    std::chrono::duration_cast<milliseconds>(now - mCore.mReader.mConfirmedAt);
  mLog->Write(
    "read_takes_over",
    { { "reader_rank", std::to_string(fleet::ReaderRank(mCore.mPeers, now)) },
      { "confirmed_age_ms", std::to_string(age.count()) },
      { "revision", std::to_string(mCore.mCatalogue.mRevision) } });
}

void
ControlLoop::UpdateStoreReachability(bool aReachable,
                                     const std::string& aReason)
{
  if (std::exchange(mStoreReachable, aReachable) == aReachable) {
    return;
  }
  mLog->Write(aReachable ? "store_regained" : "store_lost",
              { { "reason", aReason },
                { "revision", std::to_string(mCore.mCatalogue.mRevision) } });
}

void
ControlLoop::ProbeUpstreams(state::TimePoint aNow)
{
  const auto tokens = fleet::UpstreamsToProbe(mCore, aNow);
  if (tokens.empty()) {
    return;
  }
  for (const auto token : fleet::NextProbes(mProbeSchedule, tokens, aNow)) {
    const auto found = std::ranges::find_if(
      mDirectoryBuilder.mUpstreams, [token](const auto& aItem) {
        return flows::TokenOf(aItem.first) == token;
      });
    // Peers that do not know of an evacuation yet ask for probes there.
    if (found == mDirectoryBuilder.mUpstreams.end() ||
        mDirectoryBuilder.mEvacuations.contains(
          found->second.mListed.mUpstream.mDataCentre)) {
      fleet::RecordProbeEnd(mProbeSchedule, token, aNow);
    } else {
      StartProbe(found->second.mListed.mUpstream);
    }
  }
}

void
ControlLoop::StartProbe(const flows::Upstream& aUpstream)
{
  const auto& paths = mDirectoryBuilder.mConfiguration->mHealthPaths;
  const auto path = paths.find(aUpstream.mService);
  const auto token = flows::TokenOf(aUpstream.mId);
  const auto sent = net::Now();
  Increment(mMetrics->mProbes);
  // A response of any status proves that the upstream is reachable. Probes
  // check only this, not whether the upstream reports itself as healthy.
  net::StartGet(mContext.get_executor(),
                { aUpstream.mAddress,
                  path == paths.end() ? "/" : path->second,
                  kProbeTimeout,
                  kProbeTimeout,
                  kMaxProbeResponseBytes },
                [this, token, sent, id = aUpstream.mId](const auto& aResponse) {
                  fleet::RecordProbeEnd(mProbeSchedule, token, net::Now());
                  if (!aResponse) {
                    Increment(mMetrics->mProbeFailures);
                    mLog->Write("probe_failed",
                                { { "upstream", id },
                                  { "reason", aResponse.error().mMessage } });
                    return;
                  }
                  mCore.mReachable[token] = sent;
                  mTraffic.ApplyProbeSuccesses({ { token, sent } });
                });
}

void
ControlLoop::StartPull(const fleet::PullRequest& aPull)
{
  Increment(mMetrics->mPulls);
  net::StartGet(
    mContext.get_executor(),
    { aPull.mFrom,
      std::string(kChangesTarget) + std::to_string(aPull.mAfter),
      kPullTimeout,
      kPullTimeout,
      mSettings.mMaxStoreResponseBytes },
    [this, aPull](const state::Result<net::HttpResponse>& aResponse) {
      std::optional<fleet::ChangeSet> changes;
      std::string reason;
      if (!aResponse) {
        reason = aResponse.error().mMessage;
      } else if (auto decoded =
                   messages::DecodeChanges(aResponse.value().mBody);
                 decoded) {
        changes = std::move(decoded).value();
      } else {
        reason = decoded.error().mMessage;
      }
      if (!changes) {
        Increment(mMetrics->mPullFailures);
        mLog->Write("pull_failed",
                    { { "peer", ToString(aPull.mFrom) },
                      { "after", std::to_string(aPull.mAfter) },
                      { "reason", reason } });
      }
      Execute(fleet::OnPulled(mCore, aPull.mFrom, changes));
      PublishDirectory();
    });
}

} // namespace sassafrasknot::edge
