#include "operator_options.hpp"

#include <array>
#include <cmath>
#include <memory>
#include <type_traits>

#include <popt.h>

namespace sassafrasknotctl {

namespace state = sassafrasknot::state;

namespace {

state::Error
Invalid(std::string aMessage)
{
  return { state::ErrorCode::InvalidArgument,
           state::Verdict::NotRun,
           std::move(aMessage) };
}

} // namespace

state::Result<OperatorOptions>
ParseOperatorOptions(int aArgc, const char** aArgv, const char* aTarget)
{
  int json = 0;
  int prometheus = 0;
  double timeout = 2;
  double wait = 30;
  long revision = -1;
  constexpr unsigned kShow = POPT_ARG_DOUBLE | POPT_ARGFLAG_SHOW_DEFAULT;
  const std::array options{
    poptOption{ "json", '\0', POPT_ARG_NONE, &json, 0, "print JSON", nullptr },
    poptOption{ "prometheus",
                '\0',
                POPT_ARG_NONE,
                &prometheus,
                0,
                "print the Prometheus text format",
                nullptr },
    poptOption{ "timeout",
                '\0',
                kShow,
                &timeout,
                0,
                "longest wait for one instance",
                "SECONDS" },
    poptOption{ "revision",
                '\0',
                POPT_ARG_LONG,
                &revision,
                0,
                "fleet: wait until this revision is in force everywhere",
                "REVISION" },
    poptOption{ "wait",
                '\0',
                kShow,
                &wait,
                0,
                "fleet: longest wait for --revision",
                "SECONDS" },
    poptOption POPT_AUTOHELP poptOption POPT_TABLEEND
  };
  const std::unique_ptr<std::remove_pointer_t<poptContext>,
                        poptContext (*)(poptContext)>
    context(poptGetContext(aArgv[0], aArgc, aArgv, options.data(), 0),
            poptFreeContext);
  poptSetOtherOptionHelp(context.get(), aTarget);
  if (const int code = poptGetNextOpt(context.get()); code < -1) {
    return Invalid(
      std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " +
      poptStrerror(code));
  }
  const char* target = poptGetArg(context.get());
  if (target == nullptr || poptPeekArg(context.get()) != nullptr) {
    return Invalid(std::string("give exactly one ") + aTarget);
  }
  OperatorOptions result;
  result.mTarget = target;
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
