#include "command_line.hpp"

#include <array>
#include <cstdlib>
#include <memory>

#include <popt.h>

namespace sassafrasknotd {
namespace {

namespace state = sassafrasknot::state;

constexpr const char* kHelp =
  R"(usage: sassafrasknotd [OPTION] FILE

Runs one instance of the load balancer with the settings in FILE (INI).

  --settings=FILE    the same as FILE
  --check            check FILE, report every error, and exit
  --print-settings   print the effective settings, defaults included, and exit
  --help             print this text and exit

SIGTERM or SIGINT starts a planned stop: the instance hands its flows over to
other instances and exits within the time that "bound" in section [stop] sets.
A second signal ends it at once.

Exit status: 0 after a complete stop, 1 if the instance could not start or
flows were abandoned, 2 for invalid options or settings.
)";

state::Error
UsageError(const std::string& aMessage)
{
  return { state::ErrorCode::InvalidArgument,
           state::Verdict::NotRun,
           "sassafrasknotd: " + aMessage +
             "\nusage: sassafrasknotd [--check|--print-settings|--help] FILE" };
}

/// Defines an option without a value; popt sets aValue to 1 if it is given.
poptOption
Flag(const char* aName, int& aValue)
{
  return { aName, '\0', POPT_ARG_NONE, &aValue, 0, nullptr, nullptr };
}

} // namespace

state::Result<CommandLine>
ParseCommandLine(int aArgc, const char** aArgv)
{
  int check = 0;
  int print = 0;
  int help = 0;
  char* settings = nullptr;
  const std::array<poptOption, 5> options{
    Flag("check", check),
    Flag("print-settings", print),
    Flag("help", help),
    { "settings", '\0', POPT_ARG_STRING, &settings, 0, nullptr, nullptr },
    poptOption{}
  };
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
    poptGetContext("sassafrasknotd", aArgc, aArgv, options.data(), 0),
    poptFreeContext);
  const int failure = poptGetNextOpt(context.get());
  // popt allocates the value of --settings, which this function frees.
  const std::unique_ptr<char, decltype(&std::free)> settingsStorage(settings,
                                                                    std::free);
  if (failure < -1) {
    return UsageError(
      std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " +
      poptStrerror(failure));
  }
  if (help != 0) {
    return CommandLine{ Mode::Help, {}, kHelp };
  }
  if (check != 0 && print != 0) {
    return UsageError("--check and --print-settings cannot be used together");
  }
  const char* file = settings != nullptr ? settings : poptGetArg(context.get());
  if (file == nullptr || poptPeekArg(context.get()) != nullptr) {
    return UsageError("expected exactly one FILE");
  }
  CommandLine line;
  line.mFile = file;
  if (check != 0) {
    line.mMode = Mode::Check;
  } else if (print != 0) {
    line.mMode = Mode::PrintSettings;
  }
  return line;
}

} // namespace sassafrasknotd
