#include "sassafrasknot/coordination/answer_reports.hpp"

#include "sassafrasknot/state/hashing.hpp"

#include <algorithm>

namespace sassafrasknot::coordination {
namespace {

constexpr double kReportBurstBytes = 4000;
/// UDP, IP and message headers of one datagram.
constexpr double kMessageBytes = 40;
/// One bit per flow: two flows share a bit with probability 3% at 32,200
/// reported flows, and the report of the second one comes a period later.
constexpr std::size_t kFilterBits = std::size_t{ 1 } << 20;
/// Below the keepalive interval, so that the answer to each keepalive is
/// reported.
constexpr auto kShortestPeriod = std::chrono::seconds{ 20 };
constexpr std::size_t kMostPending = 8192;
/// The flow of an older report may have ended, and must not be adopted by it.
constexpr auto kLongestWait = std::chrono::seconds{ 2 };
/// Fits into one datagram of 1,400 bytes.
constexpr std::size_t kMostPerMessage = 48;

std::uint64_t
SaltOf(const AnswerReporter& aReporter, std::uint64_t aShard)
{
  const auto found = aReporter.mSalts.find(aShard);
  return found == aReporter.mSalts.end() ? 0 : found->second;
}

void
StartPeriod(AnswerReporter& aReporter, state::TimePoint aNow)
{
  const double seconds = static_cast<double>(aReporter.mReportedInPeriod) *
                         kBytesPerReport / kReportBytesPerSecond;
  const auto needed = std::chrono::duration_cast<state::Duration>(
    std::chrono::duration<double>(seconds));
  aReporter.mPeriod = std::max<state::Duration>(kShortestPeriod, needed);
  aReporter.mPeriodStarted = aNow;
  aReporter.mReportedInPeriod = 0;
  aReporter.mReportedFlows.assign(kFilterBits, false);
}

} // namespace

AnswerReporter
MakeAnswerReporter(state::TimePoint aNow)
{
  AnswerReporter reporter;
  reporter.mReportedFlows.assign(kFilterBits, false);
  reporter.mBudget =
    MakeTokenBucket(kReportBytesPerSecond, kReportBurstBytes, aNow);
  reporter.mPeriodStarted = aNow;
  reporter.mPeriod = kShortestPeriod;
  return reporter;
}

void
ReportAnswer(AnswerReporter& aReporter,
             std::uint64_t aShard,
             const AnswerReport& aReport,
             state::TimePoint aNow,
             state::Counters& aCounters)
{
  const auto salted =
    state::CombineHashes(state::Hash(aReport.mKey), SaltOf(aReporter, aShard));
  const auto bit =
    state::CombineHashes(salted, aReport.mHasPayload ? 1 : 0) % kFilterBits;
  if (aReporter.mReportedFlows[bit]) {
    return;
  }
  if (aReporter.mPending.size() >= kMostPending) {
    state::Increment(aCounters, "answer_reports_dropped_total");
    return;
  }
  aReporter.mReportedFlows[bit] = true;
  ++aReporter.mReportedInPeriod;
  aReporter.mPending.push_back({ aShard, aReport, bit, aNow });
}

void
ResetReported(AnswerReporter& aReporter, std::uint64_t aShard)
{
  ++aReporter.mSalts[aShard];
}

std::unordered_map<std::uint64_t, AnswerReports>
PopReports(AnswerReporter& aReporter,
           state::TimePoint aNow,
           state::Counters& aCounters)
{
  if (aNow - aReporter.mPeriodStarted >= aReporter.mPeriod) {
    StartPeriod(aReporter, aNow);
  }
  std::unordered_map<std::uint64_t, AnswerReports> taken;
  while (!aReporter.mPending.empty() &&
         aNow - aReporter.mPending.front().mQueued > kLongestWait) {
    // A later answer of the flow is reported in its place.
    aReporter.mReportedFlows[aReporter.mPending.front().mBit] = false;
    state::Increment(aCounters, "answer_reports_dropped_total");
    aReporter.mPending.pop_front();
  }
  // The latest first: under load the oldest ones are dropped anyway.
  while (!aReporter.mPending.empty()) {
    const auto& next = aReporter.mPending.back();
    const auto found = taken.find(next.mShard);
    if (found != taken.end() &&
        found->second.mReports.size() >= kMostPerMessage) {
      break;
    }
    const double cost =
      kBytesPerReport + (found == taken.end() ? kMessageBytes : 0);
    if (!TryConsume(aReporter.mBudget, cost, aNow)) {
      break;
    }
    taken[next.mShard].mReports.push_back(next.mReport);
    aReporter.mPending.pop_back();
  }
  return taken;
}

} // namespace sassafrasknot::coordination
