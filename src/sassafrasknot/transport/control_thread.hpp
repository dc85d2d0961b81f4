#ifndef SASSAFRASKNOT_TRANSPORT_CONTROL_THREAD_HPP
#define SASSAFRASKNOT_TRANSPORT_CONTROL_THREAD_HPP

#include "sassafrasknot/coordination/control_core.hpp"
#include "sassafrasknot/protocol/settings.hpp"
#include "sassafrasknot/transport/control_client.hpp"
#include "sassafrasknot/transport/control_server.hpp"
#include "sassafrasknot/transport/dump.hpp"
#include "sassafrasknot/transport/platform_client.hpp"
#include "sassafrasknot/transport/traffic_pool.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "planned_stop.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sassafrasknot::transport {

/// The control thread: runs the control core, which decides membership,
/// dissemination and platform reads, and connects it with the traffic threads,
/// the gRPC services and the platform. After Open, the private functions run on
/// the thread that calls Run.
class ControlThread
{
public:
  explicit ControlThread(const protocol::Settings& aSettings);
  ~ControlThread();

  /// Opens the sockets and starts the traffic threads and the gRPC server.
  state::Result<void> Open();
  /// Runs until a planned stop has ended; returns whether all flows were handed
  /// over.
  bool Run();
  /// Begins a planned stop. May be called from any thread.
  void RequestStop();

private:
  friend struct ControlExecutor;

  /// Makes the functions that the traffic threads call.
  TrafficHooks MakeHooks();
  /// Makes the functions that the gRPC services call; each passes its work to
  /// the thread that calls Run.
  ControlHandlers MakeHandlers();
  void ScheduleTick();
  /// Runs a tick, schedules the next one and checks the planned stop, if any.
  void Tick();
  /// Runs a tick of the core without scheduling the next one.
  void RunTick();
  /// Begins a planned stop at the first signal and aborts it at the second.
  void WaitForSignal();
  /// Begins a planned stop unless one has begun already.
  void BeginStop();
  /// Ends Run if the planned stop has ended; otherwise reports its progress.
  void CheckStop(state::TimePoint aNow);
  void Execute(const coordination::ControlActions& aActions);
  /// Passes a message to the core, after a tick if the last one is overdue.
  void OnMessage(const coordination::ControlMessage& aMessage);
  /// Handles a pull; the response among the core's actions becomes the reply.
  void OnPull(const coordination::ControlMessage& aMessage,
              const ReplyCallback<coordination::ControlMessage>& aReply);
  /// Calls the platform once the time that the core requested has come. A call
  /// that still waits for its time is replaced.
  void StartPlatformCall(const coordination::ReadPlatform& aRead);
  /// Passes the result of a platform call to the core.
  void OnPlatformResponse(
    const coordination::ReadPlatform& aRead,
    const state::Result<protocol::PlatformResponse>& aResponse);
  /// Collects the data of a dump. Calls aDone once, on a traffic thread.
  void RequestDumpInput(std::function<void(DumpInput)> aDone);

  protocol::Settings mSettings;
  boost::asio::io_context mContext{ 1 };
  boost::asio::steady_timer mTickTimer{ mContext };
  boost::asio::steady_timer mPlatformTimer{ mContext };
  boost::asio::signal_set mSignals{ mContext };
  coordination::ControlCore mCore;
  /// Time of the core's last tick, on the steady clock.
  state::TimePoint mLastTick;
  std::unique_ptr<PlatformClient> mPlatform;
  std::unique_ptr<ControlClient> mClient;
  std::unique_ptr<ControlServer> mServer;
  std::unique_ptr<TrafficPool> mTraffic;
  InForceTimes mInForce;
  /// Counters of this thread; the core and the traffic threads have their own.
  state::Counters mCounters;
  /// Number of control messages from the traffic threads that wait for this
  /// thread.
  std::atomic<std::size_t> mQueuedMessages{ 0 };
  /// Number of control messages dropped because too many were waiting.
  std::atomic<std::uint64_t> mDroppedMessages{ 0 };
  PlannedStop mStop;
};

} // namespace sassafrasknot::transport

#endif
