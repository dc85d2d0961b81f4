#include "sassafrasknot/protocol/document_codec.hpp"

#include <iomanip>
#include <iostream>

#include "command_line.hpp"
#include "commands.hpp"
#include "document_input.hpp"
#include "organisation_text.hpp"
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace sassafrasknotctl {
namespace {

constexpr CommandHelp kHelp{
  "render",
  "INPUT [ORGANISATION]",
  "Shows the organisations as the instances will serve them: each template\n"
  "filled in with its organisation's parameters, and each upstream as leaving\n"
  "if a published list of upstreams shows it as leaving.\n"
  "Exit status: 0 shown, 2 invalid input or unknown organisation.\n",
  1,
  2
};

} // namespace

int
RunRender(int aArgc, const char** aArgv)
{
  int status = 0;
  const auto line = ParseCommandLine(kHelp, aArgc, aArgv, status);
  if (!line) {
    return status;
  }
  const auto input = ReadValidInput(line->mArguments[0]);
  if (!input) {
    return kExitUsage;
  }
  auto organisations = input->mRendered.mOrganisations;
  if (line->mArguments.size() > 1) {
    const state::OrganisationId wanted{ line->mArguments[1] };
    std::erase_if(organisations,
                  [&](const auto& aEntry) { return aEntry.first != wanted; });
    if (organisations.empty()) {
      PrintErrors({ { line->mArguments[0],
                      "organisations/" + wanted.mValue,
                      "not found in the input" } });
      return kExitUsage;
    }
  }
  boost::json::object object;
  for (const auto& [id, organisation] : organisations) {
    if (line->mJson) {
      object[id.mValue] = ToJson(organisation);
    } else {
      std::cout << ToText(organisation);
    }
  }
  if (line->mJson) {
    std::cout << boost::json::serialize(
                   boost::json::object{ { "organisations", object } })
              << '\n';
  }
  return 0;
}

} // namespace sassafrasknotctl
