#include "sassafrasknot/coordination/invariant.hpp"

#include "sassafrasknot/coordination/invariant_policy.hpp"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace sassafrasknot::coordination {
namespace {

std::atomic<bool> sFatal{ false };

} // namespace

void
SetInvariantsFatal(bool aFatal)
{
  sFatal = aFatal;
}

bool
CheckInvariant(bool aHolds, std::string_view aName, state::Counters& aCounters)
{
  if (aHolds) {
    return true;
  }
  const auto counter = "invariant_violations_" + std::string(aName) + "_total";
  state::Increment(aCounters, counter);
  if (sFatal) {
    std::fprintf(stderr, "violated invariant: %s\n", counter.c_str());
    std::abort();
  }
  return false;
}

} // namespace sassafrasknot::coordination
