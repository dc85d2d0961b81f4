#include "traffic_worker.hpp"

#include "sassafrasknot/state/hashing.hpp"

#include <utility>

#include <boost/asio/post.hpp>

namespace sassafrasknot::transport {
namespace {

/// Time between ticks of the traffic core.
constexpr std::chrono::milliseconds kTickInterval{ 10 };

using coordination::TrafficMessage;

/// Passes a message from a peer to the workers of its flows.
struct MessageDispatcher
{
  TrafficShared& mShared;
  const TrafficRoutes& mRoutes;
  const state::InstanceId& mFrom;

  void PostTo(std::size_t aThread, TrafficMessage aMessage) const
  {
    auto worker = mShared.mWorkers[aThread];
    worker->Post([worker, from = mFrom, message = std::move(aMessage)] {
      worker->OnPeerMessage(from, message);
    });
  }

  /// Splits the elements of a message by the worker of their flow and posts
  /// each part to its worker.
  template<typename Message, typename Element>
  void Split(const Message& aMessage,
             std::vector<Element> Message::*aElements) const
  {
    std::vector<Message> parts(mShared.mWorkers.size());
    for (const auto& element : aMessage.*aElements) {
      (parts[ThreadOf(mRoutes, element.mKey)].*aElements).push_back(element);
    }
    for (std::size_t thread = 0; thread < parts.size(); ++thread) {
      if (!(parts[thread].*aElements).empty()) {
        PostTo(thread, std::move(parts[thread]));
      }
    }
  }

