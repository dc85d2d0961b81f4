#ifndef SASSAFRASKNOT_FLOWS_CAPACITY_ADMISSION_HPP
#define SASSAFRASKNOT_FLOWS_CAPACITY_ADMISSION_HPP

#include "sassafrasknot/flows/routing.hpp"
#include "sassafrasknot/flows/upstream.hpp"
#include "sassafrasknot/state/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

namespace sassafrasknot::flows {

struct UpstreamRecord;
struct UpstreamTable;

/// @brief Limit of this instance's own active requests at one upstream, adapted
/// to the upstream's rejections.
struct CapacityLimit
{
  /// None until the first rejection, and again kLimitRetention after the last.
  std::optional<double> mOwnLimit;
  state::TimePoint mLastRejection;
  state::TimePoint mLastReduction;
  /// Rejections that this instance has seen since the upstream's start.
  std::uint64_t mRejections = 0;
};

/// @brief What admission knows of one service.
struct ServiceCapacity
{
  /// Most urgent priority among the routes of the service.
  std::uint32_t mUrgentPriority = 0;
  /// Upstreams with a limit, as of the last tick.
  std::size_t mLimitedUpstreams = 0;
  /// New flows with and without capacity for them; older ones count less, by
  /// kOutcomeMemory.
  double mWithCapacity = 0;
  double mWithoutCapacity = 0;
  state::TimePoint mOutcomesAt;
};

/// @brief State of the admission of new flows to overloaded services. Not safe
/// for use from several threads.
struct CapacityAdmission
{
  /// By service; those of the configuration's routes.
  std::map<std::string, ServiceCapacity, std::less<>> mServices;
  /// Upstreams that may have a limit.
  std::unordered_set<UpstreamToken> mLimited;
  /// Rejections by all upstreams since the start.
  std::uint64_t mRejections = 0;
};

/// @brief Share of a limit that a flow may use.
enum class PriorityClass : std::uint8_t
{
  Urgent, ///< The most urgent priority of its service: the whole limit.
  Other,  ///< kOtherPriorityShare of the limit.
};

/// Factor of a limit at a rejection. Rejections within kReductionInterval are
/// due to the same burst, whose requests were sent by the same limit.
constexpr double kLimitReduction = 0.7;
constexpr std::chrono::milliseconds kReductionInterval{ 50 };
constexpr double kMinLimit = 1;
/// A limit is removed this long after the last rejection, so that it does not
/// outlast the load.
constexpr std::chrono::seconds kLimitRetention{ 2 };
/// Time constant of the numbers of new flows with and without capacity: several
/// times the delay with which limits follow the load.
constexpr std::chrono::milliseconds kOutcomeMemory{ 200 };
/// Share of new flows without capacity above which they are refused. Below it,
/// their chance in an upstream's queue is better than even.
constexpr double kOverloadedShare = 0.5;
/// Fewer recent flows say nothing about that share.
constexpr double kMinOutcomes = 4;
/// Share of a limit that flows of other than the most urgent priority may use,
/// but at least one request.
constexpr double kOtherPriorityShare = 0.75;

/// @brief Applies a configuration: determines the most urgent priority of each
/// service.
/// @param aAdmission the state
/// @param aConfiguration the configuration
void
ApplyPriorities(CapacityAdmission& aAdmission,
                const Configuration& aConfiguration);

/// @brief Returns the class of a route's flows at one of its services.
/// @param aAdmission the state
/// @param aRoute the route
/// @param aService name of the service
/// @return Urgent if no other route of the service is more urgent
PriorityClass
ClassOf(const CapacityAdmission& aAdmission,
        const Route& aRoute,
        std::string_view aService);

/// @brief Records that a busy upstream has rejected a request of this instance.
/// The first rejection sets the limit to the number of own active requests.
/// @param aAdmission the state
/// @param aRecord the upstream; the rejected request is no longer counted in
/// its load
/// @param aNow current time on the steady clock
void
RecordRejection(CapacityAdmission& aAdmission,
                UpstreamRecord& aRecord,
                state::TimePoint aNow);

/// @brief Records that an upstream has answered a request of this instance
/// other than by a rejection. The limit grows by one per as many completed
/// requests while it is reached.
/// @param aRecord the upstream; the request is no longer counted in its load
/// @param aNow current time on the steady clock
void
RecordCompletion(UpstreamRecord& aRecord, state::TimePoint aNow);

/// @brief Returns whether an upstream may receive a further flow.
/// @param aRecord the upstream
/// @param aClass class of the flow
/// @param aNow current time on the steady clock
/// @return whether this instance's active requests are below the limit of the
/// class; always true without a limit, and for an upstream that is suspected or
/// unresponsive, which receives only trials and last-resort flows
bool
HasCapacity(const UpstreamRecord& aRecord,
            PriorityClass aClass,
            state::TimePoint aNow);

/// @brief Records whether there was capacity for a new flow.
/// @param aService the flow's service
/// @param aHasCapacity whether a candidate had capacity for it
/// @param aNow current time on the steady clock
/// @return whether the service is overloaded, so that a flow without capacity
/// is refused: most new flows found no capacity
bool
RecordCapacityOutcome(ServiceCapacity& aService,
                      bool aHasCapacity,
                      state::TimePoint aNow);

/// @brief Removes the limits of upstreams without recent rejections, and counts
/// the remaining ones by service. To be called on ticks.
/// @param aAdmission the state
/// @param aTable the upstreams
/// @param aNow current time on the steady clock
void
UpdateCapacity(CapacityAdmission& aAdmission,
               UpstreamTable& aTable,
               state::TimePoint aNow);

} // namespace sassafrasknot::flows

#endif
