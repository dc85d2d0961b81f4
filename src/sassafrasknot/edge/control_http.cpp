#include "sassafrasknot/edge/control_loop.hpp"
#include "sassafrasknot/messages/fleet_codec.hpp"
#include "sassafrasknot/net/clock.hpp"

#include <charconv>
#include <system_error>
#include <utility>

#include <boost/asio/post.hpp>

namespace sassafrasknot::edge {

net::HttpServerResponse
ControlLoop::ServeReadiness(std::string_view aTarget)
{
  constexpr unsigned kNotFound = 404;
  constexpr unsigned kNotReady = 503;
  if (aTarget != mFormats.mReadyPath) {
    return { kNotFound, "text/plain", "" };
  }
  return { IsReady() ? 200 : kNotReady, "text/plain", "" };
}

net::HttpServerResponse
ControlLoop::ServeFleet(std::string_view aTarget)
{
  constexpr unsigned kBadRequest = 400;
  state::Revision after = 0;
  if (aTarget.substr(0, kChangesTarget.size()) != kChangesTarget) {
    return { kBadRequest,
             "text/plain",
             "unknown path: expected /changes?after=REVISION\n" };
  }
  const auto number = aTarget.substr(kChangesTarget.size());
  const auto [end, failure] =
    std::from_chars(number.data(), number.data() + number.size(), after);
  if (failure != std::errc{} || end != number.data() + number.size()) {
    return { kBadRequest,
             "text/plain",
             "the revision must be a whole number of up to 64 bits\n" };
  }
  return { 200, "application/octet-stream", EncodeChangesAfter(after) };
}

std::string
ControlLoop::EncodeChangesAfter(state::Revision aAfter)
{
  // Instances that start at the same time all request a full copy; caching it
  // encodes it once per revision.
  const auto revision = mCore.mCatalogue.mRevision;
  const bool isEncoded =
    mEncodedCatalogue.first == revision && !mEncodedCatalogue.second.empty();
  if (aAfter == 0 && isEncoded) {
    return mEncodedCatalogue.second;
  }
  const auto changes = fleet::ChangesAfter(mCore.mCatalogue, aAfter);
  auto encoded = messages::EncodeChanges(changes);
  if (aAfter == 0) {
    mEncodedCatalogue = { revision, encoded };
  }
  return encoded;
}

void
ControlLoop::ServeAdmin(std::string_view aTarget, net::HttpResponder aRespond)
{
  constexpr unsigned kNotFound = 404;
  if (aTarget == "/metrics") {
    aRespond(ServeMetrics());
  } else if (aTarget == "/dump") {
    mTraffic.RequestUpstreamDump(
      [this, respond = std::move(aRespond)](std::string aUpstreams) mutable {
        boost::asio::post(
          mContext,
          [this,
           respond = std::move(respond),
           upstreams = std::move(aUpstreams)] {
            respond({ 200, "text/plain", FormatDump() + upstreams });
          });
      });
  } else {
    aRespond({ kNotFound,
               "text/plain",
               "unknown path: expected /metrics or /dump\n" });
  }
}

net::HttpServerResponse
ControlLoop::ServeMetrics() const
{
  const auto now = net::Now();
  const auto seconds = [](state::Duration aDuration) {
    return std::chrono::duration<double>(aDuration).count();
  };
  const auto lines = mLog->Counts();
  return {
    200,
    "text/plain; version=0.0.4",
    FormatMetrics(
      *mMetrics,
      { { "open_flows",
          "Flows in the table of this instance.",
          static_cast<double>(mMetrics->mOpenFlows) },
        { "open_uploads",
          "Uploads that are sending through this instance.",
          static_cast<double>(mMetrics->mOpenUploads) },
        { "upload_queue_seconds",
          "Delay that uploads are expected to cause on this instance's link.",
          seconds(std::chrono::microseconds(mMetrics->mUploadQueueMicros)) },
        { "revision",
          "Latest revision of the platform's store that this instance knows.",
          static_cast<double>(mCore.mCatalogue.mRevision) },
        { "confirmed_age_seconds",
          "Time since the store last confirmed the known revision; 0 before "
          "the first confirmation.",
          mCore.mReader.mEverConfirmed
            ? seconds(now - mCore.mReader.mConfirmedAt)
            : 0 },
        { "peers",
          "Other instances that are alive.",
          static_cast<double>(fleet::LocalPeers(mCore.mPeers, now).size() +
                              fleet::RemotePeers(mCore.mPeers, now).size()) },
        { "log_lines_written",
          "Lines written to the log.",
          static_cast<double>(lines.mWritten) },
        { "log_lines_suppressed",
          "Lines left out by the limit of lines per event and second.",
          static_cast<double>(lines.mSuppressed) },
        { "log_lines_dropped",
          "Lines lost because the reader of the log did not keep up.",
          static_cast<double>(lines.mDropped) } }) +
      FormatLimitedUpstreams(mTrafficReport.mLimitedUpstreams) +
      FormatEvacuationMetrics(EvacuationReports())
  };
}

std::string
ControlLoop::FormatDump() const
{
  const auto now = net::Now();
  std::string text = "instance " + mSettings.mInstance + "\nrevision " +
                     std::to_string(mCore.mCatalogue.mRevision) + "\nready " +
                     (IsReady() ? "yes" : "no") + "\nreader_rank " +
                     std::to_string(fleet::ReaderRank(mCore.mPeers, now)) +
                     "\n";
  const auto position = fleet::LocalPosition(mCore.mPeers, now);
  text +=
    "place " + std::to_string(position.mIndex) + " of " +
    std::to_string(position.mCount) +
    (flows::UsesSubsetting(position.mCount) ? ", upstreams divided\n" : "\n");
  if (const auto& configuration = mDirectoryBuilder.mConfiguration;
      configuration && !configuration->mWarmUpLimits.empty()) {
    text += std::string("cold_placing ") + (mMayPlaceOnCold ? "yes\n" : "no\n");
  }
  for (const auto& [endpoint, peer] : mCore.mPeers.mPeers) {
    text += "peer " + ToString(endpoint) + " " +
            peer.mMember.mDataCentre.mValue +
            (fleet::IsAlive(peer, now) ? " alive" : " dead") + "\n";
  }
  return text + FormatEvacuations(EvacuationReports());
}

} // namespace sassafrasknot::edge
