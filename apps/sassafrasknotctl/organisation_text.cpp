#include "organisation_text.hpp"

#include "sassafrasknot/protocol/document_enum_names.hpp"

#include <sstream>

#include <boost/json/array.hpp>

namespace sassafrasknotctl {
namespace {

using namespace sassafrasknot::protocol;
using namespace sassafrasknot::state;
namespace json = boost::json;

json::object
ToJson(const Listener& aListener)
{
  return { { "port", aListener.mPort },
           { "upstream_port", aListener.mUpstreamPort },
           { "protocol", EnumName(kProtocolNames, aListener.mProtocol) },
           { "flow_class", EnumName(kFlowClassNames, aListener.mFlowClass) },
           { "queue_deadline_ms", aListener.mQueueDeadline.count() } };
}

json::object
ToJson(const Upstream& aUpstream)
{
  return { { "address", ToString(aUpstream.mAddress) },
           { "data_centre", aUpstream.mDataCentre.mValue },
           { "slots", aUpstream.mSlots },
           { "connections", aUpstream.mConnections },
           { "state", EnumName(kUpstreamStateNames, aUpstream.mState) } };
}

json::object
ToJson(const Service& aService)
{
  json::array listeners;
  for (const auto& listener : aService.mListeners) {
    listeners.push_back(ToJson(listener));
  }
  json::array upstreams;
  for (const auto& upstream : aService.mUpstreams) {
    upstreams.push_back(ToJson(upstream));
  }
  const auto& limits = aService.mLimits;
  return { { "name", aService.mName },
           { "address", ToString(aService.mAddress) },
           { "shards", aService.mShards },
           { "listeners", std::move(listeners) },
           { "upstreams", std::move(upstreams) },
           { "limits",
             { { "queue_per_slot", limits.mQueuePerSlot },
               { "long_share", limits.mLongShare },
               { "ejected_share", limits.mEjectedShare },
               { "slow_start_ms", limits.mSlowStart.count() },
               { "keepalive_ms", limits.mKeepaliveInterval.count() } } } };
}

} // namespace

std::string
ToText(const Organisation& aOrganisation)
{
  std::ostringstream text;
  text << "organisation " << aOrganisation.mId.mValue << ", weight "
       << aOrganisation.mWeight << '\n';
  for (const auto& service : aOrganisation.mServices) {
    text << "  service " << service.mName << " at "
         << ToString(service.mAddress) << ", " << service.mShards
         << " shards per data centre\n";
    for (const auto& listener : service.mListeners) {
      text << "    port " << listener.mPort << '/'
           << EnumName(kProtocolNames, listener.mProtocol) << " to "
           << listener.mUpstreamPort << ", "
           << EnumName(kFlowClassNames, listener.mFlowClass)
           << ", queues flows for at most " << listener.mQueueDeadline.count()
           << " ms\n";
    }
    for (const auto& upstream : service.mUpstreams) {
      text << "    upstream " << ToString(upstream.mAddress) << " in "
           << upstream.mDataCentre.mValue << ", " << upstream.mSlots
           << " slots, " << upstream.mConnections << " connections, "
           << EnumName(kUpstreamStateNames, upstream.mState) << '\n';
    }
  }
  return text.str();
}

json::object
ToJson(const Organisation& aOrganisation)
{
  json::array services;
  for (const auto& service : aOrganisation.mServices) {
    services.push_back(ToJson(service));
  }
  return { { "weight", aOrganisation.mWeight },
           { "services", std::move(services) } };
}

} // namespace sassafrasknotctl
