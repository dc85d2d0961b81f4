#ifndef SASSAFRASKNOT_TRANSPORT_TEST_SNAPSHOT_HPP
#define SASSAFRASKNOT_TRANSPORT_TEST_SNAPSHOT_HPP

#include "sassafrasknot/state/hashing.hpp"
#include "sassafrasknot/state/snapshot.hpp"

#include <memory>
#include <string>
#include <vector>

namespace sassafrasknot::transport {

/// Endpoint of the service in MakeTestSnapshot.
constexpr state::Endpoint kTestService{ { 0x0A000001 }, 80 };
/// Endpoint of the first upstream of that service; the other upstreams have the
/// addresses that follow.
constexpr state::Endpoint kTestUpstream{ { 0x0A000101 }, 8080 };

/// Makes an instance of data centre "dc" with the given id and peer endpoint.
inline state::InstanceView
MakeTestInstance(const std::string& aId, const state::Endpoint& aEndpoint)
{
  state::InstanceView instance;
  instance.mId = { aId };
  instance.mDataCentre = { "dc" };
  instance.mPeerEndpoint = aEndpoint;
  instance.mHash = state::HashBytes(aId);
  return instance;
}

/// Makes a snapshot of instance aSelf (an index into aInstances) with one TCP
/// service of 15 upstreams in one shard, which the last instance owns.
inline std::shared_ptr<state::Snapshot>
MakeTestSnapshot(const std::vector<state::InstanceView>& aInstances,
                 std::size_t aSelf)
{
  auto snapshot = std::make_shared<state::Snapshot>();
  snapshot->mSelf = aInstances[aSelf].mId;
  snapshot->mDataCentre = { "dc" };
  snapshot->mRevision = snapshot->mSequence = 1;
  snapshot->mInstances = aInstances;
  snapshot->mReachable = { { "dc" } };
  state::ServiceView view;
  view.mId = { { "organisation" }, "service" };
  view.mRevision = 1;
  view.mService.mName = "service";
  view.mService.mAddress = kTestService.mAddress;
  state::Listener listener;
  listener.mPort = kTestService.mPort;
  listener.mUpstreamPort = kTestUpstream.mPort;
  view.mService.mListeners = { listener };
  for (std::uint32_t index = 0; index < 15; ++index) {
    const state::Ipv4Address address{ kTestUpstream.mAddress.mValue + index };
    view.mService.mUpstreams.push_back(
      { address, { "dc" }, 2, 2000, state::UpstreamState::Live });
    snapshot->mUpstreamBindings[{ address, kTestUpstream.mPort }] = {
      0, kTestService.mPort
    };
  }
  auto table = state::MakeServiceTable(view.mService, view.mId, 1);
  for (auto& shard : table.mShards) {
    shard.mOwners = { static_cast<std::uint32_t>(aInstances.size() - 1) };
  }
  view.mTables = { table };
  snapshot->mServices = { view };
  snapshot->mServiceByEndpoint[kTestService] = 0;
  return snapshot;
}

} // namespace sassafrasknot::transport

#endif
