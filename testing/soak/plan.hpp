#ifndef SASSAFRASKNOT_SOAK_PLAN_HPP
#define SASSAFRASKNOT_SOAK_PLAN_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace soak {

/// @brief Kind of events that a run causes in processes and links. The order
/// is part of the plans: a seed selects kinds by their numbers.
enum class FaultKind : std::uint8_t
{
  // Planned work.
  Terminate,       ///< SIGTERM to one instance; it starts again.
  Reload,          ///< SIGHUP to one instance.
  AddRoute,        ///< Publishes a configuration with one more route.
  RemoveRoute,     ///< Publishes a configuration without an added route.
  ReplaceUpstream, ///< A new upstream starts; an old one drains and stops.

  // Unplanned faults.
  Kill,                 ///< SIGKILL to one instance.
  KillAll,              ///< SIGKILL to all instances.
  Pause,                ///< SIGSTOP to one instance, later SIGCONT.
  Lossy,                ///< Packets are lost, repeated, delayed and reordered.
  IsolateInstance,      ///< One instance reaches no peer, store or upstream.
  BlockInbound,         ///< One instance receives nothing from peers and store.
  PartitionDataCentre,  ///< The first data centre and the others are separated.
  StoreDown,            ///< The store answers with status 503.
  StoreUnresponsive,    ///< The store does not answer.
  StoreSlow,            ///< The store's answers are delayed.
  StoreLosesHistory,    ///< The store compacts its history.
  BlackholeConnections, ///< Open connections lose all bytes; new ones work.
  ResetConnections,     ///< Open connections are reset.
  CrashUpstream,        ///< An upstream stops; later its entry is removed.
  RestartUpstream,      ///< An upstream loses its flows and keeps its id.
  FreezeReader, ///< Publishes a new route, and pauses the instance that reads
                ///< it first while it hands it over.
  SilenceUpstreams, ///< Two to four upstreams of one service and one data
                    ///< centre stop responding at the same time, and respond
                    ///< again.
  Evacuate, ///< Evacuates one data centre and returns it to service. This is
            ///< planned work.
  DelayUpstreams,  ///< One upstream at a time is late, as a process without the
                   ///< processor is.
  TurnReadersAway, ///< The store does not answer a third of the instances, the
                   ///< one that reads among them, while another one wakes from
                   ///< a pause. An upstream starts to drain.
};

/// @brief Number of kinds; the first kFirstUnplannedKind of them are planned
/// work. Those from kFirstSeparateKind on are planned apart from the others, so
/// that a seed goes on giving the same other faults.
constexpr std::size_t kFaultKindCount = 25;
constexpr std::size_t kFirstUnplannedKind = 5;
constexpr std::size_t kFirstSeparateKind = 20;

/// @brief Returns the name of a kind in reports: lower-case words joined by
/// hyphens.
std::string_view
ToString(FaultKind aKind);

/// @brief Returns whether a kind is planned work, which may break no flow.
bool
IsPlanned(FaultKind aKind);

/// @brief Returns the kind with a name if it is planned apart from the others,
/// otherwise nothing.
std::optional<FaultKind>
FindSeparateKind(std::string_view aName);

/// @brief One entry of a plan. Times count from the start of traffic.
struct Fault
{
  FaultKind mKind = FaultKind::Reload;
  std::chrono::milliseconds mStart{ 0 };
  std::chrono::milliseconds mDuration{ 0 };
  /// Selects the instance, upstream or route, modulo their number.
  std::size_t mTarget = 0;

  auto operator<=>(const Fault&) const = default;
};

/// @brief Makes the faults of a run at random times, so that some overlap.
/// @param aSeed the same seed gives the same plan; a multiple of 3 gives
/// planned work only
/// @param aLength period from the start of traffic in which faults start
/// @param aOnlyKind a kind that is planned apart from the others: the plan has
/// planned work and this kind only, so that no other fault excuses violations.
/// DelayUpstreams includes SilenceUpstreams, whose groups it leaves out.
/// @return faults in the order of their starts
std::vector<Fault>
MakePlan(std::uint64_t aSeed,
         std::chrono::milliseconds aLength,
         std::optional<FaultKind> aOnlyKind = {});

} // namespace soak

#endif
