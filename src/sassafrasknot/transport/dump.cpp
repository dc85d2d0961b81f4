#include "sassafrasknot/transport/dump.hpp"

#include <array>
#include <ctime>

#include <boost/json.hpp>

namespace sassafrasknot::transport {
namespace {

namespace json = boost::json;

json::object
ToJson(const state::ShardId& aId)
{
  return { { "organisation", aId.mService.mOrganisation.mValue },
           { "service", aId.mService.mName },
           { "index", aId.mIndex } };
}

json::object
ToJson(const coordination::UpstreamStatus& aUpstream)
{
  return { { "address", state::ToString(aUpstream.mAddress) },
           { "slots_used", aUpstream.mSlotsUsed },
           { "slots", aUpstream.mSlots },
           { "connections_used", aUpstream.mConnectionsUsed },
           { "connections", aUpstream.mConnections },
           { "eligible", aUpstream.mEligible },
           { "reason", aUpstream.mReason } };
}

json::object
ToJson(const coordination::OwnedShardStatus& aShard)
{
  auto object = ToJson(aShard.mId);
  object["owned"] = true;
  object["backup"] = aShard.mBackup.mValue;
  object["flows"] = aShard.mFlows;
  object["queued"] = aShard.mShard.mQueued;
  json::array upstreams;
  for (const auto& upstream : aShard.mShard.mUpstreams) {
    upstreams.push_back(ToJson(upstream));
  }
  object["upstreams"] = std::move(upstreams);
  return object;
}

json::object
ToJson(const coordination::TrafficStatus& aStatus)
{
  json::array shards;
  for (const auto& shard : aStatus.mOwned) {
    shards.push_back(ToJson(shard));
  }
  return { { "flows", aStatus.mFlows },
           { "backup_records", aStatus.mBackupRecords },
           { "recovering", aStatus.mPendingLookups },
           { "copies_pending", aStatus.mPendingReplications },
           { "shards", std::move(shards) } };
}

/// Lists the shards for which this instance is the backup, with their owners.
/// Only the current table of a service is used, which is the first one.
json::array
ListBackedUpShards(const state::Snapshot& aSnapshot)
{
  json::array shards;
  for (const auto& service : aSnapshot.mServices) {
    if (service.mTables.empty()) {
      continue;
    }
    for (const auto& shard : service.mTables.front().mShards) {
      if (shard.mOwners.size() > 1 &&
          aSnapshot.mInstances[shard.mOwners[1]].mId == aSnapshot.mSelf) {
        auto object = ToJson(shard.mId);
        object["owner"] = aSnapshot.mInstances[shard.mOwners[0]].mId.mValue;
        shards.push_back(std::move(object));
      }
    }
  }
  return shards;
}

/// Formats a time in UTC according to ISO 8601, to the second.
std::string
FormatIsoTime(std::chrono::system_clock::time_point aTime)
{
  const auto seconds = std::chrono::system_clock::to_time_t(aTime);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  const auto size =
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return { text.data(), size };
}

json::array
ToJson(const InForceTimes& aTimes)
{
  json::array organisations;
  for (const auto& [id, inForce] : aTimes) {
    organisations.push_back({ { "organisation", id.mValue },
                              { "revision", inForce.mRevision },
                              { "since", FormatIsoTime(inForce.mSince) } });
  }
  return organisations;
}

} // namespace

std::vector<state::OrganisationId>
UpdateInForce(InForceTimes& aTimes,
              const state::Snapshot& aSnapshot,
              std::chrono::system_clock::time_point aNow)
{
  InForceTimes times;
  std::vector<state::OrganisationId> changed;
  for (const auto& service : aSnapshot.mServices) {
    const auto& id = service.mId.mOrganisation;
    if (service.mRemoved || times.contains(id)) {
      continue;
    }
    if (const auto known = aTimes.find(id);
        known != aTimes.end() && known->second.mRevision == service.mRevision) {
      times.insert(*known);
    } else {
      times[id] = { service.mRevision, aNow };
      changed.push_back(id);
    }
  }
  aTimes = std::move(times);
  return changed;
}

std::string
BuildDump(const DumpInput& aInput)
{
  json::object dump;
  dump["instance"] = aInput.mSnapshot->mSelf.mValue;
  dump["data_centre"] = aInput.mSnapshot->mDataCentre.mValue;
  dump["in_force"] = ToJson(aInput.mInForce);
  boost::system::error_code failure;
  dump["control"] = json::parse(aInput.mControl, failure);
  json::array threads;
  for (const auto& thread : aInput.mTraffic.mThreads) {
    threads.push_back(ToJson(thread));
  }
  dump["traffic"] = std::move(threads);
  dump["backed_up"] = ListBackedUpShards(*aInput.mSnapshot);
  json::object counters;
  for (const auto& [name, value] : aInput.mCounters.mValues) {
    counters[name] = value;
  }
  dump["counters"] = std::move(counters);
  return json::serialize(dump);
}

std::string
FormatPrometheusText(const state::Counters& aCounters)
{
  std::string text;
  for (const auto& [name, value] : aCounters.mValues) {
    const auto fullName = "sassafrasknot_" + name;
    text += "# TYPE " + fullName;
    text += name.ends_with("_total") ? " counter\n" : " gauge\n";
    text += fullName + ' ' + std::to_string(value) + '\n';
  }
  return text;
}

} // namespace sassafrasknot::transport
