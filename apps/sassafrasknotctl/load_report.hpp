#ifndef SASSAFRASKNOTCTL_LOAD_REPORT_HPP
#define SASSAFRASKNOTCTL_LOAD_REPORT_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "caller.hpp"

namespace sassafrasknotctl {

/// @brief Results of the flows of one target or of all targets.
struct FlowTotals
{
  std::uint64_t mStarted = 0;
  /// Flows whose connection was established.
  std::uint64_t mOpened = 0;
  /// Flows with Outcome::Completed (JSON key "kept").
  std::uint64_t mCompleted = 0;
  /// Flows that were established and then broke or did not finish.
  std::uint64_t mBroken = 0;
  /// Flows whose SYN was answered with a reset: their requests did not run.
  std::uint64_t mRefused = 0;
  /// Flows whose SYN was not answered.
  std::uint64_t mUnanswered = 0;
  /// Flows with a wrong answer, see Caller::mMisrouted.
  std::uint64_t mMisrouted = 0;
  /// Flows whose request ran more than once.
  std::uint64_t mRanTwice = 0;
  /// Feed messages out of sequence, see Caller::mGaps.
  std::uint64_t mGaps = 0;
  /// Broken flows by their verdict, see VerdictOf.
  std::uint64_t mBrokenNotRun = 0;
  std::uint64_t mBrokenMayHaveRun = 0;
  std::uint64_t mBrokenAnswered = 0;
  /// Broken flows by reason.
  std::map<std::string, std::uint64_t> mReasons;
  /// Flows by the upstream that answered.
  std::map<std::string, std::uint64_t> mUpstreams;
  /// Time from the scheduled arrival to the established connection, in
  /// milliseconds.
  std::vector<double> mOpenTimes;
  /// Time from the scheduled arrival to the first answer, in milliseconds.
  std::vector<double> mAnswerTimes;
};

/// @brief Details of a flow that was broken or misrouted, for diagnosis.
struct FaultyFlow
{
  std::string mTarget;
  state::Endpoint mCaller;
  /// Address of the upstream that answered; empty if none did.
  std::string mUpstream;
  /// Why the flow was broken; empty if it was only misrouted.
  std::string mReason;
  /// Scheduled arrival of the flow, in seconds from the start of the run.
  double mOpened = 0;
  /// End of the flow, in seconds from the start of the run.
  double mEnded = 0;
};

/// @brief Result of a run.
struct LoadReport
{
  /// The first faulty flows; their number is limited.
  std::vector<FaultyFlow> mFaultyFlows;
  /// Totals by target, such as "feed kandyan/scheduling".
  std::map<std::string, FlowTotals> mTargets;
  /// Datagrams that could not be sent, for instance because the socket buffer
  /// was full.
  std::uint64_t mSendFailures = 0;
  /// Seed with which the run can be repeated.
  std::uint64_t mSeed = 0;
};

/// @brief Adds a flow to totals.
/// @param aTotals totals to update
/// @param aCaller flow to add; one that is still open counts as broken if it
/// was established, otherwise as unanswered
void
AddFlow(FlowTotals& aTotals, const Caller& aCaller);

/// @brief Records the details of a flow that has ended, if it was broken or
/// misrouted and the limit of recorded flows is not reached.
/// @param aReport report to update
/// @param aTarget name of the flow's target
/// @param aCaller flow that has ended
/// @param aBegin start of the run on the steady clock
/// @param aNow end of the flow on the steady clock
void
RecordFaultyFlow(LoadReport& aReport,
                 const std::string& aTarget,
                 const Caller& aCaller,
                 state::TimePoint aBegin,
                 state::TimePoint aNow);

/// @brief Adds totals to others.
/// @param aSum totals to update
/// @param aOther totals to add
void
Merge(FlowTotals& aSum, const FlowTotals& aOther);

/// @brief Returns the totals over all targets.
/// @param aReport report with totals by target
FlowTotals
TotalOf(const LoadReport& aReport);

/// @brief Returns a percentile.
/// @param aTimes values in any order
/// @param aShare percentile as a share, 0 to 1; 0.5 is the median
/// @return the value at that rank, or 0 if there are no values
double
Percentile(std::vector<double> aTimes, double aShare);

/// @brief Returns how unevenly flows are spread: the largest number of flows of
/// an upstream divided by the mean, or 1 without flows. Upstreams without a
/// flow are not part of the mean.
/// @param aUpstreams number of flows by upstream
double
Imbalance(const std::map<std::string, std::uint64_t>& aUpstreams);

/// @brief Formats a report as JSON.
/// @param aReport report to format
/// @return a JSON object on one line
std::string
ToJson(const LoadReport& aReport);

/// @brief Formats a report as text.
/// @param aReport report to format
/// @return a table with the verdicts and reasons of broken flows below it
std::string
ToText(const LoadReport& aReport);

/// @brief Returns whether a run with --strict fails.
/// @param aReport report to check
/// @return true if a flow was broken or misrouted, ran twice or has a gap
bool
FailsStrictCheck(const LoadReport& aReport);

} // namespace sassafrasknotctl

#endif
