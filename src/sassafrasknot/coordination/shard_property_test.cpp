#include "sassafrasknot/coordination/shard_state.hpp"

#include <map>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sassafrasknot::coordination {
namespace {

using namespace std::chrono_literals;
using state::FlowClass;

struct OpenFlow
{
  std::uint32_t mUpstream = 0;
  FlowClass mFlowClass = FlowClass::Feed;
  state::TimePoint mStarted;
};

/// A shard next to a simple account of what it should hold.
struct Model
{
  state::ShardTable mTable;
  ShardPointer mShard;
  state::TimePoint mNow{ 1h };
  std::uint64_t mNext = 1;
  std::map<std::uint64_t, OpenFlow> mOpen;
  /// Flows that wait, and their classes.
  std::map<std::uint64_t, FlowClass> mWaiting;
  std::set<std::uint64_t> mDecided;
  /// Last flow served from each queue, by class.
  std::map<FlowClass, std::uint64_t> mServed;
};

Model
MakeModel()
{
  Model model;
  const auto count = *rc::gen::inRange<std::uint32_t>(1, 9);
  for (std::uint32_t index = 0; index < count; ++index) {
    model.mTable.mUpstreams.push_back({ { index + 1 },
                                        *rc::gen::inRange<std::uint32_t>(1, 4),
                                        *rc::gen::inRange<std::uint32_t>(1, 12),
                                        state::UpstreamState::Live,
                                        0 });
  }
  model.mShard = MakeShard(model.mTable, {}, model.mNow);
  return model;
}

bool
CouldTake(const Model& aModel, std::uint32_t aUpstream, FlowClass aFlowClass)
{
  for (const auto& status : StatusOf(*aModel.mShard, aModel.mNow).mUpstreams) {
    if (status.mAddress.mValue == aUpstream) {
      return status.mEligible &&
             status.mConnectionsUsed < status.mConnections &&
             (aFlowClass == FlowClass::Feed ||
              status.mSlotsUsed < status.mSlots);
    }
  }
  return false;
}

void
Settle(Model& aModel, const PlacementDecision& aDecision, FlowClass aFlowClass)
{
  if (const auto* placed = std::get_if<Placed>(&aDecision)) {
    RC_ASSERT(aModel.mDecided.insert(placed->mFlowId).second);
    aModel.mOpen[placed->mFlowId] = { placed->mUpstream.mValue,
                                      aFlowClass,
                                      aModel.mNow };
  } else if (const auto* refused = std::get_if<Refused>(&aDecision)) {
    RC_ASSERT(aModel.mDecided.insert(refused->mFlowId).second);
  }
}

void
Serve(Model& aModel)
{
  for (const auto& decision : ServeQueue(*aModel.mShard, aModel.mNow)) {
    const auto flow =
      std::visit([](const auto& aOne) { return aOne.mFlowId; }, decision);
    const auto waiting = aModel.mWaiting.find(flow);
    RC_ASSERT(waiting != aModel.mWaiting.end());
    if (std::holds_alternative<Placed>(decision)) {
      auto& last = aModel.mServed[waiting->second];
      RC_ASSERT(flow > last);
      last = flow;
    }
    Settle(aModel, decision, waiting->second);
    aModel.mWaiting.erase(waiting);
  }
}

void
PlaceOne(Model& aModel)
{
  const auto count =
    static_cast<std::uint32_t>(aModel.mTable.mUpstreams.size());
  PlacementRequest request;
  request.mFlowId = aModel.mNext++;
  request.mFlowClass =
    *rc::gen::element(FlowClass::Feed, FlowClass::Work, FlowClass::Long);
  request.mDefaultUpstream = { *rc::gen::inRange<std::uint32_t>(1, count + 1) };
  request.mQueueDeadline = *rc::gen::inRange(1, 3000) * 1ms;
  // Applies what time has changed, so that the state before is comparable.
  Serve(aModel);
  std::set<std::uint32_t> able;
  for (std::uint32_t upstream = 1; upstream <= count; ++upstream) {
    if (CouldTake(aModel, upstream, request.mFlowClass)) {
      able.insert(upstream);
    }
  }
  const auto decision = Place(*aModel.mShard, request, aModel.mNow);
  if (const auto* placed = std::get_if<Placed>(&decision)) {
    RC_ASSERT(able.contains(placed->mUpstream.mValue));
  }
  if (std::holds_alternative<Queued>(decision)) {
    aModel.mWaiting[request.mFlowId] = request.mFlowClass;
  }
  Settle(aModel, decision, request.mFlowClass);
}

void
EndOne(Model& aModel)
{
  if (aModel.mOpen.empty()) {
    return;
  }
  auto flow = aModel.mOpen.begin();
  std::advance(flow, *rc::gen::inRange<std::size_t>(0, aModel.mOpen.size()));
  const auto [upstream, flowClass, started] = flow->second;
  if (*rc::gen::arbitrary<bool>()) {
    OnAccepted(*aModel.mShard, { upstream }, aModel.mNow);
  } else {
    const auto kind = *rc::gen::element(
      FailureKind::Refused, FailureKind::Reset, FailureKind::NoAnswer);
    OnFailed(*aModel.mShard, { upstream }, kind, aModel.mNow);
  }
  OnEnded(*aModel.mShard, { upstream }, flowClass, started, aModel.mNow);
  aModel.mOpen.erase(flow);
}

void
ChangeTable(Model& aModel)
{
  auto& upstreams = aModel.mTable.mUpstreams;
  auto& upstream =
    upstreams[*rc::gen::inRange<std::size_t>(0, upstreams.size())];
  upstream.mState = upstream.mState == state::UpstreamState::Live
                      ? state::UpstreamState::Leaving
                      : state::UpstreamState::Live;
  auto table = aModel.mTable;
  if (*rc::gen::arbitrary<bool>()) {
    table.mUpstreams.erase(table.mUpstreams.begin());
  }
  UpdateShard(*aModel.mShard, table, {}, aModel.mNow);
}

void
FailRepeatedly(Model& aModel)
{
  const auto count =
    static_cast<std::uint32_t>(aModel.mTable.mUpstreams.size());
  const auto upstream = *rc::gen::inRange<std::uint32_t>(1, count + 1);
  for (int failure = 0; failure < 5; ++failure) {
    OnFailed(*aModel.mShard, { upstream }, FailureKind::NoAnswer, aModel.mNow);
  }
}

void
CancelOne(Model& aModel)
{
  if (!aModel.mWaiting.empty()) {
    const auto flow = aModel.mWaiting.begin()->first;
    CancelQueued(*aModel.mShard, flow);
    aModel.mDecided.insert(flow);
    aModel.mWaiting.erase(flow);
  }
}

void
CheckAccounts(const Model& aModel)
{
  std::map<std::uint32_t, std::pair<std::uint32_t, std::uint32_t>> used;
  for (const auto& [id, flow] : aModel.mOpen) {
    auto& [connections, slots] = used[flow.mUpstream];
    ++connections;
    slots += flow.mFlowClass == FlowClass::Feed ? 0 : 1;
  }
  const auto status = StatusOf(*aModel.mShard, aModel.mNow);
  RC_ASSERT(status.mQueued == aModel.mWaiting.size());
  for (const auto& upstream : status.mUpstreams) {
    const std::pair actual{ upstream.mConnectionsUsed, upstream.mSlotsUsed };
    RC_ASSERT(actual == used[upstream.mAddress.mValue]);
    used.erase(upstream.mAddress.mValue);
  }
  RC_ASSERT(used.empty());
}

void
CheckEjected(const Model& aModel)
{
  std::size_t live = 0;
  std::size_t ejected = 0;
  for (const auto& record : aModel.mShard->mUpstreams) {
    live += IsLive(record) ? 1 : 0;
    ejected += IsLive(record) && CountsAsEjected(record.mHealth) ? 1 : 0;
  }
  RC_ASSERT(ejected * 3 <= live);
}

// Guards against accounts that differ from the open flows, new flows on
// upstreams that must not take any, too many ejections, and queued flows that
// are served out of order, twice or after they were given up.
RC_GTEST_PROP(ShardProperty, HoldsItsLimitsInAnyOrderOfEvents, ())
{
  auto model = MakeModel();
  const auto steps = *rc::gen::inRange(1, 300);
  for (int step = 0; step < steps; ++step) {
    switch (*rc::gen::inRange(0, 13)) {
      case 0:
        ChangeTable(model);
        break;
      case 1:
        CancelOne(model);
        break;
      case 2:
        FailRepeatedly(model);
        break;
      case 3:
      case 4:
        model.mNow += *rc::gen::inRange(10, 3000) * 1ms;
        Serve(model);
        break;
      case 5:
      case 6:
      case 7:
        EndOne(model);
        break;
      default:
        PlaceOne(model);
    }
    CheckAccounts(model);
    CheckEjected(model);
  }
}

} // namespace
} // namespace sassafrasknot::coordination
