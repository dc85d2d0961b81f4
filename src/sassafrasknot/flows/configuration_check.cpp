#include "sassafrasknot/flows/configuration_check.hpp"

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

namespace sassafrasknot::flows {
namespace {

using state::CheckKind;

std::string
LocationOf(const state::Endpoint& aRoute)
{
  return "routes/" + ToString(aRoute);
}

std::string
ToText(std::chrono::milliseconds aTime)
{
  return std::to_string(aTime.count()) + " ms";
}

/// Formats the services of a route with their weights.
std::string
ToText(const std::vector<WeightedService>& aServices)
{
  std::string text;
  for (const auto& [service, weight] : aServices) {
    text += (text.empty() ? "" : ", ") + service + ' ' + std::to_string(weight);
  }
  return text.empty() ? "no service" : text;
}

/// Adds findings about the services that a route's flows go to.
void
CheckServices(std::vector<ConfigurationFinding>& aFindings,
              const Configuration& aConfiguration,
              const Route& aRoute)
{
  const auto location = LocationOf(aRoute.mEndpoint);
  const auto& services = aRoute.mServices;
  const auto add = [&](CheckKind aKind, std::string aMessage) {
    aFindings.push_back(
      { aKind, { location + "/split", std::move(aMessage) } });
  };
  if (services.empty()) {
    add(CheckKind::NeverMatches,
        "route " + aRoute.mName + " has no service; its new flows are refused");
    return;
  }
  // ChooseService takes the first service if there is no weight at all.
  const bool noWeight = std::ranges::all_of(
    services, [](const auto& aService) { return aService.mWeight == 0; });
  if (noWeight) {
    add(CheckKind::Contradiction,
        "all weights of route " + aRoute.mName +
          " are 0; all new flows go to the first service, " +
          services.front().mService);
  }
  for (const auto& [service, weight] : services) {
    if (weight == 0 && !noWeight) {
      add(CheckKind::NeverMatches,
          "service " + service +
            " has weight 0 and gets no new flow of route " + aRoute.mName);
    }
    if (!aConfiguration.mHealthPaths.contains(service)) {
      add(CheckKind::Contradiction,
          "route " + aRoute.mName + " uses service " + service +
            ", which is not in backends; its upstreams are probed at /");
    }
  }
}

/// Adds findings about the time spans of a route.
void
CheckTimes(std::vector<ConfigurationFinding>& aFindings,
           const Configuration& aConfiguration,
           const Route& aRoute)
{
  const auto location = LocationOf(aRoute.mEndpoint);
  if (aRoute.mObjective > aRoute.mTimeout) {
    aFindings.push_back(
      { CheckKind::Contradiction,
        { location + "/aim_ms",
          ToText(aRoute.mObjective) + " is above timeout_ms, " +
            ToText(aRoute.mTimeout) } });
  }
  if (aRoute.mTimeout > aConfiguration.mIdleTimeout) {
    aFindings.push_back(
      { CheckKind::Contradiction,
        { location + "/timeout_ms",
          ToText(aRoute.mTimeout) + " is above limits.idle_timeout_ms, " +
            ToText(aConfiguration.mIdleTimeout) +
            "; a flow may be discarded while its answer is awaited" } });
  }
}

/// Formats the limit of a service's cold upstreams.
std::string
ToText(const WarmUpLimit& aLimit)
{
  // Six significant digits, without trailing zeros.
  std::ostringstream text;
  text << aLimit.mRequestsPerSecond << " requests/s for "
       << ToText(aLimit.mWarmUp);
  return std::move(text).str();
}

/// Adds findings about the limits of cold upstreams.
void
CheckWarmUpLimits(std::vector<ConfigurationFinding>& aFindings,
                  const Configuration& aConfiguration)
{
  for (const auto& [service, limit] : aConfiguration.mWarmUpLimits) {
    if (limit.mWarmUp == limit.mWarmUp.zero()) {
      aFindings.push_back(
        { CheckKind::Contradiction,
          { "backends/" + service + "/warmup_s",
            "is 0 although warmup_per_s limits cold upstreams; none is cold "
            "after an evacuation, and after a start only while its entry says "
            "so" } });
    }
  }
}

/// Collects the changes between two configurations.
class Comparison
{
public:
  void Add(ConfigurationChangeKind aKind,
           std::string aLocation,
           std::string aMessage,
           std::string aUnsafeReason = {})
  {
    mChanges.push_back({ aKind,
                         std::move(aLocation),
                         std::move(aMessage),
                         std::move(aUnsafeReason) });
  }

  void AddChanged(std::string aLocation,
                  const std::string& aOld,
                  const std::string& aNew,
                  const std::string& aEffect)
  {
    if (aOld != aNew) {
      Add(ConfigurationChangeKind::Changed,
          std::move(aLocation),
          aOld + " becomes " + aNew + "; " + aEffect);
    }
  }

