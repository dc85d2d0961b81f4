#include "sassafrasknot/net/clock.hpp"

#include <ctime>

namespace sassafrasknot::net {

state::TimePoint
Now()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return state::TimePoint(std::chrono::seconds(time.tv_sec) +
                          std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace sassafrasknot::net
