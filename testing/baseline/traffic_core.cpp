#include "sassafrasknot/coordination/traffic_core.hpp"

#include <algorithm>
#include <utility>

namespace sassafrasknot::coordination {

/// Baseline for measurements: chooses the upstream of each packet by hashing
/// alone over the upstreams that are not leaving, and keeps no state per flow.
struct TrafficCore::Impl
{
  std::shared_ptr<const state::Snapshot> mSnapshot;
  state::Counters mCounters;
};

namespace {

/// Returns the shard without its leaving upstreams.
state::ShardTable
WithoutLeaving(state::ShardTable aShard)
{
  std::erase_if(aShard.mUpstreams, [](const state::TableUpstream& aEntry) {
    return aEntry.mState == state::UpstreamState::Leaving;
  });
  return aShard;
}

/// Forwards a caller's packet to the upstream that the flow's hash gives.
TrafficAction
ForwardByHash(const state::Snapshot& aSnapshot, const PacketEvent& aPacket)
{
  const auto& key = aPacket.mFlow.mKey;
  const auto listener = aSnapshot.mServiceByEndpoint.find(key.mService);
  if (listener == aSnapshot.mServiceByEndpoint.end()) {
    return Drop{ "packets_dropped_unknown_service_total" };
  }
  const auto& view = aSnapshot.mServices[listener->second];
  const auto hash = state::Hash(key);
  const auto ranked = state::RankShards(view.mTables.front(), hash, 1);
  if (ranked.empty()) {
    return Drop{ "packets_dropped_no_upstream_total" };
  }
  const auto shard =
    WithoutLeaving(view.mTables.front().mShards[ranked.front()]);
  const auto chosen = state::DefaultUpstream(shard, hash);
  const auto& listeners = view.mService.mListeners;
  const auto port =
    std::ranges::find(listeners, key.mService.mPort, &state::Listener::mPort);
  if (!chosen || port == listeners.end()) {
    return Drop{ "packets_dropped_no_upstream_total" };
  }
  return SendToUpstream{ { shard.mUpstreams[*chosen].mAddress,
                           port->mUpstreamPort } };
}

/// Forwards an upstream's packet to the caller, from the service's address.
TrafficAction
ForwardToCaller(const state::Snapshot& aSnapshot, const PacketEvent& aPacket)
{
  const auto bound = aSnapshot.mUpstreamBindings.find(aPacket.mFlow.mUpstream);
  if (bound == aSnapshot.mUpstreamBindings.end()) {
    return Drop{ "packets_dropped_unknown_upstream_total" };
  }
  const auto& service = aSnapshot.mServices[bound->second.mService].mService;
  return SendToCaller{ { service.mAddress, bound->second.mListenerPort } };
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
  const bool fromCaller =
    aPacket.mFlow.mDirection == state::Direction::FromCaller;
  return { fromCaller ? ForwardByHash(*mImpl->mSnapshot, aPacket)
                      : ForwardToCaller(*mImpl->mSnapshot, aPacket) };
}

TrafficActions
TrafficCore::OnPeerMessage(state::TimePoint /*aNow*/,
                           const state::InstanceId& /*aFrom*/,
                           const TrafficMessage& /*aMessage*/)
{
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
TrafficCore::AreHandoversDone() const
{
  return true;
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