  std::vector<ConfigurationChange> mChanges;
};

/// Adds the changes of a route that is in both configurations.
void
CompareRoute(Comparison& aComparison, const Route& aOld, const Route& aNew)
{
  const auto location = LocationOf(aOld.mEndpoint);
  aComparison.AddChanged(
    location + "/name", aOld.mName, aNew.mName, "flows are not affected");
  aComparison.AddChanged(
    location + "/split",
    ToText(aOld.mServices),
    ToText(aNew.mServices),
    "applies to new flows; open flows stay at their upstreams");
  aComparison.AddChanged(
    location + "/type",
    std::string(ToString(aOld.mKind)),
    std::string(ToString(aNew.mKind)),
    IsIdempotent(aNew.mKind)
      ? "if an upstream does not respond, its new flows are reset for a retry"
      : "its new flows are not reset if an upstream does not respond");
  const auto unused = "open flows continue";
  aComparison.AddChanged(location + "/aim_ms",
                         ToText(aOld.mObjective),
                         ToText(aNew.mObjective),
                         unused);
  aComparison.AddChanged(location + "/timeout_ms",
                         ToText(aOld.mTimeout),
                         ToText(aNew.mTimeout),
                         unused);
  aComparison.AddChanged(location + "/priority",
                         std::to_string(aOld.mPriority),
                         std::to_string(aNew.mPriority),
                         "decides which new flows of an overloaded service "
                         "are refused first; open flows continue");
}

/// Adds the changes of the routes.
void
CompareRoutes(Comparison& aComparison,
              const Configuration& aInForce,
              const Configuration& aNew)
{
  for (const auto& [endpoint, route] : aNew.mRoutes) {
    if (!aInForce.mRoutes.contains(endpoint)) {
      aComparison.Add(ConfigurationChangeKind::Added,
                      LocationOf(endpoint),
                      "route " + route.mName + " accepts new flows for " +
                        ToText(route.mServices));
    }
  }
  for (const auto& [endpoint, route] : aInForce.mRoutes) {
    if (const auto found = aNew.mRoutes.find(endpoint);
        found != aNew.mRoutes.end()) {
      CompareRoute(aComparison, route, found->second);
    } else {
      aComparison.Add(ConfigurationChangeKind::Removed,
                      LocationOf(endpoint),
                      "route " + route.mName +
                        " is removed; its callers are "
                        "refused",
                      "open flows are reset at their next packet, and their "
                      "requests may have run");
    }
  }
}

/// Adds the changes of the services' health paths.
void
CompareHealthPaths(Comparison& aComparison,
                   const Configuration& aInForce,
                   const Configuration& aNew)
{
  for (const auto& [service, path] : aNew.mHealthPaths) {
    const auto location = "backends/" + service;
    const auto found = aInForce.mHealthPaths.find(service);
    if (found == aInForce.mHealthPaths.end()) {
      aComparison.Add(ConfigurationChangeKind::Added,
                      location,
                      "its upstreams are probed at " + path);
    } else {
      aComparison.AddChanged(location + "/health_check_path",
                             found->second,
                             path,
                             "applies to probes; flows are not affected");
    }
  }
  for (const auto& [service, path] : aInForce.mHealthPaths) {
    if (!aNew.mHealthPaths.contains(service)) {
      aComparison.Add(ConfigurationChangeKind::Removed,
                      "backends/" + service,
                      "upstreams that it still has are probed at /; flows are "
                      "not affected");
    }
  }
}

/// Adds the changes of the limits of cold upstreams.
void
CompareWarmUpLimits(Comparison& aComparison,
                    const Configuration& aInForce,
                    const Configuration& aNew)
{
  const std::string effect =
    "applies to new flows at cold upstreams; open flows continue";
  const auto textOf = [](const Configuration& aConfiguration,
                         const std::string& aService) {
    const auto found = aConfiguration.mWarmUpLimits.find(aService);
    return found == aConfiguration.mWarmUpLimits.end() ? "no limit"
                                                       : ToText(found->second);
  };
  std::set<std::string> services;
  for (const auto* configuration : { &aInForce, &aNew }) {
    for (const auto& [service, limit] : configuration->mWarmUpLimits) {
      services.insert(service);
    }
  }
  for (const auto& service : services) {
    aComparison.AddChanged("backends/" + service + "/warmup_per_s",
                           textOf(aInForce, service),
                           textOf(aNew, service),
                           effect);
  }
}

} // namespace

std::vector<ConfigurationFinding>
CheckConfiguration(const Configuration& aConfiguration)
{
  std::vector<ConfigurationFinding> findings;
  std::set<std::string> used;
  for (const auto& [endpoint, route] : aConfiguration.mRoutes) {
    CheckServices(findings, aConfiguration, route);
    CheckTimes(findings, aConfiguration, route);
    for (const auto& service : route.mServices) {
      used.insert(service.mService);
    }
  }
  for (const auto& [service, path] : aConfiguration.mHealthPaths) {
    if (!used.contains(service)) {
      findings.push_back(
        { CheckKind::NeverMatches,
          { "backends/" + service, "no route uses this service" } });
    }
  }
  CheckWarmUpLimits(findings, aConfiguration);
  return findings;
}

std::vector<ConfigurationChange>
CompareConfigurations(const Configuration& aInForce, const Configuration& aNew)
{
  Comparison comparison;
  CompareRoutes(comparison, aInForce, aNew);
  CompareHealthPaths(comparison, aInForce, aNew);
  CompareWarmUpLimits(comparison, aInForce, aNew);
  comparison.AddChanged(
    "limits/idle_timeout_ms",
    ToText(aInForce.mIdleTimeout),
    ToText(aNew.mIdleTimeout),
    "instances forget flows that are idle for longer; a later packet still "
    "goes to the upstream of its token");
  return std::move(comparison.mChanges);
}

std::string_view
ToString(RequestKind aKind)
{
  switch (aKind) {
    case RequestKind::Idempotent:
      return "idempotent";
    case RequestKind::NonIdempotent:
      return "non_idempotent";
    case RequestKind::Upload:
      return "upload";
    case RequestKind::Download:
      return "download";
  }
  return "unknown";
}

std::string_view
ToString(ConfigurationChangeKind aKind)
{
  switch (aKind) {
    case ConfigurationChangeKind::Added:
      return "added";
    case ConfigurationChangeKind::Removed:
      return "removed";
    case ConfigurationChangeKind::Changed:
      return "changed";
  }
  return "unknown";
}

} // namespace sassafrasknot::flows
