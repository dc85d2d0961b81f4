#include "commands.hpp"

namespace sassafrasknotctl {

std::span<const Command>
Commands()
{
  // Each command has a source file of its own in this folder.
  return {};
}

} // namespace sassafrasknotctl
