#include "sassafrasknot/state/configuration_check.hpp"

#include <algorithm>
#include <iostream>

#include "change_text.hpp"
#include "command_line.hpp"
#include "commands.hpp"
#include "document_input.hpp"
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace sassafrasknotctl {
namespace {

constexpr CommandHelp kHelp{
  "check",
  "INPUT",
  "Checks documents before they are submitted: errors, entries that never\n"
  "apply to a flow, and limits that contradict each other. With --in-force,\n"
  "shows the changes from that input and their effect on flows, as diff does.\n"
  "Exit status: 0 clean, 1 findings or unsafe changes, 2 a document cannot\n"
  "be decoded, or the input in force is invalid.\n",
  1,
  1,
  true
};

/// Result of a check of one input.
struct CheckReport
{
  std::string mPath;
  std::vector<state::CheckFinding> mFindings;
  /// Nothing without --in-force, or if the input has errors.
  std::optional<state::Difference> mDifference;
};

/// Returns whether a report has neither findings nor unsafe changes.
bool
IsClean(const CheckReport& aReport)
{
  return aReport.mFindings.empty() &&
         (!aReport.mDifference ||
          std::ranges::all_of(aReport.mDifference->mChanges,
                              [](const state::Change& aChange) {
                                return aChange.mUnsafeReason.empty();
                              }));
}

void
PrintText(const CheckReport& aReport, const state::DocumentSet& aDocuments)
{
  for (const auto& [kind, finding] : aReport.mFindings) {
    const auto located = LocateFinding(aReport.mPath, finding);
    std::cout << located.mFile << ": " << located.mLocation << ": "
              << ToString(kind) << ": " << located.mMessage << '\n';
  }
  if (aReport.mDifference) {
    PrintDifference(*aReport.mDifference);
  }
  std::cout << (IsClean(aReport) ? "clean: " : "checked: ")
            << Summary(aDocuments) << "; " << aReport.mFindings.size()
            << " findings\n";
}

/// Converts a finding with its location to JSON.
boost::json::object
ToJson(std::string_view aKind, const InputError& aFinding)
{
  return { { "kind", aKind },
           { "file", aFinding.mFile },
           { "place", aFinding.mLocation },
           { "message", aFinding.mMessage } };
}

boost::json::object
ReportToJson(const CheckReport& aReport)
{
  boost::json::array findings;
  for (const auto& [kind, finding] : aReport.mFindings) {
    findings.push_back(
      ToJson(ToString(kind), LocateFinding(aReport.mPath, finding)));
  }
  boost::json::object object{ { "clean", IsClean(aReport) },
                              { "findings", std::move(findings) } };
  if (aReport.mDifference) {
    object["difference"] = sassafrasknotctl::ToJson(*aReport.mDifference);
  }
  return object;
}

/// Writes the errors that make a check impossible to standard error, and to
/// standard output too if JSON is wanted. Returns the exit status.
int
ReportUnreadable(const std::vector<InputError>& aErrors, bool aJson)
{
  PrintErrors(aErrors);
  if (aJson) {
    boost::json::array findings;
    for (const auto& error : aErrors) {
      findings.push_back(ToJson("unreadable", error));
    }
    std::cout << boost::json::serialize(boost::json::object{
                   { "clean", false }, { "findings", std::move(findings) } })
              << '\n';
  }
  return kExitUsage;
}

} // namespace

int
RunCheck(int aArgc, const char** aArgv)
{
  int status = 0;
  const auto line = ParseCommandLine(kHelp, aArgc, aArgv, status);
  if (!line) {
    return status;
  }
  CheckReport report{ line->mArguments[0], {}, {} };
  const auto input = ReadInput(report.mPath);
  // Documents are rendered only if all of them could be decoded. Errors without
  // findings of the rendering are therefore errors of the decoder.
  if (!input.mErrors.empty() && input.mRendered.mFindings.empty()) {
    return ReportUnreadable(input.mErrors, line->mJson);
  }
  report.mFindings = CheckDocuments(input.mDocuments, input.mRendered);
  if (!line->mInForce.empty()) {
    const auto inForce = ReadInput(line->mInForce);
    if (!inForce.mErrors.empty()) {
      return ReportUnreadable(inForce.mErrors, line->mJson);
    }
    if (input.mErrors.empty()) {
      report.mDifference = Compare(inForce.mDocuments, input.mDocuments);
    }
  }
  if (line->mJson) {
    std::cout << boost::json::serialize(ReportToJson(report)) << '\n';
  } else {
    PrintText(report, input.mDocuments);
  }
  return IsClean(report) ? 0 : 1;
}

} // namespace sassafrasknotctl
