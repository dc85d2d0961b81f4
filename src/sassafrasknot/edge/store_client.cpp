#include "sassafrasknot/edge/store_client.hpp"

#include "sassafrasknot/net/http_client.hpp"

#include <iterator>
#include <utility>

namespace sassafrasknot::edge {
namespace {

using Clock = std::chrono::steady_clock;

constexpr unsigned kOk = 200;

/// One read; keeps itself alive until its handler was called.
class StoreReadSession : public std::enable_shared_from_this<StoreReadSession>
{
public:
  StoreReadSession(boost::asio::any_io_executor aExecutor,
                   const StoreClientSettings& aSettings,
                   const StoreFormat& aFormat,
                   std::shared_ptr<Metrics> aMetrics,
                   const fleet::StoreRead& aRead,
                   StoreHandlers aHandlers)
    : mExecutor(std::move(aExecutor))
    , mSettings(aSettings)
    , mFormat(aFormat)
    , mMetrics(std::move(aMetrics))
    , mRead(aRead)
    , mHandlers(std::move(aHandlers))
  {
  }

  void ReadPage(const std::string& aAfterKey)
  {
    Increment(mMetrics->mStoreCalls);
    mStarted = Clock::now();
    net::StartGet(mExecutor,
                  { mSettings.mEndpoint,
                    mFormat.mMakeTarget(mRead, aAfterKey),
                    mSettings.mConnectTimeout,
                    mSettings.mResponseTimeout + mRead.mWait,
                    mSettings.mMaxResponseBytes },
                  [self = shared_from_this()](auto aAnswer) {
                    self->OnAnswer(std::move(aAnswer));
                  });
  }

private:
  void Fail(fleet::ReadFailure aKind, const std::string& aMessage)
  {
    Increment(mMetrics->mStoreFailures);
    mHandlers.mFailure({ aKind, aMessage });
  }

  void OnAnswer(state::Result<net::HttpResponse> aAnswer)
  {
    if (!aAnswer) {
      Fail(fleet::ReadFailure::Unavailable, aAnswer.error().mMessage);
      return;
    }
    const auto& answer = aAnswer.value();
    if (answer.mStatus != kOk) {
      Fail(answer.mStatus == mFormat.mHistoryCompactedStatus
             ? fleet::ReadFailure::HistoryCompacted
             : fleet::ReadFailure::Refused,
           "status " + std::to_string(answer.mStatus));
      return;
    }
    if (mRead.mWait <= std::chrono::milliseconds(1)) {
      Observe(mMetrics->mStoreCallTime, Clock::now() - mStarted);
    }
    auto page = mFormat.mDecodePage(mRead, answer.mBody);
    if (!page) {
      Fail(fleet::ReadFailure::Malformed, page.error().mMessage);
      return;
    }
    OnPage(std::move(page).value());
  }

  void OnPage(StorePage aPage)
  {
    // Pages are read at different revisions. A watch from the first one's
    // brings what changed meanwhile.
    if (mChanges.mUpTo == 0) {
      mChanges.mAfter = mRead.mFull ? 0 : mRead.mAfter;
      mChanges.mUpTo = aPage.mRevision;
    }
    const std::string last =
      aPage.mRecords.empty() ? "" : aPage.mRecords.back().mKey;
    std::ranges::move(aPage.mRecords, std::back_inserter(mChanges.mRecords));
    if (mRead.mFull && aPage.mHasMore && !last.empty()) {
      ReadPage(last);
      return;
    }
    mHandlers.mAnswer(std::move(mChanges));
  }

  boost::asio::any_io_executor mExecutor;
  StoreClientSettings mSettings;
  StoreFormat mFormat;
  std::shared_ptr<Metrics> mMetrics;
  fleet::StoreRead mRead;
  StoreHandlers mHandlers;
  Clock::time_point mStarted;
  fleet::ChangeSet mChanges;
};

} // namespace

void
StartStoreRead(const boost::asio::any_io_executor& aExecutor,
               const StoreClientSettings& aSettings,
               const StoreFormat& aFormat,
               const std::shared_ptr<Metrics>& aMetrics,
               const fleet::StoreRead& aRead,
               StoreHandlers aHandlers)
{
  std::make_shared<StoreReadSession>(
    aExecutor, aSettings, aFormat, aMetrics, aRead, std::move(aHandlers))
    ->ReadPage("");
}

} // namespace sassafrasknot::edge
