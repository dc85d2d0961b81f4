#include "load_report.hpp"

#include <algorithm>
#include <iomanip>
#include <numeric>
#include <sstream>

#include <boost/json.hpp>

namespace sassafrasknotctl {

namespace json = boost::json;

namespace {

// Limits the size of the report; this many flows are enough to find a pattern.
constexpr std::size_t kMaxFaultyFlows = 50;

double
Milliseconds(state::Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

template<typename Key>
void
MergeCounts(std::map<Key, std::uint64_t>& aSum,
            const std::map<Key, std::uint64_t>& aOther)
{
  for (const auto& [key, count] : aOther) {
    aSum[key] += count;
  }
}

json::object
CountsToObject(const std::map<std::string, std::uint64_t>& aCounts)
{
  json::object object;
  for (const auto& [key, count] : aCounts) {
    object[key] = count;
  }
  return object;
}

// Returns the percentiles of times in milliseconds.
json::object
PercentilesToObject(const std::vector<double>& aTimes)
{
  return { { "p50", Percentile(aTimes, 0.5) },
           { "p90", Percentile(aTimes, 0.9) },
           { "p99", Percentile(aTimes, 0.99) },
           { "max", Percentile(aTimes, 1.0) } };
}

json::array
ToArray(const std::vector<FaultyFlow>& aFlows)
{
  json::array flows;
  for (const auto& flow : aFlows) {
    flows.push_back({ { "target", flow.mTarget },
                      { "caller", state::ToString(flow.mCaller) },
                      { "upstream", flow.mUpstream },
                      { "reason", flow.mReason },
                      { "opened_s", flow.mOpened },
                      { "ended_s", flow.mEnded } });
  }
  return flows;
}

json::object
TotalsToObject(const FlowTotals& aTotals)
{
  return { { "started", aTotals.mStarted },
           { "opened", aTotals.mOpened },
           { "kept", aTotals.mCompleted },
           { "broken", aTotals.mBroken },
           { "misrouted", aTotals.mMisrouted },
           { "refused", aTotals.mRefused },
           { "unanswered", aTotals.mUnanswered },
           { "ran_twice", aTotals.mRanTwice },
           { "gaps", aTotals.mGaps },
           { "broken_verdicts",
             json::object{ { "not-run", aTotals.mBrokenNotRun },
                           { "may-have-run", aTotals.mBrokenMayHaveRun },
                           { "answered", aTotals.mBrokenAnswered } } },
           { "broken_reasons", CountsToObject(aTotals.mReasons) },
           { "upstreams", CountsToObject(aTotals.mUpstreams) },
           { "imbalance", Imbalance(aTotals.mUpstreams) },
           { "open_ms", PercentilesToObject(aTotals.mOpenTimes) },
           { "answer_ms", PercentilesToObject(aTotals.mAnswerTimes) } };
}

// Writes one line of the table. Answer times are in milliseconds.
void
WriteRow(std::ostream& aOutput,
         const std::string& aName,
         const FlowTotals& aTotals)
{
  aOutput << std::left << std::setw(36) << aName << std::right;
  for (const auto count : { aTotals.mOpened,
                            aTotals.mCompleted,
                            aTotals.mBroken,
                            aTotals.mMisrouted,
                            aTotals.mRefused,
                            aTotals.mUnanswered,
                            aTotals.mRanTwice }) {
    aOutput << std::setw(11) << count;
  }
  aOutput << std::fixed << std::setprecision(1) << std::setw(9)
          << Percentile(aTotals.mAnswerTimes, 0.5) << std::setw(9)
          << Percentile(aTotals.mAnswerTimes, 0.99) << std::setprecision(2)
          << std::setw(11) << Imbalance(aTotals.mUpstreams) << '\n';
}

} // namespace

void
AddFlow(FlowTotals& aTotals, const Caller& aCaller)
{
  ++aTotals.mStarted;
  if (aCaller.mEstablished) {
    ++aTotals.mOpened;
    aTotals.mOpenTimes.push_back(
      Milliseconds(*aCaller.mEstablished - aCaller.mPlan.mDue));
  }
  if (aCaller.mAnswered) {
    aTotals.mAnswerTimes.push_back(
      Milliseconds(*aCaller.mAnswered - aCaller.mPlan.mDue));
  }
  if (!aCaller.mUpstream.empty()) {
    ++aTotals.mUpstreams[aCaller.mUpstream];
  }
  aTotals.mMisrouted += aCaller.mMisrouted ? 1 : 0;
  aTotals.mRanTwice += aCaller.mRanTwice ? 1 : 0;
  aTotals.mGaps += aCaller.mGaps;
  const bool unfinished = aCaller.mOutcome == Outcome::Open;
  if (aCaller.mOutcome == Outcome::Completed) {
    ++aTotals.mCompleted;
  } else if (aCaller.mOutcome == Outcome::Refused) {
    ++aTotals.mRefused;
  } else if (!aCaller.mEstablished) {
    ++aTotals.mUnanswered;
  } else {
    ++aTotals.mBroken;
    ++aTotals.mReasons[unfinished ? "unfinished" : aCaller.mReason];
    switch (VerdictOf(aCaller)) {
      case state::Verdict::NotRun:
        ++aTotals.mBrokenNotRun;
        break;
      case state::Verdict::MayHaveRun:
        ++aTotals.mBrokenMayHaveRun;
        break;
      case state::Verdict::Answered:
        ++aTotals.mBrokenAnswered;
        break;
    }
  }
}

void
RecordFaultyFlow(LoadReport& aReport,
                 const std::string& aTarget,
                 const Caller& aCaller,
                 state::TimePoint aBegin,
                 state::TimePoint aNow)
{
  if ((aCaller.mOutcome != Outcome::Broken && !aCaller.mMisrouted) ||
      aReport.mFaultyFlows.size() >= kMaxFaultyFlows) {
    return;
  }
  aReport.mFaultyFlows.push_back(
    { aTarget,
      aCaller.mPlan.mCaller,
      aCaller.mUpstream,
      aCaller.mReason,
      Milliseconds(aCaller.mPlan.mDue - aBegin) / 1000,
      Milliseconds(aNow - aBegin) / 1000 });
}

void
Merge(FlowTotals& aSum, const FlowTotals& aOther)
{
  for (const auto member : { &FlowTotals::mStarted,
                             &FlowTotals::mOpened,
                             &FlowTotals::mCompleted,
                             &FlowTotals::mBroken,
                             &FlowTotals::mRefused,
                             &FlowTotals::mUnanswered,
                             &FlowTotals::mMisrouted,
                             &FlowTotals::mRanTwice,
                             &FlowTotals::mGaps,
                             &FlowTotals::mBrokenNotRun,
                             &FlowTotals::mBrokenMayHaveRun,
                             &FlowTotals::mBrokenAnswered }) {
    aSum.*member += aOther.*member;
  }
  MergeCounts(aSum.mReasons, aOther.mReasons);
  MergeCounts(aSum.mUpstreams, aOther.mUpstreams);
  std::ranges::copy(aOther.mOpenTimes, std::back_inserter(aSum.mOpenTimes));
  std::ranges::copy(aOther.mAnswerTimes, std::back_inserter(aSum.mAnswerTimes));
}

FlowTotals
TotalOf(const LoadReport& aReport)
{
  FlowTotals sum;
  for (const auto& [name, totals] : aReport.mTargets) {
    Merge(sum, totals);
  }
  return sum;
}

double
Percentile(std::vector<double> aTimes, double aShare)
{
  if (aTimes.empty()) {
    return 0;
  }
  const auto index = std::min(
    aTimes.size() - 1,
    static_cast<std::size_t>(aShare * static_cast<double>(aTimes.size())));
  std::ranges::nth_element(aTimes, aTimes.begin() + index);
  return aTimes[index];
}

double
Imbalance(const std::map<std::string, std::uint64_t>& aUpstreams)
{
  std::uint64_t sum = 0;
  std::uint64_t largest = 0;
  for (const auto& [upstream, count] : aUpstreams) {
    sum += count;
    largest = std::max(largest, count);
  }
  return sum == 0 ? 1.0
                  : static_cast<double>(largest * aUpstreams.size()) /
                      static_cast<double>(sum);
}

std::string
ToJson(const LoadReport& aReport)
{
  json::object targets;
  for (const auto& [name, totals] : aReport.mTargets) {
    targets[name] = TotalsToObject(totals);
  }
  auto object = TotalsToObject(TotalOf(aReport));
  object["targets"] = std::move(targets);
  object["faulty_flows"] = ToArray(aReport.mFaultyFlows);
  object["send_failures"] = aReport.mSendFailures;
  object["seed"] = aReport.mSeed;
  return json::serialize(object) + '\n';
}

std::string
ToText(const LoadReport& aReport)
{
  std::ostringstream output;
  output << std::left << std::setw(36) << "flows" << std::right;
  for (const auto* const title : { "opened",
                                   "kept",
                                   "broken",
                                   "misrouted",
                                   "refused",
                                   "unanswered",
                                   "ran twice" }) {
    output << std::setw(11) << title;
  }
  output << std::setw(9) << "p50 ms" << std::setw(9) << "p99 ms"
         << std::setw(11) << "imbalance" << '\n';
  for (const auto& [name, totals] : aReport.mTargets) {
    WriteRow(output, name, totals);
  }
  const auto sum = TotalOf(aReport);
  WriteRow(output, "all", sum);
  output << "refused before the connection opened: not-run " << sum.mRefused
         << "\nbroken after it opened: not-run " << sum.mBrokenNotRun
         << ", may-have-run " << sum.mBrokenMayHaveRun << ", answered "
         << sum.mBrokenAnswered << '\n';
  for (const auto& [reason, count] : sum.mReasons) {
    output << "broken, " << reason << ": " << count << '\n';
  }
  return output.str();
}

bool
FailsStrictCheck(const LoadReport& aReport)
{
  const auto sum = TotalOf(aReport);
  return sum.mBroken + sum.mMisrouted + sum.mRanTwice + sum.mGaps > 0;
}

} // namespace sassafrasknotctl
