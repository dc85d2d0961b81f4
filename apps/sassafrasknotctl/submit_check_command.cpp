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
  "submit-check",
  "OLD NEW",
  "Checks that the change from OLD to NEW and its reversal are safe: no\n"
  "established flow breaks, no endpoint moves from another service, and no\n"
  "upstream is removed that was not leaving. Lists each unsafe change.\n"
  "Exit status: 0 safe, 1 unsafe, 2 invalid input.\n",
  2,
  2
};

// Writes the unsafe changes of one direction ("change" or "reversal") with the
// reasons.
void
PrintUnsafe(std::string_view aDirection,
            const std::vector<state::Change>& aChanges)
{
  for (const auto& change : aChanges) {
    std::cout << aDirection << ": " << ToText(change) << "\n  "
              << change.mUnsafeReason << '\n';
  }
}

} // namespace

int
RunSubmitCheck(int aArgc, const char** aArgv)
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
  const auto check = CheckSubmission(old->mDocuments, changed->mDocuments);
  if (line->mJson) {
    std::cout << boost::json::serialize(boost::json::object{
                   { "safe", check.IsSafe() },
                   { "change", ToJson(check.mUnsafeInChange) },
                   { "reversal", ToJson(check.mUnsafeInReversal) } })
              << '\n';
  } else if (check.IsSafe()) {
    std::cout << "safe, and so is the reversal\n";
  } else {
    PrintUnsafe("change", check.mUnsafeInChange);
    PrintUnsafe("reversal", check.mUnsafeInReversal);
  }
  return check.IsSafe() ? 0 : 1;
}

} // namespace sassafrasknotctl
