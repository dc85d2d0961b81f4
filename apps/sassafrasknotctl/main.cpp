#include <algorithm>
#include <iostream>
#include <string_view>

#include "commands.hpp"

namespace {

// Writes the usage and one line per command.
void
PrintHelp(std::ostream& aOutput)
{
  aOutput << "usage: sassafrasknotctl COMMAND [ARGUMENT...]\n\n";
  for (const auto& command : sassafrasknotctl::Commands()) {
    aOutput << "  " << command.mName
            << std::string(16 - std::min<std::size_t>(command.mName.size(), 15),
                           ' ')
            << command.mSummary << '\n';
  }
  aOutput << "\n'sassafrasknotctl COMMAND --help' describes a command.\n";
}

} // namespace

int
main(int aArgc, const char** aArgv)
{
  const std::string_view name = aArgc > 1 ? aArgv[1] : "";
  if (name == "--help" || name == "help") {
    PrintHelp(std::cout);
    return 0;
  }
  const auto commands = sassafrasknotctl::Commands();
  const auto found =
    std::ranges::find(commands, name, &sassafrasknotctl::Command::mName);
  if (found == commands.end()) {
    PrintHelp(std::cerr);
    return sassafrasknotctl::kExitUsage;
  }
  return found->mRun(aArgc - 1, aArgv + 1);
}
