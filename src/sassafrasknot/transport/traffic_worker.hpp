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

/// State that all workers of a pool share.
struct TrafficShared
{
  TrafficOptions mOptions;
  TrafficHooks mHooks;
  std::atomic<std::shared_ptr<const TrafficRoutes>> mRoutes;
  /// Sequence number of the snapshot in mRoutes, which is cheaper to read than
  /// the pointer. It is stored after mRoutes.
  std::atomic<std::uint64_t> mSequence{ 0 };
  /// Time of the last heartbeat, in nanoseconds of the steady clock.
  std::atomic<std::int64_t> mHeartbeat{ 0 };
  std::vector<std::shared_ptr<TrafficWorker>> mWorkers;
};

/// The bytes of a packet, with its flow and the instances that forwarded it.
struct WorkerPacket
{
  std::span<std::uint8_t> mBytes;
  coordination::PacketEvent mEvent;
};

/// One traffic thread: its UDP socket, its traffic core and the packets that it
/// holds until they have an upstream.
class TrafficWorker : public std::enable_shared_from_this<TrafficWorker>
{
public:
  TrafficWorker(TrafficShared& aShared, std::size_t aIndex);

  /// Opens the socket; Unavailable if the endpoint cannot be used.
  state::Result<void> Open();
  /// Processes packets and messages on the calling thread until Stop.
  void Run();
  /// Makes Run return. May be called from any thread.
  void Stop();

  /// Runs a function on the worker's thread.
  template<typename Function>
  void Post(Function&& aFunction)
  {
    boost::asio::post(mContext, std::forward<Function>(aFunction));
  }

  // The following must be called on the worker's thread.

  void OnPeerMessage(const state::InstanceId& aFrom,
                     const coordination::TrafficMessage& aMessage);
  /// Takes over the flows of a batch; returns whether the core acknowledged it.
  /// A batch that arrives during a stall is not acknowledged.
  bool AcceptHandover(const state::InstanceId& aFrom,
                      const coordination::HandoverBatch& aBatch);
  void SendControl(const state::Endpoint& aTo,
                   const coordination::ControlMessage& aMessage);
  coordination::TrafficStatus Status() const;
  state::Counters Counters() const;

  // The following may be called from any thread.

  bool HandedOver() const { return mHandedOver; }
  state::Endpoint LocalEndpoint() const { return mSocket->LocalEndpoint(); }

private:
  friend struct ActionExecutor;

  /// Schedules the next tick, which schedules the one after it.
  void ScheduleTick();
  /// Passes the published snapshot to the core if the core has another one.
  void ApplyLatestSnapshot();
  /// Returns whether the last heartbeat is longer ago than the stall limit; a
  /// limit of zero means never.
  bool IsStalled() const;
  void OnDatagram(std::span<std::uint8_t> aDatagram);
  void OnPeerDatagram(std::span<const std::uint8_t> aDatagram);
  /// Processes a packet here, or posts it to the worker of its service.
  void OnPacket(std::span<std::uint8_t> aBytes,
                std::vector<state::InstanceId> aHops);
  void ProcessPacket(const WorkerPacket& aPacket);
  /// Executes actions; aPacket is the packet that caused them, or null.
  void Execute(coordination::TrafficActions& aActions,
               const WorkerPacket* aPacket);
  void Send(const state::Endpoint& aTo, std::span<const std::uint8_t> aBytes);
  void Count(std::string_view aCounter);

  TrafficShared& mShared;
  std::size_t mIndex;
  boost::asio::io_context mContext{ 1 };
  boost::asio::steady_timer mTimer{ mContext };
  std::shared_ptr<net::UdpSocket> mSocket;
  std::shared_ptr<const TrafficRoutes> mRoutes;
  coordination::TrafficCore mCore;
  HeldPackets mHeld;
  state::Counters mCounters;
  /// Whether the core has handed over all its flows.
  std::atomic<bool> mHandedOver{ false };
};

/// Returns the current time of the steady clock, which the cores use.
state::TimePoint
CoreNow();

} // namespace sassafrasknot::transport

#endif
