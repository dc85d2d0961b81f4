#ifndef SASSAFRASKNOTCTL_LOAD_REPORT_HPP
#define SASSAFRASKNOTCTL_LOAD_REPORT_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "caller.hpp"

namespace sassafrasknotctl {

/// @brief What became of the flows of one target or of all targets.
struct FlowTotals
{
  std::uint64_t mStarted = 0;
  /// Flows whose SYN was accepted.
  std::uint64_t mOpened = 0;
  std::uint64_t mKept = 0;
  std::uint64_t mBroken = 0;
  /// Reset in answer to the SYN: not run.
  std::uint64_t mRefused = 0;
  /// The SYN got no answer at all.
  std::uint64_t mUnanswered = 0;
  std::uint64_t mMisrouted = 0;
  std::uint64_t mRanTwice = 0;
  std::uint64_t mGaps = 0;
  /// Broken flows by the verdict that the caller has to assume.
  std::uint64_t mBrokenNotRun = 0;
  std::uint64_t mBrokenMayHaveRun = 0;
  std::uint64_t mBrokenAnswered = 0;
  /// Broken flows by reason.
  std::map<std::string, std::uint64_t> mReasons;
  /// Opened flows by the upstream that answered.
  std::map<std::string, std::uint64_t> mUpstreams;
  /// Time from the due time to the answer of the SYN, in milliseconds.
  std::vector<double> mOpenTimes;
  /// Time from the due time to the answer of the request, in milliseconds.
  std::vector<double> mAnswerTimes;
};

/// @brief A flow that was broken or misrouted, for the search for the cause.
struct FaultyFlow
{
  std::string mTarget;
  state::Endpoint mCaller;
  std::string mUpstream;
  std::string mReason;
  /// Time from the begin of the run to the flow's opening and its end, in
  /// seconds.
  double mOpened = 0;
  double mEnded = 0;
};

/// @brief The result of a run.
struct LoadReport
{
  /// The first faulty flows.
  std::vector<FaultyFlow> mFaulty;
  /// Totals by target, such as "feed kandyan/scheduling".
  std::map<std::string, FlowTotals> mTargets;
  /// Datagrams that the own socket did not take.
  std::uint64_t mSendFailures = 0;
  std::uint64_t mSeed = 0;
};

/// @brief Adds a flow that has ended.
/// @param aTotals receives the flow
/// @param aCaller the flow; one that is still open counts as broken
void
AddFlow(FlowTotals& aTotals, const Caller& aCaller);

/// @brief Notes a flow that has ended if it was broken or misrouted and not
/// too many are noted already.
/// @param aReport receives the flow
/// @param aTarget its target
/// @param aCaller the flow
/// @param aBegin begin of the run
/// @param aNow end of the flow
void
NoteFault(LoadReport& aReport,
          const std::string& aTarget,
          const Caller& aCaller,
          state::TimePoint aBegin,
          state::TimePoint aNow);

/// @brief Adds the totals of another target.
/// @param aSum receives the sums
/// @param aOther the other totals
void
Merge(FlowTotals& aSum, const FlowTotals& aOther);

/// @brief Returns the sums over all targets.
/// @param aReport the report
FlowTotals
Sum(const LoadReport& aReport);

/// @brief Returns a percentile.
/// @param aTimes the values, in any order
/// @param aShare which one, 0 to 1
/// @return the value, or 0 if there are none
double
Percentile(std::vector<double> aTimes, double aShare);

/// @brief Returns the largest count over the mean of the upstreams that were
/// seen, or 1 without any.
/// @param aUpstreams flows by upstream
double
Imbalance(const std::map<std::string, std::uint64_t>& aUpstreams);

/// @brief Writes a report for programs.
/// @param aReport the report
/// @return a JSON object
std::string
ToJson(const LoadReport& aReport);

/// @brief Writes a report for people.
/// @param aReport the report
/// @return a table
std::string
ToText(const LoadReport& aReport);

/// @brief Returns whether a strict run fails.
/// @param aReport the report
/// @return true if a flow was broken or misrouted, ran twice or has a gap
bool
HasFaults(const LoadReport& aReport);

} // namespace sassafrasknotctl

#endif
