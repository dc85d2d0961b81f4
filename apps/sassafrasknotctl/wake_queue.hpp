#ifndef SASSAFRASKNOTCTL_WAKE_QUEUE_HPP
#define SASSAFRASKNOTCTL_WAKE_QUEUE_HPP

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
struct WakeQueue
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
Schedule(WakeQueue<Key>& aQueue,
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
std::optional<typename WakeQueue<Key>::Entry>
TakeDue(WakeQueue<Key>& aQueue, sassafrasknot::state::TimePoint aNow)
{
  if (aQueue.mEntries.empty() || aQueue.mEntries.top().first > aNow) {
    return std::nullopt;
  }
  auto entry = aQueue.mEntries.top();
  aQueue.mEntries.pop();
  return entry;
}

} // namespace sassafrasknotctl

#endif
