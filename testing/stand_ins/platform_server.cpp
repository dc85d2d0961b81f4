#include "platform_server.hpp"

#include <algorithm>
#include <charconv>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace stand_ins {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds kPollInterval{ 200 };
/// Upper limit of the wait time that a watch requests.
constexpr std::chrono::seconds kMaxWait{ 600 };

constexpr std::pair<std::string_view, PlatformMode> kModes[] = {
  { "serve", PlatformMode::Serve },
  { "fail", PlatformMode::Fail },
  { "limit", PlatformMode::Limit },
  { "hang", PlatformMode::Hang },
  { "malformed", PlatformMode::Malformed }
};

/// Returns the value of a numeric query parameter, or nothing if it is absent.
/// A value that is not a number counts as 0.
std::optional<std::uint64_t>
ParseQueryNumber(std::string_view aTarget, std::string_view aName)
{
  const auto query = aTarget.find('?');
  if (query == std::string_view::npos) {
    return std::nullopt;
  }
  const auto rest = aTarget.substr(query);
  for (const char separator : { '?', '&' }) {
    const auto start = separator + std::string(aName) + '=';
    if (const auto at = rest.find(start); at != std::string_view::npos) {
      const auto text = rest.substr(at + start.size());
      std::uint64_t number = 0;
      std::from_chars(text.data(), text.data() + text.size(), number);
      return number;
    }
  }
  return std::nullopt;
}

} // namespace

/// One HTTP connection, which handles one request at a time.
class PlatformSession;

struct PlatformServer::Impl : std::enable_shared_from_this<Impl>
{
  Impl(asio::io_context& aContext,
       const state::Endpoint& aListen,
       std::string aFolder,
       state::Revision aRevision)
    : mAcceptor(aContext,
                tcp::endpoint(asio::ip::address_v4(aListen.mAddress.mValue),
                              aListen.mPort))
    , mTimer(aContext)
    , mFolder(std::move(aFolder))
    , mStore{ aRevision, {} }
  {
    Reload();
  }

  static state::TimePoint Now() { return std::chrono::steady_clock::now(); }

  /// Reads the folder and responds to the watches that this completes.
  void Reload()
  {
    ReadDocuments(mFolder, mValues);
    // The first documents have the earliest time, so that responses contain
    // them whatever the staleness.
    Update(
      mStore, mValues, mStore.mKeys.empty() ? state::TimePoint::min() : Now());
    CompletePendingWatches(false);
  }

  /// Reloads after each poll interval until the server stops.
  void Poll()
  {
    mTimer.expires_after(kPollInterval);
    mTimer.async_wait([self = shared_from_this()](error_code aError) {
      if (!aError) {
        self->Reload();
        self->Poll();
      }
    });
  }

  /// Accepts connections until the server stops.
  void Accept();
  /// Responds to the watches whose keys have changed or whose deadline has
  /// passed.
  /// @param aIsStopping whether to respond to all watches
  void CompletePendingWatches(bool aIsStopping);

  void Stop()
  {
    mAcceptor.close();
    mTimer.cancel();
    mUnansweredSessions.clear();
    CompletePendingWatches(true);
  }

  /// Builds a response from the documents as of mControl.mStaleness ago.
  /// @param aAfterRevision revision of a watch; absent for a read
  sassafrasknot::protocol::PlatformResponse BuildStaleResponse(
    std::optional<state::Revision> aAfterRevision) const
  {
    return BuildReadResponse(
      mStore, aAfterRevision, Now() - mControl.mStaleness);
  }

  tcp::acceptor mAcceptor;
  asio::steady_timer mTimer;
  std::string mFolder;
  std::map<std::string, std::string> mValues;
  PlatformStore mStore;
  PlatformControl mControl;
  std::uint64_t mReads = 0;
  std::uint64_t mWatches = 0;
  /// A watch that gets its response at the first poll at which a key has
  /// changed after mAfterRevision or mDeadline has passed.
  struct PendingWatch
  {
    std::shared_ptr<PlatformSession> mSession;
    state::Revision mAfterRevision = 0;
    state::TimePoint mDeadline;
  };
  std::deque<PendingWatch> mPendingWatches;
  /// Connections whose request gets no response (PlatformMode::Hang), kept so
  /// that they stay open.
  std::vector<std::shared_ptr<PlatformSession>> mUnansweredSessions;
};

class PlatformSession : public std::enable_shared_from_this<PlatformSession>
{
public:
  PlatformSession(tcp::socket aSocket,
                  std::shared_ptr<PlatformServer::Impl> aServer)
    : mStream(std::move(aSocket))
    , mServer(std::move(aServer))
  {
  }

  /// Reads and handles the next request.
  void Read()
  {
    mRequest = {};
    http::async_read(
      mStream,
      mBuffer,
      mRequest,
      [self = shared_from_this()](error_code aError, std::size_t) {
        if (!aError) {
          self->OnRequest();
        }
      });
  }

  /// Sends a response, then reads the next request unless the connection is
  /// to be closed.
  void Write(http::status aStatus, std::string aBody)
  {
    mResponse = { aStatus, mRequest.version() };
    mResponse.set(http::field::content_type, "application/json");
    mResponse.keep_alive(mRequest.keep_alive());
    mResponse.body() = std::move(aBody);
    mResponse.prepare_payload();
    http::async_write(
      mStream,
      mResponse,
      [self = shared_from_this()](error_code aError, std::size_t) {
        if (!aError && self->mResponse.keep_alive()) {
          self->Read();
        }
      });
  }

