#include "command_line.hpp"

#include <cstdlib>
#include <iostream>
#include <memory>
#include <type_traits>

#include "commands.hpp"
#include <popt.h>

namespace sassafrasknotctl {
namespace {

constexpr const char* kInputHelp =
  "\nAn input is a JSON file with the platform's response to a read request, "
  "or "
  "a\n"
  "folder with templates/NAME.json, organisations/NAME.json,\n"
  "instances/DC.json and upstreams/DC.json. Invalid input gives one line\n"
  "FILE: PLACE: MESSAGE per error and exit status 2.\n"
  "\noptions:\n"
  "      --json     write one JSON object instead of text\n"
  "  -?, --help     show this help\n";

// Writes a usage error and returns the exit status.
int
ReportUsageError(const CommandHelp& aHelp, const std::string& aMessage)
{
  std::cerr << "sassafrasknotctl " << aHelp.mName << ": " << aMessage
            << "; see 'sassafrasknotctl " << aHelp.mName << " --help'\n";
  return kExitUsage;
}

} // namespace

std::optional<CommandLine>
ParseCommandLine(const CommandHelp& aHelp,
                 int aArgc,
                 const char** aArgv,
                 int& aExitStatus)
{
  int json = 0;
  int help = 0;
  char* inForce = nullptr;
  std::vector<poptOption> options = {
    { "json", '\0', POPT_ARG_NONE, &json, 0, nullptr, nullptr },
    { "help", '?', POPT_ARG_NONE, &help, 0, nullptr, nullptr }
  };
  if (aHelp.mHasInForce) {
    options.push_back(
      { "in-force", '\0', POPT_ARG_STRING, &inForce, 0, nullptr, nullptr });
  }
  options.push_back(POPT_TABLEEND);
  const std::unique_ptr<std::remove_pointer_t<poptContext>,
                        poptContext (*)(poptContext)>
    context(poptGetContext(aHelp.mName, aArgc, aArgv, options.data(), 0),
            poptFreeContext);
  const int code = poptGetNextOpt(context.get());
  const std::unique_ptr<char, decltype(&std::free)> owner(inForce, &std::free);
  if (code < -1) {
    aExitStatus = ReportUsageError(
      aHelp,
      std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(code));
    return std::nullopt;
  }
  if (help != 0) {
    std::cout << "usage: sassafrasknotctl " << aHelp.mName << " [--json] "
              << (aHelp.mHasInForce ? "[--in-force INPUT] " : "")
              << aHelp.mArguments << "\n\n"
              << aHelp.mText << kInputHelp;
    aExitStatus = 0;
    return std::nullopt;
  }
  CommandLine line{ {}, json != 0, inForce != nullptr ? inForce : "" };
  while (const char* argument = poptGetArg(context.get())) {
    line.mArguments.emplace_back(argument);
  }
  if (line.mArguments.size() < aHelp.mMinArguments ||
      line.mArguments.size() > aHelp.mMaxArguments) {
    aExitStatus =
      ReportUsageError(aHelp,
                       "got " + std::to_string(line.mArguments.size()) +
                         " arguments, expected " + aHelp.mArguments);
    return std::nullopt;
  }
  return line;
}

} // namespace sassafrasknotctl
