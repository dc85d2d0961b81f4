#include "sassafrasknot/protocol/settings.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sassafrasknot::protocol {
namespace {

constexpr const char* kValid = R"([instance]
name = chime-1
data_centre = galle
[listen]
packets = 127.0.0.1:7000
control = 127.0.0.1:7100
[fabric]
endpoint = 127.0.0.1:6000
[platform]
endpoints = 127.0.0.1:8500, 127.0.0.1:8501
[traffic]
threads = 4
[seed chime-2]
packets = 127.0.0.1:7001
control = 127.0.0.1:7101
)";

/// Replaces the first occurrence of aFrom in kValid.
std::string
ReplaceFirst(std::string_view aFrom, std::string_view aTo)
{
  std::string text(kValid);
  const auto index = text.find(aFrom);
  return text.replace(index, aFrom.size(), aTo);
}

// Guards against values that are ignored or stored in another field.
TEST(Settings, ReadsAllKeys)
{
  const auto settings = ParseSettings(kValid, "valid.ini");
  ASSERT_TRUE(settings.has_value()) << settings.error().mMessage;
  EXPECT_EQ(settings.value().mInstance.mValue, "chime-1");
  EXPECT_EQ(settings.value().mFabricEndpoint.mPort, 6000);
  EXPECT_EQ(settings.value().mPlatformEndpoints.size(), 2);
  EXPECT_EQ(settings.value().mTrafficThreads, 4);
  ASSERT_EQ(settings.value().mSeeds.size(), 1);
  EXPECT_EQ(settings.value().mSeeds[0].mControlEndpoint.mPort, 7101);
}

// Guards against printed settings that differ from the effective ones, and that
// the parser rejects.
RC_GTEST_PROP(Settings, PrintedSettingsReadBack, ())
{
  auto settings = ParseSettings(kValid, "valid.ini").value();
  settings.mTrafficThreads = *rc::gen::inRange(1, 65);
  settings.mMaxHeldPackets = *rc::gen::inRange(1, 1000001);
  settings.mReceiveBufferBytes = *rc::gen::inRange(64, 65537) * 1024ULL;
  settings.mMaxStopTime =
    std::chrono::milliseconds(*rc::gen::inRange(1000, 60001));
  settings.mLogThreshold =
    *rc::gen::element(LogThreshold::Warning, LogThreshold::Error);
  const auto parsed = ParseSettings(FormatSettings(settings), "printed.ini");
  RC_ASSERT(parsed.has_value());
  RC_ASSERT(parsed.value() == settings);
}

/// One replacement that makes kValid invalid.
struct InvalidFile
{
  const char* mFrom;
  const char* mTo;
  /// Part of the expected message.
  const char* mExpected;
};

// Guards against invalid settings that are accepted, so that an instance would
// run with other settings than the operator wrote, and against messages without
// file, line, key and allowed values.
TEST(Settings, ErrorsNameFileLineKeyAndAllowedValues)
{
  const InvalidFile files[] = {
    { "[instance]", "[instances]", "broken.ini:1: [instances]: unknown" },
    { "name = chime-1\n", "", "broken.ini:1: [instance] name: key is missing" },
    { "chime-1", "", "broken.ini:2: [instance] name: bad value ''" },
    { "chime-1", "chime 1", "broken.ini:2: [instance] name: bad value" },
    { "chime-1", "a/b", "broken.ini:2: [instance] name: bad value 'a/b'" },
    { "data_centre", "datacenter", "broken.ini:3: [instance] datacenter:" },
    { "data_centre = galle",
      "name = x",
      "broken.ini:3: [instance] name: key was set in line 2" },
    { "0.1:7000", "0.1", "broken.ini:5: [listen] packets: bad value" },
    { "0.1:7000", "0.1:0", "broken.ini:5: [listen] packets: bad value" },
    { "0.1:7000", "0.1:65536", "broken.ini:5: [listen] packets: bad value" },
    { "127.0.0.1:7000", "0.0.0.0:7000", "broken.ini:5: [listen] packets: bad" },
    { "127.0.0.1:7100", "host:7100", "broken.ini:6: [listen] control: bad" },
    { "[fabric]", "[listen]", "broken.ini:7: [listen]: section was opened" },
    { "endpoint = 127.0.0.1:6000\n", "", "broken.ini:7: [fabric] endpoint:" },
    { ", 127.0.0.1:8501", ",", "broken.ini:10: [platform] endpoints: bad" },
    { "8501", "8500", "broken.ini:10: [platform] endpoints: bad value" },
    { "= 4", "= 0", "broken.ini:12: [traffic] threads: bad value '0'" },
    { "= 4", "= 65", "broken.ini:12: [traffic] threads: bad value '65'" },
    { "= 4", "= four", "broken.ini:12: [traffic] threads: bad value" },
    { "= 4", "= -1", "broken.ini:12: [traffic] threads: bad value" },
    { "= 4", "= 4 threads", "broken.ini:12: [traffic] threads: bad value" },
    { "= 4",
      "= 4\nreceive_buffer = 4096",
      "broken.ini:13: [traffic] receive_buffer: bad value" },
    { "= 4", "= 4\nheld = 1", "broken.ini:13: [traffic] held: unknown key" },
    { "[traffic]\nthreads = 4",
      "[stop]\nbound = 60",
      "broken.ini:12: [stop] bound: bad value '60'" },
    { "[traffic]\nthreads = 4",
      "[stop]\nbound = 2 min",
      "broken.ini:12: [stop] bound: bad value '2 min'" },
    { "[traffic]\nthreads = 4",
      "[log]\nlevel = loud",
      "broken.ini:12: [log] level: bad value 'loud'" },
    { "= 4", "4", "broken.ini:12: line is neither" },
    { "threads", "  threads", "broken.ini:12: line is indented" },
    { "[seed chime-2]", "[seed ]", "broken.ini:13: [seed ]: bad name" },
    { "[seed chime-2]", "[seed chime-2", "broken.ini:13: line is neither" },
    { "control = 127.0.0.1:7101", "", "broken.ini:13: [seed chime-2] control" },
    { "[instance]", "x = 1\n[instance]", "broken.ini:1: x: key is outside" },
    { "chime-1", "\x01", "broken.ini:2: line has a control character" },
  };
  for (const auto& file : files) {
    const auto settings =
      ParseSettings(ReplaceFirst(file.mFrom, file.mTo), "broken.ini");
    ASSERT_FALSE(settings.has_value()) << file.mExpected;
    const auto& message = settings.error().mMessage;
    EXPECT_NE(message.find(file.mExpected), std::string::npos)
      << file.mExpected << "\nbut was\n"
      << message;
    EXPECT_NE(message.find("allowed: "), std::string::npos) << message;
  }
}

// Guards against a line that is longer than the buffer of inih, which would
// split it without an error.
TEST(Settings, RejectsTooLongLines)
{
  const auto text = ReplaceFirst("chime-1", std::string(300, 'x'));
  const auto settings = ParseSettings(text, "broken.ini");
  ASSERT_FALSE(settings.has_value());
  EXPECT_NE(settings.error().mMessage.find("broken.ini:2: line is too long"),
            std::string::npos);
}

// Guards against a crash on a file that does not contain settings.
RC_GTEST_PROP(Settings, ArbitraryTextNeverCrashes, (const std::string& aText))
{
  RC_ASSERT(!ParseSettings(aText, "broken.ini").has_value());
}

} // namespace
} // namespace sassafrasknot::protocol
