#include "upstream_set.hpp"
#include <boost/json.hpp>

namespace stand_ins {

namespace json = boost::json;

namespace {

// Adds the counters that can be summed over upstreams; the maximum queue length
// and the time of the last accepted connection are reported per upstream.
void
Add(UpstreamTotals& aSum, const UpstreamTotals& aOther)
{
  aSum.mAccepted += aOther.mAccepted;
  aSum.mRefused += aOther.mRefused;
  aSum.mRan += aOther.mRan;
  aSum.mRanTwice += aOther.mRanTwice;
  aSum.mMisrouted += aOther.mMisrouted;
  aSum.mResets += aOther.mResets;
  aSum.mUnknownSegments += aOther.mUnknownSegments;
}

json::object
ToObject(const UpstreamTotals& aTotals)
{
  return { { "accepted", aTotals.mAccepted },
           { "refused", aTotals.mRefused },
           { "ran", aTotals.mRan },
           { "ran_twice", aTotals.mRanTwice },
           { "misrouted", aTotals.mMisrouted },
           { "reset", aTotals.mResets },
           { "unknown_segments", aTotals.mUnknownSegments } };
}

} // namespace

std::string
ToJson(const UpstreamSet& aSet, state::TimePoint aNow)
{
  UpstreamTotals sum;
  json::object upstreams;
  for (const auto& [address, server] : aSet.mUpstreams) {
    const auto& totals = server.mTotals;
    Add(sum, totals);
    auto object = ToObject(totals);
    object["organisation"] = server.mSettings.mOrganisation;
    object["service"] = server.mSettings.mService;
    object["open"] = server.mOpenConnections;
    object["running"] = server.mActiveRequests;
    object["longest_queue"] = totals.mMaxQueueLength;
    if (totals.mLastAccepted) {
      object["last_accepted_seconds_ago"] =
        std::chrono::duration<double>(aNow - *totals.mLastAccepted).count();
    }
    upstreams[state::ToString(address)] = std::move(object);
  }
  return json::serialize(json::object{ { "totals", ToObject(sum) },
                                       { "upstreams", upstreams } }) +
         '\n';
}

} // namespace stand_ins
