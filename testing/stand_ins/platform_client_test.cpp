#include "sassafrasknot/transport/platform_client.hpp"

#include <filesystem>
#include <fstream>
#include <optional>

#include "platform_server.hpp"
#include <boost/asio/steady_timer.hpp>
#include <gmock/gmock.h>
#include <unistd.h>

namespace stand_ins {
namespace {

namespace fs = std::filesystem;
using namespace std::chrono_literals;
using sassafrasknot::protocol::PlatformResponse;
using sassafrasknot::transport::PlatformClient;
using sassafrasknot::transport::PlatformClientSettings;
using state::ErrorCode;
using Clock = std::chrono::steady_clock;

constexpr state::Endpoint kAnyPort{ { 0x7F000001 }, 0 };
/// The discard port of this address, on which no program listens.
constexpr state::Endpoint kClosed{ { 0x7F000001 }, 9 };

class PlatformClientTest : public testing::Test
{
protected:
  PlatformClientTest()
    : mFolder(fs::temp_directory_path() /
              ("sassafrasknot-platform-" + std::to_string(getpid())))
  {
    WriteUpstreams("dc1", "127.20.0.1");
    mServer.emplace(mContext, kAnyPort, mFolder);
    mSettings.mEndpoints = { mServer->ListenEndpoint() };
    mSettings.mResponseTimeout = 200ms;
    mSettings.mInitialBackoff = 1ms;
  }
  ~PlatformClientTest() override { fs::remove_all(mFolder); }

  /// Writes the document upstreams/NAME, which lists one upstream.
  void WriteUpstreams(const std::string& aName, const std::string& aAddress)
  {
    fs::create_directories(mFolder / "upstreams");
    std::ofstream(mFolder / "upstreams" / (aName + ".json"))
      << R"({"upstreams":[{"address":")" << aAddress << "\"}]}";
  }

  /// Starts a call and runs the context until the call completes, 10 s at most.
  /// The handler must be called once, and not before the call returns.
  template<typename Call>
  state::Result<PlatformResponse> RunCall(const Call& aCall)
  {
    std::optional<state::Result<PlatformResponse>> result;
    aCall([&](auto aResult) {
      EXPECT_FALSE(result.has_value());
      result = std::move(aResult);
    });
    EXPECT_FALSE(result.has_value());
    mContext.restart();
    const auto deadline = Clock::now() + 10s;
    while (!result && Clock::now() < deadline) {
      mContext.run_one_for(10ms);
    }
    return result.value();
  }

  state::Result<PlatformResponse> Read(PlatformClient& aClient)
  {
    return RunCall([&](auto aHandler) { aClient.Read(aHandler); });
  }

  PlatformClient MakeClient() { return { mContext.get_executor(), mSettings }; }

