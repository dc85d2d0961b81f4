#include "sassafrasknot/state/quarantine.hpp"

#include <algorithm>
#include <utility>

namespace sassafrasknot::state {
namespace {

void
NoteDepartures(Quarantine& aQuarantine,
               const std::map<Endpoint, ServiceId>& aHolders,
               Revision aRevision,
               TimePoint aNow)
{
  for (const auto& [endpoint, service] : aQuarantine.mHolders) {
    const auto holder = aHolders.find(endpoint);
    if (holder != aHolders.end() && holder->second == service) {
      continue;
    }
    const auto known = aQuarantine.mReleased.find(endpoint);
    const bool wasMoved =
      known != aQuarantine.mReleased.end() && known->second.mMoved;
    // The service before an unfinished move keeps the endpoint's late packets.
    auto old = wasMoved ? known->second.mService : std::optional(service);
    aQuarantine.mReleased[endpoint] = {
      std::move(old), aRevision, aNow, std::nullopt, wasMoved
    };
  }
}

void
NoteArrivals(Quarantine& aQuarantine,
             const std::map<Endpoint, ServiceId>& aHolders,
             Revision aRevision,
             TimePoint aNow)
{
  for (auto at = aQuarantine.mReleased.begin();
       at != aQuarantine.mReleased.end();) {
    auto& [endpoint, departure] = *at;
    const auto holder = aHolders.find(endpoint);
    if (holder == aHolders.end() || departure.mMoved) {
      ++at;
    } else if (departure.mService == holder->second) {
      at = aQuarantine.mReleased.erase(at);
    } else {
      departure.mMoved = true;
      departure.mRevision = aRevision;
      departure.mReleasedAt = aNow;
      departure.mInForceEverywhere.reset();
      ++at;
    }
  }
}

} // namespace

void
UpdateHolders(Quarantine& aQuarantine,
              std::map<Endpoint, ServiceId> aHolders,
              Revision aRevision,
              TimePoint aNow)
{
  if (aHolders == aQuarantine.mHolders) {
    return;
  }
  NoteDepartures(aQuarantine, aHolders, aRevision, aNow);
  NoteArrivals(aQuarantine, aHolders, aRevision, aNow);
  aQuarantine.mHolders = std::move(aHolders);
}

bool
ApplyReportedMove(Quarantine& aQuarantine,
                  const Endpoint& aEndpoint,
                  Revision aRevision,
                  TimePoint aSince)
{
  const auto [at, inserted] = aQuarantine.mReleased.try_emplace(
    aEndpoint,
    ReleasedEndpoint{ std::nullopt, aRevision, aSince, std::nullopt, true });
  if (inserted) {
    return true;
  }
  auto& departure = at->second;
  departure.mRevision = std::max(departure.mRevision, aRevision);
  departure.mReleasedAt = std::max(departure.mReleasedAt, aSince);
  return !std::exchange(departure.mMoved, true);
}

bool
EndQuarantines(Quarantine& aQuarantine, Revision aFloor, TimePoint aNow)
{
  bool usable = false;
  for (auto& [endpoint, departure] : aQuarantine.mReleased) {
    if (!departure.mInForceEverywhere && aFloor >= departure.mRevision) {
      departure.mInForceEverywhere = aNow;
    }
  }
  std::erase_if(aQuarantine.mReleased, [&](const auto& aEntry) {
    const auto& departure = aEntry.second;
    const bool over = aNow - departure.mReleasedAt >= kQuarantine &&
                      departure.mInForceEverywhere &&
                      aNow - *departure.mInForceEverywhere >= kLatePacketWait;
    usable = usable || (over && departure.mMoved);
    return over;
  });
  return usable;
}

bool
IsQuarantined(const Quarantine& aQuarantine, const Endpoint& aEndpoint)
{
  const auto found = aQuarantine.mReleased.find(aEndpoint);
  return found != aQuarantine.mReleased.end() && found->second.mMoved;
}

} // namespace sassafrasknot::state
