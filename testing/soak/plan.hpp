#ifndef SASSAFRASKNOT_SOAK_PLAN_HPP
#define SASSAFRASKNOT_SOAK_PLAN_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace soak {

/// @brief What a run does to the processes and links.
enum class FaultKind : std::uint8_t
{
  // Planned work.
  Terminate,          ///< SIGTERM to one instance; it starts again.
  Reload,             ///< SIGHUP to one instance.
  AddRoute,           ///< A configuration with one more route.
  RemoveRoute,        ///< A configuration without an added route.
  ReplaceUpstream,    ///< A new upstream starts, an old one drains and ends.
                      // Unplanned faults.
  Kill,               ///< SIGKILL to one instance.
  KillAll,            ///< SIGKILL to all instances.
  Pause,              ///< SIGSTOP to one instance, later SIGCONT.
  Lossy,              ///< Packets are lost, repeated, delayed and reordered.
  CutInstance,        ///< One instance reaches no other, no store, no upstream.
  CutOneWay,          ///< Messages to one instance are lost, not those from it.
  CutDataCentre,      ///< The first data centre is cut off from the others.
  StoreDown,          ///< The store answers 503.
  StoreSilent,        ///< The store answers nothing.
  StoreSlow,          ///< The store's answers are late.
  StoreForgets,       ///< The store drops its history.
  SilenceConnections, ///< Open connections go silent, new ones work.
  ResetConnections,   ///< Open connections are reset.
  CrashUpstream,      ///< An upstream falls silent; its entry lapses.
  RestartUpstream,    ///< An upstream starts again under its id.
};

/// @brief Number of kinds; the first kFirstUnplannedKind of them are planned
/// work.
constexpr std::size_t kFaultKinds = 20;
constexpr std::size_t kFirstUnplannedKind = 5;

/// @brief Returns a kind's name, in lower-case words joined by hyphens.
std::string_view
ToString(FaultKind aKind);

/// @brief Returns whether a kind is planned work.
bool
IsPlanned(FaultKind aKind);

/// @brief One entry of a plan.
struct Fault
{
  FaultKind mKind = FaultKind::Reload;
  std::chrono::milliseconds mAt{ 0 };
  std::chrono::milliseconds mFor{ 0 };
  /// Picks the instance or upstream, modulo their number.
  std::size_t mTarget = 0;

  auto operator<=>(const Fault&) const = default;
};

/// @brief Makes the faults of a run. They come in series and overlap.
/// @param aSeed the same seed gives the same plan
/// @param aLength time in which faults begin
/// @return faults in order of time
std::vector<Fault>
MakePlan(std::uint64_t aSeed, std::chrono::milliseconds aLength);

} // namespace soak

#endif