  void operator()(const coordination::AnswerReports& aMessage) const
  {
    Split(aMessage, &coordination::AnswerReports::mReports);
  }
  void operator()(const coordination::FlowRecords& aMessage) const
  {
    Split(aMessage, &coordination::FlowRecords::mRecords);
  }
  void operator()(const coordination::FlowLookup& aMessage) const
  {
    PostTo(ThreadOf(mRoutes, aMessage.mKey), aMessage);
  }
  void operator()(const coordination::ReportRequest& aMessage) const
  {
    for (std::size_t thread = 0; thread < mShared.mWorkers.size(); ++thread) {
      PostTo(thread, aMessage);
    }
  }
  // Batches and their acknowledgements are sent over gRPC only, where an
  // acknowledgement is passed to the thread that sent the batch.
  void operator()(const coordination::HandoverBatch& /*aMessage*/) const {}
  void operator()(
    const coordination::HandoverAcknowledgement& /*aMessage*/) const
  {
  }
};

} // namespace

state::TimePoint
CoreNow()
{
  return std::chrono::time_point_cast<state::Duration>(
    std::chrono::steady_clock::now());
}

TrafficWorker::TrafficWorker(TrafficShared& aShared, std::size_t aIndex)
  : mShared(aShared)
  , mIndex(aIndex)
  , mRoutes(aShared.mRoutes.load())
  , mCore(mRoutes->mSnapshot,
          state::CombineHashes(aShared.mOptions.mSeed, aIndex))
  , mHeld(aShared.mOptions.mMaxHeldPackets)
{
}

state::Result<void>
TrafficWorker::Open()
{
  const auto& options = mShared.mOptions;
  auto socket = net::UdpSocket::Open(
    mContext,
    { options.mListen, options.mThreads > 1, options.mReceiveBufferBytes });
  if (!socket) {
    return socket.error();
  }
  mSocket = std::move(socket).value();
  return boost::outcome_v2::success();
}

void
TrafficWorker::Run()
{
  mSocket->StartReceiving(
    [this](std::span<std::uint8_t> aDatagram) { OnDatagram(aDatagram); });
  ScheduleTick();
  mContext.run();
}

void
TrafficWorker::Stop()
{
  mContext.stop();
}

void
TrafficWorker::ScheduleTick()
{
  mTimer.expires_after(kTickInterval);
  mTimer.async_wait([this](auto aError) {
    if (aError) {
      return;
    }
    if (!IsStalled()) {
      ApplyLatestSnapshot();
      auto actions = mCore.OnTick(CoreNow());
      Execute(actions, nullptr);
      mHandedOver = mCore.AreHandoversDone();
    }
    ScheduleTick();
  });
}

void
TrafficWorker::ApplyLatestSnapshot()
{
  if (mShared.mSequence.load(std::memory_order_acquire) ==
      mRoutes->mSnapshot->mSequence) {
    return;
  }
  mRoutes = mShared.mRoutes.load();
  auto actions = mCore.OnSnapshot(CoreNow(), mRoutes->mSnapshot);
  Execute(actions, nullptr);
}

bool
TrafficWorker::IsStalled() const
{
  const auto limit = mShared.mOptions.mStallLimit;
  if (limit == state::Duration{}) {
    return false;
  }
  const state::TimePoint last{ state::Duration{
    mShared.mHeartbeat.load(std::memory_order_acquire) } };
  return CoreNow() - last > limit;
}

void
TrafficWorker::OnDatagram(std::span<std::uint8_t> aDatagram)
{
  // After a stall (a pause of the process), queued packets must not be handled
  // with the state from before it. The heartbeat resumes only after the control
  // core has published a snapshot that marks this state as untrusted.
  if (protocol::IsPeerMessage(aDatagram)) {
    OnPeerDatagram(aDatagram);
  } else if (IsStalled()) {
    Count("packets_dropped_stalled_total");
  } else {
    ApplyLatestSnapshot();
    Count("packets_received_total");
    OnPacket(aDatagram, {});
  }
}

void
TrafficWorker::OnPeerDatagram(std::span<const std::uint8_t> aDatagram)
{
  auto decoded = protocol::DecodePeerMessage(aDatagram);
  if (!decoded) {
    Count(decoded.error().mMessage);
    return;
  }
  auto& message = decoded.value();
  // Control messages are passed on during a stall too, as they may end it.
  if (auto* control = std::get_if<coordination::ControlMessage>(&message)) {
    if (mShared.mHooks.mOnControlMessage) {
      mShared.mHooks.mOnControlMessage(std::move(*control));
    }
    return;
  }
  if (IsStalled()) {
    Count("packets_dropped_stalled_total");
    return;
  }
  ApplyLatestSnapshot();
  if (auto* forwarded = std::get_if<protocol::ForwardedPacket>(&message)) {
    Count("packets_received_forwarded_total");
    OnPacket(forwarded->mPacket, std::move(forwarded->mHops));
  } else {
    Count("peer_messages_received_total");
    const auto& envelope = std::get<protocol::TrafficEnvelope>(message);
    std::visit(MessageDispatcher{ mShared, *mRoutes, envelope.mSender },
               envelope.mMessage);
  }
}

void
TrafficWorker::OnPacket(std::span<std::uint8_t> aBytes,
                        std::vector<state::InstanceId> aHops)
{
  const auto view = protocol::ParsePacket(aBytes);
  if (!view) {
    Count(view.error().mMessage);
    return;
  }
  const auto routed = RoutePacket(*mRoutes, view.value());
  if (!routed) {
    Count(routed.error().mMessage);
    return;
  }
  coordination::PacketEvent event{ routed.value().mFlow, std::move(aHops) };
  if (routed.value().mThread == mIndex) {
    ProcessPacket({ aBytes, event });
    return;
  }
  auto worker = mShared.mWorkers[routed.value().mThread];
  worker->Post([worker,
                bytes = protocol::Bytes(aBytes.begin(), aBytes.end()),
                event = std::move(event)]() mutable {
    worker->ApplyLatestSnapshot();
    worker->ProcessPacket({ bytes, std::move(event) });
  });
}

void
TrafficWorker::ProcessPacket(const WorkerPacket& aPacket)
{
  auto actions = mCore.OnPacket(CoreNow(), aPacket.mEvent);
  Execute(actions, &aPacket);
}

void
TrafficWorker::OnPeerMessage(const state::InstanceId& aFrom,
                             const TrafficMessage& aMessage)
{
  ApplyLatestSnapshot();
  auto actions = mCore.OnPeerMessage(CoreNow(), aFrom, aMessage);
  Execute(actions, nullptr);
}

bool
TrafficWorker::AcceptHandover(const state::InstanceId& aFrom,
                              const coordination::HandoverBatch& aBatch)
{
  if (IsStalled()) {
    return false;
  }
  ApplyLatestSnapshot();
  auto actions = mCore.OnPeerMessage(CoreNow(), aFrom, aBatch);
  // The acknowledgement is the response to the gRPC call, so it is not sent as
  // a peer message.
  const auto removed = std::erase_if(actions, [&](const auto& aAction) {
    const auto* sent = std::get_if<coordination::SendToPeer>(&aAction);
    const auto* acknowledgement =
      sent == nullptr
        ? nullptr
        : std::get_if<coordination::HandoverAcknowledgement>(&sent->mMessage);
    return acknowledgement != nullptr &&
           acknowledgement->mBatch == aBatch.mBatch;
  });
  Execute(actions, nullptr);
  return removed > 0;
}

void
TrafficWorker::SendControl(const state::Endpoint& aTo,
                           const coordination::ControlMessage& aMessage)
{
  Send(aTo, protocol::EncodePeerMessage(aMessage));
}

coordination::TrafficStatus
TrafficWorker::Status() const
{
  return mCore.Status(CoreNow());
}

state::Counters
TrafficWorker::Counters() const
{
  auto counters = mCounters;
  state::Merge(counters, mCore.Counters());
  return counters;
}

void
TrafficWorker::Send(const state::Endpoint& aTo,
                    std::span<const std::uint8_t> aBytes)
{
  if (!mSocket->Send(aTo, aBytes)) {
    Count("datagrams_dropped_send_total");
  }
}

void
TrafficWorker::Count(std::string_view aCounter)
{
  state::Increment(mCounters, aCounter);
}

} // namespace sassafrasknot::transport
