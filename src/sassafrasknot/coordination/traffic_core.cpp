#include "sassafrasknot/coordination/traffic_core.hpp"

#include "sassafrasknot/state/snapshot.hpp"

#include <algorithm>
#include <utility>

namespace sassafrasknot::coordination {

/// Baseline: places by hashing alone and keeps no state of flows.
struct TrafficCore::Impl
{
  std::shared_ptr<const state::Snapshot> mSnapshot;
  state::Counters mCounters;
};

namespace {

using state::Endpoint;

TrafficAction
PlaceByHash(const state::Snapshot& aSnapshot, const PacketEvent& aPacket)
{
  const auto& key = aPacket.mFlow.mKey;
  const auto listener = aSnapshot.mListeners.find(key.mService);
  if (listener == aSnapshot.mListeners.end()) {
    return Drop{ "packets_dropped_unknown_total" };
  }
  const auto& view = aSnapshot.mServices[listener->second];
  const auto& table = view.mTables.front();
  const auto hash = state::Hash(key);
  const auto shards = state::RankShards(table, hash, 1);
  if (shards.empty()) {
    return Drop{ "packets_dropped_no_upstream_total" };
  }
  const auto& shard = table.mShards[shards.front()];
  if (!shard.mOwners.empty() && aPacket.mHops.empty()) {
    const auto& owner = aSnapshot.mInstances[shard.mOwners.front()].mId;
    if (owner != aSnapshot.mSelf) {
      return Forward{ owner };
    }
  }
  const auto upstream = state::DefaultUpstream(shard, hash);
  const auto& listeners = view.mService.mListeners;
  const auto port =
    std::ranges::find(listeners, key.mService.mPort, &state::Listener::mPort);
  if (!upstream || port == listeners.end()) {
    return Drop{ "packets_dropped_no_upstream_total" };
  }
  return SendToUpstream{ Endpoint{ shard.mUpstreams[*upstream].mAddress,
                                   port->mUpstreamPort } };
}

} // namespace

TrafficCore::TrafficCore(std::shared_ptr<const state::Snapshot> aSnapshot,
                         std::uint64_t /*aSeed*/)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mSnapshot = std::move(aSnapshot);
}

TrafficCore::~TrafficCore() = default;
TrafficCore::TrafficCore(TrafficCore&&) noexcept = default;
TrafficCore&
TrafficCore::operator=(TrafficCore&&) noexcept = default;

TrafficActions
TrafficCore::OnPacket(state::TimePoint /*aNow*/, const PacketEvent& aPacket)
{
  if (aPacket.mFlow.mDirection == state::Direction::FromUpstream) {
    return { SendToCaller{ aPacket.mFlow.mKey.mService } };
  }
  return { PlaceByHash(*mImpl->mSnapshot, aPacket) };
}

TrafficActions
TrafficCore::OnPeerMessage(state::TimePoint /*aNow*/,
                           const state::InstanceId& aFrom,
                           const TrafficMessage& aMessage)
{
  if (const auto* batch = std::get_if<HandoverBatch>(&aMessage)) {
    return { SendPeer{ aFrom, HandoverAcknowledgement{ batch->mBatch } } };
  }
  return {};
}

TrafficActions
TrafficCore::OnSnapshot(state::TimePoint /*aNow*/,
                        std::shared_ptr<const state::Snapshot> aSnapshot)
{
  mImpl->mSnapshot = std::move(aSnapshot);
  return {};
}

TrafficActions
TrafficCore::OnTick(state::TimePoint /*aNow*/)
{
  return {};
}

bool
TrafficCore::HandedOver() const
{
  return mImpl->mSnapshot->mStopping;
}

const state::Counters&
TrafficCore::Counters() const
{
  return mImpl->mCounters;
}

TrafficStatus
TrafficCore::Status(state::TimePoint /*aNow*/) const
{
  return {};
}

} // namespace sassafrasknot::coordination
