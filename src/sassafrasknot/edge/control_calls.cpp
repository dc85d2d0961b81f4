#include "sassafrasknot/edge/control_loop.hpp"
#include "sassafrasknot/messages/fleet_codec.hpp"
#include "sassafrasknot/net/http_call.hpp"

#include <algorithm>
#include <utility>

namespace sassafrasknot::edge {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Pulls stay within a data centre or a region.
constexpr milliseconds kPullTimeout{ 1000 };
/// A probe is answered within a few round trips, or when a request at work has
/// ended.
constexpr milliseconds kProbeTimeout{ 400 };
/// Longest answer to a probe, in bytes.
constexpr std::size_t kProbeAnswerBytes = 4096;

} // namespace

void
ControlLoop::StartRead(const fleet::StoreRead& aRead)
{
  StoreClientSettings settings;
  settings.mEndpoint = mSettings.mStoreEndpoint;
  settings.mAnswerBytes = mSettings.mStoreAnswerBytes;
  StartStoreRead(
    mContext.get_executor(),
    settings,
    mAdapters.mStore,
    mMetrics,
    aRead,
    { [this, aRead](const fleet::ChangeSet& aChanges) {
       NoteStore(true, "");
       Execute(fleet::OnStoreAnswer(mCore, aRead, aChanges, Clock::now()));
       PublishDirectory();
       Execute(fleet::OnTick(mCore, Clock::now()));
     },
      [this](const StoreFailure& aFailure) {
        NoteStore(aFailure.mKind == fleet::ReadFailure::HistoryLost,
                  aFailure.mMessage);
        fleet::OnStoreFailure(mCore, aFailure.mKind, Clock::now());
      } });
}

void
ControlLoop::NoteStore(bool aReachable, const std::string& aReason)
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
  for (const auto token : fleet::NextProbes(mProbes, tokens, aNow)) {
    const auto found =
      std::ranges::find_if(mBuilder.mUpstreams, [token](const auto& aItem) {
        return flows::TokenOf(aItem.first) == token;
      });
    if (found == mBuilder.mUpstreams.end()) {
      fleet::NoteProbed(mProbes, token, aNow);
    } else {
      StartProbe(found->second.mListed.mUpstream);
    }
  }
}

void
ControlLoop::StartProbe(const flows::Upstream& aUpstream)
{
  const auto& paths = mBuilder.mConfiguration->mHealthPaths;
  const auto path = paths.find(aUpstream.mService);
  const auto token = flows::TokenOf(aUpstream.mId);
  const auto sent = Clock::now();
  Count(mMetrics->mProbes);
  // Any answer proves that the upstream is reached; whether it calls itself
  // healthy does not matter here.
  net::StartGet(mContext.get_executor(),
                { aUpstream.mAddress,
                  path == paths.end() ? "/" : path->second,
                  kProbeTimeout,
                  kProbeTimeout,
                  kProbeAnswerBytes },
                [this, token, sent, id = aUpstream.mId](const auto& aAnswer) {
                  fleet::NoteProbed(mProbes, token, Clock::now());
                  if (!aAnswer) {
                    Count(mMetrics->mProbeFailures);
                    mLog->Write("probe_failed",
                                { { "upstream", id },
                                  { "reason", aAnswer.error().mMessage } });
                    return;
                  }
                  mCore.mProven[token] = sent;
                  mTraffic.UseProven({ token }, sent);
                });
}

void
ControlLoop::StartPull(const fleet::PullRequest& aPull)
{
  Count(mMetrics->mPulls);
  net::StartGet(mContext.get_executor(),
                { aPull.mFrom,
                  std::string(kChangesPath) + std::to_string(aPull.mAfter),
                  kPullTimeout,
                  kPullTimeout,
                  mSettings.mStoreAnswerBytes },
                [this, aPull](const state::Result<net::HttpAnswer>& aAnswer) {
                  std::optional<fleet::ChangeSet> changes;
                  std::string reason;
                  if (!aAnswer) {
                    reason = aAnswer.error().mMessage;
                  } else if (auto decoded =
                               messages::DecodeChanges(aAnswer.value().mBody);
                             decoded) {
                    changes = std::move(decoded).value();
                  } else {
                    reason = decoded.error().mMessage;
                  }
                  if (!changes) {
                    Count(mMetrics->mPullFailures);
                    mLog->Write("pull_failed",
                                { { "peer", ToString(aPull.mFrom) },
                                  { "after", std::to_string(aPull.mAfter) },
                                  { "reason", reason } });
                  }
                  Execute(fleet::OnPulled(mCore, changes));
                  PublishDirectory();
                });
}

} // namespace sassafrasknot::edge
