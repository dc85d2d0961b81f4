#ifndef SASSAFRASKNOT_STATE_COUNTERS_HPP
#define SASSAFRASKNOT_STATE_COUNTERS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace sassafrasknot::state {

/// @brief Metrics of one thread, by name. A name consists of lower-case words
/// joined by underscores and ends in "_total", or in its unit for a current
/// value.
struct Counters
{
  std::map<std::string, std::uint64_t, std::less<>> mValues;
};

/// @brief Adds to a counter and creates it if it doesn't exist.
/// @param aCounters counters to update
/// @param aName name of the counter
/// @param aAmount increment
void
Increment(Counters& aCounters,
          std::string_view aName,
          std::uint64_t aAmount = 1);

/// @brief Returns the value of a counter.
/// @param aCounters counters to search
/// @param aName name of the counter
/// @return its value, or zero if it doesn't exist
std::uint64_t
ValueOf(const Counters& aCounters, std::string_view aName);

/// @brief Adds all counters of another thread.
/// @param aSum counters to update
/// @param aOther counters to add
void
Merge(Counters& aSum, const Counters& aOther);

} // namespace sassafrasknot::state

#endif
