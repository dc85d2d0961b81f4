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

constexpr std::chrono::milliseconds kTick{ 50 };
/// The stall guard's failure timeout.
constexpr std::chrono::milliseconds kStallLimit{ 2700 };
/// Beyond this gap a tick comes before anything else, so that the core notices
/// a pause of the process before it handles messages from before the pause.
constexpr std::chrono::milliseconds kLateTick{ 500 };
/// Messages that may wait; a flood beyond it is dropped.
constexpr std::size_t kQueuedMessages = 4096;

std::uint64_t
AnySeed()
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
  options.mSeed = AnySeed();
  options.mStallLimit = kStallLimit;
  return options;
}

} // namespace

ControlThread::ControlThread(const protocol::Settings& aSettings)
  : mSettings(aSettings)
  , mCore(ToControlSettings(aSettings), AnySeed(), CoreNow())
  , mLastTick(CoreNow())
  , mClient(std::make_unique<ControlClient>())
{
  PlatformClientSettings platform;
  platform.mEndpoints = aSettings.mPlatformEndpoints;
  platform.mSeed = AnySeed();
  mPlatform =
    std::make_unique<PlatformClient>(mContext.get_executor(), platform);
}

ControlThread::~ControlThread()
{
  // Each part ends before the ones that its callbacks use.
  if (mServer) {
    mServer->Close();
  }
  mTraffic.reset();
  mClient.reset();
  mPlatform.reset();
  // Calls that still wait are answered when the server ends, as the queue that
  // holds their replies is emptied first.
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
  mTickTimer.expires_after(kTick);
  mTickTimer.async_wait([this](auto aFailure) {
    if (!aFailure) {
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
  if (CoreNow() - mLastTick > kLateTick) {
    RunTick();
  }
  Execute(mCore.OnMessage(CoreNow(), aMessage));
}

void
ControlThread::OnPull(const coordination::ControlMessage& aMessage,
                      const ReplyCallback<coordination::ControlMessage>& aReply)
{
  if (CoreNow() - mLastTick > kLateTick) {
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
  mPlatformTimer.async_wait([this, aRead](auto aFailure) {
    if (aFailure) {
      return;
    }
    auto handler = [this, aRead](const auto& aAnswer) {
      if (mTraffic) {
        OnPlatformAnswer(aRead, aAnswer);
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
ControlThread::OnPlatformAnswer(
  const coordination::ReadPlatform& aRead,
  const state::Result<protocol::PlatformAnswer>& aAnswer)
{
  const auto now = CoreNow();
  if (!aAnswer) {
    state::Increment(mCounters, "platform_failures_total");
    WriteLog(LogLevel::Warning,
             "platform_failure",
             { { "reason", aAnswer.error().mMessage } });
    Execute(mCore.OnPlatformFailure(now, aAnswer.error()));
    return;
  }
  state::Increment(mCounters, "platform_reads_total");
  const auto& answer = aAnswer.value();
  if (!aRead.mFull && answer.mRecords.empty()) {
    Execute(mCore.OnWatchReturned(now, answer.mRevision));
  } else {
    Execute(mCore.OnPlatformRecords(
      now, answer.mRecords, answer.mRevision, answer.mFull));
  }
}

void
ControlThread::RequestDumpInput(std::function<void(DumpInput)> aDone)
{
  DumpInput parts;
  parts.mControl = mCore.Dump();
  parts.mSnapshot = mCore.CurrentSnapshot();
  parts.mInForce = mInForce;
  parts.mCounters = mCounters;
  state::Merge(parts.mCounters, mCore.Counters());
  state::Increment(
    parts.mCounters, "control_messages_dropped_total", mDroppedMessages);
  mTraffic->RequestReport(
    [parts = std::move(parts), done = std::move(aDone)](TrafficReport aReport) {
      auto whole = parts;
      state::Merge(whole.mCounters, aReport.mCounters);
      whole.mTraffic = std::move(aReport);
      done(std::move(whole));
    });
}

TrafficHooks
ControlThread::MakeHooks()
{
  TrafficHooks hooks;
  hooks.mOnControlMessage = [this](coordination::ControlMessage aMessage) {
    if (mQueuedMessages >= kQueuedMessages) {
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
    // The answer arrives on a thread of gRPC; the control thread passes it on,
    // as the traffic threads may have ended by then.
    mClient->SendHandover(
      aTo.mControlEndpoint,
      mSettings.mInstance,
      std::move(aBatch),
      [this, aThread, from = aTo.mId](const auto& aAnswer) {
        if (!aAnswer) {
          WriteLog(LogLevel::Warning,
                   "handover_failure",
                   { { "instance", from.mValue },
                     { "reason", aAnswer.error().mMessage } });
          return;
        }
        boost::asio::post(
          mContext, [this, aThread, from, answer = aAnswer.value()] {
            if (mTraffic) {
              mTraffic->OnAcknowledgement(aThread, from, answer);
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
        const auto number = batch.mBatch;
        mTraffic->AcceptHandover(
          from, batch, [reply, number](bool aAcknowledged) {
            if (aAcknowledged) {
              reply(coordination::HandoverAcknowledgement{ number });
            } else {
              reply(state::Error{ state::ErrorCode::Unavailable,
                                  state::Verdict::NotRun,
                                  "the batch was not acknowledged" });
            }
          });
      });
    };
  handlers.mOnDump = [this, onControlThread](auto aReply) {
    onControlThread([this, reply = std::move(aReply)] {
      RequestDumpInput(
        [reply](const DumpInput& aParts) { reply(BuildDump(aParts)); });
    });
  };
  handlers.mOnCounters = [this, onControlThread](auto aReply) {
    onControlThread([this, reply = std::move(aReply)] {
      RequestDumpInput([reply](const DumpInput& aParts) {
        reply(PrometheusText(aParts.mCounters));
      });
    });
  };
  handlers.mOnDrain = [this] { RequestStop(); };
  return handlers;
}

} // namespace sassafrasknot::transport
