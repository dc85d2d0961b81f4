#include "sassafrasknot/protocol/document_codec.hpp"
#include "sassafrasknot/protocol/document_enum_names.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace sassafrasknot::protocol {
namespace {

namespace json = boost::json;

template<typename Elements, typename Write>
json::array
WriteArray(const Elements& aElements, const Write& aWrite)
{
  json::array array;
  for (const auto& element : aElements) {
    array.emplace_back(aWrite(element));
  }
  return array;
}

json::object
WriteLimits(const state::ServiceLimits& aLimits)
{
  return { { "queue_per_slot", aLimits.mQueuePerSlot },
           { "long_share", aLimits.mLongShare },
           { "ejected_share", aLimits.mEjectedShare },
           { "slow_start_ms", aLimits.mSlowStart.count() },
           { "keepalive_ms", aLimits.mKeepaliveInterval.count() } };
}

json::object
WriteListener(const state::Listener& aListener)
{
  return { { "port", aListener.mPort },
           { "upstream_port", aListener.mUpstreamPort },
           { "protocol", EnumName(kProtocolNames, aListener.mProtocol) },
           { "flow_class", EnumName(kFlowClassNames, aListener.mFlowClass) },
           { "queue_deadline_ms", aListener.mQueueDeadline.count() } };
}

json::object
WriteTemplateService(const state::TemplateService& aService)
{
  return { { "name", aService.mName },
           { "listeners", WriteArray(aService.mListeners, WriteListener) },
           { "slots", aService.mSlots },
           { "connections", aService.mConnections },
           { "shards", aService.mShards },
           { "limits", WriteLimits(aService.mLimits) } };
}

json::object
WriteUpstream(const state::UpstreamParameters& aUpstream)
{
  json::object object{ { "address", ToString(aUpstream.mAddress) },
                       { "data_centre", aUpstream.mDataCentre.mValue },
                       { "state",
                         EnumName(kUpstreamStateNames, aUpstream.mState) } };
  if (aUpstream.mSlots) {
    object["slots"] = *aUpstream.mSlots;
  }
  if (aUpstream.mConnections) {
    object["connections"] = *aUpstream.mConnections;
  }
  return object;
}

json::object
WriteService(const state::ServiceParameters& aService)
{
  json::object object{ { "name", aService.mName },
                       { "address", ToString(aService.mAddress) },
                       { "upstreams",
                         WriteArray(aService.mUpstreams, WriteUpstream) } };
  if (aService.mShards) {
    object["shards"] = *aService.mShards;
  }
  if (aService.mLimits) {
    object["limits"] = WriteLimits(*aService.mLimits);
  }
  return object;
}

json::object
WriteInstance(const state::ListedInstance& aInstance)
{
  return { { "name", aInstance.mId.mValue },
           { "peer_endpoint", ToString(aInstance.mPeerEndpoint) },
           { "control_endpoint", ToString(aInstance.mControlEndpoint) },
           { "state", EnumName(kInstanceStateNames, aInstance.mState) } };
}

json::object
WriteListedUpstream(const state::ListedUpstream& aUpstream)
{
  return { { "address", ToString(aUpstream.mAddress) },
           { "state", EnumName(kUpstreamStateNames, aUpstream.mState) } };
}

json::object
Write(const state::TemplateDocument& aDocument)
{
  return { { "services",
             WriteArray(aDocument.mServices, WriteTemplateService) } };
}

json::object
Write(const state::OrganisationDocument& aDocument)
{
  return { { "template", aDocument.mTemplate.mValue },
           { "weight", aDocument.mWeight },
           { "services", WriteArray(aDocument.mServices, WriteService) } };
}

json::object
Write(const state::InstanceListDocument& aDocument)
{
  return { { "instances", WriteArray(aDocument.mInstances, WriteInstance) } };
}

json::object
Write(const state::UpstreamListDocument& aDocument)
{
  return { { "upstreams",
             WriteArray(aDocument.mUpstreams, WriteListedUpstream) } };
}

std::string
Key(const state::TemplateDocument& aDocument)
{
  return "templates/" + aDocument.mId.mValue;
}

std::string
Key(const state::OrganisationDocument& aDocument)
{
  return "organisations/" + aDocument.mId.mValue;
}

std::string
Key(const state::InstanceListDocument& aDocument)
{
  return "instances/" + aDocument.mDataCentre.mValue;
}

std::string
Key(const state::UpstreamListDocument& aDocument)
{
  return "upstreams/" + aDocument.mDataCentre.mValue;
}

} // namespace

std::string
EncodeDocument(const state::Document& aDocument)
{
  return json::serialize(std::visit(
    [](const auto& aAlternative) { return Write(aAlternative); }, aDocument));
}

std::string
KeyOf(const state::Document& aDocument)
{
  return std::visit([](const auto& aAlternative) { return Key(aAlternative); },
                    aDocument);
}

} // namespace sassafrasknot::protocol
