#include "commands.hpp"

#include <array>

#include "load_command.hpp"
#include "operator_commands.hpp"

namespace sassafrasknotctl {

std::span<const Command>
Commands()
{
  static constexpr std::array kCommands{
    Command{ "dump", "show the state of an instance", RunDump },
    Command{ "fleet", "compare the instances of a fleet", RunFleet },
    Command{ "drain", "start the planned stop of an instance", RunDrain },
    Command{ "load", "open flows and check their answers", RunLoad },
    Command{ "validate", "check platform documents", RunValidate },
    Command{ "check", "find useless and contradicting entries", RunCheck },
    Command{ "render", "show organisations as they are served", RunRender },
    Command{ "diff", "show what a change of documents does", RunDiff },
    Command{
      "submit-check", "check a change and its reversal", RunSubmitCheck },
  };
  return kCommands;
}

} // namespace sassafrasknotctl
