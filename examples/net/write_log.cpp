// Writes more lines of one event than the limit of lines per second allows, and
// prints how many were written and how many suppressed.
#include "sassafrasknot/net/structured_log.hpp"

#include <iostream>

int
main()
{
  using namespace sassafrasknot::net;
  constexpr int kLines = 100;
  EventLogOptions options;
  options.mLinesPerSecond = 3;
  EventLogCounts counts;
  {
    EventLog log(options);
    for (int line = 0; line < kLines; ++line) {
      log.Write("flow_no_route", { { "line", std::to_string(line) } });
    }
    counts = log.Counts();
  }
  std::cout << counts.mWritten << " written, " << counts.mSuppressed
            << " suppressed\n";
  return counts.mWritten + counts.mSuppressed == kLines ? 0 : 1;
}
