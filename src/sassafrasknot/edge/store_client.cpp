#include "sassafrasknot/edge/store_client.hpp"

#include "sassafrasknot/net/clock.hpp"
#include "sassafrasknot/net/http_client.hpp"

#include <iterator>
#include <utility>

namespace sassafrasknot::edge {
namespace {

constexpr unsigned kOk = 200;

/// One read. It keeps itself alive until one of its handlers has been called.
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
    mStarted = net::Now();
    net::StartGet(mExecutor,
                  { mSettings.mEndpoint,
                    mFormat.mMakeTarget(mRead, aAfterKey),
                    mSettings.mConnectTimeout,
                    mSettings.mResponseTimeout + mRead.mWait,
                    mSettings.mMaxResponseBytes,
                    mSettings.mArrivalCheckInterval },
                  [self = shared_from_this()](auto aResponse) {
                    self->OnResponse(std::move(aResponse));
                  });
  }

private:
  void Fail(fleet::ReadFailure aKind, const std::string& aMessage)
  {
    Increment(mMetrics->mStoreFailures);
    mHandlers.mOnFailure({ aKind, aMessage });
  }

  void OnResponse(state::Result<net::HttpResponse> aResponse)
  {
    if (!aResponse) {
      Fail(aResponse.error().mCode == state::ErrorCode::TooLarge
             ? fleet::ReadFailure::TooLarge
             : fleet::ReadFailure::Unavailable,
           aResponse.error().mMessage);
      return;
    }
    const auto& response = aResponse.value();
    if (response.mStatus != kOk) {
      Fail(response.mStatus == mFormat.mHistoryCompactedStatus
             ? fleet::ReadFailure::HistoryCompacted
             : fleet::ReadFailure::Refused,
           "the store returned HTTP status " +
             std::to_string(response.mStatus) + " instead of " +
             std::to_string(kOk));
      return;
    }
    // Watches wait for changes; their duration does not show the store's speed.
    if (mRead.mWait <= std::chrono::milliseconds(1)) {
      Observe(mMetrics->mStoreCallTime, net::Now() - mStarted);
    }
    auto page = mFormat.mDecodePage(mRead, response.mBody);
    if (!page) {
      Fail(fleet::ReadFailure::Malformed, page.error().mMessage);
      return;
    }
    OnPage(std::move(page).value(), response.mArrivedAfter);
  }

  void OnPage(StorePage aPage, state::TimePoint aArrivedAfter)
  {
    // Pages are read at different revisions. The result has the revision of the
    // first page, so that a watch from it returns all changes made meanwhile.
    if (mChanges.mUpTo == 0) {
      mChanges.mAfter = mRead.mFull ? 0 : mRead.mAfter;
      mChanges.mUpTo = aPage.mRevision;
      mArrivedAfter = aArrivedAfter;
    }
    const std::string last =
      aPage.mRecords.empty() ? "" : aPage.mRecords.back().mKey;
    std::ranges::move(aPage.mRecords, std::back_inserter(mChanges.mRecords));
    if (mRead.mFull && aPage.mHasMore && !last.empty()) {
      ReadPage(last);
      return;
    }
    mHandlers.mOnSuccess(std::move(mChanges), mArrivedAfter);
  }

  boost::asio::any_io_executor mExecutor;
  StoreClientSettings mSettings;
  StoreFormat mFormat;
  std::shared_ptr<Metrics> mMetrics;
  fleet::StoreRead mRead;
  StoreHandlers mHandlers;
  state::TimePoint mStarted;
  fleet::ChangeSet mChanges;
  /// Of the first page, whose revision the result has.
  state::TimePoint mArrivedAfter;
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
