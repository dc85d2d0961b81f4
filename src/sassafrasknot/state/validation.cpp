#include "sassafrasknot/state/validation.hpp"

#include "sassafrasknot/state/ranges.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace sassafrasknot::state {
namespace {

/// Collects the faults of one organisation.
struct Check
{
  std::vector<Finding> mFindings;
  /// Addresses seen so far and the place of their first use.
  std::map<Ipv4Address, std::string> mAddresses;
};

void
Require(Check& aCheck, bool aHolds, std::string aPlace, std::string aMessage)
{
  if (!aHolds) {
    aCheck.mFindings.push_back({ std::move(aPlace), std::move(aMessage) });
  }
}

void
RequireName(Check& aCheck, const std::string& aName, const std::string& aPlace)
{
  Require(aCheck, IsName(aName), aPlace, "must be " + std::string(kNameRule));
}

template<typename T>
void
RequireRange(Check& aCheck,
             std::type_identity_t<T> aValue,
             const Range<T>& aRange,
             const std::string& aPlace)
{
  Require(aCheck,
          aRange.Contains(aValue),
          aPlace,
          "must be from " + ToString(aRange));
}

/// Milliseconds as the ranges take them; a negative count is out of all ranges.
std::uint64_t
CountOf(std::chrono::milliseconds aTime)
{
  return static_cast<std::uint64_t>(aTime.count());
}

void
CheckAddress(Check& aCheck, Ipv4Address aAddress, const std::string& aPlace)
{
  const auto first = aAddress.mValue >> 24U;
  Require(aCheck,
          first != 0 && first < 224,
          aPlace,
          ToString(aAddress) + " is no unicast address");
  const auto [used, isNew] = aCheck.mAddresses.emplace(aAddress, aPlace);
  Require(aCheck,
          isNew,
          aPlace,
          ToString(aAddress) + " is already used by " + used->second);
}

void
CheckListeners(Check& aCheck,
               const std::vector<Listener>& aListeners,
               const std::string& aPlace)
{
  Require(aCheck,
          !aListeners.empty() && aListeners.size() <= kMaxListenersPerService,
          aPlace,
          "must have 1 to " + std::to_string(kMaxListenersPerService) +
            " listeners");
  std::set<std::uint16_t> ports;
  std::set<std::uint16_t> upstreamPorts;
  for (std::size_t index = 0; index < aListeners.size(); ++index) {
    const auto& listener = aListeners[index];
    const auto place = aPlace + '/' + std::to_string(index);
    RequireRange(aCheck, listener.mPort, kPortRange, place + "/port");
    RequireRange(
      aCheck, listener.mUpstreamPort, kPortRange, place + "/upstream_port");
    RequireRange(aCheck,
                 CountOf(listener.mQueueDeadline),
                 kQueueDeadlineMsRange,
                 place + "/queue_deadline_ms");
    // A packet's listener is looked up by its endpoint alone, and a response's
    // by the upstream endpoint, so each port may occur once.
    Require(aCheck,
            ports.insert(listener.mPort).second,
            place + "/port",
            "port " + std::to_string(listener.mPort) +
              " is already used by a listener of this service");
    Require(aCheck,
            upstreamPorts.insert(listener.mUpstreamPort).second,
            place + "/upstream_port",
            "port " + std::to_string(listener.mUpstreamPort) +
              " is already used by a listener of this service");
  }
}

void
CheckUpstreams(Check& aCheck,
               const std::vector<Upstream>& aUpstreams,
               const std::string& aPlace)
{
  Require(aCheck,
          aUpstreams.size() <= kMaxUpstreamsPerService,
          aPlace,
          "must have at most " + std::to_string(kMaxUpstreamsPerService) +
            " upstreams");
  for (std::size_t index = 0; index < aUpstreams.size(); ++index) {
    const auto& upstream = aUpstreams[index];
    const auto place = aPlace + '/' + std::to_string(index);
    CheckAddress(aCheck, upstream.mAddress, place + "/address");
    RequireName(aCheck, upstream.mDataCentre.mValue, place + "/data_centre");
    RequireRange(aCheck, upstream.mSlots, kSlotsRange, place + "/slots");
    RequireRange(
      aCheck, upstream.mConnections, kConnectionsRange, place + "/connections");
    Require(aCheck,
            upstream.mConnections >= upstream.mSlots,
            place + "/connections",
            "must be at least the number of slots, " +
              std::to_string(upstream.mSlots));
  }
}

void
CheckLimits(Check& aCheck,
            const ServiceLimits& aLimits,
            const std::string& aPlace)
{
  RequireRange(aCheck,
               aLimits.mQueuePerSlot,
               kQueuePerSlotRange,
               aPlace + "/queue_per_slot");
  RequireRange(aCheck, aLimits.mLongShare, kShareRange, aPlace + "/long_share");
  RequireRange(
    aCheck, aLimits.mEjectedShare, kShareRange, aPlace + "/ejected_share");
  RequireRange(aCheck,
               CountOf(aLimits.mSlowStart),
               kSlowStartMsRange,
               aPlace + "/slow_start_ms");
  RequireRange(aCheck,
               CountOf(aLimits.mKeepaliveInterval),
               kKeepaliveMsRange,
               aPlace + "/keepalive_ms");
}

} // namespace

std::vector<Finding>
Validate(const Organisation& aOrganisation)
{
  Check check;
  RequireName(check, aOrganisation.mId.mValue, "name");
  RequireRange(check, aOrganisation.mWeight, kWeightRange, "weight");
  Require(check,
          aOrganisation.mServices.size() <= kMaxServicesPerOrganisation,
          "services",
          "must have at most " + std::to_string(kMaxServicesPerOrganisation) +
            " services");
  std::set<std::string> names;
  for (const auto& service : aOrganisation.mServices) {
    const auto place = "services/" + service.mName;
    RequireName(check, service.mName, place + "/name");
    Require(check,
            names.insert(service.mName).second,
            place + "/name",
            "is already used by a service of this organisation");
    CheckAddress(check, service.mAddress, place + "/address");
    CheckListeners(check, service.mListeners, place + "/listeners");
    CheckUpstreams(check, service.mUpstreams, place + "/upstreams");
    RequireRange(check, service.mShards, kShardsRange, place + "/shards");
    CheckLimits(check, service.mLimits, place + "/limits");
  }
  return std::move(check.mFindings);
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
