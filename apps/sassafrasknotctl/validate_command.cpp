#include <iostream>

#include "command_line.hpp"
#include "commands.hpp"
#include "document_input.hpp"
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace sassafrasknotctl {
namespace {

constexpr CommandHelp kHelp{
  "validate",
  "INPUT",
  "Checks all documents of an input: their form, each organisation with its\n"
  "template, and that no endpoint belongs to two organisations.\n"
  "Exit status: 0 valid, 2 refused.\n"
};

boost::json::object
ToJson(const DocumentInput& aInput)
{
  boost::json::array faults;
  for (const auto& fault : aInput.mFaults) {
    faults.push_back(boost::json::object{ { "file", fault.mFile },
                                          { "place", fault.mLocation },
                                          { "message", fault.mMessage } });
  }
  return { { "valid", aInput.mFaults.empty() },
           { "templates", aInput.mDocuments.mTemplates.size() },
           { "organisations", aInput.mDocuments.mOrganisations.size() },
           { "faults", std::move(faults) } };
}

} // namespace

int
RunValidate(int aArgc, const char** aArgv)
{
  int status = 0;
  const auto line = ParseCommandLine(kHelp, aArgc, aArgv, status);
  if (!line) {
    return status;
  }
  const auto input = ReadInput(line->mArguments[0]);
  PrintFaults(input.mFaults);
  if (line->mJson) {
    std::cout << boost::json::serialize(ToJson(input)) << '\n';
  } else if (input.mFaults.empty()) {
    std::cout << "valid: " << Summary(input.mDocuments) << '\n';
  }
  return input.mFaults.empty() ? 0 : kExitUsage;
}

} // namespace sassafrasknotctl
