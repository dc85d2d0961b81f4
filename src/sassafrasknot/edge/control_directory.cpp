#include "sassafrasknot/edge/control_loop.hpp"

#include <utility>

namespace sassafrasknot::edge {
namespace {

using Clock = std::chrono::steady_clock;

} // namespace

void
ControlLoop::TakeChanged(const std::vector<std::string>& aKeys)
{
  const auto& records = mCore.mCatalogue.mRecords;
  for (const auto& key : aKeys) {
    mDirectoryDue = true;
    if (const auto found = records.find(key); found != records.end()) {
      TakeRecord(found->second);
    } else if (const auto id = mAdapters.mStore.mUpstreamOf(key)) {
      flows::RemoveUpstream(mBuilder, *id, Clock::now());
      mLog->Write(
        "upstream_lapsed",
        { { "upstream", *id },
          { "revision", std::to_string(mCore.mCatalogue.mRevision) } });
    }
  }
}

void
ControlLoop::TakeRecord(const fleet::Record& aRecord)
{
  const auto content = mAdapters.mStore.mDecodeRecord(aRecord);
  const auto revision = std::to_string(aRecord.mRevision);
  if (!content) {
    Count(mMetrics->mUnreadableRecords);
    mLog->Write("record_unreadable",
                { { "key", aRecord.mKey },
                  { "revision", revision },
                  { "reason", content.error().mMessage } });
    if (const auto id = mAdapters.mStore.mUpstreamOf(aRecord.mKey)) {
      flows::RemoveUpstream(mBuilder, *id, Clock::now());
    }
    return;
  }
  if (const auto* upstream = std::get_if<flows::Upstream>(&content.value())) {
    flows::PutUpstream(mBuilder, *upstream);
    mLog->Write("upstream_described",
                { { "upstream", upstream->mId },
                  { "data_centre", upstream->mDataCentre.mValue },
                  { "draining", upstream->mDraining ? "yes" : "no" },
                  { "revision", revision } });
  } else if (const auto* configuration =
               std::get_if<std::shared_ptr<const flows::Configuration>>(
                 &content.value())) {
    mBuilder.mConfiguration = *configuration;
    mLog->Write(
      "configuration",
      { { "version", std::to_string((*configuration)->mVersion) },
        { "routes", std::to_string((*configuration)->mRoutes.size()) },
        { "revision", revision } });
  }
}

void
ControlLoop::PublishDirectory()
{
  if (!mDirectoryDue || !mCore.mReader.mEverConfirmed ||
      !mBuilder.mConfiguration) {
    return;
  }
  mDirectoryDue = false;
  mTraffic.UseDirectory(
    flows::BuildDirectory(mBuilder, mCore.mCatalogue.mRevision));
  if (!std::exchange(mPublished, true)) {
    mLog->Write(
      "ready",
      { { "revision", std::to_string(mCore.mCatalogue.mRevision) },
        { "upstreams", std::to_string(mBuilder.mUpstreams.size()) } });
  }
}

} // namespace sassafrasknot::edge
