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

/// A call to the platform with what it has tried so far.
struct Attempt
{
  std::string mTarget;
  std::chrono::milliseconds mAnswerTimeout{};
  bool mFull = true;
  std::size_t mTried = 0;
  PlatformClient::Handler mHandler;
};

state::Error
StoppedError()
{
  return { state::ErrorCode::Unavailable,
           state::Verdict::NotRun,
           "platform: the client is stopped" };
}

state::Result<protocol::PlatformAnswer>
Decode(const state::Endpoint& aEndpoint,
       state::Result<net::HttpResponse> aAnswer)
{
  constexpr unsigned kOk = 200;
  constexpr unsigned kTooManyRequests = 429;
  const auto fail = [&aEndpoint](state::ErrorCode aCode,
                                 const std::string& aMessage) {
    return state::Error{ aCode,
                         state::Verdict::NotRun,
                         "platform " + ToString(aEndpoint) + ": " + aMessage };
  };
  if (!aAnswer) {
    auto error = aAnswer.error();
    error.mMessage = "platform " + error.mMessage;
    return error;
  }
  if (const auto status = aAnswer.value().mStatus; status != kOk) {
    return fail(status == kTooManyRequests ? state::ErrorCode::Overloaded
                                           : state::ErrorCode::Unavailable,
                "status " + std::to_string(status));
  }
  auto answer = protocol::DecodePlatformAnswer(aAnswer.value().mBody);
  if (!answer) {
    return fail(state::ErrorCode::Malformed, answer.error().mMessage);
  }
  return answer;
}

} // namespace

struct PlatformClient::Impl : std::enable_shared_from_this<Impl>
{
  using AttemptPointer = std::shared_ptr<Attempt>;

  Impl(boost::asio::any_io_executor aExecutor, PlatformClientSettings aSettings)
    : mExecutor(std::move(aExecutor))
    , mSettings(std::move(aSettings))
    , mRandom(mSettings.mSeed)
  {
  }

  void Begin(const AttemptPointer& aAttempt)
  {
    const auto wait = BackoffDelay(
      mFailures, mSettings.mInitialBackoff, mSettings.mMaxBackoff, mRandom);
    auto timer = std::make_shared<boost::asio::steady_timer>(mExecutor, wait);
    mTimers.push_back(timer);
    timer->async_wait([self = shared_from_this(), aAttempt, timer](auto) {
      self->mTimers.remove(timer);
      self->TryNext(aAttempt);
    });
    if (mStopped) {
      timer->cancel();
    }
  }

  void TryNext(const AttemptPointer& aAttempt)
  {
    if (mStopped || mSettings.mEndpoints.empty()) {
      aAttempt->mHandler(StoppedError());
      return;
    }
    const auto& endpoint =
      mSettings.mEndpoints[mCurrent % mSettings.mEndpoints.size()];
    const auto id = ++mLastCall;
    mCalls[id] = net::StartGet(
      mExecutor,
      net::HttpRequest{ endpoint,
                        aAttempt->mTarget,
                        mSettings.mConnectTimeout,
                        aAttempt->mAnswerTimeout,
                        mSettings.mMaxAnswerBytes },
      [self = shared_from_this(), aAttempt, endpoint, id](auto aAnswer) {
        self->mCalls.erase(id);
        self->OnResult(aAttempt, Decode(endpoint, std::move(aAnswer)));
      });
  }

  void OnResult(const AttemptPointer& aAttempt,
                state::Result<protocol::PlatformAnswer> aResult)
  {
    if (aResult && aAttempt->mFull && !aResult.value().mFull) {
      aResult = state::Error{ state::ErrorCode::Malformed,
                              state::Verdict::NotRun,
                              "platform: a full read answered in part" };
    }
    if (aResult) {
      mFailures = 0;
      aAttempt->mHandler(std::move(aResult));
      return;
    }
    ++mCurrent;
    // A refusal for load holds for the whole platform: asking another endpoint
    // at once would add to the load.
    const bool isOverloaded =
      aResult.error().mCode == state::ErrorCode::Overloaded;
    if (!mStopped && !isOverloaded &&
        ++aAttempt->mTried < mSettings.mEndpoints.size()) {
      TryNext(aAttempt);
      return;
    }
    ++mFailures;
    aAttempt->mHandler(std::move(aResult));
  }

  void Stop()
  {
    mStopped = true;
    for (const auto& timer : mTimers) {
      timer->cancel();
    }
    for (const auto& [id, cancel] : mCalls) {
      cancel();
    }
  }

  boost::asio::any_io_executor mExecutor;
  PlatformClientSettings mSettings;
  std::mt19937_64 mRandom;
  std::size_t mCurrent = 0;
  std::uint32_t mFailures = 0;
  bool mStopped = false;
  std::list<std::shared_ptr<boost::asio::steady_timer>> mTimers;
  std::map<std::uint64_t, net::HttpCancel> mCalls;
  std::uint64_t mLastCall = 0;
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
PlatformClient::Read(Handler aHandler)
{
  mImpl->Begin(
    std::make_shared<Attempt>(Attempt{ "/v1/config",
                                       mImpl->mSettings.mAnswerTimeout,
                                       true,
                                       0,
                                       std::move(aHandler) }));
}

void
PlatformClient::Watch(state::Revision aAbove,
                      std::chrono::seconds aWait,
                      Handler aHandler)
{
  mImpl->Begin(std::make_shared<Attempt>(
    Attempt{ "/v1/config?revision=" + std::to_string(aAbove) +
               "&wait=" + std::to_string(aWait.count()),
             mImpl->mSettings.mAnswerTimeout + aWait,
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
