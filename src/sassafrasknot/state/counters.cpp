#include "sassafrasknot/state/counters.hpp"

namespace sassafrasknot::state {

void
Increment(Counters& aCounters, std::string_view aName, std::uint64_t aAmount)
{
  if (const auto found = aCounters.mValues.find(aName);
      found != aCounters.mValues.end()) {
    found->second += aAmount;
    return;
  }
  aCounters.mValues.emplace(aName, aAmount);
}

std::uint64_t
ValueOf(const Counters& aCounters, std::string_view aName)
{
  const auto found = aCounters.mValues.find(aName);
  return found == aCounters.mValues.end() ? 0 : found->second;
}

void
Merge(Counters& aSum, const Counters& aOther)
{
  for (const auto& [name, value] : aOther.mValues) {
    Increment(aSum, name, value);
  }
}

} // namespace sassafrasknot::state
