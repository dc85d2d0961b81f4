#ifndef SASSAFRASKNOT_SOAK_DISTURBANCES_HPP
#define SASSAFRASKNOT_SOAK_DISTURBANCES_HPP

#include <chrono>
#include <map>
#include <string>

namespace soak {

using Clock = std::chrono::steady_clock;

/// Rules with a time bound are checked only for components that no fault has
/// disturbed for this time (`stable_window_ms` of the platform).
constexpr std::chrono::milliseconds kStableWindow{ 4000 };

/// @brief Time until which faults disturb each component of a run. A component
/// is an instance, the restarts of an instance (kStartsSuffix), an upstream or
/// the store.
struct Disturbances
{
  /// End of the latest disturbance, by name of the component.
  std::map<std::string, Clock::time_point> mUntil;
};

/// @brief Records a disturbance of a component. An earlier one that ends later
/// stays in effect.
/// @param aUntil end of the disturbance
inline void
Disturb(Disturbances& aDisturbances,
        const std::string& aComponent,
        Clock::time_point aUntil)
{
  auto& until = aDisturbances.mUntil[aComponent];
  until = std::max(until, aUntil);
}

/// @brief Returns whether the last disturbance of a component ended more than
/// kStableWindow ago.
/// @param aNow current time on the steady clock
inline bool
IsStable(const Disturbances& aDisturbances,
         const std::string& aComponent,
         Clock::time_point aNow)
{
  const auto found = aDisturbances.mUntil.find(aComponent);
  return found == aDisturbances.mUntil.end() ||
         aNow - found->second > kStableWindow;
}

} // namespace soak

#endif
