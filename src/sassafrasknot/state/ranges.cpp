#include "sassafrasknot/state/ranges.hpp"

#include <algorithm>
#include <sstream>

namespace sassafrasknot::state {
namespace {

template<typename T>
std::string
Describe(const Range<T>& aRange)
{
  std::ostringstream text;
  text << aRange.mLowest << " to " << aRange.mHighest;
  return text.str();
}

} // namespace

bool
IsName(std::string_view aName)
{
  if (aName.empty() || aName.size() > kMaxNameLength || aName.front() == '-' ||
      aName.back() == '-') {
    return false;
  }
  return std::ranges::all_of(aName, [](char aCharacter) {
    return (aCharacter >= 'a' && aCharacter <= 'z') ||
           (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-';
  });
}

std::string
ToString(const Range<std::uint64_t>& aRange)
{
  return Describe(aRange);
}

std::string
ToString(const Range<double>& aRange)
{
  return Describe(aRange);
}

} // namespace sassafrasknot::state
