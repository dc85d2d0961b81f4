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

/// A shard and a simple model of its expected state.
struct Model
{
  state::ShardTable mTable;
  ShardPointer mShard;
  state::TimePoint mNow{ 1h };
  std::uint64_t mNextFlowId = 1;
  std::map<std::uint64_t, OpenFlow> mOpen;
  /// Queued flows and their classes.
  std::map<std::uint64_t, FlowClass> mQueued;
  /// Flows that were placed, refused or cancelled.
  std::set<std::uint64_t> mDecided;
  /// Last flow placed from the queue, by class.
  std::map<FlowClass, std::uint64_t> mLastPlaced;
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

/// Returns whether an upstream may take a flow of a class.
bool
HasRoom(const Model& aModel, std::uint32_t aUpstream, FlowClass aFlowClass)
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

/// Applies a decision to the model; each flow gets at most one.
void
ApplyDecision(Model& aModel,
              const PlacementDecision& aDecision,
              FlowClass aFlowClass)
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

/// Serves the queue and checks that each decision is on a queued flow and that
/// flows of one class are placed in order.
void
ServeAndCheck(Model& aModel)
{
  for (const auto& decision : ServeQueue(*aModel.mShard, aModel.mNow)) {
    const auto flow =
      std::visit([](const auto& aResult) { return aResult.mFlowId; }, decision);
    const auto queued = aModel.mQueued.find(flow);
    RC_ASSERT(queued != aModel.mQueued.end());
    if (std::holds_alternative<Placed>(decision)) {
      auto& last = aModel.mLastPlaced[queued->second];
      RC_ASSERT(flow > last);
      last = flow;
    }
    ApplyDecision(aModel, decision, queued->second);
    aModel.mQueued.erase(queued);
  }
}

/// Places a random flow and checks that its upstream had room.
void
PlaceRandomFlow(Model& aModel)
{
  const auto count =
    static_cast<std::uint32_t>(aModel.mTable.mUpstreams.size());
  PlacementRequest request;
  request.mFlowId = aModel.mNextFlowId++;
  request.mFlowClass =
    *rc::gen::element(FlowClass::Feed, FlowClass::Work, FlowClass::Long);
  request.mDefaultUpstream = { *rc::gen::inRange<std::uint32_t>(1, count + 1) };
  request.mQueueDeadline = *rc::gen::inRange(1, 3000) * 1ms;
  // Applies the effects of time first, so that room is judged on the state that
  // Place uses.
  ServeAndCheck(aModel);
  std::set<std::uint32_t> withRoom;
  for (std::uint32_t upstream = 1; upstream <= count; ++upstream) {
    if (HasRoom(aModel, upstream, request.mFlowClass)) {
      withRoom.insert(upstream);
    }
  }
  const auto decision = Place(*aModel.mShard, request, aModel.mNow);
  if (const auto* placed = std::get_if<Placed>(&decision)) {
    RC_ASSERT(withRoom.contains(placed->mUpstream.mValue));
  }
  if (std::holds_alternative<Queued>(decision)) {
    aModel.mQueued[request.mFlowId] = request.mFlowClass;
  }
  ApplyDecision(aModel, decision, request.mFlowClass);
}

/// Ends a random open flow after a random result.
void
EndRandomFlow(Model& aModel)
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
      FailureKind::Refused, FailureKind::Reset, FailureKind::Unanswered);
    OnFailed(*aModel.mShard, { upstream }, kind, aModel.mNow);
  }
  OnEnded(*aModel.mShard, { upstream }, flowClass, started, aModel.mNow);
  aModel.mOpen.erase(flow);
}

/// Changes an upstream between live and leaving, and may omit the first one
/// from the table of this update.
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

/// Records enough consecutive failures to eject a random upstream.
void
FailRepeatedly(Model& aModel)
{
  const auto count =
    static_cast<std::uint32_t>(aModel.mTable.mUpstreams.size());
  const auto upstream = *rc::gen::inRange<std::uint32_t>(1, count + 1);
  for (int failure = 0; failure < 5; ++failure) {
    OnFailed(
      *aModel.mShard, { upstream }, FailureKind::Unanswered, aModel.mNow);
  }
}

/// Cancels the oldest queued flow.
void
CancelQueuedFlow(Model& aModel)
{
  if (!aModel.mQueued.empty()) {
    const auto flow = aModel.mQueued.begin()->first;
    CancelQueued(*aModel.mShard, flow);
    aModel.mDecided.insert(flow);
    aModel.mQueued.erase(flow);
  }
}

/// Checks that the shard's counts equal those of the open and queued flows.
void
CheckCounts(const Model& aModel)
{
  std::map<std::uint32_t, std::pair<std::uint32_t, std::uint32_t>> used;
  for (const auto& [id, flow] : aModel.mOpen) {
    auto& [connections, slots] = used[flow.mUpstream];
    ++connections;
    slots += flow.mFlowClass == FlowClass::Feed ? 0 : 1;
  }
  const auto status = StatusOf(*aModel.mShard, aModel.mNow);
  RC_ASSERT(status.mQueued == aModel.mQueued.size());
  for (const auto& upstream : status.mUpstreams) {
    const std::pair actual{ upstream.mConnectionsUsed, upstream.mSlotsUsed };
    RC_ASSERT(actual == used[upstream.mAddress.mValue]);
    used.erase(upstream.mAddress.mValue);
  }
  RC_ASSERT(used.empty());
}

/// Checks that at most a third of the live upstreams is ejected.
void
CheckEjected(const Model& aModel)
{
  std::size_t live = 0;
  std::size_t ejected = 0;
  for (const auto& upstream : aModel.mShard->mUpstreams) {
    live += IsLive(upstream) ? 1 : 0;
    ejected += IsLive(upstream) && CountsAsEjected(upstream.mHealth) ? 1 : 0;
  }
  RC_ASSERT(ejected * 3 <= live);
}

// Guards against counts that differ from the open flows, new flows on upstreams
// without room, too many ejections, and queued flows that are placed out of
// order, twice or after they were cancelled.
RC_GTEST_PROP(ShardProperty, KeepsItsLimitsInAnyOrderOfEvents, ())
{
  auto model = MakeModel();
  const auto steps = *rc::gen::inRange(1, 300);
  for (int step = 0; step < steps; ++step) {
    switch (*rc::gen::inRange(0, 13)) {
      case 0:
        ChangeTable(model);
        break;
      case 1:
        CancelQueuedFlow(model);
        break;
      case 2:
        FailRepeatedly(model);
        break;
      case 3:
      case 4:
        model.mNow += *rc::gen::inRange(10, 3000) * 1ms;
        ServeAndCheck(model);
        break;
      case 5:
      case 6:
      case 7:
        EndRandomFlow(model);
        break;
      default:
        PlaceRandomFlow(model);
    }
    CheckCounts(model);
    CheckEjected(model);
  }
}

} // namespace
} // namespace sassafrasknot::coordination
