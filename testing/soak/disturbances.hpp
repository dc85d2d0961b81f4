#ifndef SASSAFRASKNOT_SOAK_DISTURBANCES_HPP
#define SASSAFRASKNOT_SOAK_DISTURBANCES_HPP

#include <chrono>
#include <map>
#include <string>

namespace soak {

using Clock = std::chrono::steady_clock;

/// Rules with a bound hold only for parts that were calm for so long
/// (`stable_window_ms` of the platform).
constexpr std::chrono::milliseconds kStableWindow{ 4000 };

/// @brief Until when each part of a run is disturbed. A part is the name of an
/// instance, an upstream or the store.
struct Disturbances
{
  std::map<std::string, Clock::time_point> mUntil;
};

/// @brief Notes a disturbance that begins now.
inline void
Disturb(Disturbances& aDisturbances,
        const std::string& aPart,
        Clock::time_point aUntil)
{
  auto& until = aDisturbances.mUntil[aPart];
  until = std::max(until, aUntil);
}

/// @brief Returns whether a part has been calm for kStableWindow.
inline bool
IsCalm(const Disturbances& aDisturbances,
       const std::string& aPart,
       Clock::time_point aNow)
{
  const auto found = aDisturbances.mUntil.find(aPart);
  return found == aDisturbances.mUntil.end() ||
         aNow - found->second > kStableWindow;
}

} // namespace soak

#endif
