#include "sassafrasknot/net/clock.hpp"

namespace sassafrasknot::net {

state::TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace sassafrasknot::net
