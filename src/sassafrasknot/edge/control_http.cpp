#include "sassafrasknot/edge/control_loop.hpp"
#include "sassafrasknot/messages/fleet_codec.hpp"

#include <charconv>
#include <system_error>

namespace sassafrasknot::edge {
namespace {

using Clock = std::chrono::steady_clock;

} // namespace

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
    return { kBadRequest, "text/plain", "unknown path\n" };
  }
  const auto number = aTarget.substr(kChangesTarget.size());
  const auto [end, failure] =
    std::from_chars(number.data(), number.data() + number.size(), after);
  if (failure != std::errc{} || end != number.data() + number.size()) {
    return { kBadRequest, "text/plain", "the revision is not a number\n" };
  }
  return { 200, "application/octet-stream", EncodeChangesAfter(after) };
}

std::string
ControlLoop::EncodeChangesAfter(state::Revision aAfter)
{
  // Many instances ask for a full copy when they start together.
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

net::HttpServerResponse
ControlLoop::ServeAdmin(std::string_view aTarget)
{
  constexpr unsigned kNotFound = 404;
  if (aTarget == "/dump") {
    return { 200, "text/plain", FormatDump() };
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
    FormatMetrics(
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
ControlLoop::FormatDump() const
{
  const auto now = Clock::now();
  std::string text = "instance " + mSettings.mInstance + "\nrevision " +
                     std::to_string(mCore.mCatalogue.mRevision) + "\nready " +
                     (IsReady() ? "yes" : "no") + "\nreader_rank " +
                     std::to_string(fleet::ReaderRank(mCore.mPeers, now)) +
                     "\n";
  const auto place = fleet::LocalPosition(mCore.mPeers, now);
  text +=
    "place " + std::to_string(place.mIndex) + " of " +
    std::to_string(place.mCount) +
    (flows::UsesSubsetting(place.mCount) ? ", upstreams divided\n" : "\n");
  for (const auto& [endpoint, peer] : mCore.mPeers.mPeers) {
    text += "peer " + ToString(endpoint) + " " +
            peer.mMember.mDataCentre.mValue +
            (fleet::IsAlive(peer, now) ? " alive" : " dead") + "\n";
  }
  return mTrafficReport.mUpstreamDump ? text + *mTrafficReport.mUpstreamDump
                                      : text;
}

} // namespace sassafrasknot::edge
