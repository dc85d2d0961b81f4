#include "sassafrasknot/net/structured_log.hpp"

#include <array>
#include <string>

#include <gtest/gtest.h>
#include <unistd.h>

namespace sassafrasknot::net {
namespace {

/// A pipe whose write end the log gets as its output.
struct Pipe
{
  Pipe() { EXPECT_EQ(pipe(mEnds.data()), 0); }
  ~Pipe()
  {
    close(mEnds[0]);
    close(mEnds[1]);
  }

  std::string Read() const
  {
    std::array<char, 65536> buffer{};
    const auto size = read(mEnds[0], buffer.data(), buffer.size());
    return { buffer.data(), size > 0 ? static_cast<std::size_t>(size) : 0 };
  }

  std::array<int, 2> mEnds{};
};

// Guards against a log whose size grows with the number of equal events, as
// under an attack, and against suppressed lines that are not counted.
TEST(EventLog, CountsSuppressedLines)
{
  const Pipe pipe;
  EventLog log({ pipe.mEnds[1], 5, 65536 });
  constexpr int kLines = 1000;
  for (int line = 0; line < kLines; ++line) {
    log.Write("flow_no_route", { { "flow", "x" } });
  }
  log.Write("stop", {});
  const auto counts = log.Counts();
  EXPECT_EQ(counts.mWritten + counts.mSuppressed, kLines + 1U);
  EXPECT_LE(counts.mWritten, 11U);
  log.Flush();
  EXPECT_NE(pipe.Read().find("event=stop"), std::string::npos);
}

// Guards against a process that blocks when nobody reads its log and the pipe
// is full.
TEST(EventLog, DropsLinesInsteadOfBlockingWhenTheReaderStops)
{
  const Pipe pipe;
  EventLog log({ pipe.mEnds[1], 1000000, 4096 });
  constexpr int kLines = 20000;
  for (int line = 0; line < kLines; ++line) {
    log.Write("event", { { "padding", std::string(100, 'x') } });
    log.Flush();
  }
  const auto counts = log.Counts();
  EXPECT_GT(counts.mDropped, 0U);
  EXPECT_EQ(counts.mWritten + counts.mDropped, 0U + kLines);
}

// Guards against values that a reader of the log would parse as more fields.
TEST(FormatLogLine, QuotesValuesThatLookLikeFields)
{
  EXPECT_EQ(FormatLogLine("e", { { "a", "b c=d\"" }, { "e", "" } }),
            "event=e a=\"b c=d\\\"\" e=\"\"");
}

} // namespace
} // namespace sassafrasknot::net
