#include "sassafrasknot/transport/log.hpp"

#include <algorithm>
#include <utility>

#include "traffic_worker.hpp"

namespace sassafrasknot::transport {
namespace {

using namespace std::string_literals;
using protocol::PacketHeader;

/// Makes the header of a TCP segment with an acknowledgement.
PacketHeader
MakeSegmentHeader(const state::Endpoint& aSource,
                  const state::Endpoint& aDestination,
                  std::uint32_t aSequence,
                  std::uint32_t aAcknowledgement)
{
  PacketHeader header;
  header.mSource = aSource;
  header.mDestination = aDestination;
  header.mSequence = aSequence;
  header.mAcknowledgementNumber = aAcknowledgement;
  header.mAck = true;
  return header;
}

/// Makes the header of a TCP reset. It carries an acknowledgement only if there
/// is something to acknowledge, that is, aAcknowledgement is not zero (RFC
/// 9293, section 3.10.7.1).
PacketHeader
MakeResetHeader(const state::Endpoint& aSource,
                const state::Endpoint& aDestination,
                std::uint32_t aSequence,
                std::uint32_t aAcknowledgement)
{
  auto header =
    MakeSegmentHeader(aSource, aDestination, aSequence, aAcknowledgement);
  header.mRst = true;
  header.mAck = aAcknowledgement != 0;
  return header;
}

} // namespace

/// Executes one action that the traffic core of a worker returned.
struct ActionExecutor
{
  TrafficWorker& mWorker;
  /// The packet that caused the action, or null if none did.
  const WorkerPacket* mPacket;

  const state::Endpoint& Fabric() const
  {
    return mWorker.mShared.mOptions.mFabric;
  }

  /// Sends a TCP segment without payload.
  void SendSegment(const PacketHeader& aHeader) const
  {
    mWorker.Send(Fabric(), protocol::BuildPacket(aHeader, {}));
  }

  /// Writes a log line about a flow, with organisation, service, revision and
  /// caller if the service is known.
  void LogFlow(std::string_view aEvent,
               const state::FlowKey& aKey,
               LogFields aFields) const
  {
    const auto& routes = *mWorker.mRoutes;
    const auto found = routes.mListeners.find(aKey.mService);
    if (found != routes.mListeners.end()) {
      const auto& view =
        routes.mSnapshot->mServices[found->second.mServiceIndex];
      aFields.insert(aFields.begin(),
                     { { "organisation"s, view.mId.mOrganisation.mValue },
                       { "service"s, view.mId.mName },
                       { "revision"s, std::to_string(view.mRevision) },
                       { "caller"s, state::ToString(aKey.mCaller) } });
    }
    WriteLog(coordination::LogLevel::Info, aEvent, aFields);
  }

