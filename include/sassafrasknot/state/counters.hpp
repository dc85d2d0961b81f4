#ifndef SASSAFRASKNOT_STATE_COUNTERS_HPP
#define SASSAFRASKNOT_STATE_COUNTERS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace sassafrasknot::state {

/// @brief Counters of one thread, by name. A name is lower-case words joined
/// by underscores and ends in "_total", or in its unit for a current value.
struct Counters
{
  std::map<std::string, std::uint64_t, std::less<>> mValues;
};

/// @brief Adds to a counter, which starts at zero.
/// @param aCounters the counters
/// @param aName name of the counter
/// @param aAmount what is added
void
Increment(Counters& aCounters,
          std::string_view aName,
          std::uint64_t aAmount = 1);

/// @brief Reads a counter.
/// @param aCounters the counters
/// @param aName name of the counter
/// @return its value, zero if nothing was added yet
std::uint64_t
ValueOf(const Counters& aCounters, std::string_view aName);

/// @brief Adds all counters of another thread.
/// @param aSum receives the sums
/// @param aOther the other counters
void
Merge(Counters& aSum, const Counters& aOther);

} // namespace sassafrasknot::state

#endif
