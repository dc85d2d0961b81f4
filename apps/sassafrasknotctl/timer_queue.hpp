#ifndef SASSAFRASKNOTCTL_TIMER_QUEUE_HPP
#define SASSAFRASKNOTCTL_TIMER_QUEUE_HPP

#include "sassafrasknot/state/time.hpp"

#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace sassafrasknotctl {

/// @brief Timers of the entries of a map, in order of expiry. An entry whose
/// timer moves to an earlier time is added again; RunDue skips the old timer.
template<typename Key>
struct TimerQueue
{
  using Entry = std::pair<sassafrasknot::state::TimePoint, Key>;

  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> mEntries;
};

/// @brief Adds a timer.
/// @param aQueue queue that receives the timer
/// @param aTime expiry on the steady clock
/// @param aKey key that is returned on expiry
template<typename Key>
void
Schedule(TimerQueue<Key>& aQueue,
         sassafrasknot::state::TimePoint aTime,
         const Key& aKey)
{
  aQueue.mEntries.emplace(aTime, aKey);
}

/// @brief Removes the first timer that has expired.
/// @param aQueue queue of timers
/// @param aNow current time on the steady clock
/// @return its expiry and its key, or nothing if none has expired
template<typename Key>
std::optional<typename TimerQueue<Key>::Entry>
PopDue(TimerQueue<Key>& aQueue, sassafrasknot::state::TimePoint aNow)
{
  if (aQueue.mEntries.empty() || aQueue.mEntries.top().first > aNow) {
    return std::nullopt;
  }
  auto entry = aQueue.mEntries.top();
  aQueue.mEntries.pop();
  return entry;
}

/// @brief Sets the timer of an entry of a map, unless it already has one that
/// expires no later.
/// @param aQueue queue that receives the timer
/// @param aKey key of the entry
/// @param aEntry entry of the map; its mWakeAt is the expiry of its timer, if
/// any
/// @param aTime wanted expiry on the steady clock, or nothing for no timer
template<typename Key, typename Entry>
void
ScheduleEarlier(TimerQueue<Key>& aQueue,
                const Key& aKey,
                Entry& aEntry,
                const std::optional<sassafrasknot::state::TimePoint>& aTime)
{
  if (aTime && (!aEntry.mWakeAt || *aTime < *aEntry.mWakeAt)) {
    aEntry.mWakeAt = aTime;
    Schedule(aQueue, *aTime, aKey);
  }
}

/// @brief Calls a function for the entries of a map whose timers have expired.
/// Entries whose mRemoveAt, the time of their removal, has been reached are
/// erased instead.
/// @param aQueue queue of timers
/// @param aEntries map of entries with the members mWakeAt and mRemoveAt
/// @param aNow current time on the steady clock
/// @param aFunction called with the key and the entry; may set a new timer
template<typename Key, typename Entries, typename Function>
void
RunDue(TimerQueue<Key>& aQueue,
       Entries& aEntries,
       sassafrasknot::state::TimePoint aNow,
       const Function& aFunction)
{
  while (const auto due = PopDue(aQueue, aNow)) {
    const auto found = aEntries.find(due->second);
    if (found == aEntries.end() || found->second.mWakeAt != due->first) {
      continue;
    }
    if (found->second.mRemoveAt && *found->second.mRemoveAt <= aNow) {
      aEntries.erase(found);
      continue;
    }
    found->second.mWakeAt.reset();
    aFunction(due->second, found->second);
  }
}

} // namespace sassafrasknotctl

#endif
