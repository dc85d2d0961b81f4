#ifndef SASSAFRASKNOT_TRANSPORT_TRAFFIC_POOL_HPP
#define SASSAFRASKNOT_TRANSPORT_TRAFFIC_POOL_HPP

#include "sassafrasknot/coordination/control_message.hpp"
#include "sassafrasknot/coordination/traffic_core.hpp"
#include "sassafrasknot/state/counters.hpp"
#include "sassafrasknot/state/endpoint.hpp"
#include "sassafrasknot/state/error.hpp"
#include "sassafrasknot/state/snapshot.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace sassafrasknot::transport {

/// @brief Functions through which the traffic threads reach the rest of the
/// process. They are called on traffic threads and must return at once.
struct TrafficHooks
{
  /// Processes a control message that was received by UDP.
  std::function<void(coordination::ControlMessage)> mOnControlMessage;
  /// Sends a handover batch to the control endpoint of an instance. The
  /// acknowledgement must be passed to TrafficPool::OnAcknowledgement with the
  /// same thread index.
  std::function<void(std::size_t aThread,
                     const state::InstanceView& aTo,
                     coordination::HandoverBatch aBatch)>
    mSendHandover;
};

/// @brief State of all traffic threads for a dump.
struct TrafficReport
{
  /// One entry per thread, by index of the thread.
  std::vector<coordination::TrafficStatus> mThreads;
  /// Counters, summed over all threads.
  state::Counters mCounters;
};

/// @brief Sockets and limits of the traffic threads.
struct TrafficOptions
{
  /// UDP endpoint on which packets and peer messages are received.
  state::Endpoint mListen;
  /// UDP endpoint of the fabric, to which rewritten packets are sent.
  state::Endpoint mFabric;
  /// Number of traffic threads, at least 1.
  std::size_t mThreads = 1;
  /// Maximum number of packets that each thread holds, for instance while they
  /// wait for an upstream.
  std::size_t mMaxHeldPackets = 16384;
  /// Receive buffer of each socket, in bytes.
  std::size_t mReceiveBufferBytes = std::size_t{ 4 } << 20U;
  /// Seed of the cores' random decisions.
  std::uint64_t mSeed = 0;
  /// Packets are dropped when the last call of Heartbeat is longer ago than
  /// this, because the process may have been paused and its state be out of
  /// date; zero for no limit.
  state::Duration mStallLimit{};
};

/// @brief The traffic threads of an instance, each with its own UDP socket and
/// traffic core.
class TrafficPool
{
public:
  /// @brief Opens the sockets and starts the threads.
  /// @param aOptions sockets and limits
  /// @param aHooks functions that the threads call; an empty one is skipped
  /// @param aSnapshot configuration and members to start with
  /// @return the pool, or Unavailable if the endpoint cannot be used
  static state::Result<std::unique_ptr<TrafficPool>> Start(
    const TrafficOptions& aOptions,
    TrafficHooks aHooks,
    std::shared_ptr<const state::Snapshot> aSnapshot);

  /// @brief Stops the threads; packets in their queues are lost.
  ~TrafficPool();

  /// @brief Makes a snapshot available to all threads. Must always be called on
  /// the same thread.
  /// @param aSnapshot new snapshot; its mSequence must be higher than that of
  /// the previous one
  void Publish(std::shared_ptr<const state::Snapshot> aSnapshot);

  /// @brief Records that the control core has processed a tick and that its
  /// snapshot is published, so that the threads may rely on it.
  void Heartbeat();

  /// @brief Sends a control message by UDP.
  /// @param aTo peer endpoint of the receiver
  /// @param aMessage message of this instance's control core
  void SendControl(const state::Endpoint& aTo,
                   const coordination::ControlMessage& aMessage);

  /// @brief Passes the flow records of a handover batch to the threads of their
  /// flows.
  /// @param aFrom sender of the batch
  /// @param aBatch flow records that this instance takes over
  /// @param aDone called once with true if every thread concerned acknowledged
  /// its part; on a traffic thread, or at once if no thread is concerned
  void AcceptHandover(const state::InstanceId& aFrom,
                      const coordination::HandoverBatch& aBatch,
                      std::function<void(bool)> aDone);

  /// @brief Passes the acknowledgement of a handover batch to the thread that
  /// sent the batch.
  /// @param aThread index of that thread
  /// @param aFrom instance that acknowledged the batch
  /// @param aAcknowledgement number of the batch
  void OnAcknowledgement(
    std::size_t aThread,
    const state::InstanceId& aFrom,
    const coordination::HandoverAcknowledgement& aAcknowledgement);

  /// @brief Collects the state of all threads.
  /// @param aDone called once, on a traffic thread
  void RequestReport(std::function<void(TrafficReport)> aDone);

  /// @brief Returns whether all threads have handed over all their flows.
  bool HandedOver() const;

  /// @brief Returns the UDP endpoint to which the sockets are bound.
  state::Endpoint LocalEndpoint() const;

private:
  struct Impl;
  explicit TrafficPool(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace sassafrasknot::transport

#endif
