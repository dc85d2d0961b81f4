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

constexpr std::chrono::milliseconds kPoll{ 200 };
constexpr std::chrono::seconds kLongestWait{ 600 };

constexpr std::pair<std::string_view, PlatformMode> kModes[] = {
  { "serve", PlatformMode::Serve },
  { "fail", PlatformMode::Fail },
  { "limit", PlatformMode::Limit },
  { "hang", PlatformMode::Hang },
  { "malformed", PlatformMode::Malformed }
};

/// Returns the number of a query parameter, or nothing if it is absent.
std::optional<std::uint64_t>
QueryNumber(std::string_view aTarget, std::string_view aName)
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

/// One connection; its requests are served one after the other.
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

  void Reload()
  {
    ReadValues(mFolder, mValues);
    // The first documents count as old, so that they are served when stale.
    Update(
      mStore, mValues, mStore.mKeys.empty() ? state::TimePoint::min() : Now());
    ServeWaiting(false);
  }

  void Poll()
  {
    mTimer.expires_after(kPoll);
    mTimer.async_wait([self = shared_from_this()](error_code aError) {
      if (!aError) {
        self->Reload();
        self->Poll();
      }
    });
  }

  void Accept();
  void ServeWaiting(bool aIsLast);

  void Stop()
  {
    mAcceptor.close();
    mTimer.cancel();
    mHanging.clear();
    ServeWaiting(true);
  }

  sassafrasknot::protocol::PlatformResponse AnswerNow(
    std::optional<state::Revision> aAbove) const
  {
    return Answer(mStore, aAbove, Now() - mControl.mStale);
  }

  tcp::acceptor mAcceptor;
  asio::steady_timer mTimer;
  std::string mFolder;
  std::map<std::string, std::string> mValues;
  PlatformStore mStore;
  PlatformControl mControl;
  std::uint64_t mReads = 0;
  std::uint64_t mWatches = 0;
  struct Waiting
  {
    std::shared_ptr<PlatformSession> mSession;
    state::Revision mAbove = 0;
    state::TimePoint mUntil;
  };
  std::deque<Waiting> mWaiting;
  /// Open connections that are never answered.
  std::vector<std::shared_ptr<PlatformSession>> mHanging;
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

  void WriteAnswer(const sassafrasknot::protocol::PlatformResponse& aAnswer)
  {
    Write(http::status::ok, EncodePlatformResponse(aAnswer));
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

  void OnConfig(const std::string& aTarget)
  {
    const auto above = QueryNumber(aTarget, "revision");
    ++(above ? mServer->mWatches : mServer->mReads);
    switch (mServer->mControl.mMode) {
      case PlatformMode::Fail:
        Write(http::status::service_unavailable, "{}");
        return;
      case PlatformMode::Limit:
        Write(http::status::too_many_requests, "{}");
        return;
      case PlatformMode::Hang:
        mServer->mHanging.push_back(shared_from_this());
        return;
      case PlatformMode::Malformed:
        Write(http::status::ok, "{\"revision\":1,\"records\":[");
        return;
      case PlatformMode::Serve:
        break;
    }
    const auto answer = mServer->AnswerNow(above);
    const std::chrono::seconds wait(std::min<std::uint64_t>(
      QueryNumber(aTarget, "wait").value_or(0), kLongestWait.count()));
    if (above && answer.mRecords.empty() && wait.count() > 0) {
      mServer->mWaiting.push_back(
        { shared_from_this(), *above, PlatformServer::Impl::Now() + wait });
    } else {
      WriteAnswer(answer);
    }
  }

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
      control.mStale = std::chrono::milliseconds(
        static_cast<std::int64_t>(std::max(seconds, 0.0) * 1000));
    }
    if (const auto* const mode = object->if_contains("mode")) {
      const auto found = std::ranges::find_if(kModes, [&](const auto& aMode) {
        return mode->is_string() && aMode.first == mode->get_string();
      });
      if (found == std::end(kModes)) {
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
PlatformServer::Impl::ServeWaiting(bool aIsLast)
{
  const auto now = Now();
  for (auto waiting = std::exchange(mWaiting, {}); auto& one : waiting) {
    const auto answer = AnswerNow(one.mAbove);
    if (aIsLast || !answer.mRecords.empty() || now >= one.mUntil) {
      one.mSession->WriteAnswer(answer);
    } else {
      mWaiting.push_back(std::move(one));
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
PlatformServer::ListensAt() const
{
  const auto endpoint = mImpl->mAcceptor.local_endpoint();
  return { { endpoint.address().to_v4().to_uint() }, endpoint.port() };
}

std::uint64_t
PlatformServer::Requests() const
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
