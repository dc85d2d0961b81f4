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
  "Checks all documents of an input: their format, each organisation against\n"
  "its template, and that no endpoint belongs to two organisations.\n"
  "Exit status: 0 valid, 2 invalid input.\n"
};

// Converts the result of the check to JSON, with the errors as "faults".
boost::json::object
ToJson(const DocumentInput& aInput)
{
  boost::json::array errors;
  for (const auto& error : aInput.mErrors) {
    errors.push_back(boost::json::object{ { "file", error.mFile },
                                          { "place", error.mLocation },
                                          { "message", error.mMessage } });
  }
  return { { "valid", aInput.mErrors.empty() },
           { "templates", aInput.mDocuments.mTemplates.size() },
           { "organisations", aInput.mDocuments.mOrganisations.size() },
           { "faults", std::move(errors) } };
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
  PrintErrors(input.mErrors);
  if (line->mJson) {
    std::cout << boost::json::serialize(ToJson(input)) << '\n';
  } else if (input.mErrors.empty()) {
    std::cout << "valid: " << Summary(input.mDocuments) << '\n';
  }
  return input.mErrors.empty() ? 0 : kExitUsage;
}

} // namespace sassafrasknotctl
