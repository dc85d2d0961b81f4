#include "control_thread.hpp"

#include "sassafrasknot/transport/log.hpp"

#include <csignal>
#include <random>
#include <utility>

#include "traffic_worker.hpp"
#include <boost/asio/post.hpp>

namespace sassafrasknot::transport {
namespace {

using coordination::LogLevel;

/// Time between ticks of the control core.
constexpr std::chrono::milliseconds kTickInterval{ 50 };
/// Time without a tick after which traffic threads drop packets. Same value as
/// coordination::kFailureTimeout, after which peers count this instance as
/// dead.
constexpr std::chrono::milliseconds kStallTimeout{ 2700 };
/// If the last tick is longer ago, a tick runs before a message is handled, so
/// that the core detects a pause of the process before it handles messages from
/// before the pause.
constexpr std::chrono::milliseconds kMaxTickDelay{ 500 };
/// Maximum number of control messages that wait for the control thread;
/// further ones are dropped.
constexpr std::size_t kMaxQueuedMessages = 4096;

std::uint64_t
RandomSeed()
{
  std::random_device source;
  return std::uint64_t{ source() } << 32U | source();
}

coordination::ControlSettings
ToControlSettings(const protocol::Settings& aSettings)
{
  coordination::ControlSettings settings;
  settings.mId = aSettings.mInstance;
  settings.mDataCentre = aSettings.mDataCentre;
  settings.mPeerEndpoint = aSettings.mPeerEndpoint;
  settings.mControlEndpoint = aSettings.mControlEndpoint;
  settings.mIncarnation = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
  for (const auto& seed : aSettings.mSeeds) {
    settings.mSeeds.push_back(seed.mPeerEndpoint);
  }
  return settings;
}

TrafficOptions
ToTrafficOptions(const protocol::Settings& aSettings)
{
  TrafficOptions options;
  options.mListen = aSettings.mPeerEndpoint;
  options.mFabric = aSettings.mFabricEndpoint;
  options.mThreads = aSettings.mTrafficThreads;
  options.mMaxHeldPackets = aSettings.mMaxHeldPackets;
  options.mReceiveBufferBytes = aSettings.mReceiveBufferBytes;
  options.mSeed = RandomSeed();
  options.mStallLimit = kStallTimeout;
  return options;
}

} // namespace

ControlThread::ControlThread(const protocol::Settings& aSettings)
  : mSettings(aSettings)
  , mCore(ToControlSettings(aSettings), RandomSeed(), CoreNow())
  , mLastTick(CoreNow())
  , mClient(std::make_unique<ControlClient>())
{
  PlatformClientSettings platform;
  platform.mEndpoints = aSettings.mPlatformEndpoints;
  platform.mSeed = RandomSeed();
  mPlatform =
    std::make_unique<PlatformClient>(mContext.get_executor(), platform);
}

ControlThread::~ControlThread()
{
  // Each part is stopped before the parts that its callbacks use.
  if (mServer) {
    mServer->Close();
  }
  mTraffic.reset();
  mClient.reset();
  mPlatform.reset();
  // Runs the queued functions, which do nothing without mTraffic. That destroys
  // the reply callbacks they hold, so that the calls end and the server's
  // destructor does not wait for them.
  mContext.restart();
  mContext.poll();
  mServer.reset();
}

state::Result<void>
ControlThread::Open()
{
  auto traffic = TrafficPool::Start(
    ToTrafficOptions(mSettings), MakeHooks(), mCore.CurrentSnapshot());
  if (!traffic) {
    return traffic.error();
  }
  mTraffic = std::move(traffic).value();
  auto server =
    ControlServer::Start(mSettings.mControlEndpoint, MakeHandlers());
  if (!server) {
    return server.error();
  }
  mServer = std::move(server).value();
  return boost::outcome_v2::success();
}

bool
ControlThread::Run()
{
  WriteLog(LogLevel::Info,
           "started",
           { { "instance", mSettings.mInstance.mValue },
             { "data_centre", mSettings.mDataCentre.mValue },
             { "packets", state::ToString(mSettings.mPeerEndpoint) },
             { "control", state::ToString(mSettings.mControlEndpoint) } });
  mSignals.add(SIGTERM);
  mSignals.add(SIGINT);
  WaitForSignal();
  Tick();
  mContext.run();
  return mStop.mHandedOver;
}

void
ControlThread::RequestStop()
{
  boost::asio::post(mContext, [this] { BeginStop(); });
}

void
ControlThread::ScheduleTick()
{
  mTickTimer.expires_after(kTickInterval);
  mTickTimer.async_wait([this](auto aError) {
    if (!aError) {
      Tick();
    }
  });
}

void
ControlThread::Tick()
{
  RunTick();
  ScheduleTick();
  if (mStop.mBegun) {
    CheckStop(CoreNow());
  }
}

void
ControlThread::RunTick()
{
  mLastTick = CoreNow();
  Execute(mCore.OnTick(mLastTick));
  mTraffic->Heartbeat();
}

void
ControlThread::OnMessage(const coordination::ControlMessage& aMessage)
{
  if (CoreNow() - mLastTick > kMaxTickDelay) {
    RunTick();
  }
  Execute(mCore.OnMessage(CoreNow(), aMessage));
}

void
ControlThread::OnPull(const coordination::ControlMessage& aMessage,
                      const ReplyCallback<coordination::ControlMessage>& aReply)
{
  if (CoreNow() - mLastTick > kMaxTickDelay) {
    RunTick();
  }
  auto actions = mCore.OnMessage(CoreNow(), aMessage);
  std::erase_if(actions, [&](auto& aAction) {
    auto* sent = std::get_if<coordination::SendMessage>(&aAction);
    if (sent == nullptr || !std::holds_alternative<coordination::PullResponse>(
                             sent->mMessage.mBody)) {
      return false;
    }
    aReply(std::move(sent->mMessage));
    return true;
  });
  Execute(actions);
}

void
ControlThread::StartPlatformCall(const coordination::ReadPlatform& aRead)
{
  mPlatformTimer.expires_at(aRead.mNotBefore);
  mPlatformTimer.async_wait([this, aRead](auto aError) {
    if (aError) {
      return;
    }
    auto handler = [this, aRead](const auto& aResponse) {
      if (mTraffic) {
        OnPlatformResponse(aRead, aResponse);
      }
    };
    if (aRead.mFull) {
      mPlatform->Read(handler);
    } else {
      mPlatform->Watch(aRead.mAfterRevision, aRead.mWatchTimeout, handler);
    }
  });
}

void
ControlThread::OnPlatformResponse(
  const coordination::ReadPlatform& aRead,
  const state::Result<protocol::PlatformResponse>& aResponse)
{
  const auto now = CoreNow();
  if (!aResponse) {
    state::Increment(mCounters, "platform_failures_total");
    WriteLog(LogLevel::Warning,
             "platform_failure",
             { { "reason", aResponse.error().mMessage } });
    Execute(mCore.OnPlatformFailure(now, aResponse.error()));
    return;
  }
  state::Increment(mCounters, "platform_reads_total");
  const auto& response = aResponse.value();
  if (!aRead.mFull && response.mRecords.empty()) {
    Execute(mCore.OnWatchReturned(now, response.mRevision));
  } else {
    Execute(mCore.OnPlatformRecords(
      now, response.mRecords, response.mRevision, response.mFull));
  }
}

void
ControlThread::RequestDumpInput(std::function<void(DumpInput)> aDone)
{
  DumpInput input;
  input.mControl = mCore.Dump();
  input.mSnapshot = mCore.CurrentSnapshot();
  input.mInForce = mInForce;
  input.mCounters = mCounters;
  state::Merge(input.mCounters, mCore.Counters());
  state::Increment(
    input.mCounters, "control_messages_dropped_total", mDroppedMessages);
  mTraffic->RequestReport(
    [input = std::move(input), done = std::move(aDone)](TrafficReport aReport) {
      auto complete = input;
      state::Merge(complete.mCounters, aReport.mCounters);
      complete.mTraffic = std::move(aReport);
      done(std::move(complete));
    });
}

TrafficHooks
ControlThread::MakeHooks()
{
  TrafficHooks hooks;
  hooks.mOnControlMessage = [this](coordination::ControlMessage aMessage) {
    if (mQueuedMessages >= kMaxQueuedMessages) {
      ++mDroppedMessages;
      return;
    }
    ++mQueuedMessages;
    boost::asio::post(mContext, [this, message = std::move(aMessage)] {
      --mQueuedMessages;
      if (mTraffic) {
        OnMessage(message);
      }
    });
  };
  hooks.mSendHandover = [this](std::size_t aThread,
                               const state::InstanceView& aTo,
                               coordination::HandoverBatch aBatch) {
    // The response arrives on a thread of gRPC. It is passed on by the control
    // thread, since the traffic threads may have been stopped meanwhile.
    mClient->SendHandover(
      aTo.mControlEndpoint,
      mSettings.mInstance,
      std::move(aBatch),
      [this, aThread, from = aTo.mId](const auto& aResponse) {
        if (!aResponse) {
          WriteLog(LogLevel::Warning,
                   "handover_failure",
                   { { "instance", from.mValue },
                     { "reason", aResponse.error().mMessage } });
          return;
        }
        boost::asio::post(
          mContext, [this, aThread, from, response = aResponse.value()] {
            if (mTraffic) {
              mTraffic->OnAcknowledgement(aThread, from, response);
            }
          });
      });
  };
  return hooks;
}

ControlHandlers
ControlThread::MakeHandlers()
{
  ControlHandlers handlers;
  const auto onControlThread = [this](auto aFunction) {
    boost::asio::post(mContext, [this, function = std::move(aFunction)] {
      if (mTraffic) {
        function();
      }
    });
  };
  handlers.mOnPull = [this, onControlThread](auto aMessage, auto aReply) {
    onControlThread([this,
                     message = std::move(aMessage),
                     reply = std::move(aReply)] { OnPull(message, reply); });
  };
  handlers.mOnHandover =
    [this, onControlThread](auto aFrom, auto aBatch, auto aReply) {
      onControlThread([this,
                       from = std::move(aFrom),
                       batch = std::move(aBatch),
                       reply = std::move(aReply)] {
        const auto batchNumber = batch.mBatch;
        mTraffic->AcceptHandover(
          from, batch, [reply, batchNumber](bool aAcknowledged) {
            if (aAcknowledged) {
              reply(coordination::HandoverAcknowledgement{ batchNumber });
            } else {
              reply(state::Error{
                state::ErrorCode::Unavailable,
                state::Verdict::NotRun,
                "a traffic thread did not acknowledge the handover batch" });
            }
          });
      });
    };
  handlers.mOnDump = [this, onControlThread](auto aReply) {
    onControlThread([this, reply = std::move(aReply)] {
      RequestDumpInput(
        [reply](const DumpInput& aInput) { reply(BuildDump(aInput)); });
    });
  };
  handlers.mOnCounters = [this, onControlThread](auto aReply) {
    onControlThread([this, reply = std::move(aReply)] {
      RequestDumpInput([reply](const DumpInput& aInput) {
        reply(FormatPrometheusText(aInput.mCounters));
      });
    });
  };
  handlers.mOnDrain = [this] { RequestStop(); };
  return handlers;
}

} // namespace sassafrasknot::transport
