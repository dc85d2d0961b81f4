#include <array>
#include <iostream>

#include "change_text.hpp"
#include "command_line.hpp"
#include "commands.hpp"
#include "document_input.hpp"
#include <boost/json/serialize.hpp>

namespace sassafrasknotctl {
namespace {

constexpr CommandHelp kHelp{
  "diff",
  "OLD NEW",
  "Shows what a change of the documents does: services, listeners, upstreams\n"
  "and instances that are added, drained, changed or removed, endpoints that\n"
  "move between services with their quarantine, and what happens to the\n"
  "established flows of each listener.\n"
  "Exit status: 0 shown, 2 invalid input.\n",
  2,
  2
};

// Writes one line per change, one per listener whose established flows do not
// simply stay, and a summary.
void
PrintText(const state::Difference& aDifference)
{
  for (const auto& change : aDifference.mChanges) {
    std::cout << ToText(change) << '\n';
    if (!change.mUnsafeReason.empty()) {
      std::cout << "  unsafe: " << change.mUnsafeReason << '\n';
    }
  }
  std::array<std::size_t, 3> counts{};
  for (const auto& flows : aDifference.mFlows) {
    ++counts.at(static_cast<std::size_t>(flows.mEffect));
    if (flows.mEffect != state::FlowEffect::Stay) {
      std::cout << "flows of " << flows.mService.mOrganisation.mValue << '/'
                << flows.mService.mName << ':' << flows.mPort << ": "
                << ToString(flows.mEffect) << '\n';
    }
  }
  std::cout << aDifference.mChanges.size() << " changes; established flows of "
            << counts[0] << " listeners stay, of " << counts[1]
            << " stay until they end, of " << counts[2] << " break\n";
}

boost::json::object
DifferenceToJson(const state::Difference& aDifference)
{
  boost::json::array flows;
  for (const auto& [service, port, effect] : aDifference.mFlows) {
    flows.push_back(
      boost::json::object{ { "organisation", service.mOrganisation.mValue },
                           { "service", service.mName },
                           { "port", port },
                           { "established", ToString(effect) } });
  }
  return { { "changes", ToJson(aDifference.mChanges) },
           { "flows", std::move(flows) } };
}

} // namespace

int
RunDiff(int aArgc, const char** aArgv)
{
  int status = 0;
  const auto line = ParseCommandLine(kHelp, aArgc, aArgv, status);
  if (!line) {
    return status;
  }
  const auto old = ReadValidInput(line->mArguments[0]);
  const auto changed = ReadValidInput(line->mArguments[1]);
  if (!old || !changed) {
    return kExitUsage;
  }
  const auto difference = Compare(old->mDocuments, changed->mDocuments);
  if (line->mJson) {
    std::cout << boost::json::serialize(DifferenceToJson(difference)) << '\n';
  } else {
    PrintText(difference);
  }
  return 0;
}

} // namespace sassafrasknotctl
