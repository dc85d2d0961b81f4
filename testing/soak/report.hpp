#ifndef SASSAFRASKNOT_SOAK_REPORT_HPP
#define SASSAFRASKNOT_SOAK_REPORT_HPP

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace soak {

/// @brief A promise that was not kept.
struct Violation
{
  /// Name of the rule.
  std::string mRule;
  /// Since the start of traffic.
  std::chrono::milliseconds mAt{ 0 };
  /// Caller and service endpoint as in the log, or empty.
  std::string mFlow;
  std::string mWhat;
};

/// @brief What a run has done and found.
struct Report
{
  std::map<std::string, std::size_t> mFaults;
  std::size_t mFlows = 0;
  std::size_t mServed = 0;
  std::size_t mNotRun = 0;
  std::size_t mUnknown = 0;
  /// Requests begun after recovery, and those of them that were served.
  std::size_t mLateAsked = 0;
  std::size_t mLateServed = 0;
  std::size_t mProbes = 0;
  std::vector<Violation> mViolations;
};

} // namespace soak

#endif