  void operator()(const coordination::SendToUpstream& aAction) const
  {
    if (mPacket != nullptr) {
      protocol::RewriteDestination(mPacket->mBytes, aAction.mUpstream);
      mWorker.Send(Fabric(), mPacket->mBytes);
      mWorker.Count("packets_sent_upstream_total");
    }
  }
  void operator()(const coordination::SendToCaller& aAction) const
  {
    if (mPacket != nullptr) {
      protocol::RewriteSource(mPacket->mBytes, aAction.mService);
      mWorker.Send(Fabric(), mPacket->mBytes);
      mWorker.Count("packets_sent_caller_total");
    }
  }
  void operator()(const coordination::Forward& aAction) const
  {
    if (mPacket == nullptr) {
      return;
    }
    const auto& snapshot = *mWorker.mRoutes->mSnapshot;
    const auto* instance = FindInstance(snapshot, aAction.mInstance);
    auto hops = mPacket->mEvent.mHops;
    if (instance == nullptr || hops.size() >= protocol::kMaxHops) {
      mWorker.Count("packets_dropped_forward_total");
      return;
    }
    hops.push_back(snapshot.mSelf);
    mWorker.Send(instance->mPeerEndpoint,
                 protocol::EncodeForwardedPacket(hops, mPacket->mBytes));
    mWorker.Count("packets_sent_forwarded_total");
  }
  void operator()(const coordination::Hold& aAction) const
  {
    if (mPacket != nullptr &&
        !mWorker.mHeld.Upsert(aAction.mHoldId, mPacket->mBytes)) {
      mWorker.Count("packets_dropped_hold_limit_total");
    }
  }
  void operator()(const coordination::ReleaseHeld& aAction) const
  {
    auto bytes = mWorker.mHeld.Release(aAction.mHoldId, aAction.mKeep);
    if (bytes.empty()) {
      return;
    }
    protocol::RewriteDestination(bytes, aAction.mUpstream);
    mWorker.Send(Fabric(), bytes);
    mWorker.Count("packets_sent_upstream_total");
  }
  void operator()(const coordination::DropHeld& aAction) const
  {
    mWorker.mHeld.Drop(aAction.mHoldId);
  }
  void operator()(const coordination::Drop& aAction) const
  {
    mWorker.Count(aAction.mReason);
  }
  void operator()(const coordination::ResetCaller& aAction) const
  {
    SendSegment(MakeResetHeader(aAction.mKey.mService,
                                aAction.mKey.mCaller,
                                aAction.mSequence,
                                aAction.mAcknowledged));
    mWorker.Count("resets_sent_caller_total");
    LogFlow("caller_reset",
            aAction.mKey,
            { { "verdict"s, std::string(ToString(aAction.mVerdict)) } });
  }
  void operator()(const coordination::ResetUpstream& aAction) const
  {
    SendSegment(MakeResetHeader(
      aAction.mKey.mCaller, aAction.mUpstream, aAction.mSequence, 0));
    mWorker.Count("resets_sent_upstream_total");
    LogFlow("upstream_reset",
            aAction.mKey,
            { { "upstream"s, state::ToString(aAction.mUpstream) } });
  }
  // A probe is a keepalive segment (RFC 9293, section 3.8.4): its sequence
  // number is one below the next, so that the receiver must acknowledge it.
  void operator()(const coordination::ProbeUpstream& aAction) const
  {
    SendSegment(MakeSegmentHeader(aAction.mKey.mCaller,
                                  aAction.mUpstream,
                                  aAction.mSequence - 1,
                                  aAction.mAcknowledged));
    mWorker.Count("probes_sent_upstream_total");
  }
  void operator()(const coordination::ProbeCaller& aAction) const
  {
    SendSegment(MakeSegmentHeader(aAction.mKey.mService,
                                  aAction.mKey.mCaller,
                                  aAction.mSequence - 1,
                                  aAction.mAcknowledged));
    mWorker.Count("probes_sent_caller_total");
  }
  void operator()(coordination::SendToPeer& aAction) const
  {
    const auto& snapshot = *mWorker.mRoutes->mSnapshot;
    const auto* instance = FindInstance(snapshot, aAction.mInstance);
    if (instance == nullptr) {
      mWorker.Count("peer_messages_dropped_unknown_total");
      return;
    }
    if (auto* batch =
          std::get_if<coordination::HandoverBatch>(&aAction.mMessage)) {
      if (mWorker.mShared.mHooks.mSendHandover) {
        mWorker.mShared.mHooks.mSendHandover(
          mWorker.mIndex, *instance, std::move(*batch));
      }
      return;
    }
    mWorker.Send(instance->mPeerEndpoint,
                 protocol::EncodePeerMessage(protocol::TrafficEnvelope{
                   snapshot.mSelf, std::move(aAction.mMessage) }));
    mWorker.Count("peer_messages_sent_total");
  }
};

void
TrafficWorker::Execute(coordination::TrafficActions& aActions,
                       const WorkerPacket* aPacket)
{
  for (auto& action : aActions) {
    std::visit(ActionExecutor{ *this, aPacket }, action);
  }
}

} // namespace sassafrasknot::transport
