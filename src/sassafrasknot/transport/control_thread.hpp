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

/// The control thread: runs the control core and connects it with the traffic
/// threads, the gRPC services and the platform.
class ControlThread
{
public:
  explicit ControlThread(const protocol::Settings& aSettings);
  ~ControlThread();

  state::Result<void> Open();
  bool Run();
  void RequestStop();

private:
  friend struct ControlExecutor;

  TrafficHooks MakeHooks();
  ControlHandlers MakeHandlers();
  void ScheduleTick();
  void Tick();
  void RunTick();
  void WaitForSignal();
  void BeginStop();
  void CheckStop(state::TimePoint aNow);
  void Execute(const coordination::ControlActions& aActions);
  void OnMessage(const coordination::ControlMessage& aMessage);
  void OnPull(const coordination::ControlMessage& aMessage,
              const ReplyCallback<coordination::ControlMessage>& aReply);
  void StartPlatformCall(const coordination::ReadPlatform& aRead);
  void OnPlatformAnswer(const coordination::ReadPlatform& aRead,
                        const state::Result<protocol::PlatformAnswer>& aAnswer);
  void RequestDumpInput(std::function<void(DumpInput)> aDone);

  protocol::Settings mSettings;
  boost::asio::io_context mContext{ 1 };
  boost::asio::steady_timer mTickTimer{ mContext };
  boost::asio::steady_timer mPlatformTimer{ mContext };
  boost::asio::signal_set mSignals{ mContext };
  coordination::ControlCore mCore;
  state::TimePoint mLastTick;
  std::unique_ptr<PlatformClient> mPlatform;
  std::unique_ptr<ControlClient> mClient;
  std::unique_ptr<ControlServer> mServer;
  std::unique_ptr<TrafficPool> mTraffic;
  InForceTimes mInForce;
  state::Counters mCounters;
  /// Control messages from the traffic threads that wait for this thread.
  std::atomic<std::size_t> mQueuedMessages{ 0 };
  std::atomic<std::uint64_t> mDroppedMessages{ 0 };
  PlannedStop mStop;
};

} // namespace sassafrasknot::transport

#endif
