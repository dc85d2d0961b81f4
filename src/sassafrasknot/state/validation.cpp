#include "sassafrasknot/state/validation.hpp"

#include "sassafrasknot/state/ranges.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace sassafrasknot::state {
namespace {

/// Validation errors of one organisation and what is needed to find them.
struct Validation
{
  std::vector<Finding> mFindings;
  /// Addresses checked so far and the location of their first use.
  std::map<Ipv4Address, std::string> mAddresses;
};

/// Adds an error if aHolds is false.
void
Require(Validation& aValidation,
        bool aHolds,
        std::string aLocation,
        std::string aMessage)
{
  if (!aHolds) {
    aValidation.mFindings.push_back(
      { std::move(aLocation), std::move(aMessage) });
  }
}

void
RequireName(Validation& aValidation,
            const std::string& aName,
            const std::string& aLocation)
{
  Require(
    aValidation, IsName(aName), aLocation, "must be " + std::string(kNameRule));
}

template<typename T>
void
RequireRange(Validation& aValidation,
             std::type_identity_t<T> aValue,
             const Range<T>& aRange,
             const std::string& aLocation)
{
  Require(aValidation,
          aRange.Contains(aValue),
          aLocation,
          "must be from " + ToString(aRange));
}

/// Converts milliseconds to the type of the ranges. A negative value becomes a
/// very high one, which is outside all ranges.
std::uint64_t
ToUnsigned(std::chrono::milliseconds aDuration)
{
  return static_cast<std::uint64_t>(aDuration.count());
}

/// Requires a unicast address that the organisation uses only once.
void
CheckAddress(Validation& aValidation,
             Ipv4Address aAddress,
             const std::string& aLocation)
{
  const auto first = aAddress.mValue >> 24U;
  Require(aValidation,
          first != 0 && first < 224,
          aLocation,
          ToString(aAddress) + " is not a unicast address");
  const auto [used, isNew] =
    aValidation.mAddresses.emplace(aAddress, aLocation);
  Require(aValidation,
          isNew,
          aLocation,
          ToString(aAddress) + " is already used by " + used->second);
}

void
CheckListeners(Validation& aValidation,
               const std::vector<Listener>& aListeners,
               const std::string& aLocation)
{
  Require(aValidation,
          !aListeners.empty() && aListeners.size() <= kMaxListenersPerService,
          aLocation,
          "must have 1 to " + std::to_string(kMaxListenersPerService) +
            " listeners");
  std::set<std::uint16_t> ports;
  std::set<std::uint16_t> upstreamPorts;
  for (std::size_t index = 0; index < aListeners.size(); ++index) {
    const auto& listener = aListeners[index];
    const auto location = aLocation + '/' + std::to_string(index);
    RequireRange(aValidation, listener.mPort, kPortRange, location + "/port");
    RequireRange(aValidation,
                 listener.mUpstreamPort,
                 kPortRange,
                 location + "/upstream_port");
    RequireRange(aValidation,
                 ToUnsigned(listener.mQueueDeadline),
                 kQueueDeadlineMsRange,
                 location + "/queue_deadline_ms");
    // The listener of a caller's packet is looked up by the service endpoint
    // alone, and that of an upstream's answer by the upstream endpoint alone,
    // so each port may occur only once.
    Require(aValidation,
            ports.insert(listener.mPort).second,
            location + "/port",
            "port " + std::to_string(listener.mPort) +
              " is already used by a listener of this service");
    Require(aValidation,
            upstreamPorts.insert(listener.mUpstreamPort).second,
            location + "/upstream_port",
            "port " + std::to_string(listener.mUpstreamPort) +
              " is already used by a listener of this service");
  }
}

void
CheckUpstreams(Validation& aValidation,
               const std::vector<Upstream>& aUpstreams,
               const std::string& aLocation)
{
  Require(aValidation,
          aUpstreams.size() <= kMaxUpstreamsPerService,
          aLocation,
          "must have at most " + std::to_string(kMaxUpstreamsPerService) +
            " upstreams");
  for (std::size_t index = 0; index < aUpstreams.size(); ++index) {
    const auto& upstream = aUpstreams[index];
    const auto location = aLocation + '/' + std::to_string(index);
    CheckAddress(aValidation, upstream.mAddress, location + "/address");
    RequireName(
      aValidation, upstream.mDataCentre.mValue, location + "/data_centre");
    RequireRange(
      aValidation, upstream.mSlots, kSlotsRange, location + "/slots");
    RequireRange(aValidation,
                 upstream.mConnections,
                 kConnectionsRange,
                 location + "/connections");
    Require(aValidation,
            upstream.mConnections >= upstream.mSlots,
            location + "/connections",
            "must be at least the number of slots, " +
              std::to_string(upstream.mSlots));
  }
}

void
CheckLimits(Validation& aValidation,
            const ServiceLimits& aLimits,
            const std::string& aLocation)
{
  RequireRange(aValidation,
               aLimits.mQueuePerSlot,
               kQueuePerSlotRange,
               aLocation + "/queue_per_slot");
  RequireRange(
    aValidation, aLimits.mLongShare, kShareRange, aLocation + "/long_share");
  RequireRange(aValidation,
               aLimits.mEjectedShare,
               kShareRange,
               aLocation + "/ejected_share");
  RequireRange(aValidation,
               ToUnsigned(aLimits.mSlowStart),
               kSlowStartMsRange,
               aLocation + "/slow_start_ms");
  RequireRange(aValidation,
               ToUnsigned(aLimits.mKeepaliveInterval),
               kKeepaliveMsRange,
               aLocation + "/keepalive_ms");
}

} // namespace

std::vector<Finding>
Validate(const Organisation& aOrganisation)
{
  Validation validation;
  RequireName(validation, aOrganisation.mId.mValue, "name");
  RequireRange(validation, aOrganisation.mWeight, kWeightRange, "weight");
  Require(validation,
          aOrganisation.mServices.size() <= kMaxServicesPerOrganisation,
          "services",
          "must have at most " + std::to_string(kMaxServicesPerOrganisation) +
            " services");
  std::set<std::string> names;
  for (const auto& service : aOrganisation.mServices) {
    const auto location = "services/" + service.mName;
    RequireName(validation, service.mName, location + "/name");
    Require(validation,
            names.insert(service.mName).second,
            location + "/name",
            "is already used by a service of this organisation");
    CheckAddress(validation, service.mAddress, location + "/address");
    CheckListeners(validation, service.mListeners, location + "/listeners");
    CheckUpstreams(validation, service.mUpstreams, location + "/upstreams");
    RequireRange(
      validation, service.mShards, kShardsRange, location + "/shards");
    CheckLimits(validation, service.mLimits, location + "/limits");
  }
  return std::move(validation.mFindings);
}

std::vector<Endpoint>
ClaimedEndpoints(const Organisation& aOrganisation)
{
  std::set<Endpoint> endpoints;
  for (const auto& service : aOrganisation.mServices) {
    for (const auto& listener : service.mListeners) {
      endpoints.insert({ service.mAddress, listener.mPort });
      for (const auto& upstream : service.mUpstreams) {
        endpoints.insert({ upstream.mAddress, listener.mUpstreamPort });
      }
    }
  }
  return { endpoints.begin(), endpoints.end() };
}

} // namespace sassafrasknot::state
