#include "sassafrasknot/protocol/text_mutation_test.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <vector>

#include "commands.hpp"
#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>
#include <unistd.h>

namespace sassafrasknotctl {
namespace {

namespace fs = std::filesystem;
using testing::HasSubstr;
using testing::IsEmpty;
using testing::StartsWith;

constexpr std::string_view kTemplate = R"({"services": [
  {"name": "feed", "slots": 2, "connections": 2000, "listeners": [
    {"port": 443, "upstream_port": 8443, "flow_class": "feed"},
    {"port": 444, "upstream_port": 8444, "flow_class": "work"}]}]})";
constexpr std::string_view kOrganisation = R"({"template": "t", "services": [
  {"name": "feed", "address": "127.10.0.1", "upstreams": [
    {"address": "127.20.0.1", "data_centre": "dc1"},
    {"address": "127.20.0.2", "data_centre": "dc1"}]}]})";
constexpr std::string_view kInstances = R"({"instances": [
  {"name": "a", "peer_endpoint": "127.1.0.1:7000",
   "control_endpoint": "127.1.0.1:7001"}]})";
constexpr std::string_view kUpstreams =
  R"({"upstreams": [{"address": "127.20.0.1"}, {"address": "127.20.0.2"}]})";

/// A temporary folder with valid documents, removed by the destructor.
class DocumentFolder
{
public:
  explicit DocumentFolder(const std::string& aName)
    : mPath(fs::temp_directory_path() /
            ("sassafrasknot-" + aName + '-' + std::to_string(getpid())))
  {
    Write("templates/t.json", kTemplate);
    Write("organisations/a.json", kOrganisation);
    Write("instances/dc1.json", kInstances);
    Write("upstreams/dc1.json", kUpstreams);
  }
  ~DocumentFolder() { fs::remove_all(mPath); }
  DocumentFolder(const DocumentFolder&) = delete;
  DocumentFolder& operator=(const DocumentFolder&) = delete;

  void Write(const std::string& aFile, std::string_view aText) const
  {
    fs::create_directories((mPath / aFile).parent_path());
    std::ofstream(mPath / aFile) << aText;
  }
  std::string Path() const { return mPath; }

private:
  fs::path mPath;
};

/// Exit status and output of a command.
struct CommandResult
{
  int mStatus = 0;
  std::string mOutput;
  std::string mErrors;
};

// Runs a command in this process; the first argument is its name.
CommandResult
RunCommand(std::vector<const char*> aArguments)
{
  const auto commands = Commands();
  const auto command = std::ranges::find(
    commands, std::string_view(aArguments.at(0)), &Command::mName);
  const auto count = static_cast<int>(aArguments.size());
  aArguments.push_back(nullptr);
  testing::internal::CaptureStdout();
  testing::internal::CaptureStderr();
  const int status = command->mRun(count, aArguments.data());
  return { status,
           testing::internal::GetCapturedStdout(),
           testing::internal::GetCapturedStderr() };
}

// Returns a text with the first occurrence of a part replaced.
std::string
Replaced(std::string_view aText, std::string_view aOld, std::string_view aNew)
{
  std::string text(aText);
  const auto index = text.find(aOld);
  EXPECT_NE(index, std::string::npos) << aOld;
  return text.replace(index, aOld.size(), aNew);
}

