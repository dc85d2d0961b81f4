#include <iostream>

#include "change_text.hpp"
#include "command_line.hpp"
#include "commands.hpp"
#include "document_input.hpp"
#include <boost/json/object.hpp>
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
    std::cout << boost::json::serialize(ToJson(difference)) << '\n';
  } else {
    PrintDifference(difference);
  }
  return 0;
}

} // namespace sassafrasknotctl
