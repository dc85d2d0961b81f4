#include "sassafrasknot/transport/platform_client.hpp"

#include "sassafrasknot/net/http_client.hpp"
#include "sassafrasknot/transport/backoff.hpp"

#include <list>
#include <map>
#include <random>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sassafrasknot::transport {
namespace {

/// One call of Read or Watch. It may send several HTTP requests, one to each
/// endpoint.
struct PlatformCall
{
  std::string mTarget;
  std::chrono::milliseconds mResponseTimeout{};
  /// Whether the response must contain all keys.
  bool mFull = true;
  /// Number of endpoints whose request has failed.
  std::size_t mTriedEndpoints = 0;
  PlatformClient::ResponseHandler mHandler;
};

/// The error of calls to a client that was stopped or has no endpoints.
state::Error
StoppedError()
{
  return { state::ErrorCode::Unavailable,
           state::Verdict::NotRun,
           "platform: the client is stopped or has no endpoints" };
}

/// Decodes an HTTP response; errors name the endpoint.
state::Result<protocol::PlatformResponse>
DecodeResponse(const state::Endpoint& aEndpoint,
               state::Result<net::HttpResponse> aResponse)
{
  constexpr unsigned kOk = 200;
  constexpr unsigned kTooManyRequests = 429;
  const auto fail = [&aEndpoint](state::ErrorCode aCode,
                                 const std::string& aMessage) {
    return state::Error{ aCode,
                         state::Verdict::NotRun,
                         "platform " + ToString(aEndpoint) + ": " + aMessage };
  };
  if (!aResponse) {
    auto error = aResponse.error();
    error.mMessage = "platform " + error.mMessage;
    // Reads of this service are never split, so that a response above the limit
    // is no different from an endpoint that does not respond.
    if (error.mCode == state::ErrorCode::TooLarge) {
      error.mCode = state::ErrorCode::Unavailable;
    }
    return error;
  }
  if (const auto status = aResponse.value().mStatus; status != kOk) {
    return fail(status == kTooManyRequests ? state::ErrorCode::Overloaded
                                           : state::ErrorCode::Unavailable,
                "HTTP status " + std::to_string(status) + ", expected 200");
  }
  auto decoded = protocol::DecodePlatformResponse(aResponse.value().mBody);
  if (!decoded) {
    return fail(state::ErrorCode::Malformed, decoded.error().mMessage);
  }
  return decoded;
}

} // namespace

struct PlatformClient::Impl : std::enable_shared_from_this<Impl>
{
  using CallPointer = std::shared_ptr<PlatformCall>;

  Impl(boost::asio::any_io_executor aExecutor, PlatformClientSettings aSettings)
    : mExecutor(std::move(aExecutor))
    , mSettings(std::move(aSettings))
    , mRandom(mSettings.mSeed)
  {
  }

  /// Starts a call, after a delay if earlier calls failed.
  void Begin(const CallPointer& aCall)
  {
    const auto delay = BackoffDelay(mConsecutiveFailures,
                                    mSettings.mInitialBackoff,
                                    mSettings.mMaxBackoff,
                                    mRandom);
    auto timer = std::make_shared<boost::asio::steady_timer>(mExecutor, delay);
    mTimers.push_back(timer);
    timer->async_wait([self = shared_from_this(), aCall, timer](auto) {
      self->mTimers.remove(timer);
      self->TryNext(aCall);
    });
    if (mStopped) {
      timer->cancel();
    }
  }

  /// Sends the request of a call to the next endpoint.
  void TryNext(const CallPointer& aCall)
  {
    if (mStopped || mSettings.mEndpoints.empty()) {
      aCall->mHandler(StoppedError());
      return;
    }
    const auto& endpoint =
      mSettings.mEndpoints[mNextEndpoint % mSettings.mEndpoints.size()];
    const auto id = ++mLastRequest;
    mActiveRequests[id] = net::StartGet(
      mExecutor,
      net::HttpRequest{ endpoint,
                        aCall->mTarget,
                        mSettings.mConnectTimeout,
                        aCall->mResponseTimeout,
                        mSettings.mMaxResponseBytes },
      [self = shared_from_this(), aCall, endpoint, id](auto aResponse) {
        self->mActiveRequests.erase(id);
        self->OnResult(aCall, DecodeResponse(endpoint, std::move(aResponse)));
      });
  }