// Guards against invalid documents that are accepted, or rejected without the
// location of the error.
TEST(ValidateCommand, RejectsInvalidDocumentsWithOneLineEach)
{
  struct Row
  {
    std::string mFile;
    std::string mText;
    std::string mLocation;
  };
  const auto inTemplate = [](auto aOld, auto aNew) {
    return Replaced(kTemplate, aOld, aNew);
  };
  const auto inOrganisation = [](auto aOld, auto aNew) {
    return Replaced(kOrganisation, aOld, aNew);
  };
  const std::string t = "templates/t.json";
  const std::string a = "organisations/a.json";
  const std::string i = "instances/dc1.json";
  const std::string u = "upstreams/dc1.json";
  const Row rows[] = {
    { t, "", "line 1 column 1" },
    { t, "[]", "document" },
    { t, std::string(1000001, ' '), "document" },
    { t, std::string(5000, '['), "line 1 column 9" },
    { t, inTemplate("}]}]}", "}]}]"), "line 4 column 66" },
    { t, inTemplate("\"slots\": 2", "\"slots\": 0"), "services/feed/slots" },
    { t, inTemplate("2000", "1"), "services/feed/connections" },
    { t, inTemplate("443,", "70000,"), "services/feed/listeners/0/port" },
    { t, inTemplate("444,", "443,"), "services/feed/listeners/1/port" },
    { t,
      inTemplate("8444", "8443"),
      "services/feed/listeners/1/upstream_port" },
    { t, inTemplate("work", "fast"), "services/feed/listeners/1/flow_class" },
    { t, inTemplate("\"slots\"", "\"slot\""), "services/feed/slot" },
    { t, inTemplate("\"slots\"", "\"name\""), "services/0/name" },
    { a, inOrganisation("\"t\"", "\"missing\""), "template" },
    { a, inOrganisation("\"template\": \"t\",", ""), "template" },
    { a, inOrganisation("\"feed\"", "\"other\""), "services/other" },
    { a,
      inOrganisation("\"services\"", "\"weight\": 0, \"services\""),
      "weight" },
    { a,
      inOrganisation("\"services\"", "\"weight\": \"1\", \"services\""),
      "weight" },
    { a, inOrganisation("127.10.0.1", "0.0.0.0"), "services/feed/address" },
    { a, inOrganisation("127.10.0.1", "::1"), "services/feed/address" },
    { a,
      inOrganisation("127.20.0.2", "127.20.0.1"),
      "services/feed/upstreams/1/address" },
    { a,
      inOrganisation("127.20.0.2", "127.10.0.1"),
      "services/feed/upstreams/1/address" },
    { a,
      inOrganisation("dc1", "DC 1"),
      "services/feed/upstreams/0/data_centre" },
    { "organisations/b.json",
      inOrganisation("127.20.0.2", "127.20.0.3"),
      "services/feed/address" },
    { a,
      inOrganisation("dc1", "dc2"),
      "services/feed/upstreams/127.20.0.1/data_centre" },
    { "organisations/B.json", std::string(kOrganisation), "key" },
    { "organisations/b.txt", std::string(kOrganisation), "file" },
    { i, Replaced(kInstances, ":7000", ""), "instances/a/peer_endpoint" },
    { "instances/dc2.json", std::string(kInstances), "instances/a/name" },
    { u, Replaced(kUpstreams, "0.2", "0.1"), "upstreams/1/address" },
    { "upstreams/dc2.json",
      R"({"upstreams": [{"address": "127.20.0.2"}]})",
      "upstreams/0/address" },
  };
  for (const auto& [file, text, location] : rows) {
    const DocumentFolder folder("broken");
    folder.Write(file, text);
    const auto result = RunCommand({ "validate", folder.Path().c_str() });
    EXPECT_EQ(result.mStatus, kExitUsage) << file << ' ' << location;
    EXPECT_THAT(result.mOutput, IsEmpty());
    const auto first = result.mErrors.substr(0, result.mErrors.find('\n'));
    auto start = folder.Path();
    start.append("/").append(file).append(": ").append(location).append(": ");
    EXPECT_THAT(first, StartsWith(start));
    // Duplicate instances and organisations have several duplicate values, with
    // one line each.
    if (!file.ends_with("dc2.json") && !file.ends_with("b.json")) {
      EXPECT_EQ(std::ranges::count(result.mErrors, '\n'), 1) << result.mErrors;
    }
  }
}

// Guards against valid documents that are rejected.
TEST(ValidateCommand, AcceptsValidDocuments)
{
  const DocumentFolder folder("valid");
  const auto result = RunCommand({ "validate", folder.Path().c_str() });
  EXPECT_EQ(result.mStatus, 0) << result.mErrors;
  EXPECT_THAT(result.mOutput, StartsWith("valid: 1 templates"));
  EXPECT_EQ(RunCommand({ "validate", "--json", folder.Path().c_str() }).mOutput,
            "{\"valid\":true,\"templates\":1,\"organisations\":1,"
            "\"faults\":[]}\n");
}

