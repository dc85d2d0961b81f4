#include "sassafrasknot/protocol/document_codec.hpp"
#include "sassafrasknot/protocol/document_enum_names.hpp"
#include "sassafrasknot/protocol/json_reader.hpp"
#include "sassafrasknot/protocol/json_scan.hpp"

#include <set>

namespace sassafrasknot::protocol {
namespace {

using boost::json::value;
using Failure = std::optional<state::Error>;

constexpr std::string_view kTemplateMembers[] = { "services" };
constexpr std::string_view kTemplateServiceMembers[] = {
  "name", "listeners", "slots", "connections", "shards", "limits"
};
constexpr std::string_view kListenerMembers[] = { "port",
                                                  "upstream_port",
                                                  "protocol",
                                                  "flow_class",
                                                  "queue_deadline_ms" };
constexpr std::string_view kLimitMembers[] = { "queue_per_slot",
                                               "long_share",
                                               "ejected_share",
                                               "slow_start_ms",
                                               "keepalive_ms" };
constexpr std::string_view kOrganisationMembers[] = { "template",
                                                      "weight",
                                                      "services" };
constexpr std::string_view kServiceMembers[] = { "name",
                                                 "address",
                                                 "upstreams",
                                                 "shards",
                                                 "limits" };
constexpr std::string_view kUpstreamMembers[] = { "address",
                                                  "data_centre",
                                                  "slots",
                                                  "connections",
                                                  "state" };
constexpr std::string_view kInstanceListMembers[] = { "instances" };
constexpr std::string_view kInstanceMembers[] = { "name",
                                                  "peer_endpoint",
                                                  "control_endpoint",
                                                  "state" };
constexpr std::string_view kUpstreamListMembers[] = { "upstreams" };
constexpr std::string_view kListedUpstreamMembers[] = { "address", "state" };

/// Refuses a second element of an array with the same identity.
template<typename T>
void
RequireNew(JsonReader& aReader,
           std::set<T>& aSeen,
           const T& aIdentity,
           std::string_view aMember)
{
  if (!aSeen.insert(aIdentity).second) {
    aReader.Fail(aMember, "is already used by an earlier element");
  }
}

/// Reads limits. Without defaults all members are required, so that an
/// organisation that overrides its template's limits states each of them.
state::ServiceLimits
ReadLimits(Failure& aFailure,
           const value& aValue,
           std::string aPlace,
           const std::optional<state::ServiceLimits>& aDefaults)
{
  JsonReader reader(aFailure, aValue, std::move(aPlace), kLimitMembers);
  const auto pick = [&](auto aMember) {
    using Member =
      std::remove_cvref_t<decltype(state::ServiceLimits{}.*aMember)>;
    return aDefaults ? std::optional<Member>((*aDefaults).*aMember)
                     : std::nullopt;
  };
  using state::ServiceLimits;
  return { reader.Number("queue_per_slot",
                         state::kQueuePerSlotRange,
                         pick(&ServiceLimits::mQueuePerSlot)),
           reader.Number("long_share",
                         state::kShareRange,
                         pick(&ServiceLimits::mLongShare)),
           reader.Number("ejected_share",
                         state::kShareRange,
                         pick(&ServiceLimits::mEjectedShare)),
           reader.Milliseconds("slow_start_ms",
                               state::kSlowStartMsRange,
                               pick(&ServiceLimits::mSlowStart)),
           reader.Milliseconds("keepalive_ms",
                               state::kKeepaliveMsRange,
                               pick(&ServiceLimits::mKeepaliveInterval)) };
}

std::uint32_t
ReadCount(JsonReader& aReader,
          std::string_view aMember,
          const state::Range<std::uint64_t>& aRange,
          std::optional<std::uint64_t> aDefault = {})
{
  return static_cast<std::uint32_t>(aReader.Integer(aMember, aRange, aDefault));
}

std::optional<std::uint32_t>
ReadOptionalCount(JsonReader& aReader,
                  std::string_view aMember,
                  const state::Range<std::uint64_t>& aRange)
{
  return aReader.Has(aMember)
           ? std::optional(ReadCount(aReader, aMember, aRange))
           : std::nullopt;
}

state::Listener
ReadListener(Failure& aFailure,
             const value& aValue,
             std::string aPlace,
             std::set<std::uint16_t>& aPorts,
             std::set<std::uint16_t>& aUpstreamPorts)
{
  JsonReader reader(aFailure, aValue, std::move(aPlace), kListenerMembers);
  state::Listener listener;
  listener.mPort =
    static_cast<std::uint16_t>(reader.Integer("port", state::kPortRange));
  RequireNew(reader, aPorts, listener.mPort, "port");
  listener.mUpstreamPort = static_cast<std::uint16_t>(
    reader.Integer("upstream_port", state::kPortRange));
  RequireNew(reader, aUpstreamPorts, listener.mUpstreamPort, "upstream_port");
  listener.mProtocol = reader.Choice(
    "protocol", kProtocolNames, std::optional(listener.mProtocol));
  listener.mFlowClass = reader.Choice("flow_class", kFlowClassNames);
  listener.mQueueDeadline = reader.Milliseconds(
    "queue_deadline_ms", state::kQueueDeadlineMsRange, listener.mQueueDeadline);
  return listener;
}

state::TemplateService
ReadTemplateService(Failure& aFailure,
                    const value& aValue,
                    std::string aPlace,
                    std::set<std::string>& aNames)
{
  JsonReader reader(
    aFailure, aValue, std::move(aPlace), kTemplateServiceMembers);
  state::TemplateService service;
  service.mName = reader.Name("name");
  RequireNew(reader, aNames, service.mName, "name");
  std::set<std::uint16_t> ports;
  std::set<std::uint16_t> upstreamPorts;
  reader.Array(
    "listeners",
    { 1, state::kMaxListenersPerService },
    [&](const value& aElement, std::string aElementPlace) {
      service.mListeners.push_back(ReadListener(
        aFailure, aElement, std::move(aElementPlace), ports, upstreamPorts));
    });
  service.mSlots = ReadCount(reader, "slots", state::kSlotsRange);
  service.mConnections =
    ReadCount(reader, "connections", state::kConnectionsRange);
  if (service.mConnections < service.mSlots) {
    reader.Fail("connections", "must be at least the number of slots");
  }
  service.mShards =
    ReadCount(reader, "shards", state::kShardsRange, service.mShards);
  if (reader.Has("limits")) {
    service.mLimits = ReadLimits(aFailure,
                                 *reader.Find("limits"),
                                 reader.PlaceOf("limits"),
                                 state::ServiceLimits{});
  }
  return service;
}

state::TemplateDocument
ReadTemplate(Failure& aFailure, const value& aValue, std::string aName)
{
  JsonReader reader(aFailure, aValue, {}, kTemplateMembers);
  state::TemplateDocument document{ { std::move(aName) }, {} };
  std::set<std::string> names;
  reader.Array("services",
               { 1, state::kMaxServicesPerOrganisation },
               [&](const value& aElement, std::string aPlace) {
                 document.mServices.push_back(ReadTemplateService(
                   aFailure, aElement, std::move(aPlace), names));
               });
  return document;
}

state::UpstreamParameters
ReadUpstream(Failure& aFailure,
             const value& aValue,
             std::string aPlace,
             std::set<state::Ipv4Address>& aAddresses)
{
  JsonReader reader(aFailure, aValue, std::move(aPlace), kUpstreamMembers);
  state::UpstreamParameters upstream;
  upstream.mAddress = reader.Address("address");
  RequireNew(reader, aAddresses, upstream.mAddress, "address");
  upstream.mDataCentre = { reader.Name("data_centre") };
  upstream.mSlots = ReadOptionalCount(reader, "slots", state::kSlotsRange);
  upstream.mConnections =
    ReadOptionalCount(reader, "connections", state::kConnectionsRange);
  upstream.mState =
    reader.Choice("state", kUpstreamStateNames, std::optional(upstream.mState));
  return upstream;
}

state::ServiceParameters
ReadService(Failure& aFailure,
            const value& aValue,
            std::string aPlace,
            std::set<std::string>& aNames)
{
  JsonReader reader(aFailure, aValue, std::move(aPlace), kServiceMembers);
  state::ServiceParameters service;
  service.mName = reader.Name("name");
  RequireNew(reader, aNames, service.mName, "name");
  service.mAddress = reader.Address("address");
  std::set<state::Ipv4Address> addresses;
  reader.Array("upstreams",
               { 0, state::kMaxUpstreamsPerService },
               [&](const value& aElement, std::string aElementPlace) {
                 service.mUpstreams.push_back(ReadUpstream(
                   aFailure, aElement, std::move(aElementPlace), addresses));
               });
  service.mShards = ReadOptionalCount(reader, "shards", state::kShardsRange);
  if (reader.Has("limits")) {
    service.mLimits = ReadLimits(
      aFailure, *reader.Find("limits"), reader.PlaceOf("limits"), std::nullopt);
  }
  return service;
}

state::OrganisationDocument
ReadOrganisation(Failure& aFailure, const value& aValue, std::string aName)
{
  JsonReader reader(aFailure, aValue, {}, kOrganisationMembers);
  state::OrganisationDocument document;
  document.mId = { std::move(aName) };
  document.mTemplate = { reader.Name("template") };
  document.mWeight =
    reader.Number("weight", state::kWeightRange, document.mWeight);
  std::set<std::string> names;
  reader.Array("services",
               { 1, state::kMaxServicesPerOrganisation },
               [&](const value& aElement, std::string aPlace) {
                 document.mServices.push_back(
                   ReadService(aFailure, aElement, std::move(aPlace), names));
               });
  return document;
}

state::InstanceListDocument
ReadInstanceList(Failure& aFailure, const value& aValue, std::string aName)
{
  JsonReader reader(aFailure, aValue, {}, kInstanceListMembers);
  state::InstanceListDocument document{ { std::move(aName) }, {} };
  std::set<std::string> names;
  reader.Array(
    "instances",
    { 0, state::kMaxInstancesPerDataCentre },
    [&](const value& aElement, std::string aPlace) {
      JsonReader element(
        aFailure, aElement, std::move(aPlace), kInstanceMembers);
      state::ListedInstance instance;
      instance.mId = { element.Name("name") };
      RequireNew(element, names, instance.mId.mValue, "name");
      instance.mPeerEndpoint = element.Endpoint("peer_endpoint");
      instance.mControlEndpoint = element.Endpoint("control_endpoint");
      instance.mState = element.Choice(
        "state", kInstanceStateNames, std::optional(instance.mState));
      document.mInstances.push_back(std::move(instance));
    });
  return document;
}

state::UpstreamListDocument
ReadUpstreamList(Failure& aFailure, const value& aValue, std::string aName)
{
  JsonReader reader(aFailure, aValue, {}, kUpstreamListMembers);
  state::UpstreamListDocument document{ { std::move(aName) }, {} };
  std::set<state::Ipv4Address> addresses;
  reader.Array(
    "upstreams",
    { 0, state::kMaxUpstreamsPerDataCentre },
    [&](const value& aElement, std::string aPlace) {
      JsonReader element(
        aFailure, aElement, std::move(aPlace), kListedUpstreamMembers);
      state::ListedUpstream upstream;
      upstream.mAddress = element.Address("address");
      RequireNew(element, addresses, upstream.mAddress, "address");
      upstream.mState = element.Choice(
        "state", kUpstreamStateNames, std::optional(upstream.mState));
      document.mUpstreams.push_back(upstream);
    });
  return document;
}

} // namespace

state::Result<state::Document>
DecodeDocument(std::string_view aKey, std::string_view aText)
{
  const auto slash = aKey.find('/');
  const auto kind = aKey.substr(0, slash);
  std::string name(slash == std::string_view::npos ? std::string_view{}
                                                   : aKey.substr(slash + 1));
  if (!state::IsName(name)) {
    return MalformedAt("key",
                       "must be templates/, organisations/, instances/ or "
                       "upstreams/ and a name of " +
                         std::string(state::kNameRule));
  }
  JsonScan scan;
  const auto tree =
    ParseJson(aText, kMaxDocumentBytes, kMaxDocumentDepth, scan);
  if (!tree) {
    return tree.error();
  }
  if (!scan.mRepeated.empty()) {
    return MalformedAt(scan.mRepeated.front(), "must occur only once");
  }
  Failure failure;
  state::Document document;
  if (kind == "templates") {
    document = ReadTemplate(failure, tree.value(), std::move(name));
  } else if (kind == "organisations") {
    document = ReadOrganisation(failure, tree.value(), std::move(name));
  } else if (kind == "instances") {
    document = ReadInstanceList(failure, tree.value(), std::move(name));
  } else if (kind == "upstreams") {
    document = ReadUpstreamList(failure, tree.value(), std::move(name));
  } else {
    return MalformedAt("key",
                       "must start with templates/, organisations/, instances/ "
                       "or upstreams/");
  }
  if (failure) {
    return *failure;
  }
  return document;
}

} // namespace sassafrasknot::protocol
