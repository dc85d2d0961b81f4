#include <algorithm>
#include <vector>

#include "command_line.hpp"
#include <gtest/gtest.h>

namespace sassafrasknotd {
namespace {

/// Parses arguments that follow the program's name.
sassafrasknot::state::Result<CommandLine>
Parse(std::vector<const char*> aArguments)
{
  aArguments.insert(aArguments.begin(), "sassafrasknotd");
  const auto count = static_cast<int>(aArguments.size());
  aArguments.push_back(nullptr);
  return ParseCommandLine(count, aArguments.data());
}

// Guards against an option that is ignored, such as --check, so that an
// instance would start.
TEST(CommandLine, ReadsModeAndFile)
{
  EXPECT_EQ(Parse({ "a.ini" }).value().mMode, Mode::Run);
  EXPECT_EQ(Parse({ "--settings", "a.ini" }).value().mFile, "a.ini");
  EXPECT_EQ(Parse({ "--check", "a.ini" }).value().mMode, Mode::Check);
  EXPECT_EQ(Parse({ "a.ini", "--print-settings" }).value().mMode,
            Mode::PrintSettings);
  EXPECT_EQ(Parse({ "a.ini" }).value().mFile, "a.ini");
}

// Guards against invalid options or arguments that are accepted.
TEST(CommandLine, RejectsInvalidOptions)
{
  EXPECT_FALSE(Parse({}).has_value());
  EXPECT_FALSE(Parse({ "a.ini", "b.ini" }).has_value());
  EXPECT_FALSE(Parse({ "--settings", "a.ini", "b.ini" }).has_value());
  EXPECT_FALSE(Parse({ "--settings" }).has_value());
  EXPECT_FALSE(Parse({ "--chek", "a.ini" }).has_value());
  EXPECT_FALSE(Parse({ "--check", "--print-settings", "a" }).has_value());
}

// Guards against a help text that is longer than a terminal of 24 lines.
TEST(CommandLine, HelpFitsAScreen)
{
  const auto help = Parse({ "--help" }).value().mHelp;
  EXPECT_LE(std::ranges::count(help, '\n'), 24);
}

} // namespace
} // namespace sassafrasknotd
