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

/// @brief What the traffic threads ask of the rest of the process. The
/// functions are called on traffic threads and must return at once.
struct TrafficHooks
{
  /// Takes a control message that came by UDP.
  std::function<void(coordination::ControlMessage)> mOnControlMessage;
  /// Sends a batch to the control endpoint of an instance. The answer goes to
  /// TrafficPool::OnAcknowledgement with the same thread.
  std::function<void(std::size_t aThread,
                     const state::InstanceView& aTo,
                     coordination::HandoverBatch aBatch)>
    mSendHandover;
};

/// @brief State of all traffic threads for a dump.
struct TrafficReport
{
  std::vector<coordination::TrafficStatus> mThreads;
  /// Sums of all threads.
  state::Counters mCounters;
};

struct TrafficOptions
{
  /// UDP endpoint for packets and peer messages.
  state::Endpoint mListen;
  /// UDP endpoint that takes rewritten packets.
  state::Endpoint mFabric;
  std::size_t mThreads = 1;
  /// Packets that each thread holds at most.
  std::size_t mMaxHeldPackets = 16384;
  /// Receive buffer of each socket, in bytes.
  std::size_t mReceiveBufferBytes = std::size_t{ 4 } << 20U;
  /// Seed of the cores' random decisions.
  std::uint64_t mSeed = 0;
  /// Longest time without Heartbeat after which packets are dropped, as the
  /// process may have been paused; zero for no limit.
  state::Duration mStallLimit{};
};

/// @brief Traffic threads with their sockets and cores.
class TrafficPool
{
public:
  /// @brief Opens the sockets and starts the threads.
  /// @param aOptions options
  /// @param aHooks hooks
  /// @param aSnapshot first snapshot
  /// @return the pool, or Unavailable if the endpoint cannot be used
  static state::Result<std::unique_ptr<TrafficPool>> Start(
    const TrafficOptions& aOptions,
    TrafficHooks aHooks,
    std::shared_ptr<const state::Snapshot> aSnapshot);

  /// @brief Ends the threads; packets that are queued are lost.
  ~TrafficPool();

  /// @brief Hands a snapshot to all threads. To be called by one thread.
  /// @param aSnapshot the snapshot; its sequence is above the current one's
  void Publish(std::shared_ptr<const state::Snapshot> aSnapshot);

  /// @brief Notes that the control core has ticked and that its snapshot is
  /// published.
  void Heartbeat();

  /// @brief Sends a control message by UDP.
  /// @param aTo peer endpoint of the receiver
  /// @param aMessage the message
  void SendControl(const state::Endpoint& aTo,
                   const coordination::ControlMessage& aMessage);

  /// @brief Gives a batch to the threads of its flows.
  /// @param aFrom the instance that sent it
  /// @param aBatch the batch
  /// @param aDone is called once, on a traffic thread, with whether all of
  /// them acknowledged it
  void AcceptHandover(const state::InstanceId& aFrom,
                      const coordination::HandoverBatch& aBatch,
                      std::function<void(bool)> aDone);

  /// @brief Gives the answer to a batch to the thread that sent it.
  /// @param aThread the thread
  /// @param aFrom the instance that acknowledged
  /// @param aAcknowledgement the answer
  void OnAcknowledgement(
    std::size_t aThread,
    const state::InstanceId& aFrom,
    const coordination::HandoverAcknowledgement& aAcknowledgement);

  /// @brief Collects the state of all threads.
  /// @param aDone is called once, on a traffic thread
  void RequestReport(std::function<void(TrafficReport)> aDone);

  /// @brief Returns whether all cores have handed over all flows.
  bool HandedOver() const;

  /// @brief Returns the bound UDP endpoint.
  state::Endpoint LocalEndpoint() const;

private:
  struct Impl;
  explicit TrafficPool(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace sassafrasknot::transport

#endif
