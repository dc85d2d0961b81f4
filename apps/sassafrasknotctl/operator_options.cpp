#include "operator_options.hpp"

#include <cmath>

#include "option_parser.hpp"

namespace sassafrasknotctl {

namespace state = sassafrasknot::state;

state::Result<OperatorOptions>
ParseOperatorOptions(int aArgc, const char** aArgv, const char* aTarget)
{
  int json = 0;
  int prometheus = 0;
  double timeout = 2;
  double wait = 30;
  long revision = -1;
  constexpr unsigned kSeconds = POPT_ARG_DOUBLE | POPT_ARGFLAG_SHOW_DEFAULT;
  const auto name = std::string("sassafrasknotctl ") + aArgv[0] + ' ' + aTarget;
  const auto arguments = ParseOptions(
    name.c_str(),
    { MakeOption("json", POPT_ARG_NONE, &json, "print JSON"),
      MakeOption("prometheus",
                 POPT_ARG_NONE,
                 &prometheus,
                 "print the Prometheus text format"),
      MakeOption("timeout",
                 kSeconds,
                 &timeout,
                 "timeout of a call to one instance",
                 "SECONDS"),
      MakeOption("revision",
                 POPT_ARG_LONG,
                 &revision,
                 "fleet: wait until this revision is in force everywhere",
                 "REVISION"),
      MakeOption("wait",
                 kSeconds,
                 &wait,
                 "fleet: timeout of the wait for --revision",
                 "SECONDS") },
    aArgc,
    aArgv);
  if (!arguments) {
    return arguments.error();
  }
  if (arguments.value().size() != 1) {
    return InvalidArgument("got " + std::to_string(arguments.value().size()) +
                           " arguments, expected one " + aTarget);
  }
  OperatorOptions result;
  result.mTarget = arguments.value().front();
  result.mJson = json != 0;
  result.mPrometheus = prometheus != 0;
  result.mTimeout = std::chrono::milliseconds(std::llround(timeout * 1000));
  result.mWait = std::chrono::milliseconds(std::llround(wait * 1000));
  if (revision >= 0) {
    result.mRevision = static_cast<std::uint64_t>(revision);
  }
  return result;
}

} // namespace sassafrasknotctl
