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

/// How the platform's store is reached.
struct StoreClientSettings
{
  state::Endpoint mEndpoint;
  /// The store answers in milliseconds, and in some 300 ms when it is slow.
  std::chrono::milliseconds mConnectTimeout{ 400 };
  /// Added to the time for which a call may wait.
  std::chrono::milliseconds mResponseTimeout{ 600 };
  std::uint64_t mMaxResponseBytes = std::uint64_t{ 4 } << 20U;
};

/// A failed read.
struct StoreFailure
{
  fleet::ReadFailure mKind = fleet::ReadFailure::Unavailable;
  std::string mMessage;
};

struct StoreHandlers
{
  std::function<void(fleet::ChangeSet)> mAnswer;
  std::function<void(StoreFailure)> mFailure;
};

/// Performs a read with all its pages; exactly one handler is called, on the
/// executor.
void
StartStoreRead(const boost::asio::any_io_executor& aExecutor,
               const StoreClientSettings& aSettings,
               const StoreFormat& aFormat,
               const std::shared_ptr<Metrics>& aMetrics,
               const fleet::StoreRead& aRead,
               StoreHandlers aHandlers);

} // namespace sassafrasknot::edge

#endif