// Guards against an error in a response of the platform that is reported
// without the key of its document.
TEST(ValidateCommand, ReportsTheKeyInAReadResponse)
{
  const DocumentFolder folder("answer");
  const auto write = [&](std::string_view aOrganisation) {
    folder.Write("answer.json",
                 R"({"revision": 3, "full": true, "records": [
      {"key": "templates/t", "revision": 1, "value": )" +
                   std::string(kTemplate) + R"(},
      {"key": "organisations/a", "revision": 3, "value": )" +
                   std::string(aOrganisation) + "}]}");
  };
  const auto file = folder.Path() + "/answer.json";
  write(kOrganisation);
  EXPECT_EQ(RunCommand({ "validate", file.c_str() }).mStatus, 0);
  write(Replaced(kOrganisation, "\"dc1\"", "7"));
  const auto result = RunCommand({ "validate", file.c_str() });
  EXPECT_EQ(result.mStatus, kExitUsage);
  EXPECT_EQ(result.mErrors,
            file + ": organisations/a/services/feed/upstreams/0/data_centre: "
                   "must be a string\n");
}

// Guards against a change that is reported as safe although its reversal is
// not, and against equal exit statuses for safe, unsafe and invalid input.
TEST(SubmitCheckCommand, ChecksBothDirections)
{
  const DocumentFolder old("old");
  const DocumentFolder changed("new");
  const auto check = [&](const char* aCommand) {
    return RunCommand({ aCommand, old.Path().c_str(), changed.Path().c_str() });
  };
  changed.Write("organisations/a.json",
                Replaced(kOrganisation,
                         "\"127.20.0.2\",",
                         "\"127.20.0.2\", \"state\": \"leaving\","));
  EXPECT_EQ(check("submit-check").mStatus, 0);
  EXPECT_THAT(check("diff").mOutput, StartsWith("upstream-drained "));
  changed.Write("organisations/a.json",
                Replaced(kOrganisation,
                         "{\"address\": \"127.20.0.2\"",
                         "{\"address\": \"127.20.0.3\", \"data_centre\": "
                         "\"dc1\"}, {\"address\": \"127.20.0.2\""));
  const auto unsafe = check("submit-check");
  EXPECT_EQ(unsafe.mStatus, 1);
  EXPECT_THAT(unsafe.mOutput,
              StartsWith("reversal: upstream-removed organisations/a "
                         "services/feed/upstreams/127.20.0.3: "));
  changed.Write("organisations/a.json", "{}");
  EXPECT_EQ(check("submit-check").mStatus, kExitUsage);
}

// Guards against equal exit statuses for clean, faulty and undecodable
// documents, and against a difference that is not shown or judged.
TEST(CheckCommand, DistinguishesFindingsFromUnreadableDocuments)
{
  const DocumentFolder old("in-force");
  const DocumentFolder folder("check");
  const auto oldPath = old.Path();
  const auto path = folder.Path();
  const auto check = [&](std::vector<const char*> aMore) {
    aMore.insert(aMore.begin(), { "check", path.c_str() });
    return RunCommand(std::move(aMore));
  };
  const auto file = path + "/organisations/a.json: ";
  EXPECT_EQ(check({}).mStatus, 0);
  EXPECT_EQ(check({ "--json" }).mOutput, "{\"clean\":true,\"findings\":[]}\n");

  // A safe change is shown, but is no finding; a listener whose
  // upstream port changes is unsafe.
  folder.Write("organisations/a.json",
               Replaced(kOrganisation,
                        "\"127.20.0.2\",",
                        "\"127.20.0.2\", \"state\": \"leaving\","));
  const auto drained = check({ "--in-force", oldPath.c_str() });
  EXPECT_EQ(drained.mStatus, 0);
  EXPECT_THAT(drained.mOutput, StartsWith("upstream-drained "));
  folder.Write("templates/t.json", Replaced(kTemplate, "8444", "8445"));
  const auto unsafe = check({ "--json", "--in-force", oldPath.c_str() });
  EXPECT_EQ(unsafe.mStatus, 1);
  EXPECT_THAT(unsafe.mOutput, StartsWith("{\"clean\":false,\"findings\":[],"));
  EXPECT_THAT(unsafe.mOutput, HasSubstr("\"established\":\"break\""));

  folder.Write(
    "organisations/a.json",
    Replaced(kOrganisation, "\"upstreams\"", "\"shards\": 5, \"upstreams\""));
  const auto useless = check({});
  EXPECT_EQ(useless.mStatus, 1);
  EXPECT_THAT(useless.mOutput,
              StartsWith(file + "services/feed/shards: never-matches: "));
  folder.Write("organisations/a.json", Replaced(kOrganisation, "dc1", "dc2"));
  const auto invalid = check({ "--in-force", oldPath.c_str() });
  EXPECT_EQ(invalid.mStatus, 1);
  EXPECT_THAT(invalid.mOutput,
              StartsWith(file + "services/feed/upstreams/127.20.0.1/"
                                "data_centre: error: "));
  folder.Write("organisations/a.json", "{}");
  const auto unreadable = check({});
  EXPECT_EQ(unreadable.mStatus, kExitUsage);
  EXPECT_THAT(unreadable.mErrors, StartsWith(file));
  EXPECT_THAT(unreadable.mOutput, IsEmpty());
  EXPECT_THAT(check({ "--json" }).mOutput,
              StartsWith("{\"clean\":false,\"findings\":[{\"kind\":"
                         "\"unreadable\",\"file\":"));
  EXPECT_EQ(RunCommand({ "check", oldPath.c_str(), "--in-force", path.c_str() })
              .mStatus,
            kExitUsage);
}

