#include "option_parser.hpp"

#include <memory>
#include <type_traits>
#include <utility>

namespace sassafrasknotctl {

namespace state = sassafrasknot::state;

state::Error
InvalidArgument(std::string aMessage)
{
  return { state::ErrorCode::InvalidArgument,
           state::Verdict::NotRun,
           std::move(aMessage) };
}

poptOption
MakeOption(const char* aName,
           unsigned aType,
           void* aValue,
           const char* aHelp,
           const char* aArgument)
{
  return { aName, '\0', aType, aValue, 0, aHelp, aArgument };
}

state::Result<std::vector<std::string>>
ParseOptions(const char* aName,
             std::vector<poptOption> aOptions,
             int aArgc,
             const char** aArgv)
{
  aOptions.push_back(MakeOption(
    nullptr, POPT_ARG_INCLUDE_TABLE, poptHelpOptions, "Help options:"));
  aOptions.push_back(poptOption POPT_TABLEEND);
  // popt prints the first argument as the name of the program in its help.
  std::vector<const char*> arguments(aArgv, aArgv + aArgc);
  arguments.front() = aName;
  const std::unique_ptr<std::remove_pointer_t<poptContext>,
                        poptContext (*)(poptContext)>
    context(poptGetContext(aName, aArgc, arguments.data(), aOptions.data(), 0),
            poptFreeContext);
  if (const int code = poptGetNextOpt(context.get()); code < -1) {
    return InvalidArgument(
      std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " +
      poptStrerror(code));
  }
  std::vector<std::string> rest;
  while (const char* argument = poptGetArg(context.get())) {
    rest.emplace_back(argument);
  }
  return rest;
}

} // namespace sassafrasknotctl
