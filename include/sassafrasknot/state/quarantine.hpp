#ifndef SASSAFRASKNOT_STATE_QUARANTINE_HPP
#define SASSAFRASKNOT_STATE_QUARANTINE_HPP

#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/identifiers.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <map>
#include <optional>

namespace sassafrasknot::state {

/// @brief Shortest quarantine of a moved endpoint: 11 s for the change to reach
/// all instances and 60 s (kLatePacketWait) for late packets.
constexpr std::chrono::seconds kQuarantine{ 71 };

/// @brief Time for which late packets may arrive after the change came into
/// force on the last instance.
constexpr std::chrono::seconds kLatePacketWait{ 60 };

/// @brief An endpoint that a service no longer uses.
struct ReleasedEndpoint
{
  /// The service that used it; absent if another instance reported the move.
  std::optional<ServiceId> mService;
  /// A revision that includes the latest change of its holder.
  Revision mRevision = 0;
  /// When that change came into force on this or the reporting instance.
  TimePoint mReleasedAt;
  /// When this instance first found the change in force on all instances.
  std::optional<TimePoint> mInForceEverywhere;
  /// Whether another service has claimed it since; it is then quarantined.
  bool mMoved = false;
};

/// @brief Holders of all endpoints, and the endpoints that were released.
/// The holder of an endpoint is the service that uses it in the configuration
/// in force. An endpoint that moves to another service is quarantined: neither
/// service uses it for new flows until all instances have applied the move and
/// the time for late packets of the old holder's flows has passed. Service
/// endpoints and upstream endpoints are handled alike.
struct Quarantine
{
  std::map<Endpoint, ServiceId> mHolders;
  std::map<Endpoint, ReleasedEndpoint> mReleased;
};

/// @brief Replaces the holders by those of the configuration in force. An
/// endpoint with a new holder is quarantined. So is a released endpoint that
/// another service claims before EndQuarantines has removed it.
/// @param aQuarantine quarantine to update
/// @param aHolders holder of each endpoint in force
/// @param aRevision highest revision of any record in the store
/// @param aNow current time on the steady clock
void
UpdateHolders(Quarantine& aQuarantine,
              std::map<Endpoint, ServiceId> aHolders,
              Revision aRevision,
              TimePoint aNow);

/// @brief Records a move of an endpoint that another instance reported.
/// @param aQuarantine quarantine to update
/// @param aEndpoint the moved endpoint
/// @param aRevision revision of the move
/// @param aReleasedAt when the move came into force on the other instance, on
/// the steady clock of this instance
/// @return whether the move was not recorded yet
bool
ApplyReportedMove(Quarantine& aQuarantine,
                  const Endpoint& aEndpoint,
                  Revision aRevision,
                  TimePoint aReleasedAt);

/// @brief Removes released endpoints once both waits have ended: kQuarantine
/// after the change came into force (ReleasedEndpoint::mReleasedAt) and
/// kLatePacketWait after it was found in force on all instances. The second
/// wait is needed because an unreachable data centre may use the old holder
/// until the change is in force there.
/// @param aQuarantine quarantine to update
/// @param aLowestRevision lowest revision in force on any instance that is
/// listed or alive
/// @param aNow current time on the steady clock
/// @return whether a moved endpoint became usable
bool
EndQuarantines(Quarantine& aQuarantine,
               Revision aLowestRevision,
               TimePoint aNow);

/// @brief Returns whether an endpoint is quarantined.
/// @param aQuarantine quarantine to search
/// @param aEndpoint service or upstream endpoint
/// @return true if neither its old nor its new service may use it for new flows
bool
IsQuarantined(const Quarantine& aQuarantine, const Endpoint& aEndpoint);

} // namespace sassafrasknot::state

#endif
