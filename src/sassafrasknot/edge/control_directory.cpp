#include "sassafrasknot/edge/control_loop.hpp"
#include "sassafrasknot/net/clock.hpp"

#include <utility>

namespace sassafrasknot::edge {

void
ControlLoop::ApplyChangedKeys(const std::vector<std::string>& aKeys)
{
  const auto& records = mCore.mCatalogue.mRecords;
  // Whether an entry without a start is from another writer may depend on the
  // other entries.
  std::vector<std::pair<flows::Upstream, std::string>> withoutStart;
  for (const auto& key : aKeys) {
    mDirectoryOutdated = true;
    if (const auto found = records.find(key); found != records.end()) {
      const auto content = mFormats.mStore.mDecodeRecord(found->second);
      const auto* upstream =
        content ? std::get_if<flows::Upstream>(&content.value()) : nullptr;
      if (upstream != nullptr && upstream->mStarted.count() == 0) {
        withoutStart.emplace_back(*upstream, key);
      } else {
        ApplyRecord(found->second, content);
      }
    } else if (const auto id = mFormats.mStore.mUpstreamIdOf(key)) {
      flows::RemoveUpstream(mDirectoryBuilder, *id, net::Now());
      mLog->Write(
        "upstream_lapsed",
        { { "upstream", *id },
          { "revision", std::to_string(mCore.mCatalogue.mRevision) } });
    } else if (const auto dataCentre = mFormats.mStore.mEvacuatedBy(key)) {
      ApplyEvacuationEnd(*dataCentre);
    }
  }
  for (const auto& [upstream, key] : withoutStart) {
    const auto& record = records.at(key);
    if (flows::IsForeignEntry(mDirectoryBuilder, upstream)) {
      RejectRecord(record,
                   key + ": does not state a start, which other entries do");
    } else {
      ApplyRecord(record, edge::RecordContent(upstream));
    }
  }
}

void
ControlLoop::RejectRecord(const fleet::Record& aRecord,
                          const std::string& aReason)
{
  Increment(mMetrics->mMalformedRecords);
  mLog->Write("record_unreadable",
              { { "key", aRecord.mKey },
                { "revision", std::to_string(aRecord.mRevision) },
                { "reason", aReason } });
  if (const auto id = mFormats.mStore.mUpstreamIdOf(aRecord.mKey)) {
    flows::RemoveUpstream(mDirectoryBuilder, *id, net::Now());
  }
}

void
ControlLoop::ApplyRecord(const fleet::Record& aRecord,
                         const state::Result<RecordContent>& aContent)
{
  if (!aContent) {
    RejectRecord(aRecord, aContent.error().mMessage);
    return;
  }
  const auto& content = aContent.value();
  const auto revision = std::to_string(aRecord.mRevision);
  if (const auto* upstream = std::get_if<flows::Upstream>(&content)) {
    flows::UpsertUpstream(mDirectoryBuilder, *upstream);
    mLog->Write("upstream_described",
                { { "upstream", upstream->mId },
                  { "data_centre", upstream->mDataCentre.mValue },
                  { "draining", upstream->mDraining ? "yes" : "no" },
                  { "revision", revision } });
  } else if (const auto* configuration =
               std::get_if<DecodedConfiguration>(&content)) {
    ApplyConfiguration(*configuration, revision);
  } else if (const auto* evacuation =
               std::get_if<DecodedEvacuation>(&content)) {
    ApplyEvacuation(*evacuation, aRecord.mKey);
  }
}

void
ControlLoop::ApplyConfiguration(const DecodedConfiguration& aDecoded,
                                const std::string& aRevision)
{
  const auto& configuration = aDecoded.mConfiguration;
  mDirectoryBuilder.mConfiguration = configuration;
  mLog->Write("configuration",
              { { "version", std::to_string(configuration->mVersion) },
                { "routes", std::to_string(configuration->mRoutes.size()) },
                { "revision", aRevision } });
  for (const auto& [defect, message] : aDecoded.mDefectiveRoutes) {
    Increment(mMetrics->mDefectiveRoutes[static_cast<std::size_t>(defect)]);
    mLog->Write("route_" + std::string(ToString(defect)),
                { { "version", std::to_string(configuration->mVersion) },
                  { "reason", message },
                  { "revision", aRevision } });
  }
  for (const auto& message : aDecoded.mDefectiveLimits) {
    Increment(mMetrics->mDefectiveLimits);
    mLog->Write("warmup_limit_unreadable",
                { { "version", std::to_string(configuration->mVersion) },
                  { "reason", message },
                  { "revision", aRevision } });
  }
}

void
ControlLoop::PublishDirectory()
{
  if (!mDirectoryOutdated || !mCore.mReader.mEverConfirmed ||
      !mDirectoryBuilder.mConfiguration) {
    return;
  }
  mDirectoryOutdated = false;
  CheckEvacuations();
  mTraffic.SetDirectory(
    flows::BuildNextDirectory(mDirectoryBuilder, mCore.mCatalogue.mRevision));
  if (!std::exchange(mDirectoryPublished, true)) {
    mLog->Write(
      "ready",
      { { "revision", std::to_string(mCore.mCatalogue.mRevision) },
        { "upstreams", std::to_string(mDirectoryBuilder.mUpstreams.size()) } });
  }
}

} // namespace sassafrasknot::edge