// Guards against rendered organisations that do not show the states of the
// published lists of upstreams.
TEST(RenderCommand, ShowsPublishedStates)
{
  const DocumentFolder folder("render");
  folder.Write("upstreams/dc1.json",
               R"({"upstreams": [{"address": "127.20.0.2",
                                  "state": "leaving"}]})");
  const auto result = RunCommand({ "render", folder.Path().c_str(), "a" });
  EXPECT_THAT(result.mOutput,
              HasSubstr("127.20.0.1 in dc1, 2 slots, 2000 "
                        "connections, live\n"));
  EXPECT_THAT(result.mOutput,
              HasSubstr("127.20.0.2 in dc1, 2 slots, 2000 "
                        "connections, leaving\n"));
  EXPECT_EQ(RunCommand({ "render", folder.Path().c_str(), "b" }).mStatus,
            kExitUsage);
}

// Guards against help that does not fit a screen of 24 lines of 80 columns, and
// against usage errors and missing files that do not give kExitUsage.
TEST(DocumentCommands, HelpFitsAScreen)
{
  for (const char* name :
       { "validate", "check", "render", "diff", "submit-check" }) {
    const auto result = RunCommand({ name, "--help" });
    EXPECT_EQ(result.mStatus, 0);
    EXPECT_LE(std::ranges::count(result.mOutput, '\n'), 23) << name;
    std::istringstream lines(result.mOutput);
    for (std::string line; std::getline(lines, line);) {
      EXPECT_LE(line.size(), 80U) << line;
    }
    EXPECT_EQ(RunCommand({ name }).mStatus, kExitUsage);
    EXPECT_EQ(RunCommand({ name, "--unknown" }).mStatus, kExitUsage);
    EXPECT_EQ(RunCommand({ name, "/nonexistent", "/nonexistent" }).mStatus,
              kExitUsage);
  }
}

// Guards against documents that are accepted by the decoder and crash a later
// stage.
RC_GTEST_PROP(DocumentCommands,
              ChangedDocumentsNeverCrash,
              (std::uint64_t aSeed))
{
  std::mt19937_64 random(aSeed);
  const DocumentFolder old("fuzz-old");
  const DocumentFolder folder("fuzz-new");
  folder.Write("templates/t.json",
               sassafrasknot::protocol::MutateText(kTemplate, random));
  folder.Write("organisations/a.json",
               sassafrasknot::protocol::MutateText(kOrganisation, random));
  const auto result =
    RunCommand({ "submit-check", old.Path().c_str(), folder.Path().c_str() });
  RC_ASSERT(result.mStatus >= 0 && result.mStatus <= 2);
  RC_ASSERT((result.mStatus == 2) == !result.mErrors.empty());
}

} // namespace
} // namespace sassafrasknotctl