  void WriteDocuments(
    const sassafrasknot::protocol::PlatformResponse& aResponse)
  {
    Write(http::status::ok, EncodePlatformResponse(aResponse));
  }

private:
  void OnRequest()
  {
    const std::string target(mRequest.target());
    const auto path = target.substr(0, target.find('?'));
    if (path == "/v1/config" && mRequest.method() == http::verb::get) {
      OnConfig(target);
    } else if (path == "/control" && mRequest.method() == http::verb::post) {
      OnControl();
    } else if (path == "/control" && mRequest.method() == http::verb::get) {
      Write(
        http::status::ok,
        json::serialize(json::object{ { "revision", mServer->mStore.mRevision },
                                      { "reads", mServer->mReads },
                                      { "watches", mServer->mWatches } }));
    } else {
      Write(http::status::not_found, "{}");
    }
  }

  /// Handles a read or a watch according to the mode.
  void OnConfig(const std::string& aTarget)
  {
    const auto afterRevision = ParseQueryNumber(aTarget, "revision");
    ++(afterRevision ? mServer->mWatches : mServer->mReads);
    switch (mServer->mControl.mMode) {
      case PlatformMode::Fail:
        Write(http::status::service_unavailable, "{}");
        return;
      case PlatformMode::Limit:
        Write(http::status::too_many_requests, "{}");
        return;
      case PlatformMode::Hang:
        mServer->mUnansweredSessions.push_back(shared_from_this());
        return;
      case PlatformMode::Malformed:
        Write(http::status::ok, "{\"revision\":1,\"records\":[");
        return;
      case PlatformMode::Serve:
        break;
    }
    const auto response = mServer->BuildStaleResponse(afterRevision);
    const std::chrono::seconds wait(std::min<std::uint64_t>(
      ParseQueryNumber(aTarget, "wait").value_or(0), kMaxWait.count()));
    if (afterRevision && response.mRecords.empty() && wait.count() > 0) {
      mServer->mPendingWatches.push_back(
        { shared_from_this(),
          *afterRevision,
          PlatformServer::Impl::Now() + wait });
    } else {
      WriteDocuments(response);
    }
  }

  /// Applies the settings of a POST /control. If any of them is invalid, the
  /// status is 400 and none is applied.
  void OnControl()
  {
    error_code failure;
    const auto tree = json::parse(mRequest.body(), failure);
    const auto* const object = failure ? nullptr : tree.if_object();
    if (object == nullptr) {
      Write(http::status::bad_request, "{}");
      return;
    }
    auto control = mServer->mControl;
    if (const auto* const stale = object->if_contains("stale_seconds")) {
      const auto seconds = stale->to_number<double>(failure);
      control.mStaleness = std::chrono::milliseconds(
        static_cast<std::int64_t>(std::max(seconds, 0.0) * 1000));
    }
    if (const auto* const mode = object->if_contains("mode")) {
      const auto found = std::ranges::find_if(kModes, [&](const auto& aMode) {
        return mode->is_string() && aMode.first == mode->get_string();
      });
      if (found == std::end(kModes)) {
        // Any error leads to status 400.
        failure = json::error::not_string;
      } else {
        control.mMode = found->second;
      }
    }
    if (failure) {
      Write(http::status::bad_request, "{}");
      return;
    }
    mServer->mControl = control;
    Write(http::status::ok, "{}");
  }

  beast::tcp_stream mStream;
  std::shared_ptr<PlatformServer::Impl> mServer;
  beast::flat_buffer mBuffer;
  http::request<http::string_body> mRequest;
  http::response<http::string_body> mResponse;
};

void
PlatformServer::Impl::Accept()
{
  mAcceptor.async_accept(
    [self = shared_from_this()](error_code aError, tcp::socket aSocket) {
      if (aError) {
        return;
      }
      std::make_shared<PlatformSession>(std::move(aSocket), self)->Read();
      self->Accept();
    });
}

void
PlatformServer::Impl::CompletePendingWatches(bool aIsStopping)
{
  const auto now = Now();
  for (auto watches = std::exchange(mPendingWatches, {});
       auto& watch : watches) {
    const auto response = BuildStaleResponse(watch.mAfterRevision);
    if (aIsStopping || !response.mRecords.empty() || now >= watch.mDeadline) {
      watch.mSession->WriteDocuments(response);
    } else {
      mPendingWatches.push_back(std::move(watch));
    }
  }
}

PlatformServer::PlatformServer(asio::io_context& aContext,
                               const state::Endpoint& aListen,
                               std::string aFolder,
                               state::Revision aRevision)
  : mImpl(
      std::make_shared<Impl>(aContext, aListen, std::move(aFolder), aRevision))
{
  mImpl->Accept();
  mImpl->Poll();
}

PlatformServer::~PlatformServer()
{
  mImpl->Stop();
}

state::Endpoint
PlatformServer::ListenEndpoint() const
{
  const auto endpoint = mImpl->mAcceptor.local_endpoint();
  return { { endpoint.address().to_v4().to_uint() }, endpoint.port() };
}

std::uint64_t
PlatformServer::RequestCount() const
{
  return mImpl->mReads + mImpl->mWatches;
}

void
PlatformServer::SetControl(const PlatformControl& aControl)
{
  mImpl->mControl = aControl;
}

void
PlatformServer::Reload()
{
  mImpl->Reload();
}

} // namespace stand_ins
