#include "commands.hpp"

#include <array>

namespace sassafrasknotctl {

std::span<const Command>
Commands()
{
  // Each command has a source file of its own in this folder.
  static constexpr std::array kCommands{
    Command{ "validate", "check platform documents", RunValidate },
    Command{ "render", "show organisations as they are served", RunRender },
    Command{ "diff", "show what a change of documents does", RunDiff },
    Command{
      "submit-check", "check a change and its reversal", RunSubmitCheck },
  };
  return kCommands;
}

} // namespace sassafrasknotctl
