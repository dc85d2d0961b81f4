#include "operator_commands.hpp"

#include <iostream>

#include "commands.hpp"
#include "dump_view.hpp"
#include "operator_client.hpp"
#include "operator_options.hpp"
#include "option_parser.hpp"

namespace sassafrasknotctl {

namespace state = sassafrasknot::state;

namespace {

// Writes the error and returns the exit status.
int
Fail(const char* aCommand, const state::Error& aError)
{
  std::cerr << "sassafrasknotctl " << aCommand << ": " << aError.mMessage
            << '\n';
  return aError.mCode == state::ErrorCode::InvalidArgument ? kExitUsage : 1;
}

// Calls the instance whose control endpoint is the target of the options.
state::Result<std::string>
Call(const OperatorOptions& aOptions, OperatorCall aCall)
{
  const auto instance = state::ParseEndpoint(aOptions.mTarget);
  if (!instance) {
    return InvalidArgument('"' + aOptions.mTarget +
                           "\" is not a control endpoint IP:PORT");
  }
  return CallOperator(instance.value(), aCall, aOptions.mTimeout);
}

} // namespace

int
RunDump(int aArgc, const char** aArgv)
{
  const auto options = ParseOperatorOptions(aArgc, aArgv, "HOST:PORT");
  if (!options) {
    return Fail("dump", options.error());
  }
  auto text = Call(options.value(),
                   options.value().mPrometheus ? OperatorCall::Counters
                                               : OperatorCall::Dump);
  if (text && !options.value().mPrometheus && !options.value().mJson) {
    text = DumpToText(text.value());
  }
  if (!text) {
    return Fail("dump", text.error());
  }
  std::cout << text.value();
  if (!text.value().ends_with('\n')) {
    std::cout << '\n';
  }
  return 0;
}

int
RunDrain(int aArgc, const char** aArgv)
{
  const auto options = ParseOperatorOptions(aArgc, aArgv, "HOST:PORT");
  if (!options) {
    return Fail("drain", options.error());
  }
  const auto drained = Call(options.value(), OperatorCall::Drain);
  return drained ? 0 : Fail("drain", drained.error());
}

} // namespace sassafrasknotctl
