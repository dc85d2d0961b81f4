#ifndef SASSAFRASKNOT_SOAK_REPORT_HPP
#define SASSAFRASKNOT_SOAK_REPORT_HPP

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace soak {

/// @brief A rule that did not hold.
struct Violation
{
  /// Name of the rule:
  /// - UNASKED: an upstream received a packet that is not as its caller sent
  /// it: it cannot be decoded, or its checksum is wrong.
  /// - MIXED: a caller received such a packet, or the answer to another
  /// request.
  /// - ROUTE: a flow reached an upstream of another service.
  /// - CONFIG: an acknowledged change of routes was not in force in time.
  /// - DRAIN: a draining upstream received a new flow after the bound.
  /// - EVACUATE: an evacuated data centre received a new flow after the bound.
  /// - FLOW: an open flow broke although no fault had disturbed it.
  /// - TWICE: a request ran more than once.
  /// - NOT-RUN: a request ran although its flow never opened for its caller, so
  /// that the caller recorded it as not run.
  /// - STOP: an instance did not end in time after SIGTERM.
  /// - ENDS: an instance ended by itself, or with a status other than 0.
  /// - RECOVER: too few requests were served after all faults had ended.
  std::string mRule;
  /// Time since the start of traffic.
  std::chrono::milliseconds mTime{ 0 };
  /// Caller and service endpoint as in the log of an instance, or empty.
  std::string mFlow;
  std::string mDescription;
};

/// @brief Counts and violations of one run.
struct Report
{
  /// Number of injected faults by kind.
  std::map<std::string, std::size_t> mFaults;
  /// Number of flows that opened.
  std::size_t mFlows = 0;
  /// Number of requests by outcome.
  std::size_t mServed = 0;
  std::size_t mNotRun = 0;
  std::size_t mMayHaveRun = 0;
  /// Number of requests that started within kRecoveryCheckPeriod after the
  /// recovery, and how many of them were served.
  std::size_t mStartedAfterRecovery = 0;
  std::size_t mServedAfterRecovery = 0;
  /// Number of opening packets sent to check routes.
  std::size_t mProbes = 0;
  std::vector<Violation> mViolations;
};

} // namespace soak

#endif
