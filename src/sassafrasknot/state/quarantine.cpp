#include "sassafrasknot/state/quarantine.hpp"

#include <algorithm>
#include <utility>

namespace sassafrasknot::state {
namespace {

/// Records all endpoints that have lost their holder or got another one.
void
RecordReleases(Quarantine& aQuarantine,
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
    // If a quarantined endpoint changes again, its late packets still belong to
    // the service before the first move.
    auto old = wasMoved ? known->second.mService : std::optional(service);
    aQuarantine.mReleased[endpoint] = {
      std::move(old), aRevision, aNow, std::nullopt, wasMoved
    };
  }
}

/// Quarantines released endpoints that another service has claimed, and removes
/// the record of those that their old service has claimed again. Endpoints that
/// are already quarantined stay so, whichever service claims them.
void
RecordMoves(Quarantine& aQuarantine,
            const std::map<Endpoint, ServiceId>& aHolders,
            Revision aRevision,
            TimePoint aNow)
{
  for (auto position = aQuarantine.mReleased.begin();
       position != aQuarantine.mReleased.end();) {
    auto& [endpoint, released] = *position;
    const auto holder = aHolders.find(endpoint);
    if (holder == aHolders.end() || released.mMoved) {
      ++position;
    } else if (released.mService == holder->second) {
      position = aQuarantine.mReleased.erase(position);
    } else {
      released.mMoved = true;
      released.mRevision = aRevision;
      released.mReleasedAt = aNow;
      released.mInForceEverywhere.reset();
      ++position;
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
  RecordReleases(aQuarantine, aHolders, aRevision, aNow);
  RecordMoves(aQuarantine, aHolders, aRevision, aNow);
  aQuarantine.mHolders = std::move(aHolders);
}

bool
ApplyReportedMove(Quarantine& aQuarantine,
                  const Endpoint& aEndpoint,
                  Revision aRevision,
                  TimePoint aReleasedAt)
{
  const auto [position, inserted] = aQuarantine.mReleased.try_emplace(
    aEndpoint,
    ReleasedEndpoint{
      std::nullopt, aRevision, aReleasedAt, std::nullopt, true });
  if (inserted) {
    return true;
  }
  auto& released = position->second;
  released.mRevision = std::max(released.mRevision, aRevision);
  released.mReleasedAt = std::max(released.mReleasedAt, aReleasedAt);
  return !std::exchange(released.mMoved, true);
}

bool
EndQuarantines(Quarantine& aQuarantine,
               Revision aLowestRevision,
               TimePoint aNow)
{
  bool usable = false;
  for (auto& [endpoint, released] : aQuarantine.mReleased) {
    if (!released.mInForceEverywhere && aLowestRevision >= released.mRevision) {
      released.mInForceEverywhere = aNow;
    }
  }
  std::erase_if(aQuarantine.mReleased, [&](const auto& aEntry) {
    const auto& released = aEntry.second;
    const bool hasEnded =
      aNow - released.mReleasedAt >= kQuarantine &&
      released.mInForceEverywhere &&
      aNow - *released.mInForceEverywhere >= kLatePacketWait;
    usable = usable || (hasEnded && released.mMoved);
    return hasEnded;
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
