#include "sassafrasknot/protocol/document_codec.hpp"
#include "sassafrasknot/protocol/document_enum_names.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace sassafrasknot::protocol {
namespace {

namespace json = boost::json;

/// Converts each element with aToJson(element).
template<typename Elements, typename ElementToJson>
json::array
ArrayToJson(const Elements& aElements, const ElementToJson& aToJson)
{
  json::array array;
  for (const auto& element : aElements) {
    array.emplace_back(aToJson(element));
  }
  return array;
}

json::object
LimitsToJson(const state::ServiceLimits& aLimits)
{
  return { { "queue_per_slot", aLimits.mQueuePerSlot },
           { "long_share", aLimits.mLongShare },
           { "ejected_share", aLimits.mEjectedShare },
           { "slow_start_ms", aLimits.mSlowStart.count() },
           { "keepalive_ms", aLimits.mKeepaliveInterval.count() } };
}

json::object
ListenerToJson(const state::Listener& aListener)
{
  return { { "port", aListener.mPort },
           { "upstream_port", aListener.mUpstreamPort },
           { "protocol", EnumName(kProtocolNames, aListener.mProtocol) },
           { "flow_class", EnumName(kFlowClassNames, aListener.mFlowClass) },
           { "queue_deadline_ms", aListener.mQueueDeadline.count() } };
}

json::object
TemplateServiceToJson(const state::TemplateService& aService)
{
  return { { "name", aService.mName },
           { "listeners", ArrayToJson(aService.mListeners, ListenerToJson) },
           { "slots", aService.mSlots },
           { "connections", aService.mConnections },
           { "shards", aService.mShards },
           { "limits", LimitsToJson(aService.mLimits) } };
}

json::object
UpstreamToJson(const state::UpstreamParameters& aUpstream)
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
ServiceToJson(const state::ServiceParameters& aService)
{
  json::object object{ { "name", aService.mName },
                       { "address", ToString(aService.mAddress) },
                       { "upstreams",
                         ArrayToJson(aService.mUpstreams, UpstreamToJson) } };
  if (aService.mShards) {
    object["shards"] = *aService.mShards;
  }
  if (aService.mLimits) {
    object["limits"] = LimitsToJson(*aService.mLimits);
  }
  return object;
}

json::object
InstanceToJson(const state::ListedInstance& aInstance)
{
  return { { "name", aInstance.mId.mValue },
           { "peer_endpoint", ToString(aInstance.mPeerEndpoint) },
           { "control_endpoint", ToString(aInstance.mControlEndpoint) },
           { "state", EnumName(kInstanceStateNames, aInstance.mState) } };
}

json::object
ListedUpstreamToJson(const state::ListedUpstream& aUpstream)
{
  return { { "address", ToString(aUpstream.mAddress) },
           { "state", EnumName(kUpstreamStateNames, aUpstream.mState) } };
}

json::object
DocumentToJson(const state::TemplateDocument& aDocument)
{
  return { { "services",
             ArrayToJson(aDocument.mServices, TemplateServiceToJson) } };
}

json::object
DocumentToJson(const state::OrganisationDocument& aDocument)
{
  return { { "template", aDocument.mTemplate.mValue },
           { "weight", aDocument.mWeight },
           { "services", ArrayToJson(aDocument.mServices, ServiceToJson) } };
}

json::object
DocumentToJson(const state::InstanceListDocument& aDocument)
{
  return { { "instances", ArrayToJson(aDocument.mInstances, InstanceToJson) } };
}

json::object
DocumentToJson(const state::UpstreamListDocument& aDocument)
{
  return { { "upstreams",
             ArrayToJson(aDocument.mUpstreams, ListedUpstreamToJson) } };
}

std::string
DocumentKey(const state::TemplateDocument& aDocument)
{
  return "templates/" + aDocument.mId.mValue;
}

std::string
DocumentKey(const state::OrganisationDocument& aDocument)
{
  return "organisations/" + aDocument.mId.mValue;
}

std::string
DocumentKey(const state::InstanceListDocument& aDocument)
{
  return "instances/" + aDocument.mDataCentre.mValue;
}

std::string
DocumentKey(const state::UpstreamListDocument& aDocument)
{
  return "upstreams/" + aDocument.mDataCentre.mValue;
}

} // namespace

std::string
EncodeDocument(const state::Document& aDocument)
{
  return json::serialize(std::visit(
    [](const auto& aAlternative) { return DocumentToJson(aAlternative); },
    aDocument));
}

std::string
KeyOf(const state::Document& aDocument)
{
  return std::visit(
    [](const auto& aAlternative) { return DocumentKey(aAlternative); },
    aDocument);
}

} // namespace sassafrasknot::protocol
