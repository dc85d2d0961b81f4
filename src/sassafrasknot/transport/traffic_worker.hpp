#ifndef SASSAFRASKNOT_TRANSPORT_TRAFFIC_WORKER_HPP
#define SASSAFRASKNOT_TRANSPORT_TRAFFIC_WORKER_HPP

#include "sassafrasknot/coordination/traffic_core.hpp"
#include "sassafrasknot/net/udp_socket.hpp"
#include "sassafrasknot/protocol/peer_message.hpp"
#include "sassafrasknot/transport/traffic_pool.hpp"
#include "sassafrasknot/transport/traffic_routes.hpp"

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "held_packets.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sassafrasknot::transport {

class TrafficWorker;

/// What the workers of a pool share.
struct TrafficShared
{
  TrafficOptions mOptions;
  TrafficHooks mHooks;
  std::atomic<std::shared_ptr<const TrafficRoutes>> mRoutes;
  /// Sequence of mRoutes; cheaper to read than the pointer.
  std::atomic<std::uint64_t> mSequence{ 0 };
  /// Last heartbeat, in nanoseconds of the steady clock.
  std::atomic<std::int64_t> mHeartbeat{ 0 };
  std::vector<std::shared_ptr<TrafficWorker>> mWorkers;
};

/// A packet with what is known of it.
struct WorkerPacket
{
  std::span<std::uint8_t> mBytes;
  coordination::PacketEvent mEvent;
};

/// One traffic thread: its socket, its core and the packets that are held.
class TrafficWorker : public std::enable_shared_from_this<TrafficWorker>
{
public:
  TrafficWorker(TrafficShared& aShared, std::size_t aIndex);

  state::Result<void> Open();
  /// Runs until Stop.
  void Run();
  void Stop();

  /// Runs a function on the worker's thread.
  template<typename Function>
  void Post(Function&& aFunction)
  {
    boost::asio::post(mContext, std::forward<Function>(aFunction));
  }

  // The following are for the worker's thread.

  void OnPeerMessage(const state::InstanceId& aFrom,
                     const coordination::TrafficMessage& aMessage);
  /// Returns whether the core acknowledged the batch.
  bool AcceptHandover(const state::InstanceId& aFrom,
                      const coordination::HandoverBatch& aBatch);
  void SendControl(const state::Endpoint& aTo,
                   const coordination::ControlMessage& aMessage);
  coordination::TrafficStatus Status() const;
  state::Counters Counters() const;

  bool HandedOver() const { return mHandedOver; }
  state::Endpoint LocalEndpoint() const { return mSession->LocalEndpoint(); }

private:
  friend struct ActionExecutor;

  void ScheduleTick();
  void ApplyLatestSnapshot();
  bool Stalled() const;
  void OnDatagram(std::span<std::uint8_t> aDatagram);
  void OnPeerDatagram(std::span<const std::uint8_t> aDatagram);
  void OnPacket(std::span<std::uint8_t> aBytes,
                std::vector<state::InstanceId> aHops);
  void ProcessPacket(const WorkerPacket& aPacket);
  void Execute(coordination::TrafficActions& aActions,
               const WorkerPacket* aPacket);
  void Dispatch(protocol::TrafficEnvelope aEnvelope);
  void Send(const state::Endpoint& aTo, std::span<const std::uint8_t> aBytes);
  void Count(std::string_view aCounter);

  TrafficShared& mShared;
  std::size_t mIndex;
  boost::asio::io_context mContext{ 1 };
  boost::asio::steady_timer mTimer{ mContext };
  std::shared_ptr<net::UdpSocket> mSession;
  std::shared_ptr<const TrafficRoutes> mRoutes;
  coordination::TrafficCore mCore;
  HeldPackets mHeld;
  state::Counters mCounters;
  std::atomic<bool> mHandedOver{ false };
};

/// Returns the current time for the cores.
state::TimePoint
CoreNow();

} // namespace sassafrasknot::transport

#endif
