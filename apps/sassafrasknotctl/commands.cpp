#include "commands.hpp"

#include "load_command.hpp"

#include <array>

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