  fs::path mFolder;
  boost::asio::io_context mContext;
  std::optional<PlatformServer> mServer;
  PlatformClientSettings mSettings;
};

// A watch must end when a document is added or deleted, and otherwise only
// after its wait time.
TEST_F(PlatformClientTest, WatchEndsOnChangeOrTimeout)
{
  auto client = MakeClient();
  const auto first = Read(client);
  ASSERT_TRUE(first.has_value()) << first.error().mMessage;
  EXPECT_TRUE(first.value().mFull);
  EXPECT_EQ(first.value().mRevision, 1U);
  ASSERT_EQ(first.value().mRecords.size(), 1U);
  EXPECT_NE(first.value().mRecords[0].mDocument, nullptr);

  const auto start = Clock::now();
  const auto idle =
    RunCall([&](auto aHandler) { client.Watch(1, 1s, aHandler); });
  EXPECT_TRUE(idle.value().mRecords.empty());
  EXPECT_FALSE(idle.value().mFull);
  EXPECT_GE(Clock::now() - start, 1s);

  boost::asio::steady_timer timer(mContext, 50ms);
  timer.async_wait([&](auto) { WriteUpstreams("dc2", "127.20.0.2"); });
  const auto changed =
    RunCall([&](auto aHandler) { client.Watch(1, 30s, aHandler); });
  ASSERT_EQ(changed.value().mRecords.size(), 1U);
  EXPECT_EQ(changed.value().mRecords[0].mKey, "upstreams/dc2");
  EXPECT_EQ(changed.value().mRevision, 2U);

  fs::remove(mFolder / "upstreams" / "dc1.json");
  const auto deleted =
    RunCall([&](auto aHandler) { client.Watch(2, 30s, aHandler); });
  ASSERT_EQ(deleted.value().mRecords.size(), 1U);
  EXPECT_TRUE(deleted.value().mRecords[0].mDeleted);
}

// If an endpoint refuses connections, the client must try the next one and
// start later calls at the endpoint that responded.
TEST_F(PlatformClientTest, TriesNextEndpointAndKeepsResponsiveOne)
{
  mSettings.mEndpoints.insert(mSettings.mEndpoints.begin(), 2, kClosed);
  auto client = MakeClient();
  EXPECT_TRUE(Read(client).has_value());
  EXPECT_TRUE(Read(client).has_value());
  EXPECT_EQ(mServer->RequestCount(), 2U);
}

// Each kind of failed response, also one above the maximum size, must be
// reported with its error code, and the client must work again once the
// platform does.
TEST_F(PlatformClientTest, ReportsFailuresAndRecovers)
{
  auto client = MakeClient();
  const std::pair<PlatformMode, ErrorCode> rows[] = {
    { PlatformMode::Fail, ErrorCode::Unavailable },
    { PlatformMode::Limit, ErrorCode::Overloaded },
    { PlatformMode::Hang, ErrorCode::DeadlineExceeded },
    { PlatformMode::Malformed, ErrorCode::Malformed }
  };
  for (const auto& [mode, code] : rows) {
    mServer->SetControl({ mode, 0ms });
    const auto result = Read(client);
    ASSERT_FALSE(result.has_value());
    EXPECT_EQ(result.error().mCode, code) << result.error().mMessage;
  }
  mServer->SetControl({});
  EXPECT_TRUE(Read(client).has_value());
  mSettings.mMaxResponseBytes = 50;
  auto small = MakeClient();
  EXPECT_EQ(Read(small).error().mCode, ErrorCode::Unavailable);
}

// When the platform limits the rate of requests, the client must not send the
// same request to the other endpoints, which would multiply the load.
TEST_F(PlatformClientTest, DoesNotTryOtherEndpointsWhenLimited)
{
  mSettings.mEndpoints.assign(5, mServer->ListenEndpoint());
  mServer->SetControl({ PlatformMode::Limit, 0ms });
  auto client = MakeClient();
  EXPECT_EQ(Read(client).error().mCode, ErrorCode::Overloaded);
  EXPECT_EQ(mServer->RequestCount(), 1U);
}

// With a staleness set, the test server must serve the documents before a
// change, not the latest ones.
TEST_F(PlatformClientTest, StaleResponsesContainEarlierRevision)
{
  auto client = MakeClient();
  WriteUpstreams("dc2", "127.20.0.2");
  mServer->Reload();
  EXPECT_EQ(Read(client).value().mRevision, 2U);
  mServer->SetControl({ PlatformMode::Serve, 60s });
  EXPECT_EQ(Read(client).value().mRevision, 1U);
}

// A restarted test server must continue its revisions: instances ignore
// documents with revisions below those that they have.
TEST_F(PlatformClientTest, RestartedServerContinuesRevisions)
{
  const PlatformServer restarted(mContext, kAnyPort, mFolder, 41);
  mSettings.mEndpoints = { restarted.ListenEndpoint() };
  auto client = MakeClient();
  EXPECT_EQ(Read(client).value().mRevision, 42U);
}

// When the client is stopped during a watch or before a call, or destroyed
// during a backoff, each handler must be called exactly once.
TEST_F(PlatformClientTest, StopCallsEachHandlerOnce)
{
  auto client = MakeClient();
  boost::asio::steady_timer timer(mContext, 50ms);
  timer.async_wait([&](auto) { client.Stop(); });
  const auto watch =
    RunCall([&](auto aHandler) { client.Watch(1, 60s, aHandler); });
  EXPECT_EQ(watch.error().mCode, ErrorCode::Unavailable);
  EXPECT_EQ(Read(client).error().mCode, ErrorCode::Unavailable);

  mSettings.mEndpoints = { kClosed };
  mSettings.mInitialBackoff = mSettings.mMaxBackoff = 1h;
  std::optional<PlatformClient> waiting(MakeClient());
  EXPECT_FALSE(Read(*waiting).has_value());
  const auto start = Clock::now();
  const auto ended = RunCall([&](auto aHandler) {
    waiting->Read(aHandler);
    waiting.reset();
  });
  EXPECT_FALSE(ended.has_value());
  EXPECT_LT(Clock::now() - start, 5s);
}

} // namespace
} // namespace stand_ins
