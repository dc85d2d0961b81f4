#include "sassafrasknot/transport/traffic_pool.hpp"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <utility>

#include "traffic_worker.hpp"
#include <boost/asio/post.hpp>

namespace sassafrasknot::transport {
namespace {

/// A handover batch whose parts are with the traffic threads. Calls mDone once
/// all threads have returned their results.
struct HandoverCall
{
  std::atomic<std::size_t> mPending{ 0 };
  std::atomic<bool> mAcknowledged{ true };
  std::function<void(bool)> mDone;

  void RecordResult(bool aAcknowledged)
  {
    if (!aAcknowledged) {
      mAcknowledged = false;
    }
    if (--mPending == 0) {
      mDone(mAcknowledged);
    }
  }
};

/// A request for the state of all traffic threads. mDone is called by the last
/// thread that adds its state.
struct ReportCall
{
  std::mutex mMutex;
  std::size_t mPending = 0;
  TrafficReport mReport;
  std::function<void(TrafficReport)> mDone;
};

/// Checks that no other process uses the endpoint. The sockets of the traffic
/// threads share their port, so they could be bound beside those of another
/// process, and each process would receive only a part of the datagrams.
state::Result<void>
CheckEndpointUnused(const TrafficOptions& aOptions)
{
  boost::asio::io_context context;
  if (auto probe = net::UdpSocket::Open(context, { aOptions.mListen, false });
      !probe) {
    return probe.error();
  }
  return boost::outcome_v2::success();
}

} // namespace

struct TrafficPool::Impl
{
  TrafficShared mShared;
  std::vector<std::thread> mThreads;

  ~Impl()
  {
    for (const auto& worker : mShared.mWorkers) {
      worker->Stop();
    }
    for (auto& thread : mThreads) {
      thread.join();
    }
  }
};

TrafficPool::TrafficPool(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

TrafficPool::~TrafficPool() = default;

state::Result<std::unique_ptr<TrafficPool>>
TrafficPool::Start(const TrafficOptions& aOptions,
                   TrafficHooks aHooks,
                   std::shared_ptr<const state::Snapshot> aSnapshot)
{
  if (auto unused = CheckEndpointUnused(aOptions); !unused) {
    return unused.error();
  }
  auto impl = std::make_unique<Impl>();
  auto& shared = impl->mShared;
  shared.mOptions = aOptions;
  shared.mHooks = std::move(aHooks);
  shared.mSequence = aSnapshot->mSequence;
  shared.mRoutes = MakeTrafficRoutes(std::move(aSnapshot), aOptions.mThreads);
  shared.mHeartbeat = CoreNow().time_since_epoch().count();
  for (std::size_t index = 0; index < aOptions.mThreads; ++index) {
    auto worker = std::make_shared<TrafficWorker>(shared, index);
    if (auto opened = worker->Open(); !opened) {
      return opened.error();
    }
    shared.mWorkers.push_back(std::move(worker));
  }
  for (const auto& worker : shared.mWorkers) {
    impl->mThreads.emplace_back([worker] { worker->Run(); });
  }
  return std::unique_ptr<TrafficPool>(new TrafficPool(std::move(impl)));
}

void
TrafficPool::Publish(std::shared_ptr<const state::Snapshot> aSnapshot)
{
  auto& shared = mImpl->mShared;
  const auto sequence = aSnapshot->mSequence;
  shared.mRoutes =
    MakeTrafficRoutes(std::move(aSnapshot), shared.mOptions.mThreads);
  shared.mSequence.store(sequence, std::memory_order_release);
}

void
TrafficPool::Heartbeat()
{
  mImpl->mShared.mHeartbeat.store(CoreNow().time_since_epoch().count(),
                                  std::memory_order_release);
}

void
TrafficPool::SendControl(const state::Endpoint& aTo,
                         const coordination::ControlMessage& aMessage)
{
  auto worker = mImpl->mShared.mWorkers.front();
  worker->Post([worker, aTo, aMessage] { worker->SendControl(aTo, aMessage); });
}

void
TrafficPool::AcceptHandover(const state::InstanceId& aFrom,
                            const coordination::HandoverBatch& aBatch,
                            std::function<void(bool)> aDone)
{
  auto& shared = mImpl->mShared;
  const auto routes = shared.mRoutes.load();
  std::vector<coordination::HandoverBatch> parts(
    shared.mWorkers.size(), { aBatch.mBatch, aBatch.mLast, {} });
  for (const auto& record : aBatch.mRecords) {
    parts[ThreadOf(*routes, record.mKey)].mRecords.push_back(record);
  }
  // The last batch goes to every thread, other batches only to threads with
  // records.
  const auto isConcerned = [&](const coordination::HandoverBatch& aPart) {
    return aPart.mLast || !aPart.mRecords.empty();
  };
  auto call = std::make_shared<HandoverCall>();
  call->mDone = std::move(aDone);
  call->mPending =
    static_cast<std::size_t>(std::ranges::count_if(parts, isConcerned));
  if (call->mPending == 0) {
    call->mDone(true);
    return;
  }
  for (std::size_t thread = 0; thread < parts.size(); ++thread) {
    if (isConcerned(parts[thread])) {
      auto worker = shared.mWorkers[thread];
      worker->Post([worker, call, aFrom, part = std::move(parts[thread])] {
        call->RecordResult(worker->AcceptHandover(aFrom, part));
      });
    }
  }
}

void
TrafficPool::OnAcknowledgement(
  std::size_t aThread,
  const state::InstanceId& aFrom,
  const coordination::HandoverAcknowledgement& aAcknowledgement)
{
  auto worker = mImpl->mShared.mWorkers[aThread];
  worker->Post([worker, aFrom, aAcknowledgement] {
    worker->OnPeerMessage(aFrom, aAcknowledgement);
  });
}

void
TrafficPool::RequestReport(std::function<void(TrafficReport)> aDone)
{
  const auto& workers = mImpl->mShared.mWorkers;
  auto call = std::make_shared<ReportCall>();
  call->mPending = workers.size();
  call->mReport.mThreads.resize(workers.size());
  call->mDone = std::move(aDone);
  for (std::size_t index = 0; index < workers.size(); ++index) {
    const auto& worker = workers[index];
    worker->Post([worker, call, index] {
      auto status = worker->Status();
      const auto counters = worker->Counters();
      std::unique_lock lock(call->mMutex);
      call->mReport.mThreads[index] = std::move(status);
      state::Merge(call->mReport.mCounters, counters);
      if (--call->mPending == 0) {
        lock.unlock();
        call->mDone(std::move(call->mReport));
      }
    });
  }
}

bool
TrafficPool::HandedOver() const
{
  return std::ranges::all_of(mImpl->mShared.mWorkers, [](const auto& aWorker) {
    return aWorker->HandedOver();
  });
}

state::Endpoint
TrafficPool::LocalEndpoint() const
{
  return mImpl->mShared.mWorkers.front()->LocalEndpoint();
}

} // namespace sassafrasknot::transport
