#include "commands.hpp"

#include <array>

#include "load_command.hpp"

namespace sassafrasknotctl {

std::span<const Command>
Commands()
{
  // Each command has a source file of its own in this folder.
  static constexpr std::array kCommands{
    Command{ "load", "open flows and check their answers", RunLoad },
  };
  return kCommands;
}

} // namespace sassafrasknotctl
