#include "sassafrasknot/edge/control_loop.hpp"
#include "sassafrasknot/messages/fleet_codec.hpp"

#include <charconv>
#include <system_error>

namespace sassafrasknot::edge {
namespace {

using Clock = std::chrono::steady_clock;

} // namespace

net::HttpReply
ControlLoop::ServeReadiness(std::string_view aTarget)
{
  constexpr unsigned kNotFound = 404;
  constexpr unsigned kNotReady = 503;
  if (aTarget != mAdapters.mReadyPath) {
    return { kNotFound, "text/plain", "" };
  }
  return { IsReady() ? 200 : kNotReady, "text/plain", "" };
}

net::HttpReply
ControlLoop::ServeFleet(std::string_view aTarget)
{
  constexpr unsigned kBadRequest = 400;
  state::Revision after = 0;
  if (aTarget.substr(0, kChangesPath.size()) != kChangesPath) {
    return { kBadRequest, "text/plain", "unknown path\n" };
  }
  const auto number = aTarget.substr(kChangesPath.size());
  const auto [end, failure] =
    std::from_chars(number.data(), number.data() + number.size(), after);
  if (failure != std::errc{} || end != number.data() + number.size()) {
    return { kBadRequest, "text/plain", "the revision is not a number\n" };
  }
  return { 200, "application/octet-stream", EncodedChanges(after) };
}

std::string
ControlLoop::EncodedChanges(state::Revision aAfter)
{
  // Many instances ask for a full copy when they start together.
  const auto revision = mCore.mCatalogue.mRevision;
  const bool isEncoded =
    mFullCopy.first == revision && !mFullCopy.second.empty();
  if (aAfter == 0 && isEncoded) {
    return mFullCopy.second;
  }
  const auto changes = fleet::ChangesAfter(mCore.mCatalogue, aAfter);
  auto encoded = messages::EncodeChanges(changes);
  if (aAfter == 0) {
    mFullCopy = { revision, encoded };
  }
  return encoded;
}

net::HttpReply
ControlLoop::ServeAdmin(std::string_view aTarget)
{
  constexpr unsigned kNotFound = 404;
  if (aTarget == "/dump") {
    return { 200, "text/plain", DumpText() };
  }
  if (aTarget != "/metrics") {
    return { kNotFound, "text/plain", "known paths: /metrics /dump\n" };
  }
  const auto now = Clock::now();
  const auto seconds = [](state::Duration aDuration) {
    return std::chrono::duration<double>(aDuration).count();
  };
  const auto lines = mLog->Counts();
  return {
    200,
    "text/plain; version=0.0.4",
    MetricsText(
      *mMetrics,
      { { "open_flows",
          "Flows that this instance has seen packets of.",
          static_cast<double>(mMetrics->mOpenFlows) },
        { "revision",
          "Revision of the platform that is known.",
          static_cast<double>(mCore.mCatalogue.mRevision) },
        { "confirmed_age_seconds",
          "Time since the platform confirmed that revision.",
          mCore.mReader.mEverConfirmed ? seconds(now - mCore.mReader.mConfirmed)
                                       : 0 },
        { "peers",
          "Live instances that are known.",
          static_cast<double>(fleet::LocalPeers(mCore.mPeers, now).size() +
                              fleet::RemotePeers(mCore.mPeers, now).size()) },
        { "log_lines_written",
          "Lines written to the log.",
          static_cast<double>(lines.mWritten) },
        { "log_lines_suppressed",
          "Lines left out by the limit per event.",
          static_cast<double>(lines.mSuppressed) },
        { "log_lines_dropped",
          "Lines lost because nobody read them.",
          static_cast<double>(lines.mDropped) } })
  };
}

std::string
ControlLoop::DumpText() const
{
  const auto now = Clock::now();
  std::string text = "instance " + mSettings.mInstance + "\nrevision " +
                     std::to_string(mCore.mCatalogue.mRevision) + "\nready " +
                     (IsReady() ? "yes" : "no") + "\nreader_rank " +
                     std::to_string(fleet::ReaderRank(mCore.mPeers, now)) +
                     "\n";
  const auto place = fleet::LocalPlace(mCore.mPeers, now);
  text += "place " + std::to_string(place.mIndex) + " of " +
          std::to_string(place.mCount) +
          (flows::IsDivided(place.mCount) ? ", upstreams divided\n" : "\n");
  for (const auto& [endpoint, peer] : mCore.mPeers.mPeers) {
    text += "peer " + ToString(endpoint) + " " +
            peer.mMember.mDataCentre.mValue +
            (fleet::IsAlive(peer, now) ? " alive" : " dead") + "\n";
  }
  return mTrafficReport.mUpstreams ? text + *mTrafficReport.mUpstreams : text;
}

} // namespace sassafrasknot::edge
