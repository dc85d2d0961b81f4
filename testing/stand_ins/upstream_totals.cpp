#include "upstream_set.hpp"
#include <boost/json.hpp>

namespace stand_ins {

namespace json = boost::json;

namespace {

void
Add(UpstreamTotals& aSum, const UpstreamTotals& aOther)
{
  aSum.mAccepted += aOther.mAccepted;
  aSum.mRefused += aOther.mRefused;
  aSum.mRan += aOther.mRan;
  aSum.mRanTwice += aOther.mRanTwice;
  aSum.mMisrouted += aOther.mMisrouted;
  aSum.mReset += aOther.mReset;
  aSum.mUnknown += aOther.mUnknown;
}

json::object
ToObject(const UpstreamTotals& aTotals)
{
  return { { "accepted", aTotals.mAccepted },
           { "refused", aTotals.mRefused },
           { "ran", aTotals.mRan },
           { "ran_twice", aTotals.mRanTwice },
           { "misrouted", aTotals.mMisrouted },
           { "reset", aTotals.mReset },
           { "unknown_segments", aTotals.mUnknown } };
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
    object["open"] = server.mOpen;
    object["running"] = server.mRunning;
    object["longest_queue"] = totals.mLongestQueue;
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
