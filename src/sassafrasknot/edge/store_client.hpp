#ifndef SASSAFRASKNOT_EDGE_STORE_CLIENT_HPP
#define SASSAFRASKNOT_EDGE_STORE_CLIENT_HPP

#include "sassafrasknot/edge/metrics.hpp"
#include "sassafrasknot/edge/platform_formats.hpp"
#include "sassafrasknot/fleet/catalogue.hpp"
#include "sassafrasknot/fleet/store_reader.hpp"
#include "sassafrasknot/state/endpoint.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

namespace sassafrasknot::edge {

/// Endpoint and limits of calls to the platform's store.
struct StoreClientSettings
{
  state::Endpoint mEndpoint;
  /// The store responds within milliseconds, and within about 300 ms when slow.
  std::chrono::milliseconds mConnectTimeout{ 400 };
  /// Time limit of a response, added to the time for which the store may hold
  /// the call.
  std::chrono::milliseconds mResponseTimeout{ 600 };
  /// Upper limit of a response body, in bytes.
  std::uint64_t mMaxResponseBytes = std::uint64_t{ 4 } << 20U;
  /// How much older than in truth the store's state may seem (see
  /// StoreHandlers): a small part of the time between two watches.
  std::chrono::milliseconds mArrivalCheckInterval{ 50 };
};

/// A failed read.
struct StoreFailure
{
  fleet::ReadFailure mKind = fleet::ReadFailure::Unavailable;
  std::string mMessage;
};

/// Handlers of a read.
struct StoreHandlers
{
  /// Receives the changes, and a time before which the store did not send them.
  std::function<void(fleet::ChangeSet, state::TimePoint)> mOnSuccess;
  std::function<void(StoreFailure)> mOnFailure;
};

/// Starts a read of the store. A full read requests one page after the other. A
/// watch is one call, which the store may hold until there are changes or
/// StoreRead::mWait is over. Calls exactly one of the handlers, once, on the
/// executor, and never from within this function.
void
StartStoreRead(const boost::asio::any_io_executor& aExecutor,
               const StoreClientSettings& aSettings,
               const StoreFormat& aFormat,
               const std::shared_ptr<Metrics>& aMetrics,
               const fleet::StoreRead& aRead,
               StoreHandlers aHandlers);

} // namespace sassafrasknot::edge

#endif
