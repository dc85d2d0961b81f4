#ifndef SASSAFRASKNOTCTL_TIMER_QUEUE_HPP
#define SASSAFRASKNOTCTL_TIMER_QUEUE_HPP

#include "sassafrasknot/state/time.hpp"

#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace sassafrasknotctl {

/// @brief Keys in order of their wake times. A key may be added again with an
/// earlier time; the owner of the keys ignores wakes that have become stale.
template<typename Key>
struct TimerQueue
{
  using Entry = std::pair<sassafrasknot::state::TimePoint, Key>;

  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> mEntries;
};

/// @brief Adds a wake time of a key.
/// @param aQueue the queue
/// @param aTime when the key is due
/// @param aKey the key
template<typename Key>
void
Schedule(TimerQueue<Key>& aQueue,
         sassafrasknot::state::TimePoint aTime,
         const Key& aKey)
{
  aQueue.mEntries.emplace(aTime, aKey);
}

/// @brief Takes the first key that is due.
/// @param aQueue the queue
/// @param aNow the time
/// @return the key with its wake time, or nothing
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

/// @brief Schedules an entry of a map earlier than it was, if need be.
/// @param aQueue the queue
/// @param aKey key of the entry
/// @param aEntry has mWake, the time for which it is scheduled
/// @param aTime when it wants to wake, or nothing
template<typename Key, typename Entry>
void
ScheduleEarlier(TimerQueue<Key>& aQueue,
                const Key& aKey,
                Entry& aEntry,
                const std::optional<sassafrasknot::state::TimePoint>& aTime)
{
  if (aTime && (!aEntry.mWake || *aTime < *aEntry.mWake)) {
    aEntry.mWake = aTime;
    Schedule(aQueue, *aTime, aKey);
  }
}

/// @brief Wakes all entries of a map that are due, and erases those whose
/// mForget has come.
/// @param aQueue the queue
/// @param aEntries entries with mWake and mForget by key
/// @param aNow the time
/// @param aFunction takes the key and the entry
template<typename Key, typename Entries, typename Function>
void
RunDue(TimerQueue<Key>& aQueue,
       Entries& aEntries,
       sassafrasknot::state::TimePoint aNow,
       const Function& aFunction)
{
  while (const auto due = PopDue(aQueue, aNow)) {
    const auto found = aEntries.find(due->second);
    if (found == aEntries.end() || found->second.mWake != due->first) {
      continue;
    }
    if (found->second.mForget && *found->second.mForget <= aNow) {
      aEntries.erase(found);
      continue;
    }
    found->second.mWake.reset();
    aFunction(due->second, found->second);
  }
}

} // namespace sassafrasknotctl

#endif
