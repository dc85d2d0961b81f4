#include "sassafrasknot/net/clock.hpp"
#include "sassafrasknot/net/http_client.hpp"
#include "sassafrasknot/net/http_server.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

namespace sassafrasknot::net {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

const state::Ipv4Address kLoopback{ 0x7F000001 };

/// Sends bytes on the first connection after a delay, on a thread of its own,
/// and closes it.
class RawServer
{
public:
  explicit RawServer(std::string aBytes, milliseconds aDelay = {})
    : mAcceptor(mContext,
                tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , mThread([this, bytes = std::move(aBytes), aDelay] {
      boost::system::error_code ignored; // The test checks what is received.
      auto connection = mAcceptor.accept(ignored);
      std::string request(1024, '\0');
      connection.read_some(boost::asio::buffer(request), ignored);
      std::this_thread::sleep_for(aDelay);
      boost::asio::write(connection, boost::asio::buffer(bytes), ignored);
    })
  {
  }

  ~RawServer() { mThread.join(); }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  state::Endpoint Endpoint() const
  {
    return { kLoopback, mAcceptor.local_endpoint().port() };
  }

private:
  boost::asio::io_context mContext;
  tcp::acceptor mAcceptor;
  std::thread mThread;
};

/// Gets from a server that sends aBytes.
state::Result<HttpResponse>
GetBytes(const std::string& aBytes, std::uint64_t aMaxBodyBytes)
{
  boost::asio::io_context context;
  const RawServer server(aBytes);
  std::optional<state::Result<HttpResponse>> result;
  StartGet(context.get_executor(),
           { server.Endpoint(),
             "/",
             milliseconds(2000),
             milliseconds(2000),
             aMaxBodyBytes },
           [&](auto aResponse) { result = std::move(aResponse); });
  context.run();
  return std::move(result).value();
}

// Guards against an answer that breaks off halfway and is taken for a complete
// one.
TEST(HttpClient, RejectsTruncatedResponses)
{
  for (const std::string body :
       { "Content-Length: 100\r\n\r\n{\"items\":[]}",
         "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
         "Transfer-Encoding: chunked\r\n\r\n50\r\nhello",
         "Content-Le" }) {
    EXPECT_FALSE(GetBytes("HTTP/1.1 200 OK\r\n" + body, 1000)) << body;
  }
  EXPECT_FALSE(GetBytes("", 1000));
  EXPECT_TRUE(GetBytes("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", 1000));
}

// Guards against callers that cannot tell a response above the limit, which
// would be too long again, from a store that does not respond.
TEST(HttpClient, TellsResponsesThatAreTooLarge)
{
  const std::string body(2000, 'x');
  for (const std::string& head :
       { std::string("Content-Length: 2000\r\n\r\n"), std::string("\r\n") }) {
    std::string bytes = "HTTP/1.1 200 OK\r\n" + head;
    bytes += body;
    const auto response = GetBytes(bytes, 1000);
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().mCode, state::ErrorCode::TooLarge);
  }
}

// Guards against a response that waited while the process was stopped and seems
// to have just arrived.
TEST(HttpClient, TellsHowLongAResponseMayHaveWaited)
{
  boost::asio::io_context context;
  const RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
                         milliseconds(120));
  HttpRequest request{ server.Endpoint(), "/" };
  request.mArrivalCheckInterval = milliseconds(10);
  std::optional<state::Result<HttpResponse>> result;
  StartGet(context.get_executor(), request, [&](auto aResponse) {
    result = std::move(aResponse);
  });
  context.run_for(milliseconds(60));
  const auto stopped = Now();
  std::this_thread::sleep_for(milliseconds(200));
  context.run();
  ASSERT_TRUE(result && *result);
  const auto arrivedAfter = result->value().mArrivedAfter;
  EXPECT_LE(arrivedAfter, stopped);
  EXPECT_GE(arrivedAfter, stopped - milliseconds(40));
}

/// Uses up the file descriptors of this process while it exists.
class NoDescriptors
{
public:
  NoDescriptors()
  {
    getrlimit(RLIMIT_NOFILE, &mLimit);
    auto lowered = mLimit;
    constexpr rlim_t kDescriptors = 128;
    lowered.rlim_cur = kDescriptors;
    setrlimit(RLIMIT_NOFILE, &lowered);
    for (int next = open("/dev/null", O_RDONLY); next >= 0;
         next = open("/dev/null", O_RDONLY)) {
      mDescriptors.push_back(next);
    }
  }

  ~NoDescriptors()
  {
    for (const int descriptor : mDescriptors) {
      close(descriptor);
    }
    setrlimit(RLIMIT_NOFILE, &mLimit);
  }

  NoDescriptors(const NoDescriptors&) = delete;
  NoDescriptors& operator=(const NoDescriptors&) = delete;

private:
  rlimit mLimit{};
  std::vector<int> mDescriptors;
};

// Guards against a process without free descriptors that spends its processor
// time on accepting connections again and again, and against a server that
// accepts none afterwards.
TEST(HttpServer, WaitsForFreeDescriptors)
{
  boost::asio::io_context context;
  constexpr std::uint16_t kPort = 18467;
  const state::Endpoint endpoint{
    { 0x7F110000U | (static_cast<std::uint32_t>(getpid()) & 0xFFFFU) }, kPort
  };
  auto server = HttpServer::Open(context, endpoint, [](auto /*aTarget*/) {
    return HttpServerResponse{ 200, "text/plain", "served" };
  });
  ASSERT_TRUE(server);
  boost::asio::io_context callerContext;
  std::optional<state::Result<HttpResponse>> result;
  StartGet(callerContext.get_executor(),
           { endpoint, "/", milliseconds(5000), milliseconds(5000), 1000 },
           [&](auto aResponse) { result = std::move(aResponse); });
  {
    const NoDescriptors none;
    // The kernel completes the connection; accepting it needs a descriptor.
    callerContext.run_for(milliseconds(20));
    EXPECT_LE(context.run_for(milliseconds(300)), 10U);
  }
  for (int round = 0; round < 100 && !result; ++round) {
    context.run_for(milliseconds(20));
    callerContext.run_for(milliseconds(20));
  }
  ASSERT_TRUE(result);
  ASSERT_TRUE(*result);
  EXPECT_EQ(result->value().mBody, "served");
  server.value()->Close();
}

} // namespace
} // namespace sassafrasknot::net
