#include "sassafrasknot/protocol/settings.hpp"
#include "sassafrasknot/transport/log.hpp"
#include "sassafrasknot/transport/node.hpp"

#include <iostream>

#include "command_line.hpp"

int
main(int aArgc, const char** aArgv)
{
  using namespace sassafrasknot;
  const auto parsed = sassafrasknotd::ParseCommandLine(aArgc, aArgv);
  if (!parsed) {
    std::cerr << parsed.error().mMessage << '\n';
    return sassafrasknotd::kExitUsage;
  }
  const auto& options = parsed.value();
  if (options.mMode == sassafrasknotd::Mode::Help) {
    std::cout << options.mHelp;
    return 0;
  }
  const auto settings = protocol::ReadSettings(options.mFile);
  if (!settings) {
    std::cerr << settings.error().mMessage << '\n';
    return sassafrasknotd::kExitUsage;
  }
  if (options.mMode == sassafrasknotd::Mode::Check) {
    std::cout << options.mFile << ": valid\n";
    return 0;
  }
  if (options.mMode == sassafrasknotd::Mode::PrintSettings) {
    std::cout << protocol::FormatSettings(settings.value());
    return 0;
  }
  transport::StartLog(aArgv[0],
                      settings.value().mLogThreshold,
                      settings.value().mLogLinesPerSecond);
  auto node = transport::Node::Start(settings.value());
  if (!node) {
    transport::WriteLog(coordination::LogLevel::Error,
                        "start_failed",
                        { { "reason", node.error().mMessage } });
    return 1;
  }
  return node.value()->Run() ? 0 : 1;
}
