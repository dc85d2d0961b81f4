#ifndef SASSAFRASKNOT_STATE_QUARANTINE_HPP
#define SASSAFRASKNOT_STATE_QUARANTINE_HPP

#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/identifiers.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <map>
#include <optional>

namespace sassafrasknot::state {

/// @brief 11 s for the change to reach all instances and 60 s for late packets.
constexpr std::chrono::seconds kQuarantine{ 71 };

/// @brief Wait for late packets of an instance that got the change last.
constexpr std::chrono::seconds kLatePacketWait{ 60 };

/// @brief An endpoint that has left a service.
struct ReleasedEndpoint
{
  /// The service that it left; absent if another instance told of the move.
  std::optional<ServiceId> mService;
  /// Revision of the change.
  Revision mRevision = 0;
  /// When the change came into force.
  TimePoint mReleasedAt;
  /// When the change was first known to be in force on the whole fleet.
  std::optional<TimePoint> mInForceEverywhere;
  /// Whether another service holds the endpoint now.
  bool mMoved = false;
};

/// @brief Endpoints by the service that holds them, and those that left one.
/// Upstream endpoints and service endpoints are treated alike.
struct Quarantine
{
  std::map<Endpoint, ServiceId> mHolders;
  std::map<Endpoint, ReleasedEndpoint> mReleased;
};

/// @brief Takes the endpoints that are in force. An endpoint that changed its
/// service is quarantined; one that lost it is if another service takes it
/// before the wait is over.
/// @param aQuarantine the quarantine
/// @param aHolders all endpoints and their services
/// @param aRevision highest revision known
/// @param aNow the time
void
UpdateHolders(Quarantine& aQuarantine,
              std::map<Endpoint, ServiceId> aHolders,
              Revision aRevision,
              TimePoint aNow);

/// @brief Takes a move that another instance has seen.
/// @param aQuarantine the quarantine
/// @param aEndpoint the endpoint
/// @param aRevision revision of the move
/// @param aSince when the move came into force on the other instance
/// @return whether this instance did not know of the move
bool
ApplyReportedMove(Quarantine& aQuarantine,
                  const Endpoint& aEndpoint,
                  Revision aRevision,
                  TimePoint aSince);

/// @brief Ends the quarantines whose waits are over: kQuarantine after the
/// change came into force here and kLatePacketWait after it came into force on
/// the whole fleet. A data centre that was cut off may have served the old
/// holder until the latter.
/// @param aQuarantine the quarantine
/// @param aFloor lowest revision in force on any instance listed or alive
/// @param aNow the time
/// @return whether a moved endpoint became usable
bool
EndQuarantines(Quarantine& aQuarantine, Revision aFloor, TimePoint aNow);

/// @brief Returns whether an endpoint is quarantined.
/// @param aQuarantine the quarantine
/// @param aEndpoint the endpoint
/// @return whether neither its old nor its new service may use it
bool
IsQuarantined(const Quarantine& aQuarantine, const Endpoint& aEndpoint);

} // namespace sassafrasknot::state

#endif
