#include "record.hpp"

#include <array>
#include <cstdio>

namespace review {

Record::Record(const std::string& aPath)
  : mFile(aPath)
{
}

void
Record::Line(const std::string& aText)
{
  std::array<char, 32> time{};
  const std::chrono::duration<double> elapsed = Clock::now() - mStart;
  std::snprintf(time.data(), time.size(), "%9.4f s  ", elapsed.count());
  mFile << time.data() << aText << '\n';
  mFile.flush();
}

void
Record::Violation(const std::string& aRule, const std::string& aText)
{
  ++mViolations;
  Line("BROKEN " + aRule + ": " + aText);
}

int
Record::Violations() const
{
  return mViolations;
}

} // namespace review