  /// Ends a call, or tries the next endpoint after a failure.
  void OnResult(const CallPointer& aCall,
                state::Result<protocol::PlatformResponse> aResult)
  {
    if (aResult && aCall->mFull && !aResult.value().mFull) {
      aResult = state::Error{
        state::ErrorCode::Malformed,
        state::Verdict::NotRun,
        "platform: the response to a full read lists only some keys"
      };
    }
    if (aResult) {
      mConsecutiveFailures = 0;
      aCall->mHandler(std::move(aResult));
      return;
    }
    ++mNextEndpoint;
    // Overload concerns the whole platform: sending the request to another
    // endpoint at once would add to the load.
    const bool isOverloaded =
      aResult.error().mCode == state::ErrorCode::Overloaded;
    if (!mStopped && !isOverloaded &&
        ++aCall->mTriedEndpoints < mSettings.mEndpoints.size()) {
      TryNext(aCall);
      return;
    }
    ++mConsecutiveFailures;
    aCall->mHandler(std::move(aResult));
  }

  void Stop()
  {
    mStopped = true;
    for (const auto& timer : mTimers) {
      timer->cancel();
    }
    for (const auto& [id, cancel] : mActiveRequests) {
      cancel();
    }
  }

  boost::asio::any_io_executor mExecutor;
  PlatformClientSettings mSettings;
  std::mt19937_64 mRandom;
  /// Index of the endpoint for the next request, modulo their number; it
  /// advances with each failed request.
  std::size_t mNextEndpoint = 0;
  /// Consecutive failed calls, which determine the delay before the next one.
  std::uint32_t mConsecutiveFailures = 0;
  bool mStopped = false;
  /// Timers of calls that have not started yet.
  std::list<std::shared_ptr<boost::asio::steady_timer>> mTimers;
  /// Running requests by their number.
  std::map<std::uint64_t, net::HttpCancel> mActiveRequests;
  std::uint64_t mLastRequest = 0;
};

PlatformClient::PlatformClient(boost::asio::any_io_executor aExecutor,
                               PlatformClientSettings aSettings)
  : mImpl(std::make_shared<Impl>(std::move(aExecutor), std::move(aSettings)))
{
}

PlatformClient::~PlatformClient()
{
  if (mImpl) {
    mImpl->Stop();
  }
}

PlatformClient::PlatformClient(PlatformClient&&) noexcept = default;

PlatformClient&
PlatformClient::operator=(PlatformClient&& aOther) noexcept
{
  std::swap(mImpl, aOther.mImpl);
  return *this;
}

void
PlatformClient::Read(ResponseHandler aHandler)
{
  mImpl->Begin(std::make_shared<PlatformCall>(
    PlatformCall{ "/v1/config",
                  mImpl->mSettings.mResponseTimeout,
                  true,
                  0,
                  std::move(aHandler) }));
}

void
PlatformClient::Watch(state::Revision aAfterRevision,
                      std::chrono::seconds aWatchTimeout,
                      ResponseHandler aHandler)
{
  mImpl->Begin(std::make_shared<PlatformCall>(
    PlatformCall{ "/v1/config?revision=" + std::to_string(aAfterRevision) +
                    "&wait=" + std::to_string(aWatchTimeout.count()),
                  mImpl->mSettings.mResponseTimeout + aWatchTimeout,
                  false,
                  0,
                  std::move(aHandler) }));
}

void
PlatformClient::Stop()
{
  mImpl->Stop();
}

} // namespace sassafrasknot::transport
