#include "sassafrasknot/protocol/document_codec.hpp"
#include "sassafrasknot/protocol/document_enum_names.hpp"
#include "sassafrasknot/protocol/json_parser.hpp"
#include "sassafrasknot/protocol/json_reader.hpp"

#include <set>

namespace sassafrasknot::protocol {
namespace {

using boost::json::value;
/// First error in a document, shared by all readers of its parts.
using FirstError = std::optional<state::Error>;

// Allowed members of each kind of object.
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

/// Reports an error if an earlier element of the same array has the same
/// identifier in this member.
template<typename T>
void
RequireUnique(JsonReader& aReader,
              std::set<T>& aSeen,
              const T& aIdentifier,
              std::string_view aMember)
{
  if (!aSeen.insert(aIdentifier).second) {
    aReader.Fail(aMember, "is already used by an earlier element");
  }
}

/// Reads the limits of a service. Without defaults all members are required:
/// an organisation that overrides the limits of its template must specify each
/// of them.
state::ServiceLimits
ReadLimits(FirstError& aFirstError,
           const value& aValue,
           std::string aLocation,
           const std::optional<state::ServiceLimits>& aDefaults)
{
  JsonReader reader(aFirstError, aValue, std::move(aLocation), kLimitMembers);
  // Absent if there are no defaults.
  const auto defaultOf = [&](auto aMember) {
    using Member =
      std::remove_cvref_t<decltype(state::ServiceLimits{}.*aMember)>;
    return aDefaults ? std::optional<Member>((*aDefaults).*aMember)
                     : std::nullopt;
  };
  using state::ServiceLimits;
  return { reader.Number("queue_per_slot",
                         state::kQueuePerSlotRange,
                         defaultOf(&ServiceLimits::mQueuePerSlot)),
           reader.Number("long_share",
                         state::kShareRange,
                         defaultOf(&ServiceLimits::mLongShare)),
           reader.Number("ejected_share",
                         state::kShareRange,
                         defaultOf(&ServiceLimits::mEjectedShare)),
           reader.Milliseconds("slow_start_ms",
                               state::kSlowStartMsRange,
                               defaultOf(&ServiceLimits::mSlowStart)),
           reader.Milliseconds("keepalive_ms",
                               state::kKeepaliveMsRange,
                               defaultOf(&ServiceLimits::mKeepaliveInterval)) };
}

/// Reads a number in a range that fits 32 bits.
std::uint32_t
ReadCount(JsonReader& aReader,
          std::string_view aMember,
          const state::Range<std::uint64_t>& aRange,
          std::optional<std::uint64_t> aDefault = {})
{
  return static_cast<std::uint32_t>(aReader.Integer(aMember, aRange, aDefault));
}

/// Like ReadCount, but returns nothing for an absent member.
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
ReadListener(FirstError& aFirstError,
             const value& aValue,
             std::string aLocation,
             std::set<std::uint16_t>& aPorts,
             std::set<std::uint16_t>& aUpstreamPorts)
{
  JsonReader reader(
    aFirstError, aValue, std::move(aLocation), kListenerMembers);
  state::Listener listener;
  listener.mPort =
    static_cast<std::uint16_t>(reader.Integer("port", state::kPortRange));
  RequireUnique(reader, aPorts, listener.mPort, "port");
  listener.mUpstreamPort = static_cast<std::uint16_t>(
    reader.Integer("upstream_port", state::kPortRange));
  RequireUnique(
    reader, aUpstreamPorts, listener.mUpstreamPort, "upstream_port");
  listener.mProtocol = reader.Choice(
    "protocol", kProtocolNames, std::optional(listener.mProtocol));
  listener.mFlowClass = reader.Choice("flow_class", kFlowClassNames);
  listener.mQueueDeadline = reader.Milliseconds(
    "queue_deadline_ms", state::kQueueDeadlineMsRange, listener.mQueueDeadline);
  return listener;
}

state::TemplateService
ReadTemplateService(FirstError& aFirstError,
                    const value& aValue,
                    std::string aLocation,
                    std::set<std::string>& aNames)
{
  JsonReader reader(
    aFirstError, aValue, std::move(aLocation), kTemplateServiceMembers);
  state::TemplateService service;
  service.mName = reader.Name("name");
  RequireUnique(reader, aNames, service.mName, "name");
  std::set<std::uint16_t> ports;
  std::set<std::uint16_t> upstreamPorts;
  reader.Array("listeners",
               { 1, state::kMaxListenersPerService },
               [&](const value& aElement, std::string aElementLocation) {
                 service.mListeners.push_back(
                   ReadListener(aFirstError,
                                aElement,
                                std::move(aElementLocation),
                                ports,
                                upstreamPorts));
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
    service.mLimits = ReadLimits(aFirstError,
                                 *reader.Find("limits"),
                                 reader.LocationOf("limits"),
                                 state::ServiceLimits{});
  }
  return service;
}

state::TemplateDocument
ReadTemplate(FirstError& aFirstError, const value& aValue, std::string aName)
{
  JsonReader reader(aFirstError, aValue, {}, kTemplateMembers);
  state::TemplateDocument document{ { std::move(aName) }, {} };
  std::set<std::string> names;
  reader.Array("services",
               { 1, state::kMaxServicesPerOrganisation },
               [&](const value& aElement, std::string aLocation) {
                 document.mServices.push_back(ReadTemplateService(
                   aFirstError, aElement, std::move(aLocation), names));
               });
  return document;
}

state::UpstreamParameters
ReadUpstream(FirstError& aFirstError,
             const value& aValue,
             std::string aLocation,
             std::set<state::Ipv4Address>& aAddresses)
{
  JsonReader reader(
    aFirstError, aValue, std::move(aLocation), kUpstreamMembers);
  state::UpstreamParameters upstream;
  upstream.mAddress = reader.Address("address");
  RequireUnique(reader, aAddresses, upstream.mAddress, "address");
  upstream.mDataCentre = { reader.Name("data_centre") };
  upstream.mSlots = ReadOptionalCount(reader, "slots", state::kSlotsRange);
  upstream.mConnections =
    ReadOptionalCount(reader, "connections", state::kConnectionsRange);
  upstream.mState =
    reader.Choice("state", kUpstreamStateNames, std::optional(upstream.mState));
  return upstream;
}

state::ServiceParameters
ReadService(FirstError& aFirstError,
            const value& aValue,
            std::string aLocation,
            std::set<std::string>& aNames)
{
  JsonReader reader(aFirstError, aValue, std::move(aLocation), kServiceMembers);
  state::ServiceParameters service;
  service.mName = reader.Name("name");
  RequireUnique(reader, aNames, service.mName, "name");
  service.mAddress = reader.Address("address");
  std::set<state::Ipv4Address> addresses;
  reader.Array(
    "upstreams",
    { 0, state::kMaxUpstreamsPerService },
    [&](const value& aElement, std::string aElementLocation) {
      service.mUpstreams.push_back(ReadUpstream(
        aFirstError, aElement, std::move(aElementLocation), addresses));
    });
  service.mShards = ReadOptionalCount(reader, "shards", state::kShardsRange);
  if (reader.Has("limits")) {
    service.mLimits = ReadLimits(aFirstError,
                                 *reader.Find("limits"),
                                 reader.LocationOf("limits"),
                                 std::nullopt);
  }
  return service;
}

state::OrganisationDocument
ReadOrganisation(FirstError& aFirstError,
                 const value& aValue,
                 std::string aName)
{
  JsonReader reader(aFirstError, aValue, {}, kOrganisationMembers);
  state::OrganisationDocument document;
  document.mId = { std::move(aName) };
  document.mTemplate = { reader.Name("template") };
  document.mWeight =
    reader.Number("weight", state::kWeightRange, document.mWeight);
  std::set<std::string> names;
  reader.Array("services",
               { 1, state::kMaxServicesPerOrganisation },
               [&](const value& aElement, std::string aLocation) {
                 document.mServices.push_back(ReadService(
                   aFirstError, aElement, std::move(aLocation), names));
               });
  return document;
}

state::InstanceListDocument
ReadInstanceList(FirstError& aFirstError,
                 const value& aValue,
                 std::string aName)
{
  JsonReader reader(aFirstError, aValue, {}, kInstanceListMembers);
  state::InstanceListDocument document{ { std::move(aName) }, {} };
  std::set<std::string> names;
  reader.Array(
    "instances",
    { 0, state::kMaxInstancesPerDataCentre },
    [&](const value& aElement, std::string aLocation) {
      JsonReader element(
        aFirstError, aElement, std::move(aLocation), kInstanceMembers);
      state::ListedInstance instance;
      instance.mId = { element.Name("name") };
      RequireUnique(element, names, instance.mId.mValue, "name");
      instance.mPeerEndpoint = element.Endpoint("peer_endpoint");
      instance.mControlEndpoint = element.Endpoint("control_endpoint");
      instance.mState = element.Choice(
        "state", kInstanceStateNames, std::optional(instance.mState));
      document.mInstances.push_back(std::move(instance));
    });
  return document;
}

state::UpstreamListDocument
ReadUpstreamList(FirstError& aFirstError,
                 const value& aValue,
                 std::string aName)
{
  JsonReader reader(aFirstError, aValue, {}, kUpstreamListMembers);
  state::UpstreamListDocument document{ { std::move(aName) }, {} };
  std::set<state::Ipv4Address> addresses;
  reader.Array(
    "upstreams",
    { 0, state::kMaxUpstreamsPerDataCentre },
    [&](const value& aElement, std::string aLocation) {
      JsonReader element(
        aFirstError, aElement, std::move(aLocation), kListedUpstreamMembers);
      state::ListedUpstream upstream;
      upstream.mAddress = element.Address("address");
      RequireUnique(element, addresses, upstream.mAddress, "address");
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
  JsonSourceInfo sourceInfo;
  const auto tree =
    ParseJson(aText, kMaxDocumentBytes, kMaxDocumentDepth, sourceInfo);
  if (!tree) {
    return tree.error();
  }
  if (!sourceInfo.mDuplicateMembers.empty()) {
    return MalformedAt(sourceInfo.mDuplicateMembers.front(),
                       "must occur only once");
  }
  FirstError firstError;
  state::Document document;
  if (kind == "templates") {
    document = ReadTemplate(firstError, tree.value(), std::move(name));
  } else if (kind == "organisations") {
    document = ReadOrganisation(firstError, tree.value(), std::move(name));
  } else if (kind == "instances") {
    document = ReadInstanceList(firstError, tree.value(), std::move(name));
  } else if (kind == "upstreams") {
    document = ReadUpstreamList(firstError, tree.value(), std::move(name));
  } else {
    return MalformedAt("key",
                       "must start with templates/, organisations/, instances/ "
                       "or upstreams/");
  }
  if (firstError) {
    return *firstError;
  }
  return document;
}

} // namespace sassafrasknot::protocol
